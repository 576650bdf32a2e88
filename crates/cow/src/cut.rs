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
}

/// A snapshot that is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    pub branch: String,
    pub name: String,
    pub layer: LayerId,
    until: Millis,
}

/// What is to be done for a cut now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Turn {
    /// Nodes still have to close these layers.
    Wait,
    Grant(Change),
    Fail(Failed),
}

impl Cut {
    /// Begins a cut: the change that freezes the head. The cut itself counts once that change is kept.
    pub fn begin(tree: &Tree, branch: &str, name: &str, now: Millis) -> Result<(Change, Cut), Failed> {
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
        let cut = Cut { branch: branch.into(), name: name.into(), layer, until: now + WITHIN };
        Ok((change, cut))
    }

    pub fn turn(&self, tree: &Tree, now: Millis) -> Turn {
        let open = tree.open_at(self.layer);
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

/// Layers and nodes that have to be closed: of every frozen layer, whoever reads by it. Until they are, no
/// extent can be copied from there.
pub fn to_close(tree: &Tree) -> Vec<(LayerId, u32)> {
    let open = |(id, l): (&LayerId, &crate::tree::Layer)| {
        let id = *id;
        let nodes: BTreeSet<u32> =
            l.places.values().map(|p| p.node).filter(|n| !l.closed.contains(n)).collect();
        nodes.into_iter().map(move |n| (id, n))
    };
    tree.layers.iter().filter(|l| l.1.frozen).flat_map(open).collect()
}
