//! Commands that the host answers itself, without a node: identification, capacity and mode of a unit.
use super::{Dispatcher, Volume};
use crate::client_connections::ClientId;
use mallowseam_iscsi::scsi::{self, Command, LogicalUnit, Sense};

/// Standard INQUIRY data of a LUN without a unit (SPC-4, 6.4.2): qualifier 3, type 1Fh, version, response
/// format, additional length; zeros follow.
const NO_UNIT_INQUIRY: [u8; 5] = [0x7f, 0, 6, 2, 31];
/// Length of standard INQUIRY data.
const INQUIRY_LEN: usize = 36;
/// Nothing to report.
const NO_SENSE: Sense = Sense::NO_ADDITIONAL_SENSE;

/// Data-in is truncated to the allocation length of the CDB (SPC-4).
fn truncated(mut data: Vec<u8>, allocation_len: usize) -> Vec<u8> {
    data.truncate(allocation_len);
    data
}

impl Dispatcher {
    /// Answers a command that neither reads nor writes blocks. `volume`: that of the unit, if there is one.
    pub(super) fn answer_locally(
        &mut self,
        client: ClientId,
        task: u32,
        volume: Option<usize>,
        command: Result<Command, Sense>,
    ) {
        let answer = command.and_then(|command| match self.answer_without_unit(volume, command) {
            Some(data) => Ok(data),
            None => self.answer_of_unit(volume, command),
        });
        match answer {
            Ok(data) => self.answer_good(client, task, &data),
            Err(sense) => self.reject(client, task, sense),
        }
    }

    /// Commands that are answered also where there is no unit.
    fn answer_without_unit(&mut self, volume: Option<usize>, command: Command) -> Option<Vec<u8>> {
        match command {
            Command::ReportLuns {
                select_report,
                allocation_len,
            } => {
                self.update_units();
                let luns = self
                    .volumes
                    .iter()
                    .map(|volume| volume.lun)
                    .chain(self.units.keys().copied());
                Some(truncated(
                    scsi::report_luns(luns, select_report),
                    allocation_len,
                ))
            }
            Command::RequestSense { allocation_len } => {
                let sense = if volume.is_some() {
                    NO_SENSE
                } else {
                    Sense::LOGICAL_UNIT_NOT_SUPPORTED
                };
                Some(truncated(sense.to_fixed_format().to_vec(), allocation_len))
            }
            Command::Inquiry {
                page: None,
                allocation_len,
            } if volume.is_none() => {
                let mut data = NO_UNIT_INQUIRY.to_vec();
                data.resize(INQUIRY_LEN, 0);
                Some(truncated(data, allocation_len))
            }
            _ => None,
        }
    }

    fn answer_of_unit(&self, volume: Option<usize>, command: Command) -> Result<Vec<u8>, Sense> {
        let volume = volume
            .map(|index| &self.volumes[index])
            .ok_or(Sense::LOGICAL_UNIT_NOT_SUPPORTED)?;
        let unit = self.describe_unit(volume);
        let data = match command {
            Command::TestUnitReady => Some(Vec::new()),
            // Writes are answered when a node has them: nothing is cached here.
            Command::SynchronizeCache { lba, blocks } => {
                let end = lba.checked_add(blocks.into());
                if end.is_none_or(|end| end > volume.block_count) {
                    return Err(Sense::LBA_OUT_OF_RANGE);
                }
                Some(Vec::new())
            }
            Command::Inquiry {
                page,
                allocation_len,
            } => unit
                .inquiry(page)
                .map(|data| truncated(data, allocation_len)),
            Command::ReadCapacity10 => Some(unit.read_capacity_10()),
            Command::ReadCapacity16 { allocation_len } => {
                Some(truncated(unit.read_capacity_16(), allocation_len))
            }
            Command::ModeSense {
                form,
                page,
                allocation_len,
            } => unit
                .mode_sense(form, page)
                .map(|data| truncated(data, allocation_len)),
            Command::ModeSelect
            | Command::Unmap
            | Command::GetLbaStatus { .. }
            | Command::Read { .. }
            | Command::Write { .. }
            | Command::ReportLuns { .. }
            | Command::RequestSense { .. } => None,
        };
        data.ok_or(Sense::INVALID_FIELD_IN_CDB)
    }

    fn describe_unit<'a>(&self, volume: &'a Volume) -> LogicalUnit<'a> {
        LogicalUnit {
            blocks: volume.block_count,
            block_size: volume.block_size,
            product: &volume.name,
            serial: &volume.name,
            max_transfer_blocks: (self.max_transfer_bytes / u64::from(volume.block_size))
                .min(u64::from(u32::MAX)) as u32,
        }
    }
}
