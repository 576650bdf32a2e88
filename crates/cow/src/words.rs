//! What hosts and catalog say to each other: one JSON object a line.
use crate::Millis;
use crate::tree::{Change, LayerId, Lies, Place, Tree};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ToCatalog {
    /// Opens a connection, with the tree that the host holds, if any: of which catalog, up to which change.
    /// What it lacks follows, or the whole tree.
    Hello {
        host: String,
        #[serde(default)]
        have: Option<(u64, u64)>,
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
    /// The tree of a catalog, without its places: those follow in parts, then `Filled`. Until then what the
    /// host held before counts.
    Whole {
        catalog: u64,
        tree: Box<Tree>,
    },
    Part {
        layer: LayerId,
        lies: Vec<Lies>,
    },
    Filled,
    /// What the host lacks follows change by change.
    Going,
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

/// Places in one `Part`: some tens of kilobytes, read between two block I/Os without either being noticed.
const PART: usize = 1_000;

/// The words by which a host is told a whole tree.
pub fn whole(catalog: u64, tree: &Tree) -> impl Iterator<Item = ToHost> + '_ {
    let parts = tree.layers.iter().flat_map(|(layer, l)| {
        let lies: Vec<Lies> = l.places.iter().map(|(e, p)| (*e, *p, l.opened.contains(e))).collect();
        let part = |lies: &[Lies]| ToHost::Part { layer: *layer, lies: lies.to_vec() };
        lies.chunks(PART).map(part).collect::<Vec<_>>()
    });
    let first = ToHost::Whole { catalog, tree: Box::new(tree.bare()) };
    std::iter::once(first).chain(parts).chain([ToHost::Filled])
}
