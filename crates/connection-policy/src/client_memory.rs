//! Limit on the memory that the data of clients takes at a host that keeps sessions open (iSCSI).
//!
//! One half of the limit is for the data of commands in flight: a command that would exceed it is not admitted, and its
//! client may send it again. The other half is for the buffers of connections, which hold the received parts of writes
//! and unsent answers: where it is exceeded, the connection that has made no progress for the longest time is closed.
//! A connection makes progress when a command is received whole, when its client reads an answer, or while its buffers are
//! empty.
use crate::Millis;
use crate::admission::ConnectionIndex;
use std::collections::HashMap;

/// Memory for the data of clients in bytes, where the configuration states none.
pub const DEFAULT_LIMIT: u64 = 512 << 20;

/// Buffers of one connection.
#[derive(Clone, Copy, Debug)]
struct Buffers {
    bytes: usize,
    last_progress: Millis,
}

/// Memory that the data of clients takes.
#[derive(Debug)]
pub struct ClientMemory {
    /// Maximum number of bytes of commands in flight, and of buffers.
    half: usize,
    in_flight: usize,
    buffered: usize,
    /// Connections whose buffers hold anything.
    connections: HashMap<ConnectionIndex, Buffers>,
}

impl ClientMemory {
    /// Creates the state of a host without clients. `limit`: memory for the data of clients in bytes. `max_transfer`: size
    /// of the largest command in bytes, for which there is room in any case.
    #[must_use]
    pub fn new(limit: u64, max_transfer: u64) -> Self {
        ClientMemory {
            half: (limit / 2).max(max_transfer) as usize,
            in_flight: 0,
            buffered: 0,
            connections: HashMap::new(),
        }
    }

    /// Returns whether there is room for another command with `bytes` bytes of data.
    #[must_use]
    pub fn admits_command(&self, bytes: usize) -> bool {
        self.in_flight + bytes <= self.half
    }

    /// Records that a command with `bytes` bytes of data is in flight.
    pub fn command_admitted(&mut self, bytes: usize) {
        self.in_flight += bytes;
    }

    /// Records that a command with `bytes` bytes of data is no longer in flight.
    pub fn command_released(&mut self, bytes: usize) {
        self.in_flight -= bytes;
    }

    /// Records the size of a connection's buffers. `has_progressed`: a command was received whole, or bytes of an answer
    /// were written.
    pub fn buffers_changed(
        &mut self,
        index: ConnectionIndex,
        now: Millis,
        bytes: usize,
        has_progressed: bool,
    ) {
        if bytes == 0 {
            return self.connection_closed(index);
        }
        let empty = Buffers {
            bytes: 0,
            last_progress: now,
        };
        let buffers = self.connections.entry(index).or_insert(empty);
        self.buffered = self.buffered - buffers.bytes + bytes;
        buffers.bytes = bytes;
        if has_progressed {
            buffers.last_progress = now;
        }
    }

    /// Records that a connection was closed.
    pub fn connection_closed(&mut self, index: ConnectionIndex) {
        if let Some(buffers) = self.connections.remove(&index) {
            self.buffered -= buffers.bytes;
        }
    }

    /// Returns the connection to close now because the buffers of all connections take too much.
    #[must_use]
    pub fn connection_to_close(&self) -> Option<ConnectionIndex> {
        if self.buffered <= self.half {
            return None;
        }
        let connections = self.connections.iter();
        let stalled = connections.min_by_key(|(index, buffers)| (buffers.last_progress, **index));
        stalled.map(|(index, _)| *index)
    }

    /// Returns the number of bytes that buffers and commands in flight take.
    #[must_use]
    pub fn used(&self) -> usize {
        self.in_flight + self.buffered
    }
}
