//! SCSI commands of a block device (SAM-5, SPC-4 and SBC-3): command descriptor blocks, sense data and parameter
//! data.
mod cdb;
mod logical_unit;
mod provisioning;

pub use cdb::{Command, ModeSenseForm, parse_cdb, read_or_write_16};
pub use logical_unit::{LogicalUnit, mode_select_write_protect, parse_write_protect, report_luns};
pub use provisioning::{get_lba_status, lba_status_data, parse_lba_status, parse_unmap, unmap};

/// SCSI status codes (SAM-5, 5.3.1).
pub mod status {
    /// The command succeeded.
    pub const GOOD: u8 = 0x00;
    /// The command failed, for the reason in the sense data.
    pub const CHECK_CONDITION: u8 = 0x02;
    /// The logical unit cannot accept the command now.
    pub const BUSY: u8 = 0x08;
    /// The logical unit cannot queue another command.
    pub const TASK_SET_FULL: u8 = 0x28;
    /// The command was aborted by another initiator.
    pub const TASK_ABORTED: u8 = 0x40;
}

/// Response code of sense data in fixed format for a current error (SPC-4, 4.5).
const FIXED_CURRENT: u8 = 0x70;
/// Response code of sense data in fixed format for a deferred error (SPC-4, 4.5).
const FIXED_DEFERRED: u8 = 0x71;
/// Length of sense data in fixed format, in bytes.
pub(crate) const SENSE_LEN: usize = 18;

/// Sense data, which states why a command failed (SPC-4, 4.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense {
    /// Sense key.
    pub key: u8,
    /// Additional sense code (ASC).
    pub code: u8,
    /// Additional sense code qualifier (ASCQ).
    pub qualifier: u8,
}

impl Sense {
    /// NO SENSE: there is nothing to report.
    pub const NO_ADDITIONAL_SENSE: Sense = Sense::new(0x00, 0x00, 0x00);
    /// ILLEGAL REQUEST, invalid command operation code.
    pub const INVALID_OPERATION_CODE: Sense = Sense::new(0x05, 0x20, 0x00);
    /// ILLEGAL REQUEST, logical block address out of range.
    pub const LBA_OUT_OF_RANGE: Sense = Sense::new(0x05, 0x21, 0x00);
    /// ILLEGAL REQUEST, invalid field in CDB.
    pub const INVALID_FIELD_IN_CDB: Sense = Sense::new(0x05, 0x24, 0x00);
    /// ILLEGAL REQUEST, logical unit not supported.
    pub const LOGICAL_UNIT_NOT_SUPPORTED: Sense = Sense::new(0x05, 0x25, 0x00);
    /// ABORTED COMMAND, logical unit communication time-out: the command may or may not have been
    /// executed.
    pub const COMMUNICATION_TIMEOUT: Sense = Sense::new(0x0b, 0x08, 0x01);
    /// UNIT ATTENTION, power on, reset, or bus device reset occurred.
    pub const POWER_ON_OR_RESET: Sense = Sense::new(0x06, 0x29, 0x00);
    /// UNIT ATTENTION, capacity data has changed.
    pub const CAPACITY_DATA_CHANGED: Sense = Sense::new(0x06, 0x2a, 0x09);
    /// ABORTED COMMAND, data phase error.
    pub const DATA_PHASE_ERROR: Sense = Sense::new(0x0b, 0x4b, 0x00);
    /// DATA PROTECT, write protected: the command was not executed.
    pub const WRITE_PROTECTED: Sense = Sense::new(0x07, 0x27, 0x00);
    /// MEDIUM ERROR, unrecovered read error.
    pub const UNRECOVERED_READ_ERROR: Sense = Sense::new(0x03, 0x11, 0x00);

    const fn new(key: u8, code: u8, qualifier: u8) -> Self {
        Sense {
            key,
            code,
            qualifier,
        }
    }

    /// Encodes the sense data in fixed format, as a current error.
    pub fn to_fixed_format(self) -> [u8; SENSE_LEN] {
        let mut bytes = [0; SENSE_LEN];
        bytes[0] = FIXED_CURRENT;
        bytes[2] = self.key;
        // Additional sense length: number of bytes from offset 8 on.
        bytes[7] = SENSE_LEN as u8 - 8;
        bytes[12] = self.code;
        bytes[13] = self.qualifier;
        bytes
    }

    /// Decodes sense data in fixed format; returns `None` for other formats.
    pub fn from_fixed_format(bytes: &[u8]) -> Option<Sense> {
        let is_fixed =
            bytes.len() >= 14 && matches!(bytes[0] & 0x7f, FIXED_CURRENT | FIXED_DEFERRED);
        is_fixed.then(|| Sense::new(bytes[2] & 0x0f, bytes[12], bytes[13]))
    }
}

/// Functions that read a big-endian integer from the front of a slice.
mod big_endian {
    pub(super) fn u16(bytes: &[u8]) -> u16 {
        u16::from_be_bytes([bytes[0], bytes[1]])
    }

    pub(super) fn u32(bytes: &[u8]) -> u32 {
        u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
    }

    pub(super) fn u64(bytes: &[u8]) -> u64 {
        u64::from(u32(bytes)) << 32 | u64::from(u32(&bytes[4..]))
    }
}
