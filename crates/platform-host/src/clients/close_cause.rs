//! Causes for which the host closes connections of clients, for counters and the log.

/// Cause for which a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The client has closed the connection, or the connection has failed.
    Disconnected,
    /// No request arrived before the connection's timeout.
    Idle,
    /// A graceful shutdown admits no more requests on the connection.
    Shutdown,
    /// The connection was evicted for a new one at the connection limit.
    Evicted,
    /// The last response was sent, after which the client or the protocol required the close.
    Finished,
    /// The client did not read its response in time.
    UnreadResponse,
    /// The request took too long to arrive.
    LateRequest,
    /// The client's message could not be parsed.
    Malformed,
    /// The memory limit for all clients was exceeded.
    Memory,
}

/// Numbers of connections closed since startup, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CloseCounters {
    /// Number of connections closed with [`CloseCause::Disconnected`].
    pub disconnected: u64,
    /// Number of connections closed with [`CloseCause::Idle`].
    pub idle: u64,
    /// Number of connections closed with [`CloseCause::Shutdown`].
    pub shutdown: u64,
    /// Number of connections closed with [`CloseCause::Evicted`].
    pub evicted: u64,
    /// Number of connections closed with [`CloseCause::Finished`].
    pub finished: u64,
    /// Number of connections closed with [`CloseCause::UnreadResponse`].
    pub unread_response: u64,
    /// Number of connections closed with [`CloseCause::LateRequest`].
    pub late_request: u64,
    /// Number of connections closed with [`CloseCause::Malformed`].
    pub malformed: u64,
    /// Number of connections closed with [`CloseCause::Memory`].
    pub memory: u64,
}

impl CloseCounters {
    /// Counts a closed connection under its cause.
    pub fn count(&mut self, cause: CloseCause) {
        let counter = match cause {
            CloseCause::Disconnected => &mut self.disconnected,
            CloseCause::Idle => &mut self.idle,
            CloseCause::Shutdown => &mut self.shutdown,
            CloseCause::Evicted => &mut self.evicted,
            CloseCause::Finished => &mut self.finished,
            CloseCause::UnreadResponse => &mut self.unread_response,
            CloseCause::LateRequest => &mut self.late_request,
            CloseCause::Malformed => &mut self.malformed,
            CloseCause::Memory => &mut self.memory,
        };
        *counter += 1;
    }
}
