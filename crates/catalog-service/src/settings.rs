//! What the snapshot catalog takes from the configuration and uses while it runs.
use mallowseam_cow::Millis;
use mallowseam_cow::tree::Location;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::{Catalog, Volume};
use std::collections::BTreeSet;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1000;

/// A volume of the configuration whose extents the catalog maps.
pub(crate) struct MappedVolume {
    pub(crate) name: String,
    pub(crate) extent_count: u32,
}

/// The settings of a running catalog.
pub(crate) struct Settings {
    /// Blocks of an extent.
    extent_blocks: u64,
    mapped_volumes: Vec<MappedVolume>,
    /// Names of all volumes of the configuration.
    volumes: BTreeSet<String>,
    longest_write: Millis,
}

impl Settings {
    /// The settings of a configuration with its section of the catalog.
    pub(crate) fn new(config: &GatewayConfig, section: &Catalog) -> Self {
        let mapped = |volume: &Volume| MappedVolume {
            name: volume.name.clone(),
            extent_count: (volume.block_count / section.extent_blocks) as u32,
        };
        let deadlines = config
            .io_classes
            .iter()
            .map(|class| class.deadline / MICROS_PER_MILLI);
        Settings {
            extent_blocks: section.extent_blocks,
            mapped_volumes: config
                .volumes
                .iter()
                .filter(|volume| volume.mapped)
                .map(mapped)
                .collect(),
            volumes: config
                .volumes
                .iter()
                .map(|volume| volume.name.clone())
                .collect(),
            longest_write: deadlines.max().unwrap_or(0),
        }
    }

    /// Blocks of an extent.
    pub(crate) fn extent_blocks(&self) -> u64 {
        self.extent_blocks
    }

    /// First block and number of blocks of a location.
    pub(crate) fn blocks_of(&self, location: Location) -> (u64, u32) {
        (
            u64::from(location.slot) * self.extent_blocks,
            self.extent_blocks as u32,
        )
    }

    /// The volumes whose extents the catalog maps.
    pub(crate) fn mapped_volumes(&self) -> &[MappedVolume] {
        &self.mapped_volumes
    }

    /// Whether the configuration has a volume of this name.
    pub(crate) fn has_volume(&self, name: &str) -> bool {
        self.volumes.contains(name)
    }

    /// Longest time that a write of a host can take: the longest deadline of all I/O classes.
    pub(crate) fn longest_write(&self) -> Millis {
        self.longest_write
    }
}
