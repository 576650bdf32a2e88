//! Attempts at nodes: their requests and their results.
use super::Dispatcher;
use super::block_io::BlockIo;
use super::layer_location::LayerLocation;
use crate::node_connections::{FinishedAttempt, NodeRequest};
use mallowseam_cow::tree::{LayerExtent, Location};
use mallowseam_iscsi::initiator::Payload;
use mallowseam_iscsi::scsi;
use mallowseam_scheduler::interface::{
    AttemptResult, BioId, EndpointEvent, NodeEndpoint, NodeId, NodeState, Tick,
};
use mallowseam_scheduler_driver::InFlight;

/// SCSI group number of copies, by which a trace of a node shows them.
const COPY_GROUP_NUMBER: u8 = 31;

/// Group number and data of an attempt.
struct AttemptTransfer {
    group_number: u8,
    /// Data to write; empty for a read.
    data: Payload,
}

impl Dispatcher {
    /// Starts an attempt of a block I/O at a node.
    pub(super) fn start_attempt(&mut self, id: BioId, node: NodeId, timeout: Tick) {
        let Some(transfer) = self.prepare_transfer(id, node) else {
            // The block I/O is unknown, its command is answered and the withdrawal not reported yet, or its copy has
            // no slot left for another attempt. The scheduler still needs an outcome.
            return self.block_ios.attempt_not_sent(id, node);
        };
        let now = self.now;
        let tag = self.block_ios.begin_attempt(id, node, now, timeout);
        let Some(io) = self.block_ios.get(id) else {
            return;
        };
        let request = self.node_request(&io.data, tag, transfer);
        self.metrics.attempt_started(node);
        self.nodes.submit(node.0 as usize, request, now);
    }

    /// Returns the group number and data for the next attempt of a block I/O.
    fn prepare_transfer(&mut self, id: BioId, node: NodeId) -> Option<AttemptTransfer> {
        let io = &self.block_ios.get(id)?.data;
        if let Some(extent) = io.copied_extent() {
            return self.prepare_copy(id, extent, node);
        }
        let non_idempotent = self.block_ios.class(io).is_non_idempotent();
        let transfer = self
            .commands
            .begin_attempt(io.command()?, io.request(), non_idempotent)?;
        Some(AttemptTransfer {
            group_number: transfer.group_number,
            data: transfer.data,
        })
    }

    /// Returns the group number and data for the next attempt of a copy step. An attempt to write is assigned
    /// its location here.
    fn prepare_copy(
        &mut self,
        id: BioId,
        extent: LayerExtent,
        node: NodeId,
    ) -> Option<AttemptTransfer> {
        let io = &mut self.block_ios.get_mut(id)?.data;
        let mut data = Payload::default();
        if io.is_write() {
            let write = self.mapped.as_mut()?.next_copy_write(extent)?;
            let (layer, _) = extent;
            io.set_location(LayerLocation {
                layer,
                location: Location {
                    node: node.0,
                    slot: write.slot,
                },
            });
            data = write.data;
        }
        Some(AttemptTransfer {
            group_number: COPY_GROUP_NUMBER,
            data,
        })
    }

    /// Builds the request to a node for an attempt.
    fn node_request(&self, io: &BlockIo, tag: u32, transfer: AttemptTransfer) -> NodeRequest {
        let request = io.request();
        let first_block = match (io.location(), &self.mapped) {
            (Some(to), Some(mapped)) => mapped.first_block(to.location),
            _ => 0,
        };
        let write = io.is_write();
        NodeRequest {
            tag,
            lun: io.layer(),
            cdb: scsi::read_or_write_16(
                write,
                first_block + request.node_lba,
                request.blocks,
                transfer.group_number,
            ),
            read_len: if write { 0 } else { self.transfer_len(io) },
            data: transfer.data,
        }
    }

    /// Returns the number of bytes that a block I/O transfers.
    fn transfer_len(&self, io: &BlockIo) -> usize {
        let volume = self.units.volume(io.volume());
        volume.bytes(io.request().blocks) as usize
    }

    /// Aborts attempts that have timed out.
    pub(crate) fn expire_attempts(&mut self) {
        while let Some(id) = self.block_ios.next_timed_out(self.now) {
            self.abort_attempt(id, AttemptResult::ConnectFailed, AttemptResult::TimedOut);
        }
        self.block_ios.remove_ended_timeouts();
    }

    /// Aborts the attempt in flight of a block I/O. `unsent`: result if the request was never sent; `sent`:
    /// result if it may have run.
    pub(super) fn abort_attempt(&mut self, id: BioId, unsent: AttemptResult, sent: AttemptResult) {
        let Some(attempt) = self.block_ios.get(id).and_then(InFlight::attempt) else {
            return;
        };
        let node = attempt.node.0 as usize;
        let was_unsent = self.nodes.cancel(node, attempt.tag, self.now);
        self.finish_attempt(id, if was_unsent { unsent } else { sent });
    }

    /// Withdraws the attempts that wait to be sent to nodes that an update of the endpoint list has made inactive.
    pub(super) fn withdraw_from_inactive_nodes(
        &mut self,
        event: EndpointEvent,
        listed: &[NodeEndpoint],
    ) {
        for node in 0..self.nodes.len() {
            let entry = listed.iter().find(|entry| entry.node.0 as usize == node);
            let is_inactive = match entry {
                Some(entry) => entry.state != NodeState::Active,
                None => event == EndpointEvent::FullSnapshot,
            };
            if !is_inactive {
                continue;
            }
            for tag in self.nodes.take_queued(node) {
                if let Some(id) = self.block_ios.in_flight_with_tag(tag) {
                    self.finish_attempt(id, AttemptResult::NotSent);
                }
            }
        }
    }

    /// Handles an attempt that its node has answered or that ended because the connection was lost.
    pub(super) fn on_finished_attempt(&mut self, finished: FinishedAttempt) {
        let Some(id) = self.block_ios.in_flight_with_tag(finished.tag) else {
            return;
        };
        let Some(io) = self.block_ios.get(id) else {
            return;
        };
        if finished.write_protected && io.data.branch().is_some() {
            return self.on_closed_layer(id);
        }
        let result = self.checked_result(&io.data, &finished);
        if result == AttemptResult::Completed
            && let Some(io) = self.block_ios.get_mut(id)
            && io.mark_answered()
        {
            self.on_completed(id, finished.data);
        }
        self.finish_attempt(id, result);
    }

    /// Returns the checked result of an attempt. A write-protected unit and a read that returned the wrong
    /// number of bytes are errors.
    fn checked_result(&self, io: &BlockIo, finished: &FinishedAttempt) -> AttemptResult {
        // Only layers of mapped volumes may be write-protected.
        if finished.write_protected {
            return AttemptResult::Error;
        }
        let bytes = self.transfer_len(io);
        let received = finished.data.len();
        if finished.result != AttemptResult::Completed || io.is_write() || received == bytes {
            return finished.result;
        }
        let node = self.nodes.name(finished.node);
        tracing::warn!(node, bytes, received, "short read");
        AttemptResult::Error
    }

    /// Finishes an attempt and queues its outcome for the scheduler.
    pub(super) fn finish_attempt(&mut self, id: BioId, result: AttemptResult) {
        let Some(ended) = self.block_ios.end_attempt(id, result, self.now) else {
            return;
        };
        self.metrics.attempt_ended(ended.node, result);
        if let Some(command) = ended.command.filter(|_| ended.did_not_run) {
            self.commands.attempt_did_not_run(command);
        }
    }
}
