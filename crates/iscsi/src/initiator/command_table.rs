//! The commands of a connection that have no final answer yet, by their initiator task tags.
use super::transfer::{ReadTransfer, WriteTransfer};

/// Number of values that the upper half of a task tag takes in turn. Bit 31 stays clear, which marks task
/// management requests.
const TAG_CYCLE: u16 = 0x7fff;
/// The lower half of a task tag: the command's index in the table.
const INDEX_BITS: u32 = 0xffff;

/// A command that was sent.
pub(super) struct InFlightCommand {
    /// The caller's tag.
    pub tag: u32,
    pub itt: u32,
    pub lun: u32,
    pub read: ReadTransfer,
    pub write: WriteTransfer,
    /// Offset in the stream of the command's first byte.
    pub stream_offset: u64,
    /// Whether an ABORT TASK was sent. The command stays until that is answered: only then is it over.
    pub aborted: bool,
}

#[derive(Default)]
pub(super) struct CommandTable {
    slots: Vec<Option<InFlightCommand>>,
    tag_cycle: u16,
}

impl CommandTable {
    /// Index of a free slot, and the task tag for the command to put there. A tag is not used again soon, so
    /// that a late answer does not find another command.
    pub fn reserve(&mut self) -> (usize, u32) {
        let free = self.slots.iter().position(Option::is_none);
        let index = free.unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.tag_cycle = (self.tag_cycle + 1) % TAG_CYCLE;
        (index, (u32::from(self.tag_cycle) << 16) | index as u32)
    }

    /// Puts a command into the slot that was reserved for it.
    pub fn insert(&mut self, index: usize, command: InFlightCommand) {
        if let Some(slot) = self.slots.get_mut(index) {
            *slot = Some(command);
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = &InFlightCommand> {
        self.slots.iter().flatten()
    }

    /// The slot of the command with a task tag.
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

    /// Puts back a command that was removed for a moment.
    pub fn restore(&mut self, command: InFlightCommand) {
        self.insert((command.itt & INDEX_BITS) as usize, command);
    }

    /// Marks a command as aborted and drops its data; none if it is not in flight or already aborted.
    pub fn start_abort(&mut self, tag: u32) -> Option<&InFlightCommand> {
        let mut commands = self.slots.iter_mut().flatten();
        let command = commands.find(|command| command.tag == tag && !command.aborted)?;
        command.aborted = true;
        command.read.discard();
        command.write.discard();
        Some(command)
    }
}
