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
    /// A place did not count: another came first, or the layer is frozen. News of it are on their way.
    NotPlaced {
        layer: LayerId,
        extent: u32,
    },
}
