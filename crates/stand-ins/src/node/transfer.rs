//! Reads and writes as a stand-in node's sockets bring them.
use mallowseam_audit::block;
use mallowseam_iscsi::scsi::{self, Command};

/// Where a command came from, and its task tag there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TaskRef {
    /// Id of the client, which another connection may have later.
    pub(super) client: u32,
    /// Number of the connection, unique at the node.
    pub(super) connection: u64,
    /// Initiator task tag.
    pub(super) task: u32,
}

/// A read or write as its command block says.
#[derive(Clone, Copy)]
pub(super) struct Transfer {
    pub(super) write: bool,
    pub(super) lba: u64,
    pub(super) blocks: u32,
    pub(super) group_number: u8,
}

impl Transfer {
    /// None for a command that is neither a read nor a write.
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
