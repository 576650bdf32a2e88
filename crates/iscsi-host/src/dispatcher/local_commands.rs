//! Commands that the host answers without a node, such as identification, capacity and mode of a unit.
use super::exported_units::ExportedUnits;
use super::volumes::{Volume, VolumeIndex};
use mallowseam_cow::tree::Tree;
use mallowseam_iscsi::scsi::{self, Command, Sense};

/// Start of the standard INQUIRY data of a LUN without a unit (SPC-4, 6.4.2): qualifier 3 and type 1Fh, RMB,
/// version, response format, additional length. The rest is zeros.
const NO_UNIT_INQUIRY: [u8; 5] = [0x7f, 0, 6, 2, 31];
/// Length of standard INQUIRY data, in bytes.
const INQUIRY_LEN: usize = 36;
/// Sense of a unit that has nothing to report.
const NO_SENSE: Sense = Sense::NO_ADDITIONAL_SENSE;

/// Truncates data-in to the allocation length of the CDB, as SPC-4 requires.
fn truncated(mut data: Vec<u8>, allocation_len: usize) -> Vec<u8> {
    data.truncate(allocation_len);
    data
}

/// Returns the data-in of a command that does not transfer blocks. `volume`: volume of the addressed unit, if
/// the unit exists.
///
/// # Errors
/// The sense for the answer.
pub(super) fn answer(
    units: &mut ExportedUnits,
    tree: Option<&Tree>,
    volume: Option<VolumeIndex>,
    command: Command,
) -> Result<Vec<u8>, Sense> {
    if let Some(data) = answer_without_unit(units, tree, volume, command) {
        return Ok(data);
    }
    let volume = volume.ok_or(Sense::LOGICAL_UNIT_NOT_SUPPORTED)?;
    answer_of_unit(units, volume, command)
}

/// Returns the data-in of a command that is answered even if the addressed unit does not exist.
fn answer_without_unit(
    units: &mut ExportedUnits,
    tree: Option<&Tree>,
    volume: Option<VolumeIndex>,
    command: Command,
) -> Option<Vec<u8>> {
    match command {
        Command::ReportLuns {
            select_report,
            allocation_len,
        } => {
            let list = scsi::report_luns(units.luns(tree), select_report);
            Some(truncated(list, allocation_len))
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

fn answer_of_unit(
    units: &ExportedUnits,
    volume: VolumeIndex,
    command: Command,
) -> Result<Vec<u8>, Sense> {
    let unit = units.logical_unit(volume);
    let data = match command {
        Command::TestUnitReady => Some(Vec::new()),
        Command::SynchronizeCache { lba, blocks } => {
            return synchronize_cache(units.volume(volume), lba, blocks);
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

/// Answers SYNCHRONIZE CACHE. There is nothing to write back, as a write is answered only after a node has
/// completed it.
fn synchronize_cache(volume: &Volume, lba: u64, blocks: u32) -> Result<Vec<u8>, Sense> {
    if volume.contains(lba, blocks) {
        Ok(Vec::new())
    } else {
        Err(Sense::LBA_OUT_OF_RANGE)
    }
}
