//! Queue of a stand-in node: commands wait for a core, run for their work, and complete.
use super::server::{Server, Transfer};
use crate::block;
use crate::trace::{Micros, TraceEvent};
use mallowseam_iscsi::scsi::{Sense, status};
use rand::RngExt;

/// Work in microseconds below which a command completes at once.
const MIN_WORK: f64 = 1.0;

/// Where a command came from, and its task tag there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TaskRef {
    pub(super) client: u32,
    pub(super) connection: u64,
    pub(super) task: u32,
}

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
pub(super) struct Running {
    pub(super) due: Micros,
    pub(super) command: QueuedCommand,
}

/// A request for write protection that waits for running writes.
pub(super) struct PendingProtect {
    pub(super) origin: TaskRef,
    pub(super) lun: u32,
}

impl Server {
    /// Completes what is due, and starts what has a core.
    pub(super) fn serve(&mut self) {
        if self.faults.frozen_since.is_some() {
            return;
        }
        let now = self.trace.now();
        let mut i = 0;
        while i < self.running.len() {
            if self.running[i].due <= now {
                let done = self.running.swap_remove(i);
                self.finish(&done.command);
            } else {
                i += 1;
            }
        }
        while self.running.len() < self.model.cores {
            let Some(command) = self.waiting.pop_front() else {
                break;
            };
            self.start(command, now);
        }
    }

    fn start(&mut self, command: QueuedCommand, now: Micros) {
        if command.transfer.write && self.protected.contains(&command.lun) {
            return self.reject_protected(&command);
        }
        let lifecycle = *self.lifecycle();
        let speed = if lifecycle.incarnation == 0 {
            1.0
        } else {
            self.model.speed_fraction(now - lifecycle.started_at)
        };
        let work = command.work * self.faults.slowdown / speed;
        if work < MIN_WORK {
            self.finish(&command);
        } else {
            self.running.push(Running {
                due: now + work as Micros,
                command,
            });
        }
    }

    fn reject_protected(&mut self, command: &QueuedCommand) {
        let TaskRef {
            client,
            connection,
            task,
        } = command.origin;
        let open = self
            .sessions
            .get(&client)
            .is_some_and(|s| s.connection == connection);
        if open && !command.orphan {
            // It has not run and never will, so that it counts as rejected.
            let (node, status) = (self.index, status::BUSY);
            self.trace.record(TraceEvent::NodeAnswered {
                node,
                connection,
                task,
                status,
            });
            self.fail(command.origin, Sense::WRITE_PROTECTED);
        }
    }

    fn finish(&mut self, command: &QueuedCommand) {
        let Transfer {
            write, lba, blocks, ..
        } = command.transfer;
        let mut data = Vec::new();
        for i in 0..u64::from(blocks) {
            let offset = i as usize * block::SIZE;
            let key = (command.lun, lba + i);
            if write {
                let stored = self
                    .blocks
                    .entry(key)
                    .or_insert_with(|| Box::new([0; block::SIZE]));
                stored.copy_from_slice(&command.data[offset..offset + block::SIZE]);
            } else {
                match self.blocks.get(&key) {
                    Some(stored) => data.extend_from_slice(&stored[..]),
                    None => data.resize(offset + block::SIZE, 0),
                }
            }
        }
        self.complete_protects();
        if !command.orphan && self.rng.random::<f64>() >= self.faults.loss_rate {
            self.answer(command.origin, status::GOOD, &data);
        }
    }

    /// Answers requests for write protection whose logical unit has no running writes left.
    pub(super) fn complete_protects(&mut self) {
        for pending in std::mem::take(&mut self.pending_protects) {
            let writes = |r: &Running| r.command.lun == pending.lun && r.command.transfer.write;
            if self.running.iter().any(writes) {
                self.pending_protects.push(pending);
            } else {
                self.answer(pending.origin, status::GOOD, &[]);
            }
        }
    }

    /// Counts what a warming node receives; true once it has crashed from overload.
    pub(super) fn overload(&mut self, units: f64) -> bool {
        let lifecycle = *self.lifecycle();
        let now = self.trace.now();
        let age = now - lifecycle.started_at;
        if lifecycle.incarnation == 0 || age > self.model.warm_up {
            return false;
        }
        self.received.push_back((now, units));
        while self
            .received
            .front()
            .is_some_and(|(at, _)| at + self.model.overload_window < now)
        {
            self.received.pop_front();
        }
        let sum: f64 = self.received.iter().map(|(_, units)| units).sum();
        if sum > self.model.overload_units(age) {
            self.overloaded = true;
            self.trace
                .record(TraceEvent::NodeOverloaded { node: self.index });
            self.crash();
        }
        self.overloaded
    }
}
