//! The stored data types of the tree. They are stored in files and sent between releases as JSON, so `serde(rename)`
//! keeps the stored names, and the order of the fields is fixed as well.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Id of a layer, which is also its LUN at the storage nodes.
pub type LayerId = u32;
/// A layer, and the index of an extent in it.
pub type LayerExtent = (LayerId, u32);
/// Id of the first layer. Smaller LUNs are reserved for statically placed volumes.
pub const FIRST_LAYER_ID: LayerId = 1024;
/// Largest id of a layer: LUNs have 24 bits (SAM-5), and none is used twice.
pub const LAST_LAYER_ID: LayerId = 0xff_ffff;

/// Location where an extent of a layer is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Location {
    /// Index of the storage node.
    pub node: u32,
    /// Slot in the layer's logical unit at that node, in extents from its first block.
    #[serde(rename = "number")]
    pub slot: u32,
}

/// The location of one extent of a layer, sent as a JSON array of the three fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u32, Location, bool)", into = "(u32, Location, bool)")]
pub struct ExtentLocation {
    /// Index of the extent.
    pub extent: u32,
    /// Location where the extent is stored.
    pub location: Location,
    /// Whether the extent may be written at the location, because every host reads it there by now.
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

/// A layer: a set of extent locations over a parent layer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Layer {
    /// Layer in which extents are found that have no location in this layer.
    pub parent: Option<LayerId>,
    /// Whether the layer takes no new locations any more.
    pub frozen: bool,
    /// Locations by extent.
    #[serde(rename = "places")]
    pub locations: BTreeMap<u32, Location>,
    /// Extents whose location may be written, because every host reads them there by now.
    #[serde(rename = "opened")]
    pub writable: BTreeSet<u32>,
    /// Next slot to allocate: all smaller slots have been allocated.
    #[serde(rename = "next_number")]
    pub next_slot: u32,
    /// Nodes that have closed the layer to writes.
    #[serde(rename = "closed")]
    pub closed_nodes: BTreeSet<u32>,
}

impl Layer {
    /// Gives an extent a location. Returns the location that it had before.
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

    /// Returns the locations of the layer, each with whether it may be written, in order of extents.
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
    /// Layer that takes the writes to the branch.
    pub head: LayerId,
    /// LUN by which clients access the branch. It stays the same through all cuts.
    #[serde(rename = "unit")]
    pub lun: u32,
    /// Size of the branch in extents.
    #[serde(rename = "extents")]
    pub extent_count: u32,
    /// Full name (`branch@name`) of the snapshot that a clone was created from. None: the branch is a volume.
    pub origin: Option<String>,
}

/// A snapshot: a frozen layer with a name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Name of the branch that the snapshot shows.
    pub branch: String,
    /// LUN by which clients read the snapshot.
    #[serde(rename = "unit")]
    pub lun: u32,
    /// Frozen layer through which the snapshot is read.
    pub layer: LayerId,
    /// Size of the snapshot in extents.
    #[serde(rename = "extents")]
    pub extent_count: u32,
}

/// The stored part of a [`Tree`](super::Tree), without the index that is derived from it.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct TreeData {
    /// Version of the tree: the number of changes applied so far.
    pub version: u64,
    /// All layers, by id.
    pub layers: BTreeMap<LayerId, Layer>,
    /// Volumes and clones, by name.
    pub branches: BTreeMap<String, Branch>,
    /// Snapshots, by full name (`branch@name`).
    pub snapshots: BTreeMap<String, Snapshot>,
    /// Number of layers created so far.
    #[serde(rename = "made")]
    pub layers_created: u32,
    /// Number of LUNs assigned so far to branches and snapshots.
    #[serde(rename = "units")]
    pub luns_assigned: u32,
}
