//! The messages between hosts and catalog: one JSON object a line. Hosts and catalog of different releases
//! exchange them, so `serde(rename)` keeps the names on the wire.
use crate::Millis;
use crate::tree::{Change, ExtentLocation, LayerId, Location, Tree};
use serde::{Deserialize, Serialize};

/// Id that no catalog has. A host whose replica contradicts the catalog sends it in its [`TreeVersion`], so that the
/// full tree follows.
pub const NO_CATALOG: u64 = 0;
/// Locations in one message: some tens of kilobytes, read between two block I/Os without a noticeable delay.
const LOCATIONS_PER_MESSAGE: usize = 1_000;

/// The tree of which a host has a replica. Sent as a JSON array of two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct TreeVersion {
    /// Id of the catalog, or [`NO_CATALOG`]: the trees of two catalogs have nothing in common.
    pub catalog_id: u64,
    /// Changes applied to it.
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
    /// Opens a connection. The changes that the host lacks follow, or the full tree.
    Hello {
        /// Name of the host.
        host: String,
        /// The version of its replica, if it has one.
        #[serde(rename = "have", default)]
        replica_version: Option<TreeVersion>,
    },
    /// Asks for a longer lease.
    #[serde(rename = "renew")]
    RenewLease {
        /// By the host's own clock, which the answer repeats.
        #[serde(rename = "sent")]
        sent_at: Millis,
        /// Version of the tree that the host acts on.
        #[serde(rename = "seen")]
        seen_version: u64,
    },
    /// The host acts on this version of the tree from now on.
    #[serde(rename = "seen")]
    Acknowledge {
        /// The version.
        version: u64,
    },
    /// Asks for slots, for the locations of first writes.
    #[serde(rename = "numbers")]
    AllocateSlots {
        /// The head layer that the slots are for.
        layer: LayerId,
        /// Number of slots.
        count: u32,
    },
    /// No write of several parts is in flight any more that may have a part in this layer.
    #[serde(rename = "clear")]
    Quiesced {
        /// The layer.
        layer: LayerId,
    },
    /// A write has parts in this layer. Asks whether the rest of it may go to the present head.
    #[serde(rename = "leave")]
    RequestCompletion {
        /// The oldest layer with a part of the write.
        layer: LayerId,
    },
    /// An extent has been copied to a location.
    #[serde(rename = "placed")]
    ProposeLocation {
        /// The head layer.
        layer: LayerId,
        /// The extent.
        extent: u32,
        /// Where the copy is.
        #[serde(rename = "place")]
        location: Location,
    },
}

/// A message from the catalog to a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToHost {
    /// Begins a full tree: without its locations, which follow in parts, then `FullTreeEnd`. Until then the host acts
    /// on the tree that it had before.
    #[serde(rename = "whole")]
    FullTree {
        /// Id of the catalog.
        #[serde(rename = "catalog")]
        catalog_id: u64,
        /// The tree without locations.
        tree: Box<Tree>,
    },
    /// Some locations of the tree that is being sent.
    #[serde(rename = "part")]
    Locations {
        /// The layer that they belong to.
        layer: LayerId,
        /// The locations.
        #[serde(rename = "lies")]
        locations: Vec<ExtentLocation>,
    },
    /// The full tree is complete.
    #[serde(rename = "filled")]
    FullTreeEnd,
    /// All changes that the host lacked have been sent.
    #[serde(rename = "going")]
    CaughtUp,
    /// The tree has changed.
    #[serde(rename = "changed")]
    TreeChanged {
        /// Version of the tree after the change.
        version: u64,
        /// The change.
        change: Change,
    },
    /// Extends the host's lease.
    #[serde(rename = "lease")]
    LeaseGranted {
        /// When the host sent its request, by its own clock.
        #[serde(rename = "sent")]
        sent_at: Millis,
        /// How long the lease lasts from then on.
        #[serde(rename = "span")]
        duration: Millis,
    },
    /// The host owns these slots of a layer.
    #[serde(rename = "numbers")]
    SlotsAllocated {
        /// The layer.
        layer: LayerId,
        /// The first slot.
        first: u32,
        /// Number of slots.
        count: u32,
    },
    /// Asks the host to begin no write of several parts on a branch, and to say `Quiesced` as soon as none in flight
    /// may have a part in the layer.
    #[serde(rename = "ask-clear")]
    Quiesce {
        /// The layer that was frozen.
        layer: LayerId,
        /// The branch.
        branch: String,
    },
    /// No cut of this branch is pending any more.
    #[serde(rename = "over")]
    CutFinished {
        /// The branch.
        branch: String,
    },
    /// Whether a write with parts in this layer may be completed in the present head.
    #[serde(rename = "leave")]
    CompletionDecision {
        /// The layer that the host asked for.
        layer: LayerId,
        /// Whether it may.
        #[serde(rename = "given")]
        granted: bool,
    },
    /// A location was not accepted: another host was first, or the layer is frozen. The change that says so follows.
    #[serde(rename = "not-placed")]
    LocationRejected {
        /// The layer.
        layer: LayerId,
        /// The extent.
        extent: u32,
    },
}

/// The messages that send a full tree to a host.
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
