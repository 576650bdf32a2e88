//! The record of a run: what passed on the sockets of clients, nodes and the endpoint list service, with the time of each.
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Microseconds since the run began.
pub type Micros = u64;

/// One thing that a stand-in observed on its sockets, or that happened to a process.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    /// A client sent a command.
    CommandSent {
        /// Number of the command, unique in a run.
        command: u64,
        /// Number of the client.
        client: u32,
        /// Number of the host it was sent to.
        host: u32,
        /// Index of the volume.
        volume: u32,
        /// Whether it writes.
        write: bool,
        /// First block.
        lba: u64,
        /// Number of blocks.
        blocks: u32,
        /// GROUP NUMBER of the command block (SBC-4), which distinguishes reads of the same blocks.
        group_number: u8,
    },
    /// A client received the final answer of a command.
    CommandAnswered {
        /// Number of the command.
        command: u64,
        /// SCSI status code.
        status: u8,
        /// Per block the id of the write it shows; none where bytes are corrupt.
        read: Vec<Option<u64>>,
    },
    /// The client cancelled a command or lost its connection: no answer can come.
    CommandAbandoned {
        /// Number of the command.
        command: u64,
    },
    /// A client received an answer that matches no open command.
    UnexpectedAnswer {
        /// Number of the client.
        client: u32,
    },
    /// A node received a whole command.
    NodeReceived {
        /// Number of the node.
        node: u32,
        /// Number of the host that sent it.
        host: u32,
        /// Number of the connection at this node.
        connection: u64,
        /// Initiator task tag.
        task: u32,
        /// Logical unit of the node.
        lun: u32,
        /// Whether it writes.
        write: bool,
        /// First block, in the node's own addresses.
        lba: u64,
        /// Number of blocks.
        blocks: u32,
        /// GROUP NUMBER of the command block.
        group_number: u8,
        /// Per block the id of the write it carries.
        write_ids: Vec<u64>,
        /// Block of the volume that the first block of a write says it is.
        first_lba: Option<u64>,
    },
    /// A node answered a command.
    NodeAnswered {
        /// Number of the node.
        node: u32,
        /// Number of the connection.
        connection: u64,
        /// Initiator task tag.
        task: u32,
        /// SCSI status code.
        status: u8,
    },
    /// A node was asked to abort a command.
    NodeAborted {
        /// Number of the node.
        node: u32,
        /// Number of the connection.
        connection: u64,
        /// Initiator task tag.
        task: u32,
    },
    /// A connection to a node closed, with whatever was open on it.
    ConnectionClosed {
        /// Number of the node.
        node: u32,
        /// Number of the connection.
        connection: u64,
    },
    /// A node's process started.
    NodeUp {
        /// Number of the node.
        node: u32,
    },
    /// A node's process ended.
    NodeDown {
        /// Number of the node.
        node: u32,
    },
    /// A warming node received more than it tolerates, and crashed.
    NodeOverloaded {
        /// Number of the node.
        node: u32,
    },
    /// The endpoint list service sent a host the state of a node.
    HostNotified {
        /// Number of the host.
        host: u32,
        /// Number of the node.
        node: u32,
        /// Whether the node takes new work.
        active: bool,
    },
    /// A snapshot was granted, and its blocks were read back at the end of the run.
    SnapshotRead {
        /// Index of the volume.
        volume: u32,
        /// Name of the snapshot.
        name: String,
        /// When it was requested.
        requested_at: Micros,
        /// Per block the id of the write it shows.
        blocks: Vec<Option<u64>>,
    },
    /// A host's process started.
    HostUp {
        /// Number of the host.
        host: u32,
    },
    /// A host's process ended.
    HostDown {
        /// Number of the host.
        host: u32,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceEntry {
    /// When it happened.
    pub at: Micros,
    /// What happened.
    pub event: TraceEvent,
}

/// The shared record that all stand-ins write to, and their clock.
#[derive(Clone)]
pub struct Trace {
    began: Instant,
    recording: bool,
    entries: Arc<Mutex<Vec<TraceEntry>>>,
}

impl Default for Trace {
    fn default() -> Self {
        Trace {
            began: Instant::now(),
            recording: true,
            entries: Arc::default(),
        }
    }
}

impl Trace {
    /// A clock that records nothing.
    pub fn disabled() -> Self {
        Trace {
            recording: false,
            ..Trace::default()
        }
    }

    /// Whether events are recorded.
    pub fn is_recording(&self) -> bool {
        self.recording
    }

    /// Time since the run began.
    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    /// Records an event that happens now.
    pub fn record(&self, event: TraceEvent) {
        if !self.recording {
            return;
        }
        let at = self.now();
        self.lock().push(TraceEntry { at, event });
    }

    /// Records an event that happened earlier.
    pub fn record_at(&self, at: Micros, event: TraceEvent) {
        self.lock().push(TraceEntry { at, event });
    }

    /// Takes all entries out of the record, in order of time.
    pub fn take(&self) -> Vec<TraceEntry> {
        let mut entries = std::mem::take(&mut *self.lock());
        entries.sort_by_key(|entry| entry.at);
        entries
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TraceEntry>> {
        // A push either happened or did not: the record of a panicked writer is sound.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
