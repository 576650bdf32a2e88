//! The SCSI commands of a block device (SPC-4 and SBC-3): command descriptor blocks, sense, parameter data.

/// Status codes (SAM-5, 5.3.1).
pub mod status {
    pub const GOOD: u8 = 0x00;
    pub const CHECK_CONDITION: u8 = 0x02;
    pub const BUSY: u8 = 0x08;
    pub const TASK_SET_FULL: u8 = 0x28;
    pub const TASK_ABORTED: u8 = 0x40;
}

/// Sense: key, additional code and its qualifier (SPC-4, 4.5).
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
    pub const INVALID_OPERATION_CODE: Sense = Sense::new(0x05, 0x20, 0x00);
    pub const LBA_OUT_OF_RANGE: Sense = Sense::new(0x05, 0x21, 0x00);
    pub const INVALID_FIELD_IN_CDB: Sense = Sense::new(0x05, 0x24, 0x00);
    pub const LOGICAL_UNIT_NOT_SUPPORTED: Sense = Sense::new(0x05, 0x25, 0x00);
    /// Aborted command, logical unit communication time-out: it may or may not have been done.
    pub const COMMUNICATION_TIMEOUT: Sense = Sense::new(0x0b, 0x08, 0x01);
    pub const POWER_ON_OR_RESET: Sense = Sense::new(0x06, 0x29, 0x00);
    pub const CAPACITY_DATA_CHANGED: Sense = Sense::new(0x06, 0x2a, 0x09);
    pub const DATA_PHASE_ERROR: Sense = Sense::new(0x0b, 0x4b, 0x00);
    /// Write protected: it has not run.
    pub const WRITE_PROTECTED: Sense = Sense::new(0x07, 0x27, 0x00);
    pub const UNRECOVERED_READ_ERROR: Sense = Sense::new(0x03, 0x11, 0x00);

    const fn new(key: u8, code: u8, qualifier: u8) -> Self {
        Sense { key, code, qualifier }
    }

    /// Fixed format, current error: 18 bytes.
    pub fn to_fixed_format(self) -> [u8; 18] {
        let mut b = [0; 18];
        (b[0], b[2], b[7], b[12], b[13]) = (0x70, self.key, 10, self.code, self.qualifier);
        b
    }

    /// Reads fixed-format sense; none for other formats.
    pub fn from_fixed_format(bytes: &[u8]) -> Option<Sense> {
        (bytes.len() >= 14 && matches!(bytes[0] & 0x7f, 0x70 | 0x71))
            .then(|| Sense::new(bytes[2] & 0x0f, bytes[12], bytes[13]))
    }
}

/// A command, as far as a block device serves it. Lengths in bytes, `lba` and `blocks` in blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    TestUnitReady,
    RequestSense {
        allocation_len: usize,
    },
    Inquiry {
        page: Option<u8>,
        allocation_len: usize,
    },
    ReportLuns {
        select_report: u8,
        allocation_len: usize,
    },
    ReadCapacity10,
    ReadCapacity16 {
        allocation_len: usize,
    },
    Read {
        lba: u64,
        blocks: u32,
        group_number: u8,
    },
    Write {
        lba: u64,
        blocks: u32,
        group_number: u8,
    },
    SynchronizeCache {
        lba: u64,
        blocks: u32,
    },
    ModeSense {
        form: ModeSenseForm,
        page: u8,
        allocation_len: usize,
    },
    /// Its data says what to change.
    ModeSelect,
    /// Its data lists runs of blocks that are given back.
    Unmap,
    /// Which blocks hold anything, from here on.
    GetLbaStatus {
        lba: u64,
        allocation_len: usize,
    },
}

/// The two forms of MODE SENSE, by the length of their command descriptor block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModeSenseForm {
    Six,
    Ten,
}

fn be16(b: &[u8]) -> u16 {
    u16::from_be_bytes([b[0], b[1]])
}

fn be32(b: &[u8]) -> u32 {
    u32::from_be_bytes([b[0], b[1], b[2], b[3]])
}

fn be64(b: &[u8]) -> u64 {
    u64::from_be_bytes([b[0], b[1], b[2], b[3], b[4], b[5], b[6], b[7]])
}

/// Reads a command descriptor block. Error: the sense to answer with.
pub fn parse_cdb(cdb: &[u8; 16]) -> Result<Command, Sense> {
    let (lba32, len16) = (u64::from(be32(&cdb[2..])), u32::from(be16(&cdb[7..])));
    let protect = |command| if cdb[1] & 0xe0 == 0 { Ok(command) } else { Err(Sense::INVALID_FIELD_IN_CDB) };
    match cdb[0] {
        0x00 => Ok(Command::TestUnitReady),
        0x03 => Ok(Command::RequestSense { allocation_len: usize::from(cdb[4]) }),
        0x12 => {
            let page = (cdb[1] & 1 != 0).then_some(cdb[2]);
            if page.is_none() && cdb[2] != 0 {
                return Err(Sense::INVALID_FIELD_IN_CDB);
            }
            Ok(Command::Inquiry { page, allocation_len: usize::from(be16(&cdb[3..])) })
        }
        0x1a => Ok(Command::ModeSense {
            form: ModeSenseForm::Six,
            page: cdb[2] & 0x3f,
            allocation_len: usize::from(cdb[4]),
        }),
        0x15 if cdb[1] & 0x10 != 0 => Ok(Command::ModeSelect),
        0x42 => Ok(Command::Unmap),
        0x5a => Ok(Command::ModeSense {
            form: ModeSenseForm::Ten,
            page: cdb[2] & 0x3f,
            allocation_len: usize::from(be16(&cdb[7..])),
        }),
        0x25 => Ok(Command::ReadCapacity10),
        0x28 => protect(Command::Read { lba: lba32, blocks: len16, group_number: cdb[6] & 0x1f }),
        0x2a => protect(Command::Write { lba: lba32, blocks: len16, group_number: cdb[6] & 0x1f }),
        0x35 => Ok(Command::SynchronizeCache { lba: lba32, blocks: len16 }),
        0x88 => protect(Command::Read {
            lba: be64(&cdb[2..]),
            blocks: be32(&cdb[10..]),
            group_number: cdb[14] & 0x1f,
        }),
        0x8a => protect(Command::Write {
            lba: be64(&cdb[2..]),
            blocks: be32(&cdb[10..]),
            group_number: cdb[14] & 0x1f,
        }),
        0x91 => Ok(Command::SynchronizeCache { lba: be64(&cdb[2..]), blocks: be32(&cdb[10..]) }),
        0x9e if cdb[1] & 0x1f == 0x12 => Ok(Command::GetLbaStatus {
            lba: be64(&cdb[2..]),
            allocation_len: be32(&cdb[10..]).min(1 << 20) as usize,
        }),
        0x9e if cdb[1] & 0x1f == 0x10 => {
            Ok(Command::ReadCapacity16 { allocation_len: be32(&cdb[10..]).min(1 << 16) as usize })
        }
        0xa0 => Ok(Command::ReportLuns {
            select_report: cdb[2],
            allocation_len: be32(&cdb[6..]).min(1 << 16) as usize,
        }),
        _ => Err(Sense::INVALID_OPERATION_CODE),
    }
}

/// READ (16), or WRITE (16), with a group number of up to 31.
pub fn read_or_write_16(write: bool, lba: u64, blocks: u32, group: u8) -> [u8; 16] {
    let mut cdb = [0; 16];
    cdb[0] = if write { 0x8a } else { 0x88 };
    cdb[2..10].copy_from_slice(&lba.to_be_bytes());
    cdb[10..14].copy_from_slice(&blocks.to_be_bytes());
    cdb[14] = group & 0x1f;
    cdb
}

/// MODE SELECT (6) of the control page: software write protect on or off (SPC-4, 7.5.8). Command and data.
pub fn mode_select_write_protect(on: bool) -> ([u8; 16], Vec<u8>) {
    let mut data = vec![0; 16];
    (data[4], data[5], data[8]) = (0x0a, 10, if on { 0x08 } else { 0 });
    let mut cdb = [0; 16];
    (cdb[0], cdb[1], cdb[4]) = (0x15, 0x10, data.len() as u8);
    (cdb, data)
}

/// What the data of a MODE SELECT (6) asks for; none for anything but the control page.
pub fn parse_write_protect(data: &[u8]) -> Option<bool> {
    let sound = data.len() == 16 && data[3] == 0 && data[4] & 0x3f == 0x0a && data[5] == 10;
    sound.then(|| data[8] & 0x08 != 0)
}

/// UNMAP (SBC-3, 5.28) of runs of blocks, 4095 at most. Command and data.
pub fn unmap(runs: &[(u64, u32)]) -> ([u8; 16], Vec<u8>) {
    let len = runs.len() * 16;
    let mut data = vec![0; 8];
    data[..2].copy_from_slice(&((len + 6) as u16).to_be_bytes());
    data[2..4].copy_from_slice(&(len as u16).to_be_bytes());
    for (lba, blocks) in runs {
        data.extend_from_slice(&lba.to_be_bytes());
        data.extend_from_slice(&blocks.to_be_bytes());
        data.extend_from_slice(&[0; 4]);
    }
    let mut cdb = [0; 16];
    cdb[0] = 0x42;
    cdb[7..9].copy_from_slice(&(data.len() as u16).to_be_bytes());
    (cdb, data)
}

/// The runs that the data of an UNMAP lists; none where its lengths do not fit.
pub fn parse_unmap(data: &[u8]) -> Option<Vec<(u64, u32)>> {
    let len = usize::from(be16(data.get(2..4)?));
    let list = data.get(8..)?;
    (len == list.len() && len.is_multiple_of(16))
        .then(|| list.chunks_exact(16).map(|d| (be64(d), be32(&d[8..]))).collect())
}

/// GET LBA STATUS (SBC-3, 5.4) from a block on.
pub fn get_lba_status(lba: u64, room: u32) -> [u8; 16] {
    let mut cdb = [0; 16];
    (cdb[0], cdb[1]) = (0x9e, 0x12);
    cdb[2..10].copy_from_slice(&lba.to_be_bytes());
    cdb[10..14].copy_from_slice(&room.to_be_bytes());
    cdb
}

/// Its answer: runs of blocks that hold something, as many as fit the room.
pub fn lba_status_data(runs: &[(u64, u32)], room: usize) -> Vec<u8> {
    let fit = room.saturating_sub(8) / 16;
    let runs = &runs[..runs.len().min(fit)];
    let mut out = ((runs.len() * 16 + 4) as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&[0; 4]);
    for (lba, blocks) in runs {
        out.extend_from_slice(&lba.to_be_bytes());
        out.extend_from_slice(&blocks.to_be_bytes());
        out.extend_from_slice(&[0; 4]);
    }
    out
}

/// Reads it back: the runs that are mapped; none where its length does not fit.
pub fn parse_lba_status(data: &[u8]) -> Option<Vec<(u64, u32)>> {
    let len = be32(data.get(..4)?) as usize;
    let list = data.get(8..len + 4)?;
    let mapped = |d: &&[u8]| d[12] & 0x0f == 0;
    list.len()
        .is_multiple_of(16)
        .then(|| list.chunks_exact(16).filter(mapped).map(|d| (be64(d), be32(&d[8..]))).collect())
}

/// What a logical unit says of itself. The serial is what tells one volume from another.
pub struct LogicalUnit<'a> {
    pub blocks: u64,
    pub block_size: u32,
    pub product: &'a str,
    pub serial: &'a str,
    /// Most blocks of one read or write.
    pub max_transfer_blocks: u32,
}

fn ascii(out: &mut Vec<u8>, text: &str, width: usize) {
    let text: Vec<u8> = text.bytes().map(|b| if (0x20..0x7f).contains(&b) { b } else { b'?' }).collect();
    out.extend((0..width).map(|i| text.get(i).copied().unwrap_or(b' ')));
}

impl LogicalUnit<'_> {
    /// Standard INQUIRY data, or a page of vital product data; none for a page that is not kept.
    pub fn inquiry(&self, page: Option<u8>) -> Option<Vec<u8>> {
        let Some(page) = page else {
            // Direct access, SPC-4, response format 2, HISUP, CMDQUE.
            let mut out = vec![0x00, 0x00, 0x06, 0x12, 91, 0, 0, 0x02];
            ascii(&mut out, "MALLOWSM", 8);
            ascii(&mut out, self.product, 16);
            ascii(&mut out, "0001", 4);
            out.resize(58, 0);
            // SAM-5, SPC-4, SBC-3, iSCSI.
            for version in [0x00a0u16, 0x0460, 0x04c0, 0x0960] {
                out.extend_from_slice(&version.to_be_bytes());
            }
            out.resize(96, 0);
            return Some(out);
        };
        let mut body = Vec::new();
        match page {
            0x00 => body.extend_from_slice(&[0x00, 0x80, 0x83, 0xb0, 0xb1]),
            0x80 => body.extend_from_slice(self.serial.as_bytes()),
            0x83 => {
                // T10 vendor identification, ASCII, for the logical unit.
                let mut id = Vec::new();
                ascii(&mut id, "MALLOWSM", 8);
                id.extend_from_slice(self.serial.as_bytes());
                id.truncate(255);
                body.extend_from_slice(&[0x02, 0x01, 0x00, id.len() as u8]);
                body.extend_from_slice(&id);
            }
            0xb0 => {
                body.resize(60, 0);
                body[4..8].copy_from_slice(&self.max_transfer_blocks.to_be_bytes());
                body[8..12].copy_from_slice(&self.max_transfer_blocks.to_be_bytes());
            }
            0xb1 => {
                body.resize(60, 0);
                body[1] = 1; // no rotation
            }
            _ => return None,
        }
        let mut out = vec![0x00, page];
        out.extend_from_slice(&(body.len() as u16).to_be_bytes());
        out.extend_from_slice(&body);
        Some(out)
    }

    pub fn read_capacity_10(&self) -> Vec<u8> {
        let last = (self.blocks - 1).min(u64::from(u32::MAX)) as u32;
        [last.to_be_bytes(), self.block_size.to_be_bytes()].concat()
    }

    pub fn read_capacity_16(&self) -> Vec<u8> {
        let mut out = (self.blocks - 1).to_be_bytes().to_vec();
        out.extend_from_slice(&self.block_size.to_be_bytes());
        out.resize(32, 0);
        out
    }

    /// MODE SENSE data: caching and control pages; none for a page that is not kept.
    pub fn mode_sense(&self, form: ModeSenseForm, page: u8) -> Option<Vec<u8>> {
        // Caching: writes are answered once a node holds them, so no write cache is told.
        let caching: [u8; 20] = [0x08, 18, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];
        let control: [u8; 12] = [0x0a, 10, 0, 0x10, 0, 0, 0, 0, 0, 0, 0, 0];
        let mut pages = Vec::new();
        match page {
            0x08 => pages.extend_from_slice(&caching),
            0x0a => pages.extend_from_slice(&control),
            0x3f => {
                pages.extend_from_slice(&caching);
                pages.extend_from_slice(&control);
            }
            _ => return None,
        }
        // DPOFUA clear, not write-protected, no block descriptors.
        let mut out = Vec::new();
        if form == ModeSenseForm::Ten {
            out.extend_from_slice(&((pages.len() + 6) as u16).to_be_bytes());
            out.extend_from_slice(&[0; 6]);
        } else {
            out.extend_from_slice(&[(pages.len() + 3) as u8, 0, 0, 0]);
        }
        out.extend_from_slice(&pages);
        Some(out)
    }
}

/// REPORT LUNS data; `select` 1 asks for well-known units, of which there are none.
pub fn report_luns(luns: impl Iterator<Item = u32>, select: u8) -> Vec<u8> {
    let mut out = vec![0; 8];
    if select != 1 {
        for lun in luns {
            out.extend_from_slice(&crate::pdu::lun_bytes(lun));
        }
    }
    let len = (out.len() - 8) as u32;
    out[..4].copy_from_slice(&len.to_be_bytes());
    out
}
