//! What passed on the sockets of clients, nodes and the list service, with the time of each.
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Microseconds since the run began.
pub type Micros = u64;

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A client sent a command. `mark` is the group number of its command block.
    Asked {
        op: u64,
        client: u32,
        host: u32,
        volume: u32,
        write: bool,
        lba: u64,
        blocks: u32,
        mark: u8,
    },
    /// Its final answer. `read`: per block the write it shows, none where bytes are altered.
    Answered {
        op: u64,
        status: u8,
        read: Vec<Option<u64>>,
    },
    /// The client gave it up or lost its connection: no answer can come.
    Left {
        op: u64,
    },
    /// An answer came for nothing that was asked.
    Stray {
        client: u32,
    },
    /// A node took a command in whole. `wrote`: per block the write it carries.
    Got {
        node: u32,
        host: u32,
        line: u64,
        task: u32,
        lun: u32,
        write: bool,
        lba: u64,
        blocks: u32,
        mark: u8,
        wrote: Vec<u64>,
        /// The volume's block that the first block of a write says it is.
        first: Option<u64>,
    },
    /// It answered one.
    Said {
        node: u32,
        line: u64,
        task: u32,
        status: u8,
    },
    /// A node was told to drop one; a connection with whatever was open on it closed.
    CalledOff {
        node: u32,
        line: u64,
        task: u32,
    },
    Closed {
        node: u32,
        line: u64,
    },
    /// A node's process came up, or is over.
    Up {
        node: u32,
    },
    Down {
        node: u32,
    },
    /// It was sent too much while cold.
    Fell {
        node: u32,
    },
    /// The list service told a host of a node.
    Told {
        host: u32,
        node: u32,
        open: bool,
    },
    /// A snapshot was asked for and granted; how its blocks read at the end.
    Kept {
        volume: u32,
        name: String,
        asked: Micros,
        blocks: Vec<Option<u64>>,
    },
    /// A host's process came up, or is over.
    HostUp {
        host: u32,
    },
    HostDown {
        host: u32,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub at: Micros,
    pub what: What,
}

/// Where all stand-ins write.
#[derive(Clone)]
pub struct Trace {
    began: Instant,
    on: bool,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl Default for Trace {
    fn default() -> Self {
        Trace { began: Instant::now(), on: true, seen: Arc::default() }
    }
}

impl Trace {
    /// One that keeps time and nothing else.
    pub fn off() -> Self {
        Trace { on: false, ..Trace::default() }
    }

    pub fn is_on(&self) -> bool {
        self.on
    }

    pub fn now(&self) -> Micros {
        self.began.elapsed().as_micros() as Micros
    }

    pub fn note(&self, what: What) {
        if !self.on {
            return;
        }
        let at = self.now();
        self.seen.lock().expect("no writer panics").push(Seen { at, what });
    }

    /// Notes something that happened earlier.
    pub fn note_at(&self, at: Micros, what: What) {
        self.seen.lock().expect("no writer panics").push(Seen { at, what });
    }

    /// All that was noted, in order of time.
    pub fn take(&self) -> Vec<Seen> {
        let mut seen = std::mem::take(&mut *self.seen.lock().expect("no writer panics"));
        seen.sort_by_key(|s| s.at);
        seen
    }
}
