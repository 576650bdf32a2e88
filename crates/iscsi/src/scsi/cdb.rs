//! Parsing and building of command descriptor blocks (CDBs).
use super::{Sense, big_endian};

/// Operation codes (SPC-4, 6; SBC-3, 5). Names end with the length of the command descriptor block, in bytes, where
/// a command has several forms.
pub(super) mod operation {
    pub const TEST_UNIT_READY: u8 = 0x00;
    pub const REQUEST_SENSE: u8 = 0x03;
    pub const INQUIRY: u8 = 0x12;
    pub const MODE_SELECT_6: u8 = 0x15;
    pub const MODE_SENSE_6: u8 = 0x1a;
    pub const READ_CAPACITY_10: u8 = 0x25;
    pub const READ_10: u8 = 0x28;
    pub const WRITE_10: u8 = 0x2a;
    pub const SYNCHRONIZE_CACHE_10: u8 = 0x35;
    pub const UNMAP: u8 = 0x42;
    pub const MODE_SENSE_10: u8 = 0x5a;
    pub const READ_16: u8 = 0x88;
    pub const WRITE_16: u8 = 0x8a;
    pub const SYNCHRONIZE_CACHE_16: u8 = 0x91;
    pub const SERVICE_ACTION_IN_16: u8 = 0x9e;
    pub const REPORT_LUNS: u8 = 0xa0;
}

/// Service actions of SERVICE ACTION IN (16).
pub(super) mod service_action {
    pub const READ_CAPACITY_16: u8 = 0x10;
    pub const GET_LBA_STATUS: u8 = 0x12;
}

/// PF bit of MODE SELECT: the data consists of mode pages in the format of the standard.
pub(super) const PAGE_FORMAT: u8 = 0x10;
/// EVPD bit of INQUIRY: a page of vital product data is requested.
const VITAL_PRODUCT_DATA: u8 = 0x01;
/// Bits of byte 1 that hold RDPROTECT or WRPROTECT; values other than zero request protection information.
const PROTECT_BITS: u8 = 0xe0;
/// Bits of a READ or WRITE that hold the group number.
const GROUP_NUMBER_BITS: u8 = 0x1f;
/// Bits of byte 2 of a MODE SENSE that hold the page code.
const PAGE_CODE_BITS: u8 = 0x3f;
/// Bits of byte 1 that hold the service action.
const SERVICE_ACTION_BITS: u8 = 0x1f;
/// Maximum length of the answer to GET LBA STATUS, in bytes. Bounds the memory of the answer, whatever allocation
/// length is requested.
const MAX_LBA_STATUS_LEN: u32 = 1 << 20;
/// Maximum length of other answers with an allocation length of 32 bits, in bytes. Bounds their memory, whatever
/// allocation length is requested.
const MAX_ALLOCATION_LEN: u32 = 1 << 16;

/// Command that a block device supports. Allocation lengths are in bytes, `lba` and `blocks` in blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// TEST UNIT READY.
    TestUnitReady,
    /// REQUEST SENSE.
    RequestSense {
        /// Maximum length of the answer, in bytes.
        allocation_len: usize,
    },
    /// INQUIRY.
    Inquiry {
        /// Page of vital product data; `None` for standard INQUIRY data.
        page: Option<u8>,
        /// Maximum length of the answer, in bytes.
        allocation_len: usize,
    },
    /// REPORT LUNS.
    ReportLuns {
        /// SELECT REPORT field: which logical units to report.
        select_report: u8,
        /// Maximum length of the answer, in bytes.
        allocation_len: usize,
    },
    /// READ CAPACITY (10).
    ReadCapacity10,
    /// READ CAPACITY (16).
    ReadCapacity16 {
        /// Maximum length of the answer, in bytes.
        allocation_len: usize,
    },
    /// READ (10) or READ (16).
    Read {
        /// First block.
        lba: u64,
        /// Transfer length.
        blocks: u32,
        /// Group number.
        group_number: u8,
    },
    /// WRITE (10) or WRITE (16).
    Write {
        /// First block.
        lba: u64,
        /// Transfer length.
        blocks: u32,
        /// Group number.
        group_number: u8,
    },
    /// SYNCHRONIZE CACHE (10) or SYNCHRONIZE CACHE (16).
    SynchronizeCache {
        /// First block.
        lba: u64,
        /// Number of blocks.
        blocks: u32,
    },
    /// MODE SENSE (6) or MODE SENSE (10).
    ModeSense {
        /// Form of the command, which determines the format of the answer.
        form: ModeSenseForm,
        /// Page code.
        page: u8,
        /// Maximum length of the answer, in bytes.
        allocation_len: usize,
    },
    /// MODE SELECT (6) with mode pages in the format of the standard; the data of the command states the changes.
    ModeSelect,
    /// UNMAP; the data of the command lists the blocks to deallocate.
    Unmap,
    /// GET LBA STATUS.
    GetLbaStatus {
        /// First block.
        lba: u64,
        /// Maximum length of the answer, in bytes.
        allocation_len: usize,
    },
}

/// Form of MODE SENSE, named after the length of its command descriptor block in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModeSenseForm {
    /// MODE SENSE (6).
    Six,
    /// MODE SENSE (10).
    Ten,
}

/// Parses a command descriptor block.
///
/// # Errors
/// Returns the sense data to answer the command with if the command or one of its fields is not supported.
pub fn parse_cdb(cdb: &[u8; 16]) -> Result<Command, Sense> {
    let len_8 = usize::from(cdb[4]);
    let len_16 = usize::from(big_endian::u16(&cdb[7..]));
    let page = cdb[2] & PAGE_CODE_BITS;
    match cdb[0] {
        operation::TEST_UNIT_READY => Ok(Command::TestUnitReady),
        operation::REQUEST_SENSE => Ok(Command::RequestSense {
            allocation_len: len_8,
        }),
        operation::INQUIRY => parse_inquiry(cdb),
        operation::MODE_SELECT_6 if cdb[1] & PAGE_FORMAT != 0 => Ok(Command::ModeSelect),
        operation::MODE_SENSE_6 => Ok(Command::ModeSense {
            form: ModeSenseForm::Six,
            page,
            allocation_len: len_8,
        }),
        operation::MODE_SENSE_10 => Ok(Command::ModeSense {
            form: ModeSenseForm::Ten,
            page,
            allocation_len: len_16,
        }),
        operation::UNMAP => Ok(Command::Unmap),
        operation::READ_CAPACITY_10 => Ok(Command::ReadCapacity10),
        operation::REPORT_LUNS => Ok(Command::ReportLuns {
            select_report: cdb[2],
            allocation_len: bounded_allocation_len(&cdb[6..], MAX_ALLOCATION_LEN),
        }),
        operation::SERVICE_ACTION_IN_16 => parse_service_action(cdb),
        operation::READ_10 | operation::WRITE_10 | operation::SYNCHRONIZE_CACHE_10 => {
            let lba = u64::from(big_endian::u32(&cdb[2..]));
            parse_block_command(cdb, lba, len_16 as u32, cdb[6])
        }
        operation::READ_16 | operation::WRITE_16 | operation::SYNCHRONIZE_CACHE_16 => {
            let lba = big_endian::u64(&cdb[2..]);
            parse_block_command(cdb, lba, big_endian::u32(&cdb[10..]), cdb[14])
        }
        _ => Err(Sense::INVALID_OPERATION_CODE),
    }
}

fn parse_inquiry(cdb: &[u8; 16]) -> Result<Command, Sense> {
    let page = (cdb[1] & VITAL_PRODUCT_DATA != 0).then_some(cdb[2]);
    if page.is_none() && cdb[2] != 0 {
        return Err(Sense::INVALID_FIELD_IN_CDB);
    }
    Ok(Command::Inquiry {
        page,
        allocation_len: usize::from(big_endian::u16(&cdb[3..])),
    })
}

fn parse_service_action(cdb: &[u8; 16]) -> Result<Command, Sense> {
    match cdb[1] & SERVICE_ACTION_BITS {
        service_action::GET_LBA_STATUS => {
            let allocation_len = bounded_allocation_len(&cdb[10..], MAX_LBA_STATUS_LEN);
            Ok(Command::GetLbaStatus {
                lba: big_endian::u64(&cdb[2..]),
                allocation_len,
            })
        }
        service_action::READ_CAPACITY_16 => Ok(Command::ReadCapacity16 {
            allocation_len: bounded_allocation_len(&cdb[10..], MAX_ALLOCATION_LEN),
        }),
        _ => Err(Sense::INVALID_OPERATION_CODE),
    }
}

/// Parses the fields of a READ, WRITE or SYNCHRONIZE CACHE that do not depend on its form.
fn parse_block_command(
    cdb: &[u8; 16],
    lba: u64,
    blocks: u32,
    group_byte: u8,
) -> Result<Command, Sense> {
    if matches!(
        cdb[0],
        operation::SYNCHRONIZE_CACHE_10 | operation::SYNCHRONIZE_CACHE_16
    ) {
        return Ok(Command::SynchronizeCache { lba, blocks });
    }
    if cdb[1] & PROTECT_BITS != 0 {
        return Err(Sense::INVALID_FIELD_IN_CDB);
    }
    let group_number = group_byte & GROUP_NUMBER_BITS;
    if matches!(cdb[0], operation::READ_10 | operation::READ_16) {
        Ok(Command::Read {
            lba,
            blocks,
            group_number,
        })
    } else {
        Ok(Command::Write {
            lba,
            blocks,
            group_number,
        })
    }
}

/// Reads an allocation length of 32 bits and limits it to `max`.
fn bounded_allocation_len(bytes: &[u8], max: u32) -> usize {
    big_endian::u32(bytes).min(max) as usize
}

/// Builds the command descriptor block of a READ (16) or WRITE (16), with a group number of up to 31.
pub fn read_or_write_16(write: bool, lba: u64, blocks: u32, group_number: u8) -> [u8; 16] {
    let mut cdb = [0; 16];
    cdb[0] = if write {
        operation::WRITE_16
    } else {
        operation::READ_16
    };
    cdb[2..10].copy_from_slice(&lba.to_be_bytes());
    cdb[10..14].copy_from_slice(&blocks.to_be_bytes());
    cdb[14] = group_number & GROUP_NUMBER_BITS;
    cdb
}
