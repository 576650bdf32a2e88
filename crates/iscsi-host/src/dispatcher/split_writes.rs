//! Split writes, which are writes with several parts, and consistent cuts: no snapshot contains one part of a
//! write without the others.
use super::Dispatcher;
use super::block_ios::{BlockIos, InFlightIo};
use super::commands::Commands;
use crate::catalog_client::{CompletionDecision, QuiesceRequest};
use mallowseam_connection_policy::command_progress::RequestOutcome;
use mallowseam_cow::split_write::PartAdmission;
use mallowseam_cow::tree::LayerId;
use mallowseam_scheduler::interface::BioId;
use mallowseam_sockets::clock::ticks_to_millis;

impl Dispatcher {
    /// Returns whether cuts admit sending a part of a write to a layer. A write that can never be completed is
    /// failed, and its block I/O is released.
    pub(super) fn may_write_to(&mut self, id: BioId, layer: LayerId) -> bool {
        match self.admit_part(id, layer) {
            PartAdmission::Send => true,
            PartAdmission::Wait => false,
            PartAdmission::RequestPermission(older) => {
                if let Some(mapped) = &mut self.mapped {
                    mapped.request_completion(older);
                }
                false
            }
            PartAdmission::Reject => {
                self.answer_not_completed(id, RequestOutcome::Failed);
                self.release(id);
                false
            }
        }
    }

    fn admit_part(&mut self, id: BioId, layer: LayerId) -> PartAdmission {
        let Some(io) = self.block_ios.get(id) else {
            return PartAdmission::Wait;
        };
        let Some(command) = io
            .data
            .command()
            .filter(|command| self.commands.is_split(*command))
        else {
            return PartAdmission::Send;
        };
        let now = ticks_to_millis(self.now);
        let branch = io.data.branch().unwrap_or_default();
        let cut_pending = self
            .mapped
            .as_ref()
            .is_some_and(|mapped| mapped.has_pending_cut(branch, now));
        let ids = self.commands.part_ids(command);
        let parts = self
            .block_ios
            .parts_in_flight(command, ids.as_slice(), layer);
        self.commands
            .admit_part(command, layer, parts, cut_pending, now)
    }

    /// Applies the catalog's decisions about split writes, and reports the layers that this host has quiesced.
    pub(super) fn apply_cut_decisions(&mut self) {
        let Some(mapped) = &mut self.mapped else {
            return;
        };
        for CompletionDecision { layer, granted } in mapped.take_completion_decisions() {
            self.commands.permission_decided(layer, granted);
        }
        mapped.report_quiesced(|request| has_split_write(&self.block_ios, &self.commands, request));
    }
}

/// Returns whether a split write is in flight that has, or may have, a part in the requested layer.
fn has_split_write(block_ios: &BlockIos, commands: &Commands, request: &QuiesceRequest) -> bool {
    let may_be_in_layer = |io: &InFlightIo| {
        let split_write = io
            .data
            .command()
            .and_then(|command| commands.unanswered_split_write(command));
        let is_sent_to_layer = io.data.layer() == Some(request.layer) && !io.is_answered();
        split_write.is_some_and(|split_write| {
            is_sent_to_layer || split_write.started_in_or_before(request.layer)
        })
    };
    block_ios
        .iter()
        .any(|io| io.data.branch() == Some(request.branch.as_str()) && may_be_in_layer(io))
}
