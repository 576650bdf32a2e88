//! PDUs and the fields of their basic header segment (section 11).
//!
//! - `codes`: the codes that the fields hold.
//! - `lun`: encoding and decoding of LUNs.
mod codes;
mod lun;

pub(crate) use codes::{async_event, reject_reason};
pub use codes::{flag, opcode, task_function, task_response};
pub use lun::lun_bytes;

use lun::parse_lun;

/// Length of a basic header segment, in bytes.
pub const BHS_LEN: usize = 48;
/// Reserved tag of a PDU that belongs to no task, and of unsolicited data.
pub const RESERVED_TAG: u32 = 0xffff_ffff;
/// Largest status qualifier that states a time, in units of 100 ms; larger values have other meanings (RFC 7144;
/// SAM-5, 5.3.2).
pub(crate) const MAX_RETRY_AFTER: u16 = 0x3fef;

/// Bit of byte 0 that marks a request for immediate delivery.
const IMMEDIATE_BIT: u8 = 0x40;
/// Bits of byte 0 that hold the opcode.
const OPCODE_BITS: u8 = 0x3f;

/// Basic header segment: the first 48 bytes of a PDU, with accessors for its fields.
///
/// Which fields apply depends on the opcode; several fields of different PDUs share an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bhs([u8; BHS_LEN]);

/// Defines a getter and a setter for each 32-bit field, given its offset in the header.
macro_rules! u32_fields {
    ($($(#[$doc:meta])* $offset:literal: $get:ident, $set:ident;)*) => {
        impl Bhs {
            $(
                $(#[$doc])*
                pub fn $get(&self) -> u32 {
                    self.u32_at($offset)
                }

                /// Sets the field that the getter of the same name returns.
                #[must_use]
                pub fn $set(self, value: u32) -> Self {
                    self.with_u32($offset, value)
                }
            )*
        }
    };
}

u32_fields! {
    /// Initiator task tag.
    16: itt, with_itt;
    /// Target transfer tag.
    20: target_transfer_tag, with_target_transfer_tag;
    /// Referenced task tag of a task management request (section 11.5.4).
    20: referenced_task_tag, with_referenced_task_tag;
    /// Expected data transfer length of a SCSI command in bytes (section 11.3.4).
    20: expected_data_len, with_expected_data_len;
    /// Command sequence number of a request (section 4.2.2.1).
    24: cmd_sn, with_cmd_sn;
    /// Status sequence number of a response (section 4.2.2.2).
    24: stat_sn, with_stat_sn;
    /// In a response, the `CmdSN` that the target expects next.
    28: exp_cmd_sn, with_exp_cmd_sn;
    /// In a request, the `StatSN` that the initiator expects next.
    28: exp_stat_sn, with_exp_stat_sn;
    /// In a response, the last `CmdSN` of the command window.
    32: max_cmd_sn, with_max_cmd_sn;
    /// In a task management request, the `CmdSN` of the referenced task (section 11.5.5).
    32: ref_cmd_sn, with_ref_cmd_sn;
    /// Number of a Data-In, Data-Out or R2T PDU within its sequence (`DataSN`, `R2TSN`).
    36: data_sn, with_data_sn;
    /// Buffer offset in bytes.
    40: buffer_offset, with_buffer_offset;
    /// Residual count of a response in bytes (section 11.4.5).
    44: residual_count, with_residual_count;
    /// Desired data transfer length of an R2T in bytes (section 11.8.4).
    44: desired_data_len, with_desired_data_len;
}

impl Bhs {
    /// Returns a header with an opcode and the flags of byte 1; all other fields are zero.
    pub fn new(opcode: u8, flags: u8) -> Self {
        let mut bytes = [0; BHS_LEN];
        bytes[0] = opcode;
        bytes[1] = flags;
        Bhs(bytes)
    }

    /// Returns the header that consists of `bytes`.
    pub fn from_bytes(bytes: [u8; BHS_LEN]) -> Self {
        Bhs(bytes)
    }

    /// Returns the bytes of the header.
    pub fn as_bytes(&self) -> &[u8; BHS_LEN] {
        &self.0
    }

    /// Returns the bytes of the header for writing, for fields without a setter.
    pub fn bytes_mut(&mut self) -> &mut [u8; BHS_LEN] {
        &mut self.0
    }

    /// Returns the opcode, without the immediate bit.
    pub fn opcode(&self) -> u8 {
        self.0[0] & OPCODE_BITS
    }

    /// Returns whether a request is for immediate delivery; such a request does not advance `CmdSN`.
    pub fn is_immediate(&self) -> bool {
        self.0[0] & IMMEDIATE_BIT != 0
    }

    /// Marks a request for immediate delivery.
    #[must_use]
    pub fn with_immediate(mut self) -> Self {
        self.0[0] |= IMMEDIATE_BIT;
        self
    }

    /// Returns byte 1, which holds the flags of [`flag`].
    pub fn flags(&self) -> u8 {
        self.0[1]
    }

    /// Returns whether the final bit is set.
    pub fn is_final(&self) -> bool {
        self.0[1] & flag::FINAL != 0
    }

    /// Returns the byte at an offset.
    pub fn byte(&self, offset: usize) -> u8 {
        self.0[offset]
    }

    /// Sets the byte at an offset.
    #[must_use]
    pub fn with_byte(mut self, offset: usize, value: u8) -> Self {
        self.0[offset] = value;
        self
    }

    fn u16_at(&self, offset: usize) -> u16 {
        u16::from_be_bytes([self.0[offset], self.0[offset + 1]])
    }

    fn with_u16(mut self, offset: usize, value: u16) -> Self {
        self.0[offset..offset + 2].copy_from_slice(&value.to_be_bytes());
        self
    }

    fn u32_at(&self, offset: usize) -> u32 {
        let mut bytes = [0; 4];
        bytes.copy_from_slice(&self.0[offset..offset + 4]);
        u32::from_be_bytes(bytes)
    }

    fn with_u32(mut self, offset: usize, value: u32) -> Self {
        self.0[offset..offset + 4].copy_from_slice(&value.to_be_bytes());
        self
    }

    /// Returns the length of the additional header segments that follow, in bytes.
    pub fn ahs_len(&self) -> usize {
        usize::from(self.0[4]) * 4
    }

    /// Returns the length of the data segment, in bytes, without padding and digest.
    pub fn data_len(&self) -> usize {
        (usize::from(self.0[5]) << 16) | (usize::from(self.0[6]) << 8) | usize::from(self.0[7])
    }

    /// Sets the length of the data segment, in bytes.
    pub(crate) fn set_data_len(&mut self, len: usize) {
        self.0[5..8].copy_from_slice(&(len as u32).to_be_bytes()[1..]);
    }

    /// Returns the LUN, or `None` if its addressing method is not supported.
    pub fn lun(&self) -> Option<u32> {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[8..16]);
        parse_lun(bytes)
    }

    /// Sets the LUN.
    #[must_use]
    pub fn with_lun(mut self, lun: u32) -> Self {
        self.0[8..16].copy_from_slice(&lun_bytes(lun));
        self
    }

    /// Copies the LUN field from another header, also if it holds no supported LUN.
    pub(crate) fn with_lun_of(mut self, other: &Bhs) -> Self {
        self.0[8..16].copy_from_slice(&other.0[8..16]);
        self
    }

    /// Returns the command descriptor block of a SCSI command.
    pub fn cdb(&self) -> [u8; 16] {
        let mut cdb = [0; 16];
        cdb.copy_from_slice(&self.0[32..48]);
        cdb
    }

    /// Sets the command descriptor block.
    #[must_use]
    pub fn with_cdb(mut self, cdb: &[u8; 16]) -> Self {
        self.0[32..48].copy_from_slice(cdb);
        self
    }

    /// Returns the response code of a SCSI, logout or task management response, or the reason of a Reject.
    pub fn response(&self) -> u8 {
        self.0[2]
    }

    /// Sets the response code, or the reason of a Reject.
    #[must_use]
    pub fn with_response(self, response: u8) -> Self {
        self.with_byte(2, response)
    }

    /// Returns the SCSI status of a SCSI Response or of a Data-In with status.
    pub fn status(&self) -> u8 {
        self.0[3]
    }

    /// Sets the SCSI status.
    #[must_use]
    pub fn with_status(self, status: u8) -> Self {
        self.with_byte(3, status)
    }

    /// Returns the status qualifier of a SCSI Response (RFC 7144).
    pub fn status_qualifier(&self) -> u16 {
        self.u16_at(8)
    }

    /// Sets the status qualifier.
    #[must_use]
    pub fn with_status_qualifier(self, qualifier: u16) -> Self {
        self.with_u16(8, qualifier)
    }

    /// Returns Version-min, the lowest protocol version that a login request supports (section 11.12.4).
    pub(crate) fn version_min(&self) -> u8 {
        self.0[3]
    }

    /// Returns the initiator session identifier (ISID) of a login PDU.
    pub fn isid(&self) -> [u8; 6] {
        let mut isid = [0; 6];
        isid.copy_from_slice(&self.0[8..14]);
        isid
    }

    /// Sets the initiator session identifier (ISID).
    #[must_use]
    pub fn with_isid(mut self, isid: [u8; 6]) -> Self {
        self.0[8..14].copy_from_slice(&isid);
        self
    }

    /// Returns the target session identifying handle (TSIH) of a login PDU.
    pub(crate) fn tsih(&self) -> u16 {
        self.u16_at(14)
    }

    pub(crate) fn with_tsih(self, tsih: u16) -> Self {
        self.with_u16(14, tsih)
    }

    /// Returns the status class of a login response.
    pub(crate) fn login_status_class(&self) -> u8 {
        self.0[36]
    }

    /// Returns the status detail of a login response.
    pub(crate) fn login_status_detail(&self) -> u8 {
        self.0[37]
    }

    pub(crate) fn with_login_status(self, class: u8, detail: u8) -> Self {
        self.with_byte(36, class).with_byte(37, detail)
    }

    /// Returns the event (`AsyncEvent`) of an asynchronous message.
    pub(crate) fn async_event(&self) -> u8 {
        self.0[36]
    }

    /// Sets the event (`AsyncEvent`) and `Parameter3` of an asynchronous message.
    pub(crate) fn with_async_event(self, event: u8, parameter3: u16) -> Self {
        self.with_byte(36, event).with_u16(42, parameter3)
    }

    /// Sets `Time2Wait` and `Time2Retain` of a logout response, in seconds.
    pub(crate) fn with_logout_times(self, time2wait: u16, time2retain: u16) -> Self {
        self.with_u16(40, time2wait).with_u16(42, time2retain)
    }
}

/// Returns whether `a` is less than `b` in serial number arithmetic (RFC 1982; section 4.2.2.1).
pub(crate) fn serial_before(a: u32, b: u32) -> bool {
    (a.wrapping_sub(b) as i32) < 0
}

/// Complete PDU. Additional header segments are skipped, since no supported command needs one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pdu {
    /// Basic header segment of the PDU.
    pub bhs: Bhs,
    /// Data segment of the PDU, without padding.
    pub data: Vec<u8>,
}
