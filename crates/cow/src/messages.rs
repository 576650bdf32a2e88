//! The messages between hosts and the catalog: one JSON value per line. Hosts and catalogs of different releases
//! exchange them, so `serde(rename)` keeps the names on the wire.
use crate::Millis;
use crate::tree::{Change, ExtentLocation, LayerId, Location, Tree};
use serde::{Deserialize, Serialize};

/// Id that no catalog has. A host whose replica contradicts the catalog sends this id in its [`TreeVersion`], so that
/// the catalog sends the full tree.
pub const NO_CATALOG: u64 = 0;
/// Maximum number of locations in one message. A message of this size has some tens of kilobytes, and a host can read
/// it between two block I/Os without a noticeable delay.
const LOCATIONS_PER_MESSAGE: usize = 1_000;

/// The catalog and version of the tree of which a host has a replica, sent as a JSON array of the two numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct TreeVersion {
    /// Id of the catalog, or [`NO_CATALOG`]. The trees of two catalogs have nothing in common.
    pub catalog_id: u64,
    /// Version of the tree: the number of changes applied to it.
    pub version: u64,
}

impl From<(u64, u64)> for TreeVersion {
    fn from((catalog_id, version): (u64, u64)) -> TreeVersion {
        TreeVersion {
            catalog_id,
            version,
        }
    }
}

impl From<TreeVersion> for (u64, u64) {
    fn from(tree_version: TreeVersion) -> (u64, u64) {
        (tree_version.catalog_id, tree_version.version)
    }
}

/// A message from a host to the catalog.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToCatalog {
    /// Opens a connection. The catalog answers with the changes that the host lacks, or with the full tree.
    Hello {
        /// Name of the host.
        host: String,
        /// Version of the host's replica, if it has one.
        #[serde(rename = "have", default)]
        replica_version: Option<TreeVersion>,
    },
    /// Requests a renewal of the host's lease.
    #[serde(rename = "renew")]
    RenewLease {
        /// When the host sent the request, by its own clock. The answer repeats this time.
        #[serde(rename = "sent")]
        sent_at: Millis,
        /// Version of the tree that the host acts on.
        #[serde(rename = "seen")]
        seen_version: u64,
    },
    /// Reports that the host acts on a version of the tree from now on.
    #[serde(rename = "seen")]
    Acknowledge {
        /// Version of the tree.
        version: u64,
    },
    /// Requests slots for the locations of first writes.
    #[serde(rename = "numbers")]
    AllocateSlots {
        /// Head layer that the slots are for.
        layer: LayerId,
        /// Number of slots.
        count: u32,
    },
    /// Reports that the host has no split write in flight any more that may have a part in a layer.
    #[serde(rename = "clear")]
    Quiesced {
        /// Layer that was frozen by a cut.
        layer: LayerId,
    },
    /// Asks whether the remaining parts of a split write that has parts in a layer may go to the current head.
    #[serde(rename = "leave")]
    RequestCompletion {
        /// Oldest layer with a part of the write.
        layer: LayerId,
    },
    /// Reports that an extent has been copied to a location, and asks for that location to be accepted.
    #[serde(rename = "placed")]
    ProposeLocation {
        /// Head layer into which the extent was copied.
        layer: LayerId,
        /// Index of the extent.
        extent: u32,
        /// Location of the copy.
        #[serde(rename = "place")]
        location: Location,
    },
}

/// A message from the catalog to a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToHost {
    /// Begins a full tree. Its locations follow in messages of their own, then `FullTreeEnd`; until that one the host
    /// acts on the tree that it had before.
    #[serde(rename = "whole")]
    FullTree {
        /// Id of the catalog.
        #[serde(rename = "catalog")]
        catalog_id: u64,
        /// The tree without its locations.
        tree: Box<Tree>,
    },
    /// Sends some locations of one layer of a full tree.
    #[serde(rename = "part")]
    Locations {
        /// Layer that the locations belong to.
        layer: LayerId,
        /// Locations of the layer, with the extents that are stored there.
        #[serde(rename = "lies")]
        locations: Vec<ExtentLocation>,
    },
    /// Ends a full tree: all its locations have been sent.
    #[serde(rename = "filled")]
    FullTreeEnd,
    /// Reports that all changes that the host lacked have been sent.
    #[serde(rename = "going")]
    CaughtUp,
    /// Sends one change of the tree.
    #[serde(rename = "changed")]
    TreeChanged {
        /// Version of the tree after the change.
        version: u64,
        /// Change that leads to that version.
        change: Change,
    },
    /// Grants the host a lease.
    #[serde(rename = "lease")]
    LeaseGranted {
        /// When the host sent its request, by its own clock.
        #[serde(rename = "sent")]
        sent_at: Millis,
        /// Duration of the lease, which begins at `sent_at`.
        #[serde(rename = "span")]
        duration: Millis,
    },
    /// Allocates slots of a layer to the host.
    #[serde(rename = "numbers")]
    SlotsAllocated {
        /// Layer that the slots belong to.
        layer: LayerId,
        /// First of the slots.
        first: u32,
        /// Number of slots.
        count: u32,
    },
    /// Asks the host to begin no split write on a branch, and to send `Quiesced` as soon as no split write in flight
    /// may have a part in a layer.
    #[serde(rename = "ask-clear")]
    Quiesce {
        /// Layer that was frozen by a cut.
        layer: LayerId,
        /// Name of the branch.
        branch: String,
    },
    /// Reports that no cut of a branch is pending any more.
    #[serde(rename = "over")]
    CutFinished {
        /// Name of the branch.
        branch: String,
    },
    /// Decides whether a split write with parts in a layer may be completed in the current head.
    #[serde(rename = "leave")]
    CompletionDecision {
        /// Layer that the host named in its request.
        layer: LayerId,
        /// Whether the write may be completed.
        #[serde(rename = "given")]
        granted: bool,
    },
    /// Rejects the location that the host has proposed for an extent: another host was first, or the layer is frozen.
    /// The change from which the host learns which of the two holds follows.
    #[serde(rename = "not-placed")]
    LocationRejected {
        /// Layer of the proposed location.
        layer: LayerId,
        /// Index of the extent.
        extent: u32,
    },
}

/// Returns the messages that send a full tree to a host.
pub fn full_tree_messages(catalog_id: u64, tree: &Tree) -> impl Iterator<Item = ToHost> + '_ {
    let begin = ToHost::FullTree {
        catalog_id,
        tree: Box::new(tree.without_locations()),
    };
    let locations = tree.layers.iter().flat_map(|(layer_id, layer)| {
        let entries: Vec<ExtentLocation> = layer.extent_locations().collect();
        let message = |part: &[ExtentLocation]| ToHost::Locations {
            layer: *layer_id,
            locations: part.to_vec(),
        };
        entries
            .chunks(LOCATIONS_PER_MESSAGE)
            .map(message)
            .collect::<Vec<_>>()
    });
    std::iter::once(begin)
        .chain(locations)
        .chain([ToHost::FullTreeEnd])
}
