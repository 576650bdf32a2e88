//! Attempts at nodes, as the scheduler decides them.
use super::block_io::{Attempt, attempt_tag, index_of_tag, next_attempt_count};
use super::{BlockIoIndex, Dispatcher};
use crate::node_connections::{FinishedAttempt, NodeRequest};
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_cow::tree::Location;
use mallowseam_iscsi::initiator::Payload;
use mallowseam_iscsi::scsi;
use mallowseam_scheduler::interface::{
    AttemptOutcome, AttemptResult, BioId, Host, KeyId, LoadReport, NodeId, Tick, VolumeId,
};
use std::cmp::Reverse;

/// SCSI group number of copies, which marks them in a trace of the nodes.
const COPY_GROUP_NUMBER: u8 = 31;
/// Timeouts of finished attempts are cleared out when there are more than this, and than
/// `MAX_TIMEOUTS_PER_BLOCK_IO` for each block I/O in flight.
const MIN_TIMEOUTS: usize = 64;
const MAX_TIMEOUTS_PER_BLOCK_IO: usize = 4;

/// When an attempt times out. Ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptTimeout {
    at: Tick,
    tag: u32,
}

/// What an attempt sends to a node.
struct Transfer {
    write: bool,
    group_number: u8,
    data: Payload,
}

impl Dispatcher {
    /// When the next attempt times out.
    pub(crate) fn next_attempt_timeout(&self) -> Option<Tick> {
        self.attempt_timeouts
            .peek()
            .map(|Reverse(timeout)| timeout.at)
    }

    /// Gives up attempts that have timed out.
    pub(crate) fn expire_attempts(&mut self) {
        while let Some(Reverse(timeout)) = self.attempt_timeouts.peek().copied() {
            if timeout.at > self.now {
                break;
            }
            self.attempt_timeouts.pop();
            let index = index_of_tag(timeout.tag);
            let attempt = self.block_ios.get(index).and_then(|io| io.attempt.as_ref());
            let Some(attempt) = attempt.filter(|attempt| attempt.tag == timeout.tag) else {
                continue;
            };
            let unsent = self
                .nodes
                .cancel(attempt.node as usize, timeout.tag, self.now);
            self.finish_attempt(
                index,
                if unsent {
                    AttemptResult::ConnectFailed
                } else {
                    AttemptResult::TimedOut
                },
            );
        }
        // Most attempts finish long before they time out: their timeouts are removed from time to time.
        if self.attempt_timeouts.len()
            > MIN_TIMEOUTS + MAX_TIMEOUTS_PER_BLOCK_IO * self.block_ios.len()
        {
            let block_ios = &self.block_ios;
            self.attempt_timeouts
                .retain(|Reverse(AttemptTimeout { tag, .. })| {
                    let attempt = block_ios
                        .get(index_of_tag(*tag))
                        .and_then(|io| io.attempt.as_ref());
                    attempt.is_some_and(|attempt| attempt.tag == *tag)
                });
        }
    }

    /// A node has answered an attempt, or its connection was lost.
    pub(super) fn on_finished_attempt(&mut self, finished: FinishedAttempt) {
        let index = index_of_tag(finished.tag);
        let Some(io) = self.block_ios.get(index) else {
            return;
        };
        if io
            .attempt
            .as_ref()
            .is_none_or(|attempt| attempt.tag != finished.tag)
        {
            return;
        }
        if finished.write_protected && io.branch.is_some() {
            return self.on_closed_layer(index);
        }
        let mut result = if finished.write_protected {
            AttemptResult::Error
        } else {
            finished.result
        };
        if result == AttemptResult::Completed && !self.is_complete(index, &finished) {
            result = AttemptResult::Error;
        }
        if result == AttemptResult::Completed {
            let io = self.block_ios.get_mut(index).expect("in flight");
            if !std::mem::replace(&mut io.answered, true) {
                self.on_completed(index, finished.data);
            }
        }
        self.finish_attempt(index, result);
    }

    /// Whether a read has got all its bytes.
    fn is_complete(&self, index: BlockIoIndex, finished: &FinishedAttempt) -> bool {
        let io = self.block_ios.get(index).expect("in flight");
        let command = io.command.and_then(|command| self.commands.get(command));
        let (block_size, write) = match command {
            Some(command) => (command.block_size, command.write),
            None => (
                self.volumes[io.volume].block_size as usize,
                self.writes_copy(io),
            ),
        };
        let bytes = io.request.blocks as usize * block_size;
        let received = finished.data.len();
        if write || received == bytes {
            return true;
        }
        tracing::warn!(
            node = self.nodes.name(finished.node),
            bytes,
            received,
            "short read"
        );
        false
    }

    /// An attempt is finished: its outcome is queued for the scheduler.
    pub(super) fn finish_attempt(&mut self, index: BlockIoIndex, result: AttemptResult) {
        let Some(io) = self.block_ios.get_mut(index) else {
            return;
        };
        let Some(attempt) = io.attempt.take() else {
            return;
        };
        self.metrics.nodes[attempt.node as usize].count(result);
        let did_not_run = matches!(
            result,
            AttemptResult::Rejected | AttemptResult::ConnectFailed | AttemptResult::NotSent
        );
        if self.classes[io.class()].non_idempotent
            && did_not_run
            && let Some(command) = io
                .command
                .and_then(|command| self.commands.get_mut(command))
        {
            command.progress.attempt_did_not_run();
        }
        let outcome = AttemptOutcome {
            result,
            node: NodeId(attempt.node),
            client_answered: io.answered || io.relocating,
            latency: self.now - attempt.sent,
            units_by_other_hosts: 0.0,
            volume_usage: 0.0,
            load_report: LoadReport::default(),
        };
        self.outcomes.push_back((BioId(index), outcome));
    }

    /// Begins an attempt: its tag.
    fn begin_attempt(&mut self, index: BlockIoIndex, node: u32) -> u32 {
        if self.attempt_counts.len() <= index as usize {
            self.attempt_counts.resize(index as usize + 1, 0);
        }
        let count = &mut self.attempt_counts[index as usize];
        *count = next_attempt_count(*count);
        let tag = attempt_tag(index, *count);
        let io = self.block_ios.get_mut(index).expect("in flight");
        io.attempts += 1;
        io.attempt = Some(Attempt {
            node,
            tag,
            sent: self.now,
        });
        tag
    }

    /// What the next attempt of a block I/O sends. An attempt to write a copy gets its location here.
    fn prepare_transfer(&mut self, index: BlockIoIndex, node: u32) -> Transfer {
        let io = self.block_ios.get_mut(index).expect("in flight");
        if let Some(command) = io
            .command
            .and_then(|command| self.commands.get_mut(command))
        {
            if self.classes[io.class()].non_idempotent {
                command.progress.attempt_sent();
            }
            let first = io.request.offset as usize * command.block_size;
            let len = io.request.blocks as usize * command.block_size;
            let data = if command.write {
                command.data.slice(first, len)
            } else {
                Payload::default()
            };
            return Transfer {
                write: command.write,
                group_number: command.group_number,
                data,
            };
        }
        let Some(extent) = io.copy else {
            return Transfer {
                write: false,
                group_number: 0,
                data: Payload::default(),
            };
        };
        let copy = self
            .copies
            .get_mut(&extent)
            .expect("a copy in flight is known");
        if !copy.is_writing() {
            return Transfer {
                write: false,
                group_number: COPY_GROUP_NUMBER,
                data: Payload::default(),
            };
        }
        // Each attempt has a location of its own: one that lands late lands where nobody reads.
        let slot = copy.slots.pop().expect("there is a slot for each attempt");
        io.location = Some((extent.0, Location { node, slot }));
        Transfer {
            write: true,
            group_number: COPY_GROUP_NUMBER,
            data: copy.data.clone(),
        }
    }
}

impl Host for Dispatcher {
    fn forward(&mut self, bio: BioId, node: NodeId, timeout: Tick) {
        let tag = self.begin_attempt(bio.0, node.0);
        let Transfer {
            write,
            group_number,
            data,
        } = self.prepare_transfer(bio.0, node.0);
        let io = self.block_ios.get(bio.0).expect("in flight");
        let len = io.request.blocks as usize * self.volumes[io.volume].block_size as usize;
        let (lun, lba) = match io.location {
            Some((layer, location)) => (
                Some(layer),
                u64::from(location.slot) * self.extent_blocks + io.request.node_lba,
            ),
            None => (None, io.request.node_lba),
        };
        let cdb = scsi::read_or_write_16(write, lba, io.request.blocks, group_number);
        let request = NodeRequest {
            tag,
            lun,
            cdb,
            read_len: if write { 0 } else { len },
            data,
        };
        self.metrics.nodes[node.0 as usize].attempts += 1;
        self.attempt_timeouts.push(Reverse(AttemptTimeout {
            at: self.now + timeout.max(0),
            tag,
        }));
        self.nodes.submit(node.0 as usize, request, self.now);
    }

    fn cancel(&mut self, bio: BioId, attempt: u32) {
        let Some(io) = self
            .block_ios
            .get(bio.0)
            .filter(|io| io.attempts == attempt + 1)
        else {
            return;
        };
        let Some(attempt) = &io.attempt else { return };
        let unsent = self
            .nodes
            .cancel(attempt.node as usize, attempt.tag, self.now);
        self.finish_attempt(
            bio.0,
            if unsent {
                AttemptResult::NotSent
            } else {
                AttemptResult::Cancelled
            },
        );
    }

    fn shed(&mut self, bio: BioId, come_back: Tick) {
        self.answer_not_completed(
            bio,
            RequestOutcome::Shed {
                retry_after: come_back,
            },
        );
    }

    fn fail(&mut self, bio: BioId) {
        self.answer_not_completed(bio, RequestOutcome::Failed);
    }

    fn set_timer(&mut self, after: Tick) {
        let time = self.now + after;
        self.timer_due = Some(self.timer_due.map_or(time, |other| other.min(time)));
    }

    fn poll_endpoints(&mut self) {
        self.endpoint_list_requested = true;
    }

    fn release_bio(&mut self, bio: BioId) {
        match self
            .block_ios
            .get_mut(bio.0)
            .filter(|io| io.relocating && !io.answered)
        {
            Some(io) => {
                (io.relocating, io.scheduled, io.location, io.attempts) = (false, false, None, 0);
                self.wait_for_location(bio.0);
            }
            None => self.release(bio.0),
        }
    }

    fn release_key(&mut self, key: KeyId) {
        self.ordering_keys.release(key.0);
    }

    /// Volumes keep their index: there are as many as the configuration names.
    fn release_volume(&mut self, _volume: VolumeId) {}

    /// Nodes have the indices that the configuration gives them.
    fn release_node(&mut self, _node: NodeId) {}
}
