//! Rule 5: block I/Os of one ordering key are executed one at a time, in the order in which the host received them.
use super::commands::{Attempt, Command};
use super::verdict::Rule;
use super::{Audit, COOLDOWN_SLACK};
use crate::evidence::seconds;
use crate::trace::Micros;
use std::collections::BTreeMap;

/// Number of preceding commands of its key that each command is compared with. Earlier ones have ended long before.
const COMPARED_COMMANDS: usize = 8;

impl Audit<'_> {
    /// Checks rule 5 for all commands with an ordering key in ordered I/O classes.
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
                for earlier in &commands[i.saturating_sub(COMPARED_COMMANDS)..i] {
                    for line in order_violations(earlier, later, cooldown) {
                        self.verdict.violation(Rule::Order, line);
                    }
                }
            }
        }
    }
}

/// Returns a line for each attempt of an earlier command that was sent after a later command of the same key, or could
/// still take effect by then.
fn order_violations(earlier: &Command, later: &Command, cooldown: Micros) -> Vec<String> {
    let mut lines = Vec::new();
    let Some(first) = later.attempts.iter().map(|attempt| attempt.at).min() else {
        return lines;
    };
    for attempt in &earlier.attempts {
        if attempt.at > first {
            lines.push(format!(
                "command {} was sent at {}, after the later command {} of its key",
                earlier.id,
                seconds(attempt.at),
                later.id
            ));
        }
        if effect_ends_at(attempt, cooldown) > first {
            lines.push(format!(
                "command {} was sent at {}, before the end of the earlier command {} of its key",
                later.id,
                seconds(first),
                earlier.id
            ));
        }
    }
    lines
}

/// Returns the time from which on an attempt can no longer take effect.
fn effect_ends_at(attempt: &Attempt, cooldown: Micros) -> Micros {
    match (attempt.answered, attempt.interrupted_at) {
        (Some((at, _)), _) => at,
        (None, Some(at)) => at + cooldown,
        (None, None) => Micros::MAX,
    }
}
