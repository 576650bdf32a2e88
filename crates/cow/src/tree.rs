//! Layers, branches and snapshots.
//!
//! A branch is what clients write to: a volume or a clone. Its head layer takes new places for extents; an
//! extent that the head lacks is found in the nearest layer above it. A cut freezes the head and puts a new one
//! under it. A layer is a logical unit of its own at every node (its number is the LUN), so that nodes can
//! close it to writes whole; places in it are numbered and no number is given out twice, so that no late write
//! of a copy that was given up can reach a place in use.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

pub type LayerId = u32;
/// First layer's number: LUNs below are left to static placements.
pub const FIRST_LAYER: LayerId = 1024;
/// LUNs of 24 bits, never used twice.
pub const LAYER_MOST: LayerId = 0xff_ffff;

/// Where an extent lies: a node, and which of the places of the layer's unit there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    pub node: u32,
    pub number: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layer {
    pub parent: Option<LayerId>,
    pub frozen: bool,
    pub places: BTreeMap<u32, Place>,
    /// Extents whose place may be written: every host reads them there by now.
    pub opened: BTreeSet<u32>,
    /// Numbers below have been given out.
    pub next_number: u32,
    /// Nodes that have closed it to writes.
    pub closed: BTreeSet<u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Branch {
    pub head: LayerId,
    /// The number of its unit for clients, the same through all cuts.
    pub unit: u32,
    pub extents: u32,
    /// The snapshot a clone was made of, as `branch@name`.
    pub origin: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    pub branch: String,
    pub unit: u32,
    pub layer: LayerId,
    pub extents: u32,
}

/// One numbered step from a tree to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A new, empty branch.
    Made {
        branch: String,
        extents: u32,
    },
    /// Numbers of a layer were given to a host.
    Numbers {
        layer: LayerId,
        first: u32,
        count: u32,
    },
    /// An extent has its place.
    Placed {
        layer: LayerId,
        extent: u32,
        place: Place,
    },
    /// The place of an extent may be written.
    Opened {
        layer: LayerId,
        extent: u32,
    },
    /// The head is frozen and has a new one under it.
    Cut {
        branch: String,
    },
    /// A node has closed a frozen layer to writes.
    Closed {
        layer: LayerId,
        node: u32,
    },
    /// A frozen layer has a name: the snapshot is granted.
    Named {
        branch: String,
        name: String,
        layer: LayerId,
    },
    Cloned {
        snapshot: String,
        branch: String,
    },
    /// The head is given up for a new one under a snapshot.
    RolledBack {
        branch: String,
        snapshot: String,
    },
    SnapshotDeleted {
        snapshot: String,
    },
    BranchDeleted {
        branch: String,
    },
    /// Places of a layer were given back by their nodes. Without places left, a layer that nothing is read by goes.
    Freed {
        layer: LayerId,
        extents: Vec<u32>,
    },
}

/// Why a change cannot be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    NoSuchBranch(String),
    NoSuchSnapshot(String),
    NameInUse(String),
    BadName(String),
    NoSuchLayer(LayerId),
    /// The layer takes no new places: it is frozen, or the extent has one.
    NotOpen(LayerId),
    /// Another place has come first.
    Taken(Place),
    OutOfRange,
    InUse(String),
    NoLayersLeft,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::NoSuchBranch(n) => write!(f, "`{n}`: no such volume or clone"),
            Refused::NoSuchSnapshot(n) => write!(f, "`{n}`: no such snapshot"),
            Refused::NameInUse(n) => write!(f, "`{n}`: the name is in use"),
            Refused::BadName(n) => write!(f, "`{n}`: expected 1 to 64 letters, digits and -_."),
            Refused::NoSuchLayer(l) => write!(f, "layer {l}: no such layer"),
            Refused::NotOpen(l) => write!(f, "layer {l}: takes no new places"),
            Refused::Taken(p) => write!(f, "the extent lies at node {}, place {}", p.node, p.number),
            Refused::OutOfRange => write!(f, "past the end"),
            Refused::InUse(n) => write!(f, "`{n}`: still in use"),
            Refused::NoLayersLeft => write!(f, "no layer numbers are left"),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tree {
    /// Changes made so far.
    pub version: u64,
    pub layers: BTreeMap<LayerId, Layer>,
    pub branches: BTreeMap<String, Branch>,
    /// By `branch@name`.
    pub snapshots: BTreeMap<String, Snapshot>,
    /// Layers and units made so far: numbers are not used again.
    made: u32,
    units: u32,
}

fn named(name: &str) -> Result<(), Refused> {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > 64 || !name.chars().all(fits) {
        return Err(Refused::BadName(name.to_owned()));
    }
    Ok(())
}

impl Tree {
    /// The number that the next new layer will have.
    fn next_layer(&self) -> Result<LayerId, Refused> {
        let id = FIRST_LAYER + self.made;
        if id > LAYER_MOST { Err(Refused::NoLayersLeft) } else { Ok(id) }
    }

    /// The number behind the last layer that was ever made.
    pub fn layers_made(&self) -> LayerId {
        FIRST_LAYER + self.made
    }

    pub fn branch(&self, name: &str) -> Result<&Branch, Refused> {
        self.branches.get(name).ok_or_else(|| Refused::NoSuchBranch(name.to_owned()))
    }

    pub fn snapshot(&self, name: &str) -> Result<&Snapshot, Refused> {
        self.snapshots.get(name).ok_or_else(|| Refused::NoSuchSnapshot(name.to_owned()))
    }

    fn layer(&self, id: LayerId) -> Result<&Layer, Refused> {
        self.layers.get(&id).ok_or(Refused::NoSuchLayer(id))
    }

    /// A layer and those above it, nearest first.
    pub fn chain(&self, from: LayerId) -> impl Iterator<Item = (LayerId, &Layer)> {
        let mut next = Some(from);
        std::iter::from_fn(move || {
            let id = next?;
            let layer = self.layers.get(&id)?;
            next = layer.parent;
            Some((id, layer))
        })
    }

    /// Where an extent is found by a layer; none: never written.
    pub fn find(&self, from: LayerId, extent: u32) -> Option<(LayerId, Place)> {
        self.chain(from).find_map(|(id, l)| l.places.get(&extent).map(|p| (id, *p)))
    }

    /// Nodes that hold places by which a layer is read and that may still take writes to them.
    pub fn open_at(&self, from: LayerId) -> BTreeMap<LayerId, BTreeSet<u32>> {
        let mut open = BTreeMap::new();
        for (id, layer) in self.chain(from) {
            let nodes: BTreeSet<u32> =
                layer.places.values().map(|p| p.node).filter(|n| !layer.closed.contains(n)).collect();
            if !nodes.is_empty() {
                open.insert(id, nodes);
            }
        }
        open
    }

    /// Whether a change can be made now.
    pub fn check(&self, change: &Change) -> Result<(), Refused> {
        match change {
            Change::Made { branch, .. } => {
                named(branch)?;
                self.free_name(branch)?;
                self.next_layer().map(drop)
            }
            Change::Numbers { layer, first, count } => {
                let l = self.layer(*layer)?;
                let end = first.checked_add(*count);
                if l.frozen || *first != l.next_number || end.is_none() {
                    return Err(Refused::NotOpen(*layer));
                }
                Ok(())
            }
            Change::Placed { layer, extent, place } => {
                let l = self.layer(*layer)?;
                if let Some(taken) = l.places.get(extent) {
                    return Err(Refused::Taken(*taken));
                }
                let owner = self.branches.values().find(|b| b.head == *layer);
                let owner = owner.ok_or(Refused::NotOpen(*layer))?;
                if *extent >= owner.extents || place.number >= l.next_number {
                    return Err(Refused::OutOfRange);
                }
                // What is copied must not change any more: its node has closed the layer above.
                if let Some((above, from)) = self.find(*layer, *extent)
                    && !self.layer(above)?.closed.contains(&from.node)
                {
                    return Err(Refused::NotOpen(above));
                }
                Ok(())
            }
            Change::Opened { layer, extent } => {
                let l = self.layer(*layer)?;
                if l.places.contains_key(extent) && !l.opened.contains(extent) {
                    Ok(())
                } else {
                    Err(Refused::NotOpen(*layer))
                }
            }
            Change::Cut { branch } => {
                self.branch(branch)?;
                self.next_layer().map(drop)
            }
            Change::Closed { layer, .. } => {
                if self.layer(*layer)?.frozen {
                    Ok(())
                } else {
                    Err(Refused::NotOpen(*layer))
                }
            }
            Change::Named { branch, name, layer } => {
                named(name)?;
                self.branch(branch)?;
                let full = format!("{branch}@{name}");
                if self.snapshots.contains_key(&full) {
                    return Err(Refused::NameInUse(full));
                }
                if !self.layer(*layer)?.frozen || !self.open_at(*layer).is_empty() {
                    return Err(Refused::NotOpen(*layer));
                }
                Ok(())
            }
            Change::Cloned { snapshot, branch } => {
                self.snapshot(snapshot)?;
                named(branch)?;
                self.free_name(branch)?;
                self.next_layer().map(drop)
            }
            Change::RolledBack { branch, snapshot } => {
                self.branch(branch)?;
                if self.snapshot(snapshot)?.branch != *branch {
                    return Err(Refused::NoSuchSnapshot(snapshot.clone()));
                }
                self.next_layer().map(drop)
            }
            Change::SnapshotDeleted { snapshot } => self.snapshot(snapshot).map(drop),
            Change::BranchDeleted { branch } => {
                self.branch(branch)?;
                match self.snapshots.iter().find(|s| s.1.branch == *branch) {
                    Some((name, _)) => Err(Refused::InUse(name.clone())),
                    None => Ok(()),
                }
            }
            Change::Freed { layer, extents } => {
                self.layer(*layer)?;
                let waste = self.waste();
                let free = waste.get(layer);
                let all = extents.iter().all(|e| free.is_some_and(|f| f.contains(e)));
                let whole = extents.is_empty() && free.is_some_and(BTreeSet::is_empty);
                if all && (whole || !extents.is_empty()) { Ok(()) } else { Err(Refused::NotOpen(*layer)) }
            }
        }
    }

    fn free_name(&self, branch: &str) -> Result<(), Refused> {
        if self.branches.contains_key(branch) {
            return Err(Refused::NameInUse(branch.to_owned()));
        }
        Ok(())
    }

    fn new_unit(&mut self) -> u32 {
        self.units += 1;
        FIRST_LAYER + self.units - 1
    }

    fn new_layer(&mut self, parent: Option<LayerId>) -> LayerId {
        let id = FIRST_LAYER + self.made;
        self.made += 1;
        self.layers.insert(id, Layer { parent, ..Layer::default() });
        id
    }

    /// Makes a change. Error, and nothing changed, where it cannot be made.
    pub fn apply(&mut self, change: &Change) -> Result<(), Refused> {
        self.check(change)?;
        self.version += 1;
        match change {
            Change::Made { branch, extents } => {
                let head = self.new_layer(None);
                let made = Branch { head, unit: self.new_unit(), extents: *extents, origin: None };
                self.branches.insert(branch.clone(), made);
            }
            Change::Numbers { layer, first, count } => {
                self.layers.get_mut(layer).expect("checked").next_number = first + count;
            }
            Change::Placed { layer, extent, place } => {
                self.layers.get_mut(layer).expect("checked").places.insert(*extent, *place);
            }
            Change::Opened { layer, extent } => {
                self.layers.get_mut(layer).expect("checked").opened.insert(*extent);
            }
            Change::Cut { branch } => {
                let old = self.branches[branch].head;
                let head = self.new_layer(Some(old));
                self.layers.get_mut(&old).expect("a head").frozen = true;
                self.branches.get_mut(branch).expect("checked").head = head;
            }
            Change::Closed { layer, node } => {
                self.layers.get_mut(layer).expect("checked").closed.insert(*node);
            }
            Change::Named { branch, name, layer } => {
                let extents = self.branches[branch].extents;
                let snapshot =
                    Snapshot { branch: branch.clone(), unit: self.new_unit(), layer: *layer, extents };
                self.snapshots.insert(format!("{branch}@{name}"), snapshot);
            }
            Change::Cloned { snapshot, branch } => {
                let Snapshot { layer, extents, .. } = self.snapshots[snapshot];
                let head = self.new_layer(Some(layer));
                let made = Branch { head, unit: self.new_unit(), extents, origin: Some(snapshot.clone()) };
                self.branches.insert(branch.clone(), made);
            }
            Change::RolledBack { branch, snapshot } => {
                let old = self.branches[branch].head;
                let head = self.new_layer(Some(self.snapshots[snapshot].layer));
                self.layers.get_mut(&old).expect("a head").frozen = true;
                self.branches.get_mut(branch).expect("checked").head = head;
            }
            Change::SnapshotDeleted { snapshot } => drop(self.snapshots.remove(snapshot)),
            Change::BranchDeleted { branch } => {
                let old = self.branches.remove(branch).expect("checked").head;
                self.layers.get_mut(&old).expect("a head").frozen = true;
            }
            Change::Freed { layer, extents } => {
                let l = self.layers.get_mut(layer).expect("checked");
                for extent in extents {
                    l.places.remove(extent);
                    l.opened.remove(extent);
                }
                if l.places.is_empty() && !self.roots().contains(layer) {
                    // What stands under it moves up.
                    let parent = self.layers.remove(layer).and_then(|l| l.parent);
                    let under = self.layers.values_mut().filter(|l| l.parent == Some(*layer));
                    under.for_each(|l| l.parent = parent);
                }
            }
        }
        Ok(())
    }

    /// Layers that branches and snapshots are read by.
    fn roots(&self) -> BTreeSet<LayerId> {
        let heads = self.branches.values().map(|b| b.head);
        heads.chain(self.snapshots.values().map(|s| s.layer)).collect()
    }

    /// Places that nobody can read any more, by layer. A layer with an empty set holds none and may go itself.
    pub fn waste(&self) -> BTreeMap<LayerId, BTreeSet<u32>> {
        self.waste_beside(&BTreeSet::new())
    }

    /// The same, with layers that may yet become snapshots kept as if they were.
    pub fn waste_beside(&self, kept: &BTreeSet<LayerId>) -> BTreeMap<LayerId, BTreeSet<u32>> {
        let mut roots = self.roots();
        roots.extend(kept.iter().filter(|k| self.layers.contains_key(k)));
        let mut read: BTreeSet<(LayerId, u32)> = BTreeSet::new();
        for root in &roots {
            // The nearest place of an extent hides those further up.
            let mut found: BTreeSet<u32> = BTreeSet::new();
            for (id, layer) in self.chain(*root) {
                read.extend(layer.places.keys().filter(|e| found.insert(**e)).map(|e| (id, *e)));
            }
        }
        let mut waste = BTreeMap::new();
        for (id, layer) in self.layers.iter().filter(|l| !roots.contains(l.0)) {
            let unread: BTreeSet<u32> =
                layer.places.keys().filter(|e| !read.contains(&(*id, **e))).copied().collect();
            if !unread.is_empty() || layer.places.is_empty() {
                waste.insert(*id, unread);
            }
        }
        waste
    }

    /// Extents in which two layers show different places.
    pub fn diff(&self, a: LayerId, b: LayerId, extents: u32) -> Vec<u32> {
        (0..extents).filter(|e| self.find(a, *e) != self.find(b, *e)).collect()
    }

    /// What does not fit together; empty for a sound tree.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut seen = BTreeSet::new();
        for (id, layer) in &self.layers {
            if layer.parent.is_some_and(|p| !self.layers.get(&p).is_some_and(|p| p.frozen)) {
                faults.push(format!("layer {id} stands under one that is gone or not frozen"));
            }
            if self.chain(*id).count() > self.layers.len() {
                faults.push(format!("layer {id} stands under itself"));
            }
            for (extent, place) in &layer.places {
                if place.number >= layer.next_number {
                    faults.push(format!("layer {id} extent {extent} lies at a number never given out"));
                }
                if !seen.insert((*id, place.node, place.number)) {
                    faults.push(format!("layer {id} extent {extent} shares its place"));
                }
            }
        }
        for (name, branch) in &self.branches {
            if self.layers.get(&branch.head).is_none_or(|l| l.frozen) {
                faults.push(format!("branch {name} has no open head"));
            }
        }
        for (name, snapshot) in &self.snapshots {
            if !self.layers.get(&snapshot.layer).is_some_and(|l| l.frozen) {
                faults.push(format!("snapshot {name} has no frozen layer"));
            } else if !self.open_at(snapshot.layer).is_empty() {
                faults.push(format!("snapshot {name} can still be written to"));
            }
        }
        faults
    }
}
