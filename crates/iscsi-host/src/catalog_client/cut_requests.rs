//! What the catalog has told this host of cuts, and waits for.
use mallowseam_cow::Millis;
use mallowseam_cow::consistent_cut::CUT_TIMEOUT;
use mallowseam_cow::tree::LayerId;
use std::collections::BTreeMap;

/// The catalog's request to quiesce a layer: to report once no split write is partly completed in it.
pub(crate) struct QuiesceRequest {
    pub(crate) layer: LayerId,
    pub(crate) branch: String,
}

/// The catalog's answer to whether a write with parts in a layer may be completed.
pub(crate) struct CompletionDecision {
    pub(crate) layer: LayerId,
    pub(crate) granted: bool,
}

/// Cuts that are pending, as this host knows them.
#[derive(Default)]
pub(super) struct CutRequests {
    /// Layers that the catalog waits for this host to quiesce.
    quiesce: Vec<QuiesceRequest>,
    /// Answers that the dispatcher has not taken yet.
    decisions: Vec<CompletionDecision>,
    /// Branches with a pending cut, and the time until which it delays split writes at most.
    pending: BTreeMap<String, Millis>,
}

impl CutRequests {
    /// The catalog waits for this host to quiesce a layer of a branch, whose cut is pending.
    pub(super) fn quiesce(&mut self, layer: LayerId, branch: String, now: Millis) {
        self.pending.insert(branch.clone(), now + CUT_TIMEOUT);
        let is_known = self.quiesce.iter().any(|request| request.layer == layer);
        if !is_known {
            self.quiesce.push(QuiesceRequest { layer, branch });
        }
    }

    /// The cut of a branch is over.
    pub(super) fn cut_finished(&mut self, branch: &str) {
        self.pending.remove(branch);
    }

    /// The catalog has decided about writes with parts in a layer.
    pub(super) fn decided(&mut self, decision: CompletionDecision) {
        self.decisions.push(decision);
    }

    /// Takes the decisions that were not taken yet.
    pub(super) fn take_decisions(&mut self) -> Vec<CompletionDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Whether a cut of a branch is pending.
    pub(super) fn has_pending(&self, branch: &str, now: Millis) -> bool {
        self.pending.get(branch).is_some_and(|until| now < *until)
    }

    /// Whether the catalog waits for this host to quiesce a layer.
    pub(super) fn is_quiescing(&self) -> bool {
        !self.quiesce.is_empty()
    }

    /// Takes the requests for layers without a split write.
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
