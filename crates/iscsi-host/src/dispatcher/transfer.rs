//! Block range that a command of a client reads or writes.
use mallowseam_iscsi::scsi::Command;

/// Block range of a unit that a command reads or writes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub(super) write: bool,
    pub(super) lba: u64,
    pub(super) blocks: u32,
    /// SCSI group number.
    pub(super) group_number: u8,
}

impl Transfer {
    /// Returns the number of bytes that the command reads or writes. `block_size`: size of a block in bytes.
    pub(super) fn bytes(&self, block_size: u32) -> usize {
        self.blocks as usize * block_size as usize
    }

    /// Returns the transfer of a command, or `None` if the command neither reads nor writes blocks.
    pub(super) fn of_command(command: &Command) -> Option<Transfer> {
        match *command {
            Command::Read {
                lba,
                blocks,
                group_number,
            } => Some(Transfer {
                write: false,
                lba,
                blocks,
                group_number,
            }),
            Command::Write {
                lba,
                blocks,
                group_number,
            } => Some(Transfer {
                write: true,
                lba,
                blocks,
                group_number,
            }),
            _ => None,
        }
    }
}
