//! Where an extent of a mapped volume is.
use mallowseam_cow::tree::{LayerId, Location};

/// The location of an extent, and the layer that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct LayerLocation {
    pub(super) layer: LayerId,
    pub(super) location: Location,
}
