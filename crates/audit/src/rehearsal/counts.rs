//! Counts of commands by I/O class and outcome.
use super::commands::{Command, is_shed};
use super::verdict::{ClassCount, CommandOutcome, Verdict};
use crate::trace::Micros;
use mallowseam_iscsi::scsi::status;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::IoClass;

impl Verdict {
    /// Adds the counts and outcomes of all commands of a run.
    pub(super) fn count(&mut self, config: &GatewayConfig, commands: &[Command]) {
        self.classes = config.io_classes.iter().map(ClassCount::new).collect();
        for command in commands {
            let objective = config.io_classes[command.io_class].latency_objective;
            let outcome = CommandOutcome::new(command, objective);
            self.classes[command.io_class].count(command, outcome.in_time);
            self.outcomes.push(outcome);
        }
        for class in &mut self.classes {
            class.latencies.sort_unstable();
        }
        self.add_totals();
    }

    fn add_totals(&mut self) {
        let sum = |of: fn(&ClassCount) -> u64| self.classes.iter().map(of).sum::<u64>();
        let abandoned = sum(|c| c.abandoned);
        self.completed = sum(|c| c.completed);
        self.shed = sum(|c| c.shed);
        self.failed = sum(|c| c.failed);
        self.abandoned = abandoned - self.unanswered;
        self.accepted = self.completed + self.shed + self.failed + self.unanswered;
    }
}

impl CommandOutcome {
    fn new(command: &Command, objective: Micros) -> Self {
        CommandOutcome {
            volume: command.volume,
            io_class: command.io_class,
            sent_at: command.sent_at,
            in_time: command
                .completed_at()
                .is_some_and(|at| at - command.sent_at <= objective),
        }
    }
}

impl ClassCount {
    fn new(class: &IoClass) -> Self {
        ClassCount {
            name: class.name.clone(),
            ..ClassCount::default()
        }
    }

    fn count(&mut self, command: &Command, in_time: bool) {
        self.sent += 1;
        match command.answered {
            Some((at, status::GOOD)) => {
                self.completed += 1;
                self.latencies.push(at - command.sent_at);
                self.in_time += u64::from(in_time);
            }
            Some((_, code)) if is_shed(code) => self.shed += 1,
            Some(_) => self.failed += 1,
            None => self.abandoned += 1,
        }
    }
}
