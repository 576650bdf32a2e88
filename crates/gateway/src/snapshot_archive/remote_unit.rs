//! Access to a mapped volume, clone or snapshot through a host.
use super::error::ArchiveError;
use crate::blocking_client::BlockingClient;
use crate::startup;
use mallowseam_cow::tree::Tree;
use mallowseam_iscsi::scsi::{self, status};
use mallowseam_settings::GatewayConfig;
use std::time::Duration;

/// Maximum number of attempts for a read or write, after which the export or import fails.
const MAX_ATTEMPTS: u32 = 100;
/// Pause between two attempts for a read or write.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Maximum size of a read or write, in bytes.
const TRANSFER_LEN: u64 = 64 * 1024;

/// A logical unit of a host, with a session to it.
pub(super) struct RemoteUnit {
    client: BlockingClient,
    lun: u32,
    block_size: u64,
    blocks_per_extent: u64,
    extent_count: u32,
}

/// Logical unit number and size of a unit.
struct UnitLocation {
    lun: u32,
    extent_count: u32,
}

/// A read or write of up to `TRANSFER_LEN` bytes.
#[derive(Clone, Copy)]
enum Transfer<'a> {
    Read { len: u64 },
    Write { data: &'a [u8] },
}

impl Transfer<'_> {
    fn len(self) -> u64 {
        match self {
            Transfer::Read { len } => len,
            Transfer::Write { data } => data.len() as u64,
        }
    }

    fn is_write(self) -> bool {
        matches!(self, Transfer::Write { .. })
    }

    /// Number of bytes that the host sends.
    fn read_len(self) -> usize {
        match self {
            Transfer::Read { len } => len as usize,
            Transfer::Write { .. } => 0,
        }
    }

    /// Data that the host receives.
    fn data(&self) -> &[u8] {
        match self {
            Transfer::Read { .. } => &[],
            Transfer::Write { data } => data,
        }
    }

    /// Whether a transfer that ended with this status may be retried: a read after any failure, a write only if the
    /// status says that it has not run.
    fn may_retry(self, status: u8) -> bool {
        match self {
            Transfer::Read { .. } => true,
            Transfer::Write { .. } => matches!(status, status::BUSY | status::TASK_SET_FULL),
        }
    }
}

impl RemoteUnit {
    /// Logs in to the host of the configuration.
    pub(super) fn open(
        config: &GatewayConfig,
        tree: &Tree,
        name: &str,
    ) -> Result<RemoteUnit, ArchiveError> {
        let catalog = config
            .catalog
            .as_ref()
            .ok_or(ArchiveError::NoControlSocket)?;
        let location = locate(config, catalog.extent_blocks, tree, name)?;
        // The block size of the first mapped volume is taken as that of all mapped volumes, clones and snapshots.
        let volume = config
            .volumes
            .iter()
            .find(|volume| volume.mapped)
            .ok_or(ArchiveError::NoMappedVolume)?;
        let address = startup::validated_address(config.host.listen);
        let client = BlockingClient::open(address, Some(&config.host.target), std::process::id())
            .map_err(|source| ArchiveError::Login { address, source })?;
        Ok(RemoteUnit {
            client,
            lun: location.lun,
            block_size: volume.block_size.into(),
            blocks_per_extent: catalog.extent_blocks,
            extent_count: location.extent_count,
        })
    }

    /// Size of an extent, in bytes.
    pub(super) fn extent_bytes(&self) -> u64 {
        self.blocks_per_extent * self.block_size
    }

    /// Number of extents of the unit.
    pub(super) fn extent_count(&self) -> u32 {
        self.extent_count
    }

    /// Reads an extent.
    pub(super) fn read(&mut self, extent: u32) -> Result<Vec<u8>, ArchiveError> {
        let first_lba = u64::from(extent) * self.blocks_per_extent;
        let extent_bytes = self.extent_bytes();
        let mut data = Vec::with_capacity(extent_bytes as usize);
        while (data.len() as u64) < extent_bytes {
            let len = TRANSFER_LEN.min(extent_bytes - data.len() as u64);
            let lba = first_lba + data.len() as u64 / self.block_size;
            data.extend_from_slice(&self.transfer(lba, Transfer::Read { len })?);
        }
        Ok(data)
    }

    /// Writes an extent.
    pub(super) fn write(&mut self, extent: u32, data: &[u8]) -> Result<(), ArchiveError> {
        let first_lba = u64::from(extent) * self.blocks_per_extent;
        for (index, chunk) in data.chunks(TRANSFER_LEN as usize).enumerate() {
            let lba = first_lba + index as u64 * TRANSFER_LEN / self.block_size;
            self.transfer(lba, Transfer::Write { data: chunk })?;
        }
        Ok(())
    }

    /// Executes a read or write with retries, and returns the data that was read.
    fn transfer(&mut self, lba: u64, transfer: Transfer) -> Result<Vec<u8>, ArchiveError> {
        let blocks = (transfer.len() / self.block_size) as u32;
        let cdb = scsi::read_or_write_16(transfer.is_write(), lba, blocks, 0);
        let mut attempts = 1;
        loop {
            let answer = self.client.execute(
                self.lun,
                &cdb,
                transfer.read_len(),
                transfer.data().to_vec(),
            )?;
            let status = answer.status;
            if status == status::GOOD {
                return Ok(answer.data);
            }
            if !transfer.may_retry(status) {
                let sense = answer.sense;
                return Err(ArchiveError::Failed { lba, sense });
            }
            if attempts == MAX_ATTEMPTS {
                return Err(ArchiveError::RetriesExhausted {
                    lba,
                    status,
                    attempts,
                });
            }
            attempts += 1;
            std::thread::sleep(RETRY_PAUSE);
        }
    }
}

/// Finds a unit by name: a mapped volume of the configuration, or else a clone or snapshot of the tree.
fn locate(
    config: &GatewayConfig,
    blocks_per_extent: u64,
    tree: &Tree,
    name: &str,
) -> Result<UnitLocation, ArchiveError> {
    let volumes = &config.volumes;
    if let Some(volume) = volumes.iter().find(|v| v.mapped && v.name == name) {
        return Ok(UnitLocation {
            lun: volume.lun.into(),
            extent_count: (volume.block_count / blocks_per_extent) as u32,
        });
    }
    if let Some(branch) = tree.branches.get(name) {
        return Ok(UnitLocation {
            lun: branch.lun,
            extent_count: branch.extent_count,
        });
    }
    match tree.snapshots.get(name) {
        Some(snapshot) => Ok(UnitLocation {
            lun: snapshot.lun,
            extent_count: snapshot.extent_count,
        }),
        None => Err(ArchiveError::NoSuchUnit(name.to_owned())),
    }
}
