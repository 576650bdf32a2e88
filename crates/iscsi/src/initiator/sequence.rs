//! Sequence numbers of a session at its initiator (section 4.2.2).
use crate::error::ProtocolError;
use crate::pdu::{Bhs, RESERVED_TAG, flag, opcode, serial_before};

/// Sequence numbers of commands and statuses at an initiator.
#[expect(clippy::struct_field_names, reason = "the names of RFC 7143")]
pub(super) struct InitiatorSequence {
    cmd_sn: u32,
    exp_stat_sn: u32,
    max_cmd_sn: u32,
}

impl InitiatorSequence {
    /// Returns the sequence numbers of a connection on which no response has been received.
    pub(super) fn new() -> Self {
        InitiatorSequence {
            cmd_sn: 1,
            exp_stat_sn: 0,
            max_cmd_sn: 0,
        }
    }

    /// Sets all sequence numbers from a login response.
    pub(super) fn start(&mut self, response: &Bhs) {
        self.exp_stat_sn = response.stat_sn().wrapping_add(1);
        self.max_cmd_sn = response.max_cmd_sn();
        self.cmd_sn = response.exp_cmd_sn();
    }

    /// Returns whether the command window of the target admits another command.
    pub(super) fn is_window_open(&self) -> bool {
        !serial_before(self.max_cmd_sn, self.cmd_sn)
    }

    /// Returns the `CmdSN` of the next command.
    pub(super) fn cmd_sn(&self) -> u32 {
        self.cmd_sn
    }

    /// Sets the sequence numbers of an immediate request, which does not advance `CmdSN`.
    pub(super) fn number_immediate(&self, bhs: Bhs) -> Bhs {
        self.acknowledge(bhs.with_cmd_sn(self.cmd_sn))
    }

    /// Sets the sequence numbers of a request that is not immediate, and advances `CmdSN`.
    pub(super) fn number(&mut self, bhs: Bhs) -> Bhs {
        let numbered = self.number_immediate(bhs);
        self.cmd_sn = self.cmd_sn.wrapping_add(1);
        numbered
    }

    /// Makes the `CmdSN` of the last numbered request the next one again, as that request is not sent.
    pub(super) fn take_back_number(&mut self) {
        self.cmd_sn = self.cmd_sn.wrapping_sub(1);
    }

    /// Sets `ExpStatSN` in a header, which acknowledges the statuses received so far.
    pub(super) fn acknowledge(&self, bhs: Bhs) -> Bhs {
        bhs.with_exp_stat_sn(self.exp_stat_sn)
    }

    /// Updates the command window from a response and checks its `StatSN` (sections 4.2.2.1 and 4.2.2.2).
    pub(super) fn receive(&mut self, bhs: &Bhs) -> Result<(), ProtocolError> {
        if serial_before(self.max_cmd_sn, bhs.max_cmd_sn()) {
            self.max_cmd_sn = bhs.max_cmd_sn();
        }
        if !has_own_stat_sn(bhs) {
            return Ok(());
        }
        if bhs.stat_sn() != self.exp_stat_sn {
            return Err(ProtocolError::StatusSequenceGap {
                received: bhs.stat_sn(),
                expected: self.exp_stat_sn,
            });
        }
        self.exp_stat_sn = self.exp_stat_sn.wrapping_add(1);
        Ok(())
    }
}

/// Returns whether a PDU advances `StatSN`.
fn has_own_stat_sn(bhs: &Bhs) -> bool {
    match bhs.opcode() {
        opcode::DATA_IN => bhs.flags() & flag::STATUS != 0,
        opcode::R2T => false,
        opcode::NOP_IN => bhs.itt() != RESERVED_TAG,
        _ => true,
    }
}

#[cfg(test)]
mod tests;
