//! Writes of several parts and consistent cuts: no snapshot holds one part of a write without the others.
use super::block_io::BlockIo;
use super::{BlockIoIndex, Dispatcher};
use crate::catalog_client::{CompletionDecision, QuiesceRequest};
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_cow::Millis;
use mallowseam_cow::messages::ToCatalog;
use mallowseam_cow::split_write::PartAdmission;
use mallowseam_cow::tree::LayerId;
use mallowseam_scheduler::interface::BioId;

impl Dispatcher {
    /// Whether a block I/O is part of a client's write.
    pub(super) fn is_write(&self, io: &BlockIo) -> bool {
        io.command
            .and_then(|command| self.commands.get(command))
            .is_some_and(|command| command.write)
    }

    /// Whether a part of a write may be sent into a layer, as far as cuts are concerned. A write that can
    /// never be completed is failed, and its block I/O released.
    pub(super) fn may_write_to(
        &mut self,
        index: BlockIoIndex,
        layer: LayerId,
        now: Millis,
    ) -> bool {
        let Some(io) = self.block_ios.get(index) else {
            return false;
        };
        let Some(command_index) = io.command else {
            return true;
        };
        let Some(command) = self
            .commands
            .get(command_index)
            .filter(|command| command.sub_requests > 1)
        else {
            return true;
        };
        let branch = io.branch.as_deref().unwrap_or_default();
        let cut_pending = self
            .catalog
            .as_ref()
            .is_some_and(|catalog| catalog.has_pending_cut(branch, now));
        let mut started = command.split_write.started_in_or_before(LayerId::MAX);
        let mut in_flight_elsewhere = false;
        let mut next = command.first;
        while let Some(other_index) = next {
            let other = self
                .block_ios
                .get(other_index)
                .filter(|other| other.command == Some(command_index));
            let Some(other) = other else { break };
            // One that the scheduler has queued may be sent any moment.
            let in_flight = other.scheduled && !other.answered;
            started |= in_flight;
            in_flight_elsewhere |= in_flight && other.layer().is_some_and(|other| other != layer);
            next = other.next;
        }
        if cut_pending && !started {
            return false;
        }
        let command = self.commands.get_mut(command_index).expect("just seen");
        match command.split_write.admit(layer, in_flight_elsewhere, now) {
            PartAdmission::Send => true,
            PartAdmission::Wait => false,
            PartAdmission::RequestPermission(older) => {
                if let Some(catalog) = &mut self.catalog {
                    catalog.send(&ToCatalog::RequestCompletion { layer: older });
                }
                false
            }
            PartAdmission::Reject => {
                self.answer_not_completed(BioId(index), RequestOutcome::Failed);
                self.release(index);
                false
            }
        }
    }

    /// Applies the catalog's decisions about writes, and reports which layers this host has quiesced.
    pub(super) fn apply_cut_decisions(&mut self) {
        let Some(catalog) = &mut self.catalog else {
            return;
        };
        for CompletionDecision { layer, granted } in
            std::mem::take(&mut catalog.completion_decisions)
        {
            for index in self.commands.indices() {
                if let Some(command) = self.commands.get_mut(index) {
                    command.split_write.permission_decided(layer, granted);
                }
            }
        }
        let requests = std::mem::take(&mut catalog.quiesce_requests);
        let (pending, quiesced): (Vec<QuiesceRequest>, Vec<QuiesceRequest>) = requests
            .into_iter()
            .partition(|request| self.has_split_write(request));
        let Some(catalog) = &mut self.catalog else {
            return;
        };
        catalog.quiesce_requests = pending;
        for QuiesceRequest { layer, .. } in quiesced {
            catalog.send(&ToCatalog::Quiesced { layer });
        }
    }

    /// Whether a write of several parts is in flight that has, or may have, a part in the layer.
    fn has_split_write(&self, request: &QuiesceRequest) -> bool {
        self.block_ios.iter().any(|(_, io)| {
            let command = io.command.and_then(|command| self.commands.get(command));
            let split = command.filter(|command| {
                command.write && command.sub_requests > 1 && !command.progress.is_answered()
            });
            let in_flight = io.layer() == Some(request.layer) && !io.answered;
            io.branch.as_deref() == Some(request.branch.as_str())
                && split.is_some_and(|command| {
                    in_flight || command.split_write.started_in_or_before(request.layer)
                })
        })
    }
}
