//! Sequence numbers of a session at its target (section 4.2.2).
use crate::error::ProtocolError;
use crate::pdu::{Bhs, serial_before};

/// Sequence numbers of commands and statuses at a target.
#[expect(clippy::struct_field_names, reason = "the names of RFC 7143")]
pub(super) struct TargetSequence {
    stat_sn: u32,
    exp_cmd_sn: u32,
    max_cmd_sn: u32,
}

impl TargetSequence {
    /// Returns the sequence numbers of a connection that has not received a login request.
    pub(super) fn new() -> Self {
        TargetSequence {
            stat_sn: 1,
            exp_cmd_sn: 0,
            max_cmd_sn: 0,
        }
    }

    /// Starts with the `CmdSN` of a login request, which does not advance `ExpCmdSN`, and a command window of `window`
    /// commands.
    pub(super) fn start(&mut self, cmd_sn: u32, window: u32) {
        self.exp_cmd_sn = cmd_sn;
        self.max_cmd_sn = cmd_sn.wrapping_add(window).wrapping_sub(1);
    }

    /// Checks the `CmdSN` of a request that is not immediate. Returns false if the request is to be ignored because its
    /// `CmdSN` is outside the command window (section 4.2.2.1).
    ///
    /// # Errors
    /// Fails if the `CmdSN` is inside the command window but not the next one.
    pub(super) fn accept(&mut self, cmd_sn: u32) -> Result<bool, ProtocolError> {
        if serial_before(cmd_sn, self.exp_cmd_sn) || serial_before(self.max_cmd_sn, cmd_sn) {
            return Ok(false);
        }
        if cmd_sn != self.exp_cmd_sn {
            return Err(ProtocolError::CommandSequenceGap {
                received: cmd_sn,
                expected: self.exp_cmd_sn,
            });
        }
        self.exp_cmd_sn = self.exp_cmd_sn.wrapping_add(1);
        Ok(true)
    }

    /// Raises `MaxCmdSN` so that the command window admits `free` more commands. It never decreases (section 4.2.2.1).
    pub(super) fn open_window(&mut self, free: u32) {
        let max_cmd_sn = self.exp_cmd_sn.wrapping_add(free).wrapping_sub(1);
        if serial_before(self.max_cmd_sn, max_cmd_sn) {
            self.max_cmd_sn = max_cmd_sn;
        }
    }

    /// Returns the next `StatSN` without advancing it.
    pub(super) fn next_stat_sn(&self) -> u32 {
        self.stat_sn
    }

    /// Returns the next `StatSN` and advances it.
    pub(super) fn take_stat_sn(&mut self) -> u32 {
        let stat_sn = self.stat_sn;
        self.stat_sn = stat_sn.wrapping_add(1);
        stat_sn
    }

    /// Sets a `StatSN` and the command window in a header.
    pub(super) fn number(&self, bhs: Bhs, stat_sn: u32) -> Bhs {
        bhs.with_stat_sn(stat_sn)
            .with_exp_cmd_sn(self.exp_cmd_sn)
            .with_max_cmd_sn(self.max_cmd_sn)
    }
}

#[cfg(test)]
mod tests;
