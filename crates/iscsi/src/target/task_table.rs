//! Commands of a connection that are neither completed nor aborted.
use super::write_transfer::WriteTransfer;

/// Command in flight, called a task in SAM-5.
pub(super) struct Task {
    pub itt: u32,
    pub lun: Option<u32>,
    pub cdb: [u8; 16],
    /// Number of bytes that the initiator expects to read.
    pub read_len: usize,
    pub is_read: bool,
    /// Transfer of the data that the command writes.
    pub write: WriteTransfer,
}

/// Tasks by index. The index is the `task` in calls and events, and the target transfer tag in R2Ts.
#[derive(Default)]
pub(super) struct TaskTable {
    slots: Vec<Option<Task>>,
    len: u32,
}

impl TaskTable {
    /// Returns the number of tasks.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Returns the number of bytes that have been received of writes that are not complete.
    pub fn received_bytes(&self) -> usize {
        let tasks = self.slots.iter().flatten();
        tasks.map(|task| task.write.received_bytes()).sum()
    }

    /// Returns the number of slots, used or free: all indices in use are below it.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Inserts a task at the first free index and returns the index.
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

    /// Returns whether any command is waiting for data and thus not delivered to the caller.
    pub fn any_awaits_data(&self) -> bool {
        self.slots
            .iter()
            .flatten()
            .any(|task| !task.write.is_delivered())
    }
}
