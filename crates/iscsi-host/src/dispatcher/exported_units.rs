//! Logical units that clients see: volumes of the configuration, and their snapshots and clones.
use super::transfer::Transfer;
use super::volumes::{Volume, VolumeIndex};
use mallowseam_connection_policy::request_splitting::SubRequest;
use mallowseam_cow::tree::Tree;
use mallowseam_iscsi::scsi::{LogicalUnit, Sense};
use mallowseam_scheduler::interface::VolumeId;
use mallowseam_settings::GatewayConfig;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Separator between the branch and the snapshot's own name in the full name of a snapshot.
const SNAPSHOT_SEPARATOR: char = '@';

/// A logical unit.
#[derive(Clone)]
pub(super) struct ExportedUnit {
    /// Volume of the unit. A snapshot or clone has the volume that it descends from.
    pub(super) volume: VolumeIndex,
    pub(super) lun: u32,
    /// Block size in bytes.
    pub(super) block_size: u32,
    /// Branch or snapshot of the unit in the snapshot catalog; `None` if the volume is not mapped.
    pub(super) branch: Option<Rc<str>>,
    pub(super) writable: bool,
}

/// All logical units of the host.
pub(super) struct ExportedUnits {
    volumes: Vec<Volume>,
    /// Snapshots and clones by LUN.
    snapshots_and_clones: BTreeMap<u32, ExportedUnit>,
    /// Version of the tree from which `snapshots_and_clones` was derived; `None` if there was no tree yet.
    tree_version: Option<u64>,
    max_transfer_bytes: u64,
    /// Buffer for the parts of a transfer, reused to avoid allocations.
    sub_requests: Vec<SubRequest>,
}

impl ExportedUnits {
    /// Creates the units of the configured volumes, without snapshots and clones.
    pub(super) fn new(config: &GatewayConfig) -> Self {
        let catalog = config.catalog.clone().unwrap_or_default();
        let volumes = config
            .volumes
            .iter()
            .map(|volume| Volume::new(config, volume, catalog.extent_blocks));
        ExportedUnits {
            volumes: volumes.collect(),
            snapshots_and_clones: BTreeMap::new(),
            tree_version: None,
            max_transfer_bytes: config.host.max_transfer_bytes,
            sub_requests: Vec::new(),
        }
    }

    /// Returns a volume by its index in the configuration.
    pub(super) fn volume(&self, index: VolumeIndex) -> &Volume {
        &self.volumes[index]
    }

    /// Assigns a plan to each volume. `plans`: indices of the plans, in the order of the configured volumes.
    /// Returns the volumes whose plan has changed, with the index of the new plan.
    pub(super) fn apply_plans(&mut self, plans: &[usize]) -> Vec<(VolumeId, u16)> {
        let mut changed = Vec::new();
        for (index, (volume, plan)) in self.volumes.iter_mut().zip(plans).enumerate() {
            let plan = *plan as u16;
            if volume.change_plan(plan) {
                changed.push((VolumeId(index as u32), plan));
            }
        }
        changed
    }

    /// Returns the unit with a LUN.
    pub(super) fn find(&mut self, lun: u32, tree: Option<&Tree>) -> Option<ExportedUnit> {
        let mut volumes = self.volumes.iter().enumerate();
        if let Some((index, volume)) = volumes.find(|(_, volume)| volume.lun() == lun) {
            return Some(ExportedUnit {
                volume: index,
                lun,
                block_size: volume.block_size(),
                branch: volume.branch().cloned(),
                writable: true,
            });
        }
        self.update(tree);
        self.snapshots_and_clones.get(&lun).cloned()
    }

    /// Returns the LUNs of all units.
    pub(super) fn luns(&mut self, tree: Option<&Tree>) -> impl Iterator<Item = u32> {
        self.update(tree);
        let volumes = self.volumes.iter().map(Volume::lun);
        volumes.chain(self.snapshots_and_clones.keys().copied())
    }

    /// Returns the SCSI properties of a volume.
    pub(super) fn logical_unit(&self, volume: VolumeIndex) -> LogicalUnit<'_> {
        self.volumes[volume].logical_unit(self.max_transfer_bytes)
    }

    /// Checks a transfer against the bounds of the unit and the limits of the host. Returns the length of the
    /// transfer in bytes.
    ///
    /// # Errors
    /// The sense for the answer.
    pub(super) fn check_transfer(
        &self,
        unit: &ExportedUnit,
        transfer: &Transfer,
    ) -> Result<u64, Sense> {
        let volume = &self.volumes[unit.volume];
        if transfer.write && !unit.writable {
            return Err(Sense::WRITE_PROTECTED);
        }
        if !volume.contains(transfer.lba, transfer.blocks) {
            return Err(Sense::LBA_OUT_OF_RANGE);
        }
        let bytes = volume.bytes(transfer.blocks);
        if bytes > self.max_transfer_bytes {
            return Err(Sense::INVALID_FIELD_IN_CDB);
        }
        Ok(bytes)
    }

    /// Splits a transfer into block I/Os.
    ///
    /// # Errors
    /// The sense for the answer.
    pub(super) fn split(
        &mut self,
        unit: &ExportedUnit,
        transfer: &Transfer,
    ) -> Result<&[SubRequest], Sense> {
        let Transfer {
            write, lba, blocks, ..
        } = *transfer;
        self.volumes[unit.volume]
            .split(write, lba, blocks, &mut self.sub_requests)
            .map_err(|_| Sense::LBA_OUT_OF_RANGE)?;
        Ok(&self.sub_requests)
    }

    /// Updates the snapshots and clones, if the tree has changed.
    fn update(&mut self, tree: Option<&Tree>) {
        let Some(tree) = tree else { return };
        if self.tree_version != Some(tree.version) {
            self.tree_version = Some(tree.version);
            self.snapshots_and_clones = snapshots_and_clones(&self.volumes, tree);
        }
    }
}

fn snapshots_and_clones(volumes: &[Volume], tree: &Tree) -> BTreeMap<u32, ExportedUnit> {
    let unit = |volume: VolumeIndex, lun: u32, name: &str, writable: bool| ExportedUnit {
        volume,
        lun,
        block_size: volumes[volume].block_size(),
        branch: Some(name.into()),
        writable,
    };
    let snapshots = tree.snapshots.iter().filter_map(|(name, snapshot)| {
        let volume = volume_of(volumes, tree, &snapshot.branch)?;
        Some(unit(volume, snapshot.lun, name, false))
    });
    let branches = tree.branches.iter();
    let clones = branches.filter(|(_, branch)| branch.origin.is_some());
    let clones = clones.filter_map(|(name, branch)| {
        let volume = volume_of(volumes, tree, name)?;
        Some(unit(volume, branch.lun, name, true))
    });
    snapshots
        .chain(clones)
        .map(|unit| (unit.lun, unit))
        .collect()
}

/// Returns the volume that a branch descends from, directly or through clones of clones.
fn volume_of(volumes: &[Volume], tree: &Tree, branch: &str) -> Option<VolumeIndex> {
    let mut name = branch;
    // Each step leads to an ancestor branch, so there are at most as many steps as branches.
    for _ in 0..=tree.branches.len() {
        let volume = volumes
            .iter()
            .position(|volume| volume.branch().map(|branch| &**branch) == Some(name));
        if volume.is_some() {
            return volume;
        }
        let snapshot = tree.branches.get(name)?.origin.as_deref()?;
        name = snapshot.split(SNAPSHOT_SEPARATOR).next()?;
    }
    None
}
