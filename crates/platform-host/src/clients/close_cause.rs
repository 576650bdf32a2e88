//! Why the host closed the connection of a client, for counters and the log.

/// Why a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The client has closed it, or it has failed.
    Disconnected,
    /// No request came for too long.
    Idle,
    /// A graceful shutdown admits no more requests.
    Shutdown,
    /// It gave way to a new one.
    Evicted,
    /// Its last response was sent, as the client or the protocol asked.
    Finished,
    /// The client did not read its response in time.
    UnreadResponse,
    /// Its request took too long to arrive.
    LateRequest,
    /// Its message could not be parsed.
    Malformed,
    /// The memory for all clients was in use.
    Memory,
}

/// Connections closed since the start, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CloseCounters {
    /// See [`CloseCause::Disconnected`].
    pub disconnected: u64,
    /// See [`CloseCause::Idle`].
    pub idle: u64,
    /// See [`CloseCause::Shutdown`].
    pub shutdown: u64,
    /// See [`CloseCause::Evicted`].
    pub evicted: u64,
    /// See [`CloseCause::Finished`].
    pub finished: u64,
    /// See [`CloseCause::UnreadResponse`].
    pub unread_response: u64,
    /// See [`CloseCause::LateRequest`].
    pub late_request: u64,
    /// See [`CloseCause::Malformed`].
    pub malformed: u64,
    /// See [`CloseCause::Memory`].
    pub memory: u64,
}

impl CloseCounters {
    /// Counts a connection.
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
