//! Commands of a connection that have no final answer yet, by initiator task tag.
use super::transfer::{ReadTransfer, WriteTransfer};

/// Number of values through which the upper half of a task tag cycles. It leaves bit 31 clear, which marks ABORT TASK
/// requests.
const TAG_CYCLE: u16 = 0x7fff;
/// Lower half of a task tag, which holds the index of the command in the table.
const INDEX_BITS: u32 = 0xffff;

/// Command that was sent and has no final answer yet.
pub(super) struct InFlightCommand {
    /// Tag that the caller gave the command.
    pub tag: u32,
    pub itt: u32,
    pub lun: u32,
    pub read: ReadTransfer,
    pub write: WriteTransfer,
    /// Stream offset of the first byte of the command.
    pub stream_offset: u64,
    /// Stream offset after the command and its unsolicited data.
    pub stream_end: u64,
    /// Whether an ABORT TASK was sent for the command. The command stays in the table until that request is answered.
    pub aborted: bool,
}

/// Commands in flight, indexed by the lower half of their task tags.
#[derive(Default)]
pub(super) struct CommandTable {
    slots: Vec<Option<InFlightCommand>>,
    tag_cycle: u16,
}

impl CommandTable {
    /// Returns the index of a free slot and a task tag for the command to insert there. A task tag is not reused soon,
    /// so that a late answer is not matched to another command.
    pub fn reserve(&mut self) -> (usize, u32) {
        let free = self.slots.iter().position(Option::is_none);
        let index = free.unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.tag_cycle = (self.tag_cycle + 1) % TAG_CYCLE;
        (index, (u32::from(self.tag_cycle) << 16) | index as u32)
    }

    /// Inserts a command into the slot that was reserved for it.
    pub fn insert(&mut self, index: usize, command: InFlightCommand) {
        if let Some(slot) = self.slots.get_mut(index) {
            *slot = Some(command);
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &InFlightCommand> {
        self.slots.iter().flatten()
    }

    /// Returns the slot of the command with a task tag, if there is such a command.
    fn slot_mut(&mut self, itt: u32) -> Option<&mut Option<InFlightCommand>> {
        let slot = self.slots.get_mut((itt & INDEX_BITS) as usize)?;
        let is_found = slot.as_ref().is_some_and(|command| command.itt == itt);
        is_found.then_some(slot)
    }

    pub fn get_mut(&mut self, itt: u32) -> Option<&mut InFlightCommand> {
        self.slot_mut(itt)?.as_mut()
    }

    pub fn remove(&mut self, itt: u32) -> Option<InFlightCommand> {
        self.slot_mut(itt)?.take()
    }

    /// Reinserts a command that was temporarily removed.
    pub fn restore(&mut self, command: InFlightCommand) {
        self.insert((command.itt & INDEX_BITS) as usize, command);
    }

    /// Marks a command as aborted, drops its data and returns it; `None` if it is not in flight or already aborted.
    pub fn start_abort(&mut self, tag: u32) -> Option<&InFlightCommand> {
        let mut commands = self.slots.iter_mut().flatten();
        let command = commands.find(|command| command.tag == tag && !command.aborted)?;
        command.aborted = true;
        command.read.discard();
        command.write.discard();
        Some(command)
    }
}
