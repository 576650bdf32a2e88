//! Rule 5: block I/Os of one key run one at a time, in the order in which the host took them.
use super::commands::{Attempt, Command};
use super::verdict::Rule;
use super::{Audit, COOLDOWN_SLACK};
use crate::evidence::seconds;
use crate::trace::Micros;
use std::collections::BTreeMap;

/// Earlier commands of a key that each is compared with. Commands of one key are few: those before are long over.
const PREDECESSORS: usize = 8;

impl Audit<'_> {
    /// Rule 5.
    pub(super) fn check_order(&mut self) {
        let mut keys: BTreeMap<(u32, usize, u64), Vec<&Command>> = BTreeMap::new();
        for command in &self.commands {
            if let (true, Some(key)) = (
                self.config.io_classes[command.io_class].ordered,
                command.key,
            ) {
                keys.entry((command.host, command.volume, key))
                    .or_default()
                    .push(command);
            }
        }
        let cooldown = self
            .config
            .fleet
            .ordering_cooldown
            .saturating_sub(COOLDOWN_SLACK);
        for commands in keys.values() {
            for (i, later) in commands.iter().enumerate() {
                for earlier in &commands[i.saturating_sub(PREDECESSORS)..i] {
                    for line in order_violations(earlier, later, cooldown) {
                        self.verdict.violation(Rule::Order, line);
                    }
                }
            }
        }
    }
}

/// Attempts of an earlier command that were sent after a later one of its key, or were not over by then.
fn order_violations(earlier: &Command, later: &Command, cooldown: Micros) -> Vec<String> {
    let mut lines = Vec::new();
    let Some(first) = later.attempts.iter().map(|attempt| attempt.at).min() else {
        return lines;
    };
    for attempt in &earlier.attempts {
        if attempt.at > first {
            lines.push(format!(
                "{} was sent at {} after {}",
                earlier.id,
                seconds(attempt.at),
                later.id
            ));
        }
        if over_at(attempt, cooldown) > first {
            lines.push(format!(
                "{} was sent at {} on top of {}",
                later.id,
                seconds(first),
                earlier.id
            ));
        }
    }
    lines
}

/// When an attempt can no longer take effect.
fn over_at(attempt: &Attempt, cooldown: Micros) -> Micros {
    match (attempt.answered, attempt.cut_off) {
        (Some((at, _)), _) => at,
        (None, Some(at)) => at + cooldown,
        (None, None) => Micros::MAX,
    }
}
