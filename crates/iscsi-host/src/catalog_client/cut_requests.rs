//! Cuts that the snapshot catalog has announced, and its requests to this host that concern them.
#[cfg(test)]
mod tests;

use mallowseam_cow::Millis;
use mallowseam_cow::consistent_cut::CUT_TIMEOUT;
use mallowseam_cow::tree::LayerId;
use std::collections::BTreeMap;

/// Request of the catalog to quiesce a layer: the host reports the layer once no split write is partly
/// completed in it.
pub(crate) struct QuiesceRequest {
    pub(crate) layer: LayerId,
    pub(crate) branch: String,
}

/// Answer of the catalog to the question whether a split write with parts in a layer may be completed.
pub(crate) struct CompletionDecision {
    pub(crate) layer: LayerId,
    pub(crate) granted: bool,
}

/// Pending cuts, requests to quiesce and decisions that the host has received.
#[derive(Default)]
pub(super) struct CutRequests {
    /// Requests to quiesce that the host has not fulfilled yet.
    quiesce: Vec<QuiesceRequest>,
    /// Decisions that the dispatcher has not taken yet.
    decisions: Vec<CompletionDecision>,
    /// Branches with a pending cut, and the time from which the cut no longer delays split writes.
    pending: BTreeMap<String, Millis>,
}

impl CutRequests {
    /// Records a request to quiesce a layer of a branch, whose cut is pending from now on.
    pub(super) fn quiesce(&mut self, layer: LayerId, branch: String, now: Millis) {
        self.pending.insert(branch.clone(), now + CUT_TIMEOUT);
        let is_known = self.quiesce.iter().any(|request| request.layer == layer);
        if !is_known {
            self.quiesce.push(QuiesceRequest { layer, branch });
        }
    }

    /// Records that the cut of a branch is finished.
    pub(super) fn cut_finished(&mut self, branch: &str) {
        self.pending.remove(branch);
    }

    /// Records a decision about split writes with parts in a layer.
    pub(super) fn decided(&mut self, decision: CompletionDecision) {
        self.decisions.push(decision);
    }

    /// Takes the recorded decisions.
    pub(super) fn take_decisions(&mut self) -> Vec<CompletionDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns whether a cut of a branch is pending.
    pub(super) fn has_pending(&self, branch: &str, now: Millis) -> bool {
        self.pending.get(branch).is_some_and(|until| now < *until)
    }

    /// Returns whether the catalog waits for this host to quiesce a layer.
    pub(super) fn is_quiescing(&self) -> bool {
        !self.quiesce.is_empty()
    }

    /// Takes the requests for layers without a split write in flight; the other requests stay pending.
    pub(super) fn take_quiesced(
        &mut self,
        has_split_write: impl Fn(&QuiesceRequest) -> bool,
    ) -> Vec<QuiesceRequest> {
        let requests = std::mem::take(&mut self.quiesce);
        let (pending, quiesced) = requests.into_iter().partition(has_split_write);
        self.quiesce = pending;
        quiesced
    }
}
