//! The settings from the configuration that the snapshot catalog uses while it runs.
use mallowseam_cow::Millis;
use mallowseam_cow::tree::Location;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::{Catalog, Volume};
use std::collections::BTreeSet;

const MICROS_PER_MILLI: u64 = 1000;

/// A volume of the configuration whose extents the catalog maps.
pub(crate) struct MappedVolume {
    pub(crate) name: String,
    pub(crate) extent_count: u32,
}

/// The settings of a running catalog service.
pub(crate) struct Settings {
    /// Size of an extent in blocks.
    extent_blocks: u64,
    mapped_volumes: Vec<MappedVolume>,
    /// Names of all volumes of the configuration.
    volume_names: BTreeSet<String>,
    /// Longest deadline of all I/O classes.
    max_write_duration: Millis,
}

impl Settings {
    /// Returns the settings of a configuration. `section`: its section `catalog`.
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
            volume_names: config
                .volumes
                .iter()
                .map(|volume| volume.name.clone())
                .collect(),
            max_write_duration: deadlines.max().unwrap_or(0),
        }
    }

    /// Returns the size of an extent in blocks.
    pub(crate) fn extent_blocks(&self) -> u64 {
        self.extent_blocks
    }

    /// Returns the first block and the number of blocks of a location.
    pub(crate) fn block_range(&self, location: Location) -> (u64, u32) {
        (
            u64::from(location.slot) * self.extent_blocks,
            self.extent_blocks as u32,
        )
    }

    /// Returns the volumes whose extents the catalog maps.
    pub(crate) fn mapped_volumes(&self) -> &[MappedVolume] {
        &self.mapped_volumes
    }

    /// Returns whether the configuration has a volume of this name.
    pub(crate) fn has_volume(&self, name: &str) -> bool {
        self.volume_names.contains(name)
    }

    /// Returns the longest time that a write of a host can take, which is the longest deadline of all I/O classes.
    pub(crate) fn max_write_duration(&self) -> Millis {
        self.max_write_duration
    }
}
