//! The commands of a connection that are neither completed nor aborted.
use super::write_transfer::WriteTransfer;

/// A command, called a task in SAM-5.
pub(super) struct Task {
    pub itt: u32,
    pub lun: Option<u32>,
    pub cdb: [u8; 16],
    /// Bytes that the initiator expects to read.
    pub read_len: usize,
    pub is_read: bool,
    /// The data that it writes.
    pub write: WriteTransfer,
}

/// Tasks by their index, which the caller knows as `task` and the initiator as the target transfer tag.
#[derive(Default)]
pub(super) struct TaskTable {
    slots: Vec<Option<Task>>,
    len: u32,
}

impl TaskTable {
    /// Number of tasks.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Number of indices that have ever been in use.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Adds a task at the first free index, which is returned.
    pub fn insert(&mut self, task: Task) -> usize {
        self.len += 1;
        for (index, slot) in self.slots.iter_mut().enumerate() {
            if slot.is_none() {
                *slot = Some(task);
                return index;
            }
        }
        self.slots.push(Some(task));
        self.slots.len() - 1
    }

    pub fn get(&self, index: usize) -> Option<&Task> {
        self.slots.get(index)?.as_ref()
    }

    pub fn get_mut(&mut self, index: usize) -> Option<&mut Task> {
        self.slots.get_mut(index)?.as_mut()
    }

    pub fn remove(&mut self, index: usize) -> Option<Task> {
        let task = self.slots.get_mut(index)?.take()?;
        self.len -= 1;
        Some(task)
    }

    pub fn index_of(&self, itt: u32) -> Option<usize> {
        self.slots
            .iter()
            .position(|slot| slot.as_ref().is_some_and(|task| task.itt == itt))
    }

    /// Whether any command is not delivered yet.
    pub fn any_awaits_data(&self) -> bool {
        self.slots
            .iter()
            .flatten()
            .any(|task| !task.write.is_delivered())
    }
}
