//! Configured volumes.
use crate::scheduler_config::{mapped_layout, volume_layout};
use mallowseam_connection_policy::request_splitting::{OutsideLayout, SubRequest, VolumeLayout};
use mallowseam_iscsi::scsi::LogicalUnit;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config;
use std::rc::Rc;

/// Index of a volume in the configuration.
pub(super) type VolumeIndex = usize;

/// A configured volume.
pub(super) struct Volume {
    name: String,
    /// Index of the volume's plan.
    plan: u16,
    lun: u32,
    block_count: u64,
    /// Block size in bytes.
    block_size: u32,
    /// Number of hosts that serve the volume.
    host_count: u32,
    layout: VolumeLayout,
    /// Branch of the volume in the snapshot catalog; `None` if the volume is not mapped.
    branch: Option<Rc<str>>,
}

impl Volume {
    /// Creates a configured volume. `extent_blocks`: number of blocks of an extent of mapped volumes.
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

    /// Returns the index of the volume's plan.
    pub(super) fn plan(&self) -> u16 {
        self.plan
    }

    /// Assigns a plan. Returns whether the plan has changed.
    pub(super) fn change_plan(&mut self, plan: u16) -> bool {
        std::mem::replace(&mut self.plan, plan) != plan
    }

    /// Returns the number of hosts that serve the volume.
    pub(super) fn host_count(&self) -> u32 {
        self.host_count
    }

    /// Returns the branch in the snapshot catalog, or `None` if the configuration has the volume's locations.
    pub(super) fn branch(&self) -> Option<&Rc<str>> {
        self.branch.as_ref()
    }

    /// Returns the block size in bytes.
    pub(super) fn block_size(&self) -> u32 {
        self.block_size
    }

    /// Returns the length of a number of blocks in bytes.
    pub(super) fn bytes(&self, blocks: u32) -> u64 {
        u64::from(blocks) * u64::from(self.block_size)
    }

    /// Returns the cost of a number of blocks in units. `unit_bytes`: size of a unit in bytes.
    pub(super) fn units(&self, blocks: u32, unit_bytes: u64) -> f64 {
        self.bytes(blocks).div_ceil(unit_bytes) as f64
    }

    /// Returns whether a range of blocks lies within the volume.
    pub(super) fn contains(&self, lba: u64, blocks: u32) -> bool {
        lba.checked_add(blocks.into())
            .is_some_and(|end| end <= self.block_count)
    }

    /// Splits a transfer into block I/Os in block order.
    pub(super) fn split(
        &self,
        write: bool,
        lba: u64,
        blocks: u32,
        sub_requests: &mut Vec<SubRequest>,
    ) -> Result<(), OutsideLayout> {
        self.layout.split(write, lba, blocks, sub_requests)
    }

    /// Returns the SCSI properties of the volume.
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
