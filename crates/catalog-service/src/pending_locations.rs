//! Pending locations: hosts were notified of them, and may not write to them yet.
#[cfg(test)]
mod tests;

use mallowseam_cow::Millis;
use mallowseam_cow::leases::HostLeases;
use mallowseam_cow::tree::{LayerId, Tree};

/// A new location of an extent, of which hosts were notified. It becomes writable once no host acts on an older
/// version.
pub(crate) struct PendingLocation {
    /// Version of the tree at which the extent got the location.
    pub(crate) version: u64,
    pub(crate) layer: LayerId,
    pub(crate) extent: u32,
}

/// All locations that are not writable yet.
pub(crate) struct PendingLocations {
    locations: Vec<PendingLocation>,
}

impl PendingLocations {
    /// Returns the locations in a stored tree that were not writable when the catalog stopped.
    pub(crate) fn from_tree(tree: &Tree) -> Self {
        let version = tree.version;
        let locations = tree.layers.iter().flat_map(|(layer, content)| {
            let extents = content.locations.keys();
            let pending = extents.filter(|extent| !content.writable.contains(extent));
            pending.map(|extent| PendingLocation {
                version,
                layer: *layer,
                extent: *extent,
            })
        });
        PendingLocations {
            locations: locations.collect(),
        }
    }

    /// Adds a location of which hosts are notified.
    pub(crate) fn add(&mut self, location: PendingLocation) {
        self.locations.push(location);
    }

    /// Removes and returns the locations that every host that may act has in its replica.
    pub(crate) fn take_effective(
        &mut self,
        leases: &HostLeases,
        now: Millis,
    ) -> Vec<PendingLocation> {
        self.locations
            .extract_if(.., |location| leases.is_effective(location.version, now))
            .collect()
    }
}
