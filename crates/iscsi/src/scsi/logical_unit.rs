//! Parameter data of a logical unit for INQUIRY, READ CAPACITY, MODE SENSE and REPORT LUNS, and software write
//! protection by MODE SELECT.
use super::cdb::{ModeSenseForm, PAGE_FORMAT, operation};
use crate::pdu::lun_bytes;

/// T10 vendor identification (eight characters).
const VENDOR: &str = "MALLOWSM";
/// Product revision level (four characters).
const REVISION: &str = "0001";
/// Length of standard INQUIRY data, in bytes.
const STANDARD_INQUIRY_LEN: usize = 96;
/// Version descriptors in standard INQUIRY data for SAM-5, SPC-4, SBC-3 and iSCSI (SPC-4).
const VERSION_DESCRIPTORS: [u16; 4] = [0x00a0, 0x0460, 0x04c0, 0x0960];
/// Maximum length of the designator of a logical unit, in bytes.
const MAX_DESIGNATOR_LEN: usize = 255;

/// Codes of vital product data pages (SPC-4, 7.8; SBC-3, 6).
mod vpd_page {
    pub(super) const SUPPORTED_PAGES: u8 = 0x00;
    pub(super) const UNIT_SERIAL_NUMBER: u8 = 0x80;
    pub(super) const DEVICE_IDENTIFICATION: u8 = 0x83;
    pub(super) const BLOCK_LIMITS: u8 = 0xb0;
    pub(super) const BLOCK_DEVICE_CHARACTERISTICS: u8 = 0xb1;
}

/// Codes of mode pages (SPC-4, 7.5; SBC-3, 6).
mod mode_page {
    pub(super) const CACHING: u8 = 0x08;
    pub(super) const CONTROL: u8 = 0x0a;
    pub(super) const ALL: u8 = 0x3f;
}

/// Caching mode page. The write cache is off, since a write is answered only after a storage node has stored it.
const CACHING_PAGE: [u8; 20] = {
    let mut page = [0; 20];
    page[0] = mode_page::CACHING;
    // Page length: number of bytes after this one.
    page[1] = 18;
    page
};
/// Control mode page: commands may be reordered without restriction.
const CONTROL_PAGE: [u8; 12] = [mode_page::CONTROL, 10, 0, 0x10, 0, 0, 0, 0, 0, 0, 0, 0];
/// Software write protect (SWP) bit in byte 4 of the control mode page.
const SOFTWARE_WRITE_PROTECT: u8 = 0x08;
/// Length of the header before the mode pages in the data of MODE SENSE (6) and MODE SELECT (6), in bytes.
const MODE_HEADER_6_LEN: usize = 4;
/// Length of the header before the mode pages in the data of MODE SENSE (10), in bytes.
const MODE_HEADER_10_LEN: usize = 8;

/// Properties that a logical unit reports.
pub struct LogicalUnit<'a> {
    /// Number of blocks, at least one.
    pub blocks: u64,
    /// Size of a block, in bytes.
    pub block_size: u32,
    /// Product identification, of which the first 16 characters are reported.
    pub product: &'a str,
    /// Serial number, by which initiators distinguish volumes.
    pub serial: &'a str,
    /// Maximum number of blocks of one read or write.
    pub max_transfer_blocks: u32,
}

/// Appends `text` as `width` characters of printable ASCII: cut or padded with spaces, with `?` for each other byte.
fn push_ascii(out: &mut Vec<u8>, text: &str, width: usize) {
    let printable = |byte| {
        if (0x20..0x7f).contains(&byte) {
            byte
        } else {
            b'?'
        }
    };
    let characters = text.bytes().map(printable).chain(std::iter::repeat(b' '));
    out.extend(characters.take(width));
}

impl LogicalUnit<'_> {
    /// Returns standard INQUIRY data or a page of vital product data; `None` for an unsupported page.
    pub fn inquiry(&self, page: Option<u8>) -> Option<Vec<u8>> {
        let Some(page) = page else {
            return Some(self.standard_inquiry());
        };
        let body = match page {
            vpd_page::SUPPORTED_PAGES => vec![
                vpd_page::SUPPORTED_PAGES,
                vpd_page::UNIT_SERIAL_NUMBER,
                vpd_page::DEVICE_IDENTIFICATION,
                vpd_page::BLOCK_LIMITS,
                vpd_page::BLOCK_DEVICE_CHARACTERISTICS,
            ],
            vpd_page::UNIT_SERIAL_NUMBER => self.serial.as_bytes().to_vec(),
            vpd_page::DEVICE_IDENTIFICATION => self.device_identification(),
            vpd_page::BLOCK_LIMITS => self.block_limits(),
            vpd_page::BLOCK_DEVICE_CHARACTERISTICS => block_device_characteristics(),
            _ => return None,
        };
        let mut out = vec![0x00, page];
        out.extend_from_slice(&(body.len() as u16).to_be_bytes());
        out.extend_from_slice(&body);
        Some(out)
    }

    fn standard_inquiry(&self) -> Vec<u8> {
        // Direct access block device, SPC-4, response data format 2 with HISUP, additional length, CMDQUE.
        let mut out = vec![
            0x00,
            0x00,
            0x06,
            0x12,
            STANDARD_INQUIRY_LEN as u8 - 5,
            0,
            0,
            0x02,
        ];
        push_ascii(&mut out, VENDOR, 8);
        push_ascii(&mut out, self.product, 16);
        push_ascii(&mut out, REVISION, 4);
        out.resize(58, 0);
        for version in VERSION_DESCRIPTORS {
            out.extend_from_slice(&version.to_be_bytes());
        }
        out.resize(STANDARD_INQUIRY_LEN, 0);
        out
    }

    /// Returns the device identification page body: one designator of the logical unit, in ASCII, which begins with the
    /// T10 vendor identification (SPC-4, 7.8).
    fn device_identification(&self) -> Vec<u8> {
        let mut designator = Vec::new();
        push_ascii(&mut designator, VENDOR, 8);
        designator.extend_from_slice(self.serial.as_bytes());
        designator.truncate(MAX_DESIGNATOR_LEN);
        let mut body = vec![0x02, 0x01, 0x00, designator.len() as u8];
        body.extend_from_slice(&designator);
        body
    }

    /// Returns the block limits page body, with the maximum and optimal transfer lengths (SBC-3).
    fn block_limits(&self) -> Vec<u8> {
        let mut body = vec![0; 60];
        body[4..8].copy_from_slice(&self.max_transfer_blocks.to_be_bytes());
        body[8..12].copy_from_slice(&self.max_transfer_blocks.to_be_bytes());
        body
    }

    /// Returns READ CAPACITY (10) data. The address of the last block is `u32::MAX` if it does not fit 32 bits.
    pub fn read_capacity_10(&self) -> Vec<u8> {
        let last = (self.blocks - 1).min(u64::from(u32::MAX)) as u32;
        [last.to_be_bytes(), self.block_size.to_be_bytes()].concat()
    }

    /// Returns READ CAPACITY (16) data.
    pub fn read_capacity_16(&self) -> Vec<u8> {
        let mut out = (self.blocks - 1).to_be_bytes().to_vec();
        out.extend_from_slice(&self.block_size.to_be_bytes());
        out.resize(32, 0);
        out
    }

    /// Returns MODE SENSE data with the caching page, the control page or both, and without block descriptors; `None`
    /// for an unsupported page.
    pub fn mode_sense(&self, form: ModeSenseForm, page: u8) -> Option<Vec<u8>> {
        let pages = match page {
            mode_page::CACHING => CACHING_PAGE.to_vec(),
            mode_page::CONTROL => CONTROL_PAGE.to_vec(),
            mode_page::ALL => [&CACHING_PAGE[..], &CONTROL_PAGE].concat(),
            _ => return None,
        };
        // The mode data length counts all bytes after itself.
        let mut out = Vec::new();
        match form {
            ModeSenseForm::Six => {
                out.push((pages.len() + MODE_HEADER_6_LEN - 1) as u8);
                out.resize(MODE_HEADER_6_LEN, 0);
            }
            ModeSenseForm::Ten => {
                out.extend_from_slice(
                    &((pages.len() + MODE_HEADER_10_LEN - 2) as u16).to_be_bytes(),
                );
                out.resize(MODE_HEADER_10_LEN, 0);
            }
        }
        out.extend_from_slice(&pages);
        Some(out)
    }
}

/// Returns the block device characteristics page body, which states that the medium does not rotate (SBC-3).
fn block_device_characteristics() -> Vec<u8> {
    let mut body = vec![0; 60];
    body[1] = 1;
    body
}

/// Returns REPORT LUNS data. The list is empty for a `select_report` of 1, which requests well-known logical units.
pub fn report_luns(luns: impl Iterator<Item = u32>, select_report: u8) -> Vec<u8> {
    let mut out = vec![0; 8];
    if select_report != 1 {
        for lun in luns {
            out.extend_from_slice(&lun_bytes(lun));
        }
    }
    let len = (out.len() - 8) as u32;
    out[..4].copy_from_slice(&len.to_be_bytes());
    out
}

/// Builds a MODE SELECT (6) with the control mode page that switches software write protect on or off (SPC-4, 7.5.8).
/// Returns its command descriptor block and data.
pub fn mode_select_write_protect(on: bool) -> ([u8; 16], Vec<u8>) {
    let mut data = vec![0; MODE_HEADER_6_LEN + CONTROL_PAGE.len()];
    data[4] = mode_page::CONTROL;
    data[5] = CONTROL_PAGE.len() as u8 - 2;
    data[8] = if on { SOFTWARE_WRITE_PROTECT } else { 0 };
    let mut cdb = [0; 16];
    cdb[0] = operation::MODE_SELECT_6;
    cdb[1] = PAGE_FORMAT;
    cdb[4] = data.len() as u8;
    (cdb, data)
}

/// Parses the data of a MODE SELECT (6) and returns whether it switches software write protect on; `None` for
/// anything but the control mode page.
pub fn parse_write_protect(data: &[u8]) -> Option<bool> {
    let is_control_page = data.len() == MODE_HEADER_6_LEN + CONTROL_PAGE.len()
        && data[3] == 0
        && data[4] & 0x3f == mode_page::CONTROL
        && data[5] == CONTROL_PAGE.len() as u8 - 2;
    is_control_page.then(|| data[8] & SOFTWARE_WRITE_PROTECT != 0)
}
