//! Builds the descriptions of block I/Os that the scheduler takes.
use super::block_io::BlockIo;
use super::io_classes::IoClass;
use super::volumes::Volume;
use mallowseam_cow::tree::Location;
use mallowseam_scheduler::Interner;
use mallowseam_scheduler::interface::{Bio, BioId, KeyId, VolumeId};
use mallowseam_settings::GatewayConfig;

/// Ordering key within a logical unit.
#[derive(Clone, PartialEq, Eq, Hash)]
struct OrderingKey {
    /// LUN that the client has addressed; `None` for a copy step.
    lun: Option<u32>,
    key: u64,
}

/// Builds descriptions of block I/Os from the configuration.
pub(super) struct BioBuilder {
    /// Ordering keys that the scheduler refers to, each with a small index.
    ordering_keys: Interner<OrderingKey>,
    classes: Vec<IoClass>,
    /// Size of a unit of cost, in bytes.
    unit_bytes: u64,
    /// Shard of each node.
    node_shards: Vec<u32>,
}

impl BioBuilder {
    pub(super) fn new(config: &GatewayConfig) -> Self {
        BioBuilder {
            ordering_keys: Interner::default(),
            classes: config.io_classes.iter().map(IoClass::new).collect(),
            unit_bytes: config.fleet.unit_bytes,
            node_shards: config.nodes.iter().map(|node| node.shard).collect(),
        }
    }

    /// Builds the description of a block I/O.
    pub(super) fn build(&mut self, id: BioId, io: &BlockIo, volume: &Volume) -> Bio {
        let request = io.request();
        let lun = io.lun();
        let key = request
            .ordering_key
            .map(|key| KeyId(self.ordering_keys.intern(&OrderingKey { lun, key })));
        let shard = match (io.location(), io.copied_extent()) {
            (Some(to), _) => self.shard_of(to.location),
            // A new copy may be written to any node.
            (None, Some(_)) => None,
            (None, None) => Some(request.shard),
        };
        Bio {
            id,
            class: request.class,
            plan: volume.plan(),
            volume: VolumeId(io.volume() as u32),
            key,
            deadline: io.arrived() + self.class(io).deadline(),
            units: self.units(io, volume),
            shard,
            hosts: volume.host_count(),
        }
    }

    /// Returns the shard of a location's node, or `None` if the configuration lacks the node.
    pub(super) fn shard_of(&self, location: Location) -> Option<u32> {
        self.node_shards.get(location.node as usize).copied()
    }

    /// Returns the cost of a block I/O in units.
    pub(super) fn units(&self, io: &BlockIo, volume: &Volume) -> f64 {
        volume.units(io.request().blocks, self.unit_bytes)
    }

    /// Releases an ordering key that the scheduler no longer refers to.
    pub(super) fn release_key(&mut self, key: KeyId) {
        self.ordering_keys.release(key.0);
    }

    /// Returns the I/O class of a block I/O.
    pub(super) fn class(&self, io: &BlockIo) -> &IoClass {
        &self.classes[io.class()]
    }
}
