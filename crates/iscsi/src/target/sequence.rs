//! The sequence numbers of a session at its target (section 4.2.2).
use crate::error::ProtocolError;
use crate::pdu::{Bhs, serial_before};

/// Numbers of commands and of statuses.
#[expect(clippy::struct_field_names, reason = "the names of RFC 7143")]
pub(super) struct TargetSequence {
    stat_sn: u32,
    exp_cmd_sn: u32,
    max_cmd_sn: u32,
}

impl TargetSequence {
    /// The numbers of a connection whose first login request has not come yet.
    pub(super) fn new() -> Self {
        TargetSequence {
            stat_sn: 1,
            exp_cmd_sn: 0,
            max_cmd_sn: 0,
        }
    }

    /// Takes the command number of a login request, which it does not use up. All of `window` is open behind it.
    pub(super) fn start(&mut self, cmd_sn: u32, window: u32) {
        self.exp_cmd_sn = cmd_sn;
        self.max_cmd_sn = cmd_sn.wrapping_add(window).wrapping_sub(1);
    }

    /// Takes the number of a request that is not immediate; false where the request is to be ignored because its
    /// number is outside the window (section 4.2.2.1).
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

    /// Moves `MaxCmdSN` up to where `free` commands more fit. It never moves back (section 4.2.2.1).
    pub(super) fn open_window(&mut self, free: u32) {
        let max_cmd_sn = self.exp_cmd_sn.wrapping_add(free).wrapping_sub(1);
        if serial_before(self.max_cmd_sn, max_cmd_sn) {
            self.max_cmd_sn = max_cmd_sn;
        }
    }

    /// The next `StatSN`, which is not used up.
    pub(super) fn next_stat_sn(&self) -> u32 {
        self.stat_sn
    }

    /// Uses up the next `StatSN`.
    pub(super) fn take_stat_sn(&mut self) -> u32 {
        let stat_sn = self.stat_sn;
        self.stat_sn = stat_sn.wrapping_add(1);
        stat_sn
    }

    /// A header with a status number and the command window.
    pub(super) fn number(&self, bhs: Bhs, stat_sn: u32) -> Bhs {
        bhs.with_stat_sn(stat_sn)
            .with_exp_cmd_sn(self.exp_cmd_sn)
            .with_max_cmd_sn(self.max_cmd_sn)
    }
}

#[cfg(test)]
mod tests;
