//! When a snapshot may be granted. A cut freezes the head in the tree first; then every node that holds a place
//! by which the snapshot is read closes its layer to writes. Granted is what all of them have closed within the
//! bound; what is not, fails and leaves no name. The frozen layer stays as it is: going on from it is always
//! safe, going back would open closed layers while late writes may be under way.
use crate::Millis;
use crate::tree::{Change, LayerId, Tree};
use std::collections::BTreeSet;

/// A snapshot is granted or fails within this: a node that is well closes a layer at once, and one that does
/// not answer for so long is not waited for by an auditor either.
pub const WITHIN: Millis = 5_000;

/// Why a snapshot failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failed {
    Refused(String),
    /// These nodes have not closed their layers in time.
    Unclosed(BTreeSet<u32>),
    /// These hosts have writes of several parts under way, or do not say that they have none.
    Unclear(BTreeSet<String>),
}

/// A snapshot that is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    pub branch: String,
    pub name: String,
    pub layer: LayerId,
    /// Hosts that have not said yet that no write of theirs lies half in the layer.
    unclear: BTreeSet<String>,
    /// A write lies half in the layer and is being completed behind it.
    stale: bool,
    until: Millis,
}

/// What is to be done for a cut now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Nodes still have to close these layers.
    Wait,
    /// Every host is through with what lay half in the layer: make the cut anew.
    Anew,
    Grant(Change),
    Fail(Failed),
}

impl Cut {
    /// Begins a cut: the change that freezes the head. The cut itself counts once that change is kept.
    /// `hosts`: those that may act.
    pub fn begin(
        tree: &Tree,
        branch: &str,
        name: &str,
        hosts: BTreeSet<String>,
        now: Millis,
    ) -> Result<(Change, Cut), Failed> {
        let refused = |r: crate::tree::Refused| Failed::Refused(r.to_string());
        let layer = tree.branch(branch).map_err(refused)?.head;
        // A name that cannot be granted is refused before anything is frozen.
        let wanted = Change::Named { branch: branch.into(), name: name.into(), layer };
        match tree.check(&wanted) {
            Ok(()) | Err(crate::tree::Refused::NotOpen(_)) => {}
            Err(r) => return Err(refused(r)),
        }
        let change = Change::Cut { branch: branch.to_owned() };
        tree.check(&change).map_err(refused)?;
        let (branch, name) = (branch.to_owned(), name.to_owned());
        let cut = Cut { branch, name, layer, unclear: hosts, stale: false, until: now + WITHIN };
        Ok((change, cut))
    }

    /// A host has said that it is clear of a layer.
    pub fn clear(&mut self, layer: LayerId, host: &str) {
        if self.layer == layer {
            self.unclear.remove(host);
        }
    }

    /// Hosts that are still to be heard. One that may not act any more will complete no write: it is let go.
    pub fn unclear(&mut self, holding: &BTreeSet<String>) -> &BTreeSet<String> {
        self.unclear.retain(|h| holding.contains(h));
        &self.unclear
    }

    /// A write lies half in the layer and will be completed in the head.
    pub fn behind(&mut self) {
        self.stale = true;
    }

    /// The cut is made anew, behind writes that lay half in its layer.
    pub fn anew(&mut self, tree: &Tree, hosts: BTreeSet<String>) -> Option<Change> {
        self.layer = tree.branch(&self.branch).ok()?.head;
        (self.unclear, self.stale) = (hosts, false);
        Some(Change::Cut { branch: self.branch.clone() })
    }

    pub fn turn(&self, tree: &Tree, now: Millis) -> Turn {
        if self.stale && now < self.until {
            return if self.unclear.is_empty() { Turn::Anew } else { Turn::Wait };
        }
        let open = tree.open_at(self.layer);
        if self.stale {
            return Turn::Fail(Failed::Unclear(self.unclear.clone()));
        }
        if open.is_empty() && !self.unclear.is_empty() {
            let late = now >= self.until;
            return if late { Turn::Fail(Failed::Unclear(self.unclear.clone())) } else { Turn::Wait };
        }
        if open.is_empty() {
            let (branch, name) = (self.branch.clone(), self.name.clone());
            let change = Change::Named { branch, name, layer: self.layer };
            return match tree.check(&change) {
                Ok(()) => Turn::Grant(change),
                Err(r) => Turn::Fail(Failed::Refused(r.to_string())),
            };
        }
        if now >= self.until {
            return Turn::Fail(Failed::Unclosed(open.into_values().flatten().collect()));
        }
        Turn::Wait
    }
}

/// Whether a write with parts in a layer may be completed in the present head: none, where no branch is read
/// by the layer; else whether no snapshot was granted in between, and the layers in between.
pub fn leave(tree: &Tree, layer: LayerId) -> Option<(bool, BTreeSet<LayerId>)> {
    let branch = tree.branches.values().find(|b| tree.chain(b.head).any(|l| l.0 == layer))?;
    let between: BTreeSet<LayerId> =
        tree.chain(branch.head).map(|l| l.0).filter(|l| *l != branch.head && *l >= layer).collect();
    let granted = tree.snapshots.values().any(|s| between.contains(&s.layer));
    Some((!granted, between))
}
