//! The stored data types of the tree. They are kept in files and sent between releases as JSON: `serde(rename)` keeps
//! the stored names, and the order of the fields is fixed as well.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of a layer, which is also its LUN at the storage nodes.
pub type LayerId = u32;
/// An extent in a layer, by index.
pub type LayerExtent = (LayerId, u32);
/// Id of the first layer: smaller LUNs are left to statically placed volumes.
pub const FIRST_LAYER_ID: LayerId = 1024;
/// Largest id of a layer: LUNs have 24 bits (SAM-5), and none is used twice.
pub const LAST_LAYER_ID: LayerId = 0xff_ffff;

/// Where an extent is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Location {
    /// Index of the storage node.
    pub node: u32,
    /// Slot in the layer's logical unit there, in extents from its first block.
    #[serde(rename = "number")]
    pub slot: u32,
}

/// The location of one extent of a layer. Sent as a JSON array of three.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, Location, bool)", into = "(u32, Location, bool)")]
pub struct ExtentLocation {
    /// Index of the extent.
    pub extent: u32,
    /// Where it is stored.
    pub location: Location,
    /// Whether it may be written there: every host reads it there by now.
    pub writable: bool,
}

impl From<(u32, Location, bool)> for ExtentLocation {
    fn from((extent, location, writable): (u32, Location, bool)) -> ExtentLocation {
        ExtentLocation {
            extent,
            location,
            writable,
        }
    }
}

impl From<ExtentLocation> for (u32, Location, bool) {
    fn from(entry: ExtentLocation) -> (u32, Location, bool) {
        (entry.extent, entry.location, entry.writable)
    }
}

/// A set of extent locations over a parent layer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layer {
    /// Where extents are found that have no location here.
    pub parent: Option<LayerId>,
    /// Takes no new locations any more.
    pub frozen: bool,
    /// Locations by extent.
    #[serde(rename = "places")]
    pub locations: BTreeMap<u32, Location>,
    /// Extents whose location may be written: every host reads them there by now.
    #[serde(rename = "opened")]
    pub writable: BTreeSet<u32>,
    /// All slots below have been allocated.
    #[serde(rename = "next_number")]
    pub next_slot: u32,
    /// Nodes that have closed the layer to writes.
    #[serde(rename = "closed")]
    pub closed_nodes: BTreeSet<u32>,
}

impl Layer {
    /// Gives an extent a location. Returns the one that it had.
    pub(super) fn place(&mut self, extent: u32, location: Location) -> Option<Location> {
        self.locations.insert(extent, location)
    }

    /// Allows writes to the location of an extent.
    pub(super) fn make_writable(&mut self, extent: u32) {
        self.writable.insert(extent);
    }

    /// Removes the location of an extent and returns it.
    pub(super) fn release(&mut self, extent: u32) -> Option<Location> {
        self.writable.remove(&extent);
        self.locations.remove(&extent)
    }

    /// The locations of the layer with whether they may be written, in order of extents.
    pub(crate) fn extent_locations(&self) -> impl Iterator<Item = ExtentLocation> + '_ {
        self.locations
            .iter()
            .map(|(extent, location)| ExtentLocation {
                extent: *extent,
                location: *location,
                writable: self.writable.contains(extent),
            })
    }
}

/// A volume or a clone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Branch {
    /// The layer that takes its writes.
    pub head: LayerId,
    /// LUN by which clients reach it, the same through all cuts.
    #[serde(rename = "unit")]
    pub lun: u32,
    /// Size in extents.
    #[serde(rename = "extents")]
    pub extent_count: u32,
    /// The snapshot that a clone was created from, as `branch@name`.
    pub origin: Option<String>,
}

/// A frozen layer with a name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The branch that it shows.
    pub branch: String,
    /// LUN by which clients read it.
    #[serde(rename = "unit")]
    pub lun: u32,
    /// The frozen layer through which it is read.
    pub layer: LayerId,
    /// Size in extents.
    #[serde(rename = "extents")]
    pub extent_count: u32,
}

/// The stored part of a [`Tree`](super::Tree), without what follows from it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct TreeData {
    /// Changes applied so far.
    pub version: u64,
    /// All layers, by id.
    pub layers: BTreeMap<LayerId, Layer>,
    /// Volumes and clones, by name.
    pub branches: BTreeMap<String, Branch>,
    /// Snapshots, by `branch@name`.
    pub snapshots: BTreeMap<String, Snapshot>,
    /// Layers created so far.
    #[serde(rename = "made")]
    pub layers_created: u32,
    /// LUNs assigned so far to branches and snapshots.
    #[serde(rename = "units")]
    pub luns_assigned: u32,
}
