//! Queue of a stand-in node: commands wait for a core and run for their work.
use super::transfer::{TaskRef, Transfer};
use mallowseam_audit::trace::Micros;
use std::collections::VecDeque;

/// A read or write that waits or runs.
pub(super) struct QueuedCommand {
    pub(super) origin: TaskRef,
    pub(super) lun: u32,
    pub(super) transfer: Transfer,
    pub(super) data: Vec<u8>,
    /// Microseconds on one warm core.
    pub(super) work: f64,
    /// It was aborted: the work goes on without an answer.
    pub(super) orphan: bool,
}

/// A command on a core.
struct Running {
    due: Micros,
    command: QueuedCommand,
}

/// Commands that wait for a core, and those that have one.
pub(super) struct CommandQueue {
    cores: usize,
    capacity: usize,
    waiting: VecDeque<QueuedCommand>,
    running: Vec<Running>,
}

impl CommandQueue {
    /// `capacity`: commands that may wait.
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

    /// Takes out the next command that waits, if a core is free for it.
    pub(super) fn next_for_core(&mut self) -> Option<QueuedCommand> {
        if self.running.len() < self.cores {
            self.waiting.pop_front()
        } else {
            None
        }
    }

    /// Runs a command until a time.
    pub(super) fn run(&mut self, command: QueuedCommand, due: Micros) {
        self.running.push(Running { due, command });
    }

    /// Takes out a command whose work is done.
    pub(super) fn take_due(&mut self, now: Micros) -> Option<QueuedCommand> {
        let done = self.running.iter().position(|r| r.due <= now)?;
        Some(self.running.swap_remove(done).command)
    }

    /// When the first running command is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.running.iter().map(|r| r.due).min()
    }

    /// Running commands end this much later.
    pub(super) fn postpone(&mut self, pause: Micros) {
        self.running.iter_mut().for_each(|r| r.due += pause);
    }

    pub(super) fn has_running_write(&self, lun: u32) -> bool {
        self.running
            .iter()
            .any(|r| r.command.lun == lun && r.command.transfer.write)
    }

    /// Aborts a command: one that waits is dropped, one that runs goes on without an answer.
    pub(super) fn abort(&mut self, aborted: TaskRef) {
        self.waiting.retain(|command| command.origin != aborted);
        self.running
            .iter_mut()
            .map(|r| &mut r.command)
            .filter(|command| command.origin == aborted)
            .for_each(|command| command.orphan = true);
    }

    /// A command gets no answer any more, whether it waits or runs, and is executed nevertheless.
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
