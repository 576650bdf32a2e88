//! The commands of a connection that are neither completed nor aborted.

/// A command, called a task in SAM-5.
pub(super) struct Task {
    pub itt: u32,
    pub lun: Option<u32>,
    pub cdb: [u8; 16],
    /// Bytes that the initiator expects to read.
    pub read_len: usize,
    pub is_read: bool,
    /// Bytes that it writes in all.
    pub write_len: usize,
    /// The data received so far, until it is delivered.
    pub write_data: Vec<u8>,
    pub phase: DataPhase,
    /// Buffer offset at which the present burst ends at the latest.
    pub burst_end: usize,
    /// Number of the next Data-Out PDU in its burst.
    pub next_data_sn: u32,
    /// Number of the next R2T.
    pub next_r2t_sn: u32,
}

/// How far the data of a command has come.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum DataPhase {
    /// Unsolicited Data-Out may come.
    Unsolicited,
    /// An R2T is open.
    Solicited,
    /// The command and all its data were handed to the caller.
    Delivered,
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
        if let Some(index) = self.slots.iter().position(Option::is_none) {
            self.slots[index] = Some(task);
            return index;
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
            .any(|task| task.phase != DataPhase::Delivered)
    }
}
