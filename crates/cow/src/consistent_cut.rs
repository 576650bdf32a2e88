//! Decides when a snapshot may be granted.
//!
//! A consistent cut first freezes the head of a branch in the tree. Then every node that holds a location that is read
//! through the snapshot closes the layer of that location to writes. The cut is granted if all these nodes have closed
//! their layers within the timeout; otherwise it fails and no snapshot is created. The frozen layer stays frozen: that
//! is always safe, while reopening closed layers is not, since late writes may be in flight.
use crate::Millis;
use crate::tree::{Change, ChangeError, LayerId, Tree};
use std::collections::BTreeSet;

/// Time within which a snapshot is granted or fails, in milliseconds. A healthy node closes a layer at once, and an
/// operator would not wait longer for a node that does not answer.
pub const CUT_TIMEOUT: Millis = 5_000;

/// Why a requested snapshot was not created.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CutFailure {
    /// The state of the tree does not allow the snapshot.
    #[error(transparent)]
    Rejected(#[from] ChangeError),
    /// The nodes with these indices have not closed their layers in time.
    #[error("not closed in time by nodes {0:?}")]
    NodesNotClosed(BTreeSet<u32>),
    /// The named hosts have split writes in flight, or have not confirmed that they have none.
    #[error("writes under way at {0:?}")]
    HostsNotQuiesced(BTreeSet<String>),
}

/// A snapshot that was requested and is not granted yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsistentCut {
    /// Branch that the snapshot shows.
    pub branch: String,
    /// Name of the snapshot within the branch.
    pub name: String,
    /// Layer that the cut has frozen.
    pub layer: LayerId,
    /// Hosts that have not confirmed yet that no incomplete split write of theirs has a part in `layer`.
    unquiesced_hosts: BTreeSet<String>,
    /// Whether an incomplete split write has a part in `layer`, and is being completed in a later layer.
    is_stale: bool,
    /// Time at which the cut fails unless it is granted.
    deadline: Millis,
}

/// The next step of a cut.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CutProgress {
    /// Wait for nodes or hosts that still have to answer.
    Wait,
    /// Freeze the current head instead: every host has completed its writes with a part in the layer of the cut.
    Restart,
    /// Apply this change, which creates the snapshot.
    Grant(Change),
    /// Abort the cut.
    Fail(CutFailure),
}

impl ConsistentCut {
    /// Begins a cut. Returns the change that freezes the head, and the cut, which starts once that change is on disk.
    /// `hosts`: the hosts that may act.
    ///
    /// # Errors
    ///
    /// Returns [`CutFailure::Rejected`] if the snapshot could not be granted. Nothing is frozen then.
    pub fn begin(
        tree: &Tree,
        branch: &str,
        name: &str,
        hosts: BTreeSet<String>,
        now: Millis,
    ) -> Result<(Change, ConsistentCut), CutFailure> {
        let layer = tree.branch(branch)?.head;
        let grant = Change::SnapshotCreated {
            branch: branch.into(),
            name: name.into(),
            layer,
        };
        match tree.check(&grant) {
            // `LayerNotAccepting` is expected: the head is not frozen yet.
            Ok(()) | Err(ChangeError::LayerNotAccepting(_)) => {}
            Err(error) => return Err(error.into()),
        }
        let freeze = Change::HeadFrozen {
            branch: branch.to_owned(),
        };
        tree.check(&freeze)?;
        let cut = ConsistentCut {
            branch: branch.to_owned(),
            name: name.to_owned(),
            layer,
            unquiesced_hosts: hosts,
            is_stale: false,
            deadline: now + CUT_TIMEOUT,
        };
        Ok((freeze, cut))
    }

    /// Records that a host has confirmed that it is quiesced for a layer.
    pub fn host_quiesced(&mut self, layer: LayerId, host: &str) {
        if self.layer == layer {
            self.unquiesced_hosts.remove(host);
        }
    }

    /// Returns the hosts that still have to confirm that they are quiesced. A host whose lease has expired completes no
    /// write any more, and is removed.
    pub fn unquiesced_hosts(&mut self, active_hosts: &BTreeSet<String>) -> &BTreeSet<String> {
        self.unquiesced_hosts
            .retain(|host| active_hosts.contains(host));
        &self.unquiesced_hosts
    }

    /// Records that an incomplete split write has a part in the layer of the cut, and will be completed in the current
    /// head.
    pub fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Restarts the cut after the completion of the writes that had a part in its layer. Returns the change that
    /// freezes the current head, or `None` if the branch was deleted.
    pub fn restart(&mut self, tree: &Tree, hosts: BTreeSet<String>) -> Option<Change> {
        self.layer = tree.branch(&self.branch).ok()?.head;
        self.unquiesced_hosts = hosts;
        self.is_stale = false;
        Some(Change::HeadFrozen {
            branch: self.branch.clone(),
        })
    }

    /// Returns the next step of the cut.
    #[must_use]
    pub fn progress(&self, tree: &Tree, now: Millis) -> CutProgress {
        let is_late = now >= self.deadline;
        if self.is_stale {
            return self.progress_when_stale(is_late);
        }
        let unclosed = tree.unclosed_nodes(self.layer);
        match (unclosed.is_empty(), self.unquiesced_hosts.is_empty()) {
            (true, true) => self.grant(tree),
            (true, false) if is_late => self.fail_on_hosts(),
            (false, _) if is_late => CutProgress::Fail(CutFailure::NodesNotClosed(
                unclosed.into_values().flatten().collect(),
            )),
            _ => CutProgress::Wait,
        }
    }

    fn progress_when_stale(&self, is_late: bool) -> CutProgress {
        if is_late {
            self.fail_on_hosts()
        } else if self.unquiesced_hosts.is_empty() {
            CutProgress::Restart
        } else {
            CutProgress::Wait
        }
    }

    fn fail_on_hosts(&self) -> CutProgress {
        CutProgress::Fail(CutFailure::HostsNotQuiesced(self.unquiesced_hosts.clone()))
    }

    fn grant(&self, tree: &Tree) -> CutProgress {
        let change = Change::SnapshotCreated {
            branch: self.branch.clone(),
            name: self.name.clone(),
            layer: self.layer,
        };
        match tree.check(&change) {
            Ok(()) => CutProgress::Grant(change),
            Err(error) => CutProgress::Fail(error.into()),
        }
    }
}

/// The answer to a host that asks to complete a split write in the current head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionDecision {
    /// Whether the write may be completed: no snapshot was granted since it began.
    pub is_granted: bool,
    /// Layers from that of the write up to the current head, without the head. Pending cuts of these layers become
    /// stale.
    pub frozen_layers: BTreeSet<LayerId>,
}

/// Decides whether a split write with parts in a layer may be completed in the current head. Returns `None` if no
/// branch is read through the layer.
#[must_use]
pub fn decide_completion(tree: &Tree, layer: LayerId) -> Option<CompletionDecision> {
    let reads_layer = |head: LayerId| tree.ancestors(head).any(|(id, _)| id == layer);
    let head = tree
        .branches
        .values()
        .map(|branch| branch.head)
        .find(|head| reads_layer(*head))?;
    let chain = tree.ancestors(head).map(|(id, _)| id);
    let frozen_layers: BTreeSet<LayerId> = chain.filter(|id| *id != head && *id >= layer).collect();
    let has_snapshot_between = tree
        .snapshots
        .values()
        .any(|snapshot| frozen_layers.contains(&snapshot.layer));
    Some(CompletionDecision {
        is_granted: !has_snapshot_between,
        frozen_layers,
    })
}
