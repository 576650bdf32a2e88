//! Command queue of a stand-in node: commands wait for a core, and occupy it for the time that their work takes.
use super::transfer::{TaskRef, Transfer};
use mallowseam_audit::trace::Micros;
use std::collections::VecDeque;

/// Read or write that waits or runs.
pub(super) struct QueuedCommand {
    pub(super) origin: TaskRef,
    pub(super) lun: u32,
    pub(super) transfer: Transfer,
    pub(super) data: Vec<u8>,
    /// Work of the command, in microseconds on one core at full speed.
    pub(super) work: f64,
    /// Whether the command was aborted; it is then executed without an answer.
    pub(super) orphan: bool,
}

/// Command that occupies a core until it is due.
struct Running {
    due: Micros,
    command: QueuedCommand,
}

/// Commands that wait for a core, and commands that run on one.
pub(super) struct CommandQueue {
    cores: usize,
    capacity: usize,
    waiting: VecDeque<QueuedCommand>,
    running: Vec<Running>,
}

impl CommandQueue {
    /// Creates an empty queue. `capacity` is the maximum number of waiting commands.
    pub(super) fn new(cores: usize, capacity: usize) -> Self {
        CommandQueue {
            cores,
            capacity,
            waiting: VecDeque::new(),
            running: Vec::new(),
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.waiting.len() >= self.capacity
    }

    pub(super) fn push(&mut self, command: QueuedCommand) {
        self.waiting.push_back(command);
    }

    /// Removes and returns the next waiting command, if a core is free for it.
    pub(super) fn take_startable(&mut self) -> Option<QueuedCommand> {
        if self.running.len() < self.cores {
            self.waiting.pop_front()
        } else {
            None
        }
    }

    /// Runs a command on a core until it is due.
    pub(super) fn run(&mut self, command: QueuedCommand, due: Micros) {
        self.running.push(Running { due, command });
    }

    /// Removes and returns a command that is due.
    pub(super) fn take_due(&mut self, now: Micros) -> Option<QueuedCommand> {
        let done = self.running.iter().position(|r| r.due <= now)?;
        Some(self.running.swap_remove(done).command)
    }

    /// Returns when the first running command is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.running.iter().map(|r| r.due).min()
    }

    /// Postpones the end of all running commands.
    pub(super) fn postpone(&mut self, pause: Micros) {
        self.running.iter_mut().for_each(|r| r.due += pause);
    }

    pub(super) fn has_running_write(&self, lun: u32) -> bool {
        self.running
            .iter()
            .any(|r| r.command.lun == lun && r.command.transfer.write)
    }

    /// Aborts a command. A waiting command is removed; a running one continues without an answer.
    pub(super) fn abort(&mut self, aborted: TaskRef) {
        self.waiting.retain(|command| command.origin != aborted);
        self.running
            .iter_mut()
            .map(|r| &mut r.command)
            .filter(|command| command.origin == aborted)
            .for_each(|command| command.orphan = true);
    }

    /// Marks a waiting or running command as aborted. It is still executed, but has no answer.
    pub(super) fn orphan(&mut self, aborted: TaskRef) {
        let running = self.running.iter_mut().map(|r| &mut r.command);
        running
            .chain(&mut self.waiting)
            .filter(|command| command.origin == aborted)
            .for_each(|command| command.orphan = true);
    }

    pub(super) fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
    }
}
