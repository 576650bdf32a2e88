//! Location of an extent of a mapped volume.
use mallowseam_cow::tree::{LayerId, Location};

/// Location of an extent, and the layer that the extent belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LayerLocation {
    pub(super) layer: LayerId,
    pub(super) location: Location,
}
