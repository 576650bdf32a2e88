//! Volumes of the configuration.
use crate::scheduler_config::{mapped_layout, volume_layout};
use mallowseam_connection_policy::request_splitting::{OutsideLayout, SubRequest, VolumeLayout};
use mallowseam_iscsi::scsi::LogicalUnit;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config;
use std::rc::Rc;

/// Index of a volume in the configuration.
pub(super) type VolumeIndex = usize;

/// A volume of the configuration.
pub(super) struct Volume {
    name: String,
    /// Index of its plan.
    plan: u16,
    lun: u32,
    block_count: u64,
    /// Bytes of a block.
    block_size: u32,
    /// Number of hosts through which it is used.
    host_count: u32,
    layout: VolumeLayout,
    /// Its branch in the snapshot catalog, where that knows the locations of its extents.
    branch: Option<Rc<str>>,
}

impl Volume {
    /// A volume of this configuration. `extent_blocks`: blocks of an extent of mapped volumes.
    pub(super) fn new(
        config: &GatewayConfig,
        volume: &config::Volume,
        extent_blocks: u64,
    ) -> Volume {
        let layout = if volume.mapped {
            mapped_layout(volume, extent_blocks)
        } else {
            volume_layout(config, volume)
        };
        Volume {
            name: volume.name.clone(),
            plan: volume.plan as u16,
            lun: volume.lun.into(),
            block_count: volume.block_count,
            block_size: volume.block_size,
            host_count: volume.host_count,
            layout,
            branch: volume.mapped.then(|| volume.name.as_str().into()),
        }
    }

    pub(super) fn lun(&self) -> u32 {
        self.lun
    }

    /// Index of its plan.
    pub(super) fn plan(&self) -> u16 {
        self.plan
    }

    /// Gives it another plan. False: it had this one.
    pub(super) fn change_plan(&mut self, plan: u16) -> bool {
        std::mem::replace(&mut self.plan, plan) != plan
    }

    /// Number of hosts through which it is used.
    pub(super) fn host_count(&self) -> u32 {
        self.host_count
    }

    /// Its branch in the snapshot catalog; none: its locations are those of the configuration.
    pub(super) fn branch(&self) -> Option<&Rc<str>> {
        self.branch.as_ref()
    }

    /// Bytes of a block.
    pub(super) fn block_size(&self) -> u32 {
        self.block_size
    }

    /// Bytes of this many blocks.
    pub(super) fn bytes(&self, blocks: u32) -> u64 {
        u64::from(blocks) * u64::from(self.block_size)
    }

    /// Units that this many blocks cost. `unit_bytes`: bytes of a unit.
    pub(super) fn units(&self, blocks: u32, unit_bytes: u64) -> f64 {
        self.bytes(blocks).div_ceil(unit_bytes) as f64
    }

    /// Whether it has these blocks.
    pub(super) fn contains(&self, lba: u64, blocks: u32) -> bool {
        lba.checked_add(blocks.into())
            .is_some_and(|end| end <= self.block_count)
    }

    /// Splits a transfer into block I/Os, in the order of its blocks.
    pub(super) fn split(
        &self,
        write: bool,
        lba: u64,
        blocks: u32,
        sub_requests: &mut Vec<SubRequest>,
    ) -> Result<(), OutsideLayout> {
        self.layout.split(write, lba, blocks, sub_requests)
    }

    /// The volume as a client's initiator sees it.
    pub(super) fn logical_unit(&self, max_transfer_bytes: u64) -> LogicalUnit<'_> {
        let max_transfer_blocks = max_transfer_bytes / u64::from(self.block_size);
        LogicalUnit {
            blocks: self.block_count,
            block_size: self.block_size,
            product: &self.name,
            serial: &self.name,
            max_transfer_blocks: max_transfer_blocks.min(u64::from(u32::MAX)) as u32,
        }
    }
}
