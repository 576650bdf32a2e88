//! What hosts and catalog say to each other: one JSON object a line.
use crate::Millis;
use crate::tree::{Change, LayerId, Place, Tree};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToCatalog {
    /// Opens a connection. A host that says so has started anew on it: the whole tree follows.
    Hello {
        host: String,
    },
    /// Asks to go on; `sent` by the host's own clock.
    Renew {
        sent: Millis,
        seen: u64,
    },
    Seen {
        version: u64,
    },
    Numbers {
        layer: LayerId,
        count: u32,
    },
    /// No write of several parts is under way any more that may have a part in this layer.
    Clear {
        layer: LayerId,
    },
    /// A write has parts in this layer; the rest of it wants to go to the present head.
    Leave {
        layer: LayerId,
    },
    /// An extent has been copied to a place.
    Placed {
        layer: LayerId,
        extent: u32,
        place: Place,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToHost {
    Whole {
        tree: Box<Tree>,
    },
    Changed {
        version: u64,
        change: Change,
    },
    Lease {
        sent: Millis,
        span: Millis,
    },
    Numbers {
        layer: LayerId,
        first: u32,
        count: u32,
    },
    /// Say `Clear` of this layer as soon as it is so.
    AskClear {
        layer: LayerId,
        branch: String,
    },
    /// No cut of this branch is pending any more.
    Over {
        branch: String,
    },
    /// Whether a write with parts in this layer may be completed.
    Leave {
        layer: LayerId,
        given: bool,
    },
    /// A place did not count: another came first, or the layer is frozen. News of it are on their way.
    NotPlaced {
        layer: LayerId,
        extent: u32,
    },
}
