//! Layers, branches and snapshots.
//!
//! A branch is what clients write to: a volume or a clone. Its head layer takes new places for extents; an
//! extent that the head lacks is found in the nearest layer above it. A cut freezes the head and puts a new one
//! under it. A layer is a logical unit of its own at every node (its number is the LUN), so that nodes can
//! close it to writes whole; places in it are numbered and no number is given out twice, so that no late write
//! of a copy that was given up can reach a place in use.
use crate::index::Index;
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

/// What a tree is made of, as it is written down.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Plain {
    /// Changes made so far.
    pub version: u64,
    pub layers: BTreeMap<LayerId, Layer>,
    pub branches: BTreeMap<String, Branch>,
    /// By `branch@name`.
    pub snapshots: BTreeMap<String, Snapshot>,
    /// Layers and units made so far: numbers are not used again.
    pub made: u32,
    pub units: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Plain")]
pub struct Tree {
    /// Changes made so far.
    pub version: u64,
    pub layers: BTreeMap<LayerId, Layer>,
    pub branches: BTreeMap<String, Branch>,
    /// By `branch@name`.
    pub snapshots: BTreeMap<String, Snapshot>,
    made: u32,
    units: u32,
    #[serde(skip)]
    index: Index,
}

impl From<Plain> for Tree {
    fn from(plain: Plain) -> Tree {
        let Plain { version, layers, branches, snapshots, made, units } = plain;
        let index = Index::of(&layers, branches.values(), snapshots.values());
        Tree { version, layers, branches, snapshots, made, units, index }
    }
}

/// An extent's place and whether it may be written, as it is sent and stored.
pub type Lies = (u32, Place, bool);

/// What a change has altered: a store writes these again as they stand now, or drops what is gone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Touched {
    pub layers: BTreeSet<LayerId>,
    pub places: Vec<(LayerId, u32)>,
    pub branches: Vec<String>,
    pub snapshots: Vec<String>,
    /// A layer that a name was read by, and is no more.
    pub loosened: Option<LayerId>,
    /// An extent has a place now that hides what lies above.
    pub placed: Option<(LayerId, u32)>,
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

    /// Layers and units made so far.
    pub fn made(&self) -> (u32, u32) {
        (self.made, self.units)
    }

    /// The tree without its places, which `fill` puts in.
    pub fn bare(&self) -> Tree {
        let empty = |l: &Layer| Layer {
            parent: l.parent,
            frozen: l.frozen,
            next_number: l.next_number,
            closed: l.closed.clone(),
            ..Layer::default()
        };
        let layers = self.layers.iter().map(|(id, l)| (*id, empty(l))).collect();
        let (branches, snapshots) = (self.branches.clone(), self.snapshots.clone());
        let (version, made, units) = (self.version, self.made, self.units);
        Plain { version, layers, branches, snapshots, made, units }.into()
    }

    /// Puts places into a bare tree. False: there is no such layer.
    pub fn fill(&mut self, layer: LayerId, lies: &[Lies]) -> bool {
        let Some(l) = self.layers.get_mut(&layer) else { return false };
        for (extent, place, opened) in lies {
            if l.places.insert(*extent, *place).is_none() {
                self.index.placed(layer, place.node);
            }
            if *opened {
                l.opened.insert(*extent);
            }
        }
        true
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
            let nodes: BTreeSet<u32> = self.unclosed(id, layer).collect();
            if !nodes.is_empty() {
                open.insert(id, nodes);
            }
        }
        open
    }

    /// Nodes that hold places of a layer and have not closed it.
    fn unclosed<'a>(&'a self, id: LayerId, layer: &'a Layer) -> impl Iterator<Item = u32> + 'a {
        self.index.nodes(id).filter(|n| !layer.closed.contains(n))
    }

    /// Layers and nodes that have to be closed: of every frozen layer, whoever reads by it. Until they are, no
    /// extent can be copied from there.
    pub fn to_close(&self) -> impl Iterator<Item = (LayerId, u32)> + '_ {
        let frozen = self.layers.iter().filter(|l| l.1.frozen);
        frozen.flat_map(|(id, l)| self.unclosed(*id, l).map(|n| (*id, n)))
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
                let none = BTreeSet::new();
                let free = |e: &u32| self.unread(*layer, *e, &none);
                let fits = if extents.is_empty() { self.is_idle(*layer) } else { extents.iter().all(free) };
                if fits { Ok(()) } else { Err(Refused::NotOpen(*layer)) }
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

    fn new_layer(&mut self, parent: Option<LayerId>, touched: &mut Touched) -> LayerId {
        let id = FIRST_LAYER + self.made;
        self.made += 1;
        self.layers.insert(id, Layer { parent, ..Layer::default() });
        self.index.made(id, parent);
        touched.layers.insert(id);
        id
    }

    /// A branch has a new head under a layer; the old one, if any, is frozen.
    fn new_head(&mut self, branch: &str, parent: Option<LayerId>, touched: &mut Touched) -> Option<LayerId> {
        let head = self.new_layer(parent, touched);
        self.index.name(head);
        touched.branches.push(branch.to_owned());
        let old = std::mem::replace(&mut self.branches.get_mut(branch)?.head, head);
        self.freeze(old, touched);
        Some(old)
    }

    fn freeze(&mut self, old: LayerId, touched: &mut Touched) {
        self.layers.get_mut(&old).expect("a head").frozen = true;
        self.index.unname(old);
        touched.layers.insert(old);
    }

    fn new_branch(
        &mut self,
        name: &str,
        under: Option<LayerId>,
        extents: u32,
        origin: Option<String>,
    ) -> Touched {
        let mut touched = Touched::default();
        let head = self.new_layer(under, &mut touched);
        self.index.name(head);
        touched.branches.push(name.to_owned());
        let made = Branch { head, unit: self.new_unit(), extents, origin };
        self.branches.insert(name.to_owned(), made);
        touched
    }

    /// Makes a change; what it has altered. Error, and nothing changed, where it cannot be made.
    pub fn apply(&mut self, change: &Change) -> Result<Touched, Refused> {
        self.check(change)?;
        self.version += 1;
        let mut touched = Touched::default();
        match change {
            Change::Made { branch, extents } => touched = self.new_branch(branch, None, *extents, None),
            Change::Numbers { layer, first, count } => {
                self.layers.get_mut(layer).expect("checked").next_number = first + count;
                touched.layers.insert(*layer);
            }
            Change::Placed { layer, extent, place } => {
                self.layers.get_mut(layer).expect("checked").places.insert(*extent, *place);
                self.index.placed(*layer, place.node);
                touched.places.push((*layer, *extent));
                touched.placed = Some((*layer, *extent));
            }
            Change::Opened { layer, extent } => {
                self.layers.get_mut(layer).expect("checked").opened.insert(*extent);
                touched.places.push((*layer, *extent));
            }
            Change::Cut { branch } => {
                let old = self.branches[branch].head;
                self.new_head(branch, Some(old), &mut touched);
            }
            Change::Closed { layer, node } => {
                self.layers.get_mut(layer).expect("checked").closed.insert(*node);
                touched.layers.insert(*layer);
            }
            Change::Named { branch, name, layer } => {
                let extents = self.branches[branch].extents;
                let snapshot =
                    Snapshot { branch: branch.clone(), unit: self.new_unit(), layer: *layer, extents };
                self.index.name(*layer);
                let full = format!("{branch}@{name}");
                touched.snapshots.push(full.clone());
                self.snapshots.insert(full, snapshot);
            }
            Change::Cloned { snapshot, branch } => {
                let Snapshot { layer, extents, .. } = self.snapshots[snapshot];
                touched = self.new_branch(branch, Some(layer), extents, Some(snapshot.clone()));
            }
            Change::RolledBack { branch, snapshot } => {
                let under = self.snapshots[snapshot].layer;
                touched.loosened = self.new_head(branch, Some(under), &mut touched);
            }
            Change::SnapshotDeleted { snapshot } => {
                let layer = self.snapshots.remove(snapshot).expect("checked").layer;
                self.index.unname(layer);
                touched.layers.insert(layer);
                touched.snapshots.push(snapshot.clone());
                touched.loosened = Some(layer);
            }
            Change::BranchDeleted { branch } => {
                let old = self.branches.remove(branch).expect("checked").head;
                self.freeze(old, &mut touched);
                touched.branches.push(branch.clone());
                touched.loosened = Some(old);
            }
            Change::Freed { layer, extents } => {
                let l = self.layers.get_mut(layer).expect("checked");
                for extent in extents {
                    if let Some(place) = l.places.remove(extent) {
                        self.index.freed(*layer, place.node);
                    }
                    l.opened.remove(extent);
                    touched.places.push((*layer, *extent));
                }
                if l.places.is_empty() && !self.index.is_named(*layer) {
                    // What stands under it moves up.
                    let parent = self.layers.remove(layer).and_then(|l| l.parent);
                    touched.layers.insert(*layer);
                    for under in self.index.gone(*layer, parent) {
                        self.layers.get_mut(&under).expect("indexed").parent = parent;
                        touched.layers.insert(under);
                    }
                }
            }
        }
        Ok(touched)
    }

    /// Whether a branch or a snapshot is read by a layer.
    pub fn is_root(&self, layer: LayerId) -> bool {
        self.index.is_named(layer)
    }

    /// Whether a layer holds nothing and nobody is read by it: it may go itself.
    pub fn is_idle(&self, layer: LayerId) -> bool {
        !self.is_root(layer) && self.layers.get(&layer).is_some_and(|l| l.places.is_empty())
    }

    /// Whether an extent's place in a layer is there and nobody can read it. `kept`: layers that may yet
    /// become snapshots, as if they were.
    pub fn unread(&self, layer: LayerId, extent: u32, kept: &BTreeSet<LayerId>) -> bool {
        let read_by = |l: LayerId| self.is_root(l) || kept.contains(&l);
        let holds = |l: LayerId| self.layers.get(&l).is_some_and(|l| l.places.contains_key(&extent));
        if !holds(layer) || read_by(layer) {
            return false;
        }
        let mut below: Vec<LayerId> = self.index.under(layer).collect();
        while let Some(l) = below.pop() {
            // The nearest place of an extent hides those further up.
            if holds(l) {
                continue;
            }
            if read_by(l) {
                return false;
            }
            below.extend(self.index.under(l));
        }
        true
    }

    /// Places that nobody can read any more, by layer. A layer with an empty set holds none and may go itself.
    pub fn waste(&self) -> BTreeMap<LayerId, BTreeSet<u32>> {
        let none = BTreeSet::new();
        let mut waste = BTreeMap::new();
        for (id, layer) in self.layers.iter().filter(|l| !self.is_root(*l.0)) {
            let unread: BTreeSet<u32> =
                layer.places.keys().filter(|e| self.unread(*id, **e, &none)).copied().collect();
            if !unread.is_empty() || layer.places.is_empty() {
                waste.insert(*id, unread);
            }
        }
        waste
    }

    /// What a change may have made waste: places that nobody reads any more, in the order found.
    pub fn newly_unread(&self, touched: &Touched) -> Vec<(LayerId, u32)> {
        let none = BTreeSet::new();
        let mut found = Vec::new();
        if let Some((layer, extent)) = touched.placed
            && let Some(parent) = self.layers.get(&layer).and_then(|l| l.parent)
            && let Some((above, _)) = self.find(parent, extent)
            && self.unread(above, extent, &none)
        {
            found.push((above, extent));
        }
        if let Some(from) = touched.loosened {
            // What is seen by way of a layer that a name is read by is read by that name as well.
            for (id, layer) in self.chain(from).take_while(|l| !self.is_root(l.0)) {
                found.extend(layer.places.keys().filter(|e| self.unread(id, **e, &none)).map(|e| (id, *e)));
            }
        }
        found
    }

    /// Extents in which two layers show different places.
    pub fn diff(&self, a: LayerId, b: LayerId, extents: u32) -> Vec<u32> {
        (0..extents).filter(|e| self.find(a, *e) != self.find(b, *e)).collect()
    }

    /// What does not fit together; empty for a sound tree.
    pub fn faults(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut seen = BTreeSet::new();
        if self.index != Index::of(&self.layers, self.branches.values(), self.snapshots.values()) {
            faults.push("what is kept beside the layers does not follow from them".to_owned());
        }
        for (id, layer) in &self.layers {
            if layer.parent.is_some_and(|p| !self.layers.get(&p).is_some_and(|p| p.frozen)) {
                faults.push(format!("layer {id} stands under one that is gone or not frozen"));
            }
            // Parents are made first, so that no layer can stand under itself.
            if layer.parent.is_some_and(|p| p >= *id) {
                faults.push(format!("layer {id} stands under a later one"));
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
