//! The basic header segment of every PDU (RFC 7143, section 11).

pub const BHS_LEN: usize = 48;
/// The reserved tag: no task, or unsolicited data.
pub const NO_TAG: u32 = 0xffff_ffff;

/// Opcodes (section 11.2.1.2).
pub mod opcode {
    pub const NOP_OUT: u8 = 0x00;
    pub const SCSI_COMMAND: u8 = 0x01;
    pub const TASK_MANAGEMENT_REQUEST: u8 = 0x02;
    pub const LOGIN_REQUEST: u8 = 0x03;
    pub const TEXT_REQUEST: u8 = 0x04;
    pub const DATA_OUT: u8 = 0x05;
    pub const LOGOUT_REQUEST: u8 = 0x06;
    pub const SNACK: u8 = 0x10;
    pub const NOP_IN: u8 = 0x20;
    pub const SCSI_RESPONSE: u8 = 0x21;
    pub const TASK_MANAGEMENT_RESPONSE: u8 = 0x22;
    pub const LOGIN_RESPONSE: u8 = 0x23;
    pub const TEXT_RESPONSE: u8 = 0x24;
    pub const DATA_IN: u8 = 0x25;
    pub const LOGOUT_RESPONSE: u8 = 0x26;
    pub const R2T: u8 = 0x31;
    pub const ASYNC_MESSAGE: u8 = 0x32;
    pub const REJECT: u8 = 0x3f;
}

/// Bits of byte 1 that several PDUs share.
pub mod flag {
    pub const FINAL: u8 = 0x80;
    pub const CONTINUE: u8 = 0x40;
    pub const READ: u8 = 0x40;
    pub const WRITE: u8 = 0x20;
    /// Data-In: this PDU carries the status as well.
    pub const STATUS: u8 = 0x01;
    pub const UNDERFLOW: u8 = 0x02;
    pub const OVERFLOW: u8 = 0x04;
    /// SCSI command: simple task attribute.
    pub const SIMPLE: u8 = 0x01;
}

/// Reasons of a Reject (section 11.17.1).
pub mod reject {
    pub const DATA_DIGEST: u8 = 0x02;
    pub const PROTOCOL: u8 = 0x04;
    pub const UNSUPPORTED: u8 = 0x05;
    pub const TOO_MANY_IMMEDIATE: u8 = 0x06;
    pub const INVALID_FIELD: u8 = 0x09;
}

/// Task management functions and their answers (sections 11.5.1 and 11.6.1).
pub mod task {
    pub const ABORT_TASK: u8 = 1;
    pub const ABORT_TASK_SET: u8 = 2;
    pub const LUN_RESET: u8 = 5;
    pub const TARGET_WARM_RESET: u8 = 6;
    pub const COMPLETE: u8 = 0;
    pub const NO_SUCH_TASK: u8 = 1;
    pub const NO_SUCH_LUN: u8 = 2;
    pub const NOT_SUPPORTED: u8 = 5;
    pub const REJECTED: u8 = 255;
}

/// The 48 bytes that open a PDU, with its fields by name. Which names apply depends on the opcode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bhs(pub [u8; BHS_LEN]);

impl Bhs {
    pub fn new(opcode: u8, flags: u8) -> Self {
        let mut bytes = [0; BHS_LEN];
        (bytes[0], bytes[1]) = (opcode, flags);
        Bhs(bytes)
    }

    pub fn opcode(&self) -> u8 {
        self.0[0] & 0x3f
    }

    pub fn immediate(&self) -> bool {
        self.0[0] & 0x40 != 0
    }

    pub fn with_immediate(mut self) -> Self {
        self.0[0] |= 0x40;
        self
    }

    pub fn flags(&self) -> u8 {
        self.0[1]
    }

    pub fn is_final(&self) -> bool {
        self.0[1] & flag::FINAL != 0
    }

    pub fn byte(&self, at: usize) -> u8 {
        self.0[at]
    }

    pub fn with_byte(mut self, at: usize, value: u8) -> Self {
        self.0[at] = value;
        self
    }

    pub fn u16_at(&self, at: usize) -> u16 {
        u16::from_be_bytes([self.0[at], self.0[at + 1]])
    }

    pub fn with_u16(mut self, at: usize, value: u16) -> Self {
        self.0[at..at + 2].copy_from_slice(&value.to_be_bytes());
        self
    }

    pub fn u32_at(&self, at: usize) -> u32 {
        u32::from_be_bytes([self.0[at], self.0[at + 1], self.0[at + 2], self.0[at + 3]])
    }

    pub fn with_u32(mut self, at: usize, value: u32) -> Self {
        self.0[at..at + 4].copy_from_slice(&value.to_be_bytes());
        self
    }

    /// Bytes of additional header segments that follow.
    pub fn ahs_len(&self) -> usize {
        usize::from(self.0[4]) * 4
    }

    /// Bytes of data that follow, without padding and digest.
    pub fn data_len(&self) -> usize {
        (usize::from(self.0[5]) << 16) | (usize::from(self.0[6]) << 8) | usize::from(self.0[7])
    }

    pub fn set_data_len(&mut self, len: usize) {
        self.0[5..8].copy_from_slice(&(len as u32).to_be_bytes()[1..]);
    }

    /// The LUN by peripheral, flat or extended flat addressing (SAM-5, 4.7); none for anything else.
    pub fn lun(&self) -> Option<u32> {
        let (bytes, rest) = (&self.0[8..12], &self.0[12..16]);
        if rest.iter().any(|b| *b != 0) {
            return None;
        }
        let low = u32::from_be_bytes([0, bytes[1], bytes[2], bytes[3]]);
        match bytes[0] {
            EXTENDED_FLAT => Some(low),
            0 if low & 0xffff == 0 => Some(low >> 16),
            0x40..=0x7f if low & 0xffff == 0 => Some(u32::from(bytes[0] & 0x3f) << 8 | low >> 16),
            _ => None,
        }
    }

    pub fn with_lun(mut self, lun: u32) -> Self {
        self.0[8..16].copy_from_slice(&lun_bytes(lun));
        self
    }

    pub fn itt(&self) -> u32 {
        self.u32_at(16)
    }

    pub fn with_itt(self, itt: u32) -> Self {
        self.with_u32(16, itt)
    }

    /// Target transfer tag; of a task request, the tag it refers to; of a command, the expected data length.
    pub fn word20(&self) -> u32 {
        self.u32_at(20)
    }

    pub fn with_word20(self, value: u32) -> Self {
        self.with_u32(20, value)
    }

    /// Expected data transfer length of a SCSI command (section 11.3.4).
    pub fn with_expected_data_len(self, len: u32) -> Self {
        self.with_u32(20, len)
    }

    /// Command sequence number of a request (section 4.2.2.1).
    pub fn cmd_sn(&self) -> u32 {
        self.u32_at(24)
    }

    /// Sets the command sequence number of a request.
    pub fn with_cmd_sn(self, value: u32) -> Self {
        self.with_u32(24, value)
    }

    /// All bytes of the header.
    pub fn bytes_mut(&mut self) -> &mut [u8; BHS_LEN] {
        &mut self.0
    }

    /// CmdSN of what an initiator sends, StatSN of what a target sends.
    pub fn sn(&self) -> u32 {
        self.u32_at(24)
    }

    pub fn with_sn(self, value: u32) -> Self {
        self.with_u32(24, value)
    }

    /// ExpStatSN of what an initiator sends, ExpCmdSN of what a target sends.
    pub fn exp_sn(&self) -> u32 {
        self.u32_at(28)
    }

    pub fn with_exp_sn(self, value: u32) -> Self {
        self.with_u32(28, value)
    }

    pub fn max_cmd_sn(&self) -> u32 {
        self.u32_at(32)
    }

    pub fn with_max_cmd_sn(self, value: u32) -> Self {
        self.with_u32(32, value)
    }

    /// DataSN, or R2TSN.
    pub fn data_sn(&self) -> u32 {
        self.u32_at(36)
    }

    pub fn with_data_sn(self, value: u32) -> Self {
        self.with_u32(36, value)
    }

    pub fn offset(&self) -> u32 {
        self.u32_at(40)
    }

    pub fn with_offset(self, value: u32) -> Self {
        self.with_u32(40, value)
    }

    /// Residual count, or the desired length of an R2T.
    pub fn word44(&self) -> u32 {
        self.u32_at(44)
    }

    pub fn with_word44(self, value: u32) -> Self {
        self.with_u32(44, value)
    }

    pub fn cdb(&self) -> [u8; 16] {
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&self.0[32..48]);
        cdb
    }

    pub fn with_cdb(mut self, cdb: &[u8; 16]) -> Self {
        self.0[32..48].copy_from_slice(cdb);
        self
    }

    pub fn isid(&self) -> [u8; 6] {
        let mut isid = [0; 6];
        isid.copy_from_slice(&self.0[8..14]);
        isid
    }

    pub fn with_isid(mut self, isid: [u8; 6]) -> Self {
        self.0[8..14].copy_from_slice(&isid);
        self
    }

    pub fn tsih(&self) -> u16 {
        self.u16_at(14)
    }
}

/// Extended logical unit addressing with 24 bits (SAM-5, 4.7.11).
const EXTENDED_FLAT: u8 = 0xd2;
/// Largest LUN that can be named here.
pub const LUN_MOST: u32 = 0xff_ffff;

/// A LUN as eight bytes: peripheral addressing below 256, flat below 16384, extended flat above.
pub fn lun_bytes(lun: u32) -> [u8; 8] {
    let mut bytes = [0; 8];
    match lun {
        0..256 => bytes[1] = lun as u8,
        256..16_384 => (bytes[0], bytes[1]) = (0x40 | (lun >> 8) as u8, lun as u8),
        _ => {
            bytes[..4].copy_from_slice(&lun.to_be_bytes());
            bytes[0] = EXTENDED_FLAT;
        }
    }
    bytes
}

/// Whether serial number `a` comes before `b` (RFC 1982, as section 4.2.2.1 asks).
pub fn sn_before(a: u32, b: u32) -> bool {
    (a.wrapping_sub(b) as i32) < 0
}

/// A whole PDU. Additional header segments are read over: no command here needs one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pdu {
    pub bhs: Bhs,
    pub data: Vec<u8>,
}
