//! When a snapshot may be granted.
//!
//! A cut freezes the head in the tree first; then every node that holds a location through which the snapshot is read
//! closes its layer to writes. A cut is granted if all of them have closed within the timeout; otherwise it fails and
//! no snapshot is created. The frozen layer stays frozen: that is always safe, while reopening closed layers is not,
//! since late writes may be in flight.
use crate::Millis;
use crate::tree::{Change, ChangeError, LayerId, Tree};
use std::collections::BTreeSet;

/// Milliseconds within which a snapshot is granted or fails: a healthy node closes a layer at once, and an operator
/// would not wait longer for one that does not answer.
pub const CUT_TIMEOUT: Millis = 5_000;

/// Why a snapshot failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CutFailure {
    /// The tree does not allow it.
    #[error(transparent)]
    Rejected(#[from] ChangeError),
    /// These nodes have not closed their layers in time.
    #[error("not closed in time by nodes {0:?}")]
    NodesNotClosed(BTreeSet<u32>),
    /// These hosts have writes of several parts in flight, or do not say that they have none.
    #[error("writes under way at {0:?}")]
    HostsNotQuiesced(BTreeSet<String>),
}

/// A requested snapshot that is not granted yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsistentCut {
    /// The branch that it shows.
    pub branch: String,
    /// Its name within the branch.
    pub name: String,
    /// The frozen layer.
    pub layer: LayerId,
    /// Hosts that have not confirmed yet that no incomplete write of theirs has a part in the layer.
    unquiesced_hosts: BTreeSet<String>,
    /// An incomplete write has a part in the layer, and is being completed in a later one.
    is_stale: bool,
    deadline: Millis,
}

/// What is to be done for a cut now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CutProgress {
    /// Nodes or hosts still have to answer.
    Wait,
    /// Every host has completed its writes with a part in the layer: freeze the present head instead.
    Restart,
    /// Apply this change, which creates the snapshot.
    Grant(Change),
    /// Give the cut up.
    Fail(CutFailure),
}

impl ConsistentCut {
    /// Begins a cut. Returns the change that freezes the head, and the cut, which starts once that change is on disk.
    /// `hosts`: those that may act.
    ///
    /// # Errors
    ///
    /// [`CutFailure::Rejected`] for a snapshot that could not be granted, before anything is frozen.
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
            // The head is not frozen yet.
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

    /// A host has confirmed that it is quiesced for a layer.
    pub fn host_quiesced(&mut self, layer: LayerId, host: &str) {
        if self.layer == layer {
            self.unquiesced_hosts.remove(host);
        }
    }

    /// Hosts that still have to confirm. One whose lease has expired will complete no write and is not waited for.
    pub fn unquiesced_hosts(&mut self, active_hosts: &BTreeSet<String>) -> &BTreeSet<String> {
        self.unquiesced_hosts
            .retain(|host| active_hosts.contains(host));
        &self.unquiesced_hosts
    }

    /// An incomplete write has a part in the layer, and will be completed in the present head.
    pub fn mark_stale(&mut self) {
        self.is_stale = true;
    }

    /// Restarts the cut after the writes that had a part in its layer: the change that freezes the present head. None:
    /// the branch was deleted.
    pub fn restart(&mut self, tree: &Tree, hosts: BTreeSet<String>) -> Option<Change> {
        self.layer = tree.branch(&self.branch).ok()?.head;
        self.unquiesced_hosts = hosts;
        self.is_stale = false;
        Some(Change::HeadFrozen {
            branch: self.branch.clone(),
        })
    }

    /// What is to be done now.
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

/// The answer to a host that asks to complete a write in the present head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletionDecision {
    /// Whether it may: no snapshot was granted since the write began.
    pub is_granted: bool,
    /// The layers from that of the write up to the present head, without the head: pending cuts of these become stale.
    pub frozen_layers: BTreeSet<LayerId>,
}

/// Whether a write with parts in a layer may be completed in the present head. None: no branch is read through the
/// layer.
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
    let snapshot_between = tree
        .snapshots
        .values()
        .any(|snapshot| frozen_layers.contains(&snapshot.layer));
    Some(CompletionDecision {
        is_granted: !snapshot_between,
        frozen_layers,
    })
}
