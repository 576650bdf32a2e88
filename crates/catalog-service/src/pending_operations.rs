//! Pending operations, whose end operators wait for.
#[cfg(test)]
mod tests;

use mallowseam_control_protocol::control_socket::ConnectionId;
use mallowseam_cow::Millis;
use mallowseam_cow::consistent_cut::ConsistentCut;
use mallowseam_cow::leases::HostLeases;
use mallowseam_cow::tree::{LayerId, Tree};
use std::collections::BTreeSet;

/// An operation, with the connection of the operator who waits for its end.
pub(crate) struct PendingOperation {
    pub(crate) connection: ConnectionId,
    pub(crate) operation: Operation,
}

/// An operation whose end an operator waits for.
pub(crate) enum Operation {
    /// A requested snapshot, whose cut begins once all hosts that may act are known.
    BeginCut(SnapshotRequest),
    /// A cut in progress.
    Cut(ConsistentCut),
    /// A change that has to become effective.
    Rollout(Rollout),
}

/// A request of an operator for a snapshot.
pub(crate) struct SnapshotRequest {
    pub(crate) branch: String,
    pub(crate) name: String,
}

/// A change that becomes effective once no host acts on an older version, and all nodes have closed a layer if the
/// change needs that.
pub(crate) struct Rollout {
    /// Version of the tree after the change.
    pub(crate) version: u64,
    /// Layer that nodes have to close. None: the change needs no layer to be closed.
    pub(crate) closing_layer: Option<LayerId>,
    /// Answer to the operator once the change is effective.
    pub(crate) answer: String,
}

impl Rollout {
    /// Returns whether the change is effective at all hosts and nodes.
    pub(crate) fn is_complete(&self, tree: &Tree, leases: &HostLeases, now: Millis) -> bool {
        let is_open = |layer| tree.layers.contains_key(&layer) && has_pending_close(tree, layer);
        !self.closing_layer.is_some_and(is_open) && leases.is_effective(self.version, now)
    }
}

/// Returns whether a node still has to close a layer.
fn has_pending_close(tree: &Tree, layer: LayerId) -> bool {
    tree.pending_closes().any(|(pending, _)| pending == layer)
}

/// A request to hosts to quiesce the layer of a cut.
pub(crate) struct QuiesceRequest {
    pub(crate) layer: LayerId,
    pub(crate) branch: String,
    /// Names of the hosts that have not quiesced the layer.
    pub(crate) hosts: BTreeSet<String>,
}

/// All operations that are pending, in the order in which they were last advanced.
#[derive(Default)]
pub(crate) struct PendingOperations {
    operations: Vec<PendingOperation>,
}

impl PendingOperations {
    /// Adds an operation for whose end an operator waits.
    pub(crate) fn add(&mut self, connection: ConnectionId, operation: Operation) {
        self.operations.push(PendingOperation {
            connection,
            operation,
        });
    }

    /// Removes and returns all operations. The caller adds those again that are still pending.
    pub(crate) fn take_all(&mut self) -> Vec<PendingOperation> {
        std::mem::take(&mut self.operations)
    }

    fn cuts(&self) -> impl Iterator<Item = &ConsistentCut> {
        self.operations
            .iter()
            .filter_map(|pending| match &pending.operation {
                Operation::Cut(cut) => Some(cut),
                Operation::BeginCut(_) | Operation::Rollout(_) => None,
            })
    }

    fn cuts_mut(&mut self) -> impl Iterator<Item = &mut ConsistentCut> {
        self.operations
            .iter_mut()
            .filter_map(|pending| match &mut pending.operation {
                Operation::Cut(cut) => Some(cut),
                Operation::BeginCut(_) | Operation::Rollout(_) => None,
            })
    }

    /// Returns the frozen layers of all cuts in progress.
    pub(crate) fn layers_of_cuts(&self) -> BTreeSet<LayerId> {
        self.cuts().map(|cut| cut.layer).collect()
    }

    /// Returns whether a cut of a branch is in progress.
    pub(crate) fn has_cut_of(&self, branch: &str) -> bool {
        self.cuts().any(|cut| cut.branch == branch)
    }

    /// Records that a host has quiesced a layer.
    pub(crate) fn on_host_quiesced(&mut self, layer: LayerId, host: &str) {
        for cut in self.cuts_mut() {
            cut.host_quiesced(layer, host);
        }
    }

    /// Marks the cuts of these frozen layers as stale: a split write with parts there is completed in a later layer,
    /// and the cuts are restarted after it.
    pub(crate) fn mark_stale(&mut self, frozen_layers: &BTreeSet<LayerId>) {
        for cut in self.cuts_mut() {
            if frozen_layers.contains(&cut.layer) {
                cut.mark_stale();
            }
        }
    }

    /// Returns a quiesce request for each cut in progress. `active_hosts`: the hosts that may act.
    pub(crate) fn quiesce_requests(
        &mut self,
        active_hosts: &BTreeSet<String>,
    ) -> Vec<QuiesceRequest> {
        self.cuts_mut()
            .map(|cut| QuiesceRequest {
                layer: cut.layer,
                branch: cut.branch.clone(),
                hosts: cut.unquiesced_hosts(active_hosts).clone(),
            })
            .collect()
    }
}
