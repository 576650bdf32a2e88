//! Reads and writes that a stand-in node receives.
use mallowseam_audit::block;
use mallowseam_iscsi::scsi::{self, Command};

/// Origin of a command: client, connection and task tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TaskRef {
    /// Id of the client. Another connection may have the same id later.
    pub(super) client: u32,
    /// Number of the connection, unique at the node.
    pub(super) connection: u64,
    /// Initiator task tag.
    pub(super) task: u32,
}

/// Read or write, as parsed from its command descriptor block.
#[derive(Clone, Copy)]
pub(super) struct Transfer {
    pub(super) write: bool,
    pub(super) lba: u64,
    pub(super) blocks: u32,
    pub(super) group_number: u8,
}

impl Transfer {
    /// Parses a command descriptor block. Returns none for a command that is neither a read nor a write.
    pub(super) fn parse(cdb: &[u8; 16]) -> Option<Transfer> {
        let (write, lba, blocks, group_number) = match scsi::parse_cdb(cdb) {
            Ok(Command::Read {
                lba,
                blocks,
                group_number,
            }) => (false, lba, blocks, group_number),
            Ok(Command::Write {
                lba,
                blocks,
                group_number,
            }) => (true, lba, blocks, group_number),
            _ => return None,
        };
        Some(Transfer {
            write,
            lba,
            blocks,
            group_number,
        })
    }

    pub(super) fn bytes(&self) -> u64 {
        u64::from(self.blocks) * block::SIZE as u64
    }
}
