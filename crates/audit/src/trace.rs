//! Trace of a run: events on the sockets of clients, nodes and the endpoint list service, and starts and ends of
//! processes, each with its time.
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Microseconds since the run began.
pub type Micros = u64;

/// Event that a stand-in observed on its sockets, or start or end of a process.
#[derive(Clone, Debug, PartialEq)]
pub enum TraceEvent {
    /// A client sent a command.
    CommandSent {
        /// Number of the command, unique in a run.
        command: u64,
        /// Number of the client.
        client: u32,
        /// Number of the host that the command was sent to.
        host: u32,
        /// Index of the volume.
        volume: u32,
        /// Whether the command is a write.
        write: bool,
        /// First block, in addresses of the volume.
        lba: u64,
        /// Number of blocks.
        blocks: u32,
        /// GROUP NUMBER of the command descriptor block (SBC-4), which distinguishes reads of the same blocks.
        group_number: u8,
    },
    /// A client received the final answer of a command.
    CommandAnswered {
        /// Number of the command.
        command: u64,
        /// SCSI status code.
        status: u8,
        /// Id of the write whose data each block holds; none where the data is corrupt.
        read: Vec<Option<u64>>,
    },
    /// The client aborted a command or lost its connection, so the command can have no answer.
    CommandAbandoned {
        /// Number of the command.
        command: u64,
    },
    /// A client received an answer that matches no open command.
    UnexpectedAnswer {
        /// Number of the client.
        client: u32,
    },
    /// A node received a complete command.
    NodeReceived {
        /// Number of the node.
        node: u32,
        /// Number of the host that sent the command.
        host: u32,
        /// Number of the connection at this node.
        connection: u64,
        /// Initiator task tag.
        task: u32,
        /// Logical unit of the node.
        lun: u32,
        /// Whether the command is a write.
        write: bool,
        /// First block, in addresses of the node.
        lba: u64,
        /// Number of blocks.
        blocks: u32,
        /// GROUP NUMBER of the command descriptor block.
        group_number: u8,
        /// Id of the write whose data each received block holds.
        write_ids: Vec<u64>,
        /// Block address, in the volume, that the first received block contains; none for a read.
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
    /// A connection to a node closed, with all commands in flight on it.
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
    /// A node in slow start received more than it tolerates, and crashed.
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
        /// Whether the node accepts new commands.
        active: bool,
    },
    /// A snapshot was granted, and its blocks were read back at the end of the run.
    SnapshotRead {
        /// Index of the volume.
        volume: u32,
        /// Name of the snapshot.
        name: String,
        /// When the snapshot was requested.
        requested_at: Micros,
        /// Id of the write whose data each block holds; none where the data is corrupt.
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

/// Event of a run with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceEntry {
    /// Time of the event.
    pub at: Micros,
    /// The event.
    pub event: TraceEvent,
}

/// Trace that all stand-ins of a run write to, and the clock that they share.
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
    /// Returns a clock that records no events.
    pub fn disabled() -> Self {
        Trace {
            recording: false,
            ..Trace::default()
        }
    }

    /// Returns whether events are recorded.
    pub fn is_recording(&self) -> bool {
        self.recording
    }

    /// Returns the time since the run began.
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

    /// Removes and returns all entries, in order of time.
    pub fn take(&self) -> Vec<TraceEntry> {
        let mut entries = std::mem::take(&mut *self.lock());
        entries.sort_by_key(|entry| entry.at);
        entries
    }

    fn lock(&self) -> MutexGuard<'_, Vec<TraceEntry>> {
        // A panic of a writer cannot leave a partial entry, so a poisoned lock still guards valid entries.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
