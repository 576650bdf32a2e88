//! Lifecycle of client connections that carry one request at a time: timeouts, and eviction when there are too many
//! connections. The scheduler decides on a request once it is admitted.
use crate::Millis;
use crate::graceful_shutdown::GracefulShutdown;
use crate::rejection_backoff::RejectionBackoff;

/// Maximum time from connecting to the first complete request, and from the first to the last byte of a later request,
/// in milliseconds. Clients send a request at once; the platform requires that a connection without one is closed or
/// answered within 3 s.
pub const REQUEST_TIMEOUT: Millis = 2_000;
/// Maximum time in which a client must receive its complete response, in milliseconds.
pub const RESPONSE_TIMEOUT: Millis = 4_000;
/// Idle time after which the platform permits to close a connection without a request, in milliseconds. The connection
/// is closed then only if a new one needs its place.
const EVICTABLE_AFTER_IDLE: Millis = 2_000;
/// Idle time after which a connection is closed in any case, in milliseconds. Longer than any client's pause between
/// requests.
const IDLE_TIMEOUT: Millis = 30_000;
/// Time for which the result of a poll counts as current, in milliseconds. The platform requires that a client's
/// disconnect is noticed within 100 ms, also while the event loop is busy; this is a third of that.
const POLL_RESULT_LIFETIME: Millis = 30;
/// Time for which a finished connection is still read, in milliseconds. Closing a socket with unread bytes would reset
/// the connection, and the client could lose the error response that was sent on it.
pub const LINGER_TIMEOUT: Millis = 500;
/// Maximum number of bytes that a client may send on a finished connection before the connection is reset.
pub const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Phase in the lifecycle of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No byte has been received yet.
    AwaitingFirstRequest,
    /// A request has been received in part.
    ReceivingRequest,
    /// The scheduler has admitted the connection's request.
    InFlight,
    /// The response is being written.
    SendingResponse,
    /// No byte has been received since the last response.
    Idle,
    /// The connection is finished; bytes that still arrive are read and discarded.
    Lingering,
}

/// Action that a connection's periodic check requires of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutAction {
    /// Nothing is due.
    Nothing,
    /// The request took too long to arrive: respond with an error, then close the connection.
    RejectLateRequest,
    /// Close the connection.
    Close,
}

/// Order of eviction: connections of an earlier variant are evicted before those of a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    Lingering,
    LongIdle,
    /// Evicted after long-idle connections, since a new connection most likely carries a request soon.
    AwaitingFirstRequest,
    /// Evicted after new connections, since a client that was just served may send no further request.
    RecentlyIdle,
}

/// The state of one client connection.
#[derive(Clone, Copy, Debug)]
pub struct ClientConnection {
    phase: Phase,
    phase_began: Millis,
    rejections: RejectionBackoff,
    discarded_bytes: usize,
}

impl ClientConnection {
    /// Creates the state of a connection that was accepted at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        ClientConnection {
            phase: Phase::AwaitingFirstRequest,
            phase_began: now,
            rejections: RejectionBackoff::default(),
            discarded_bytes: 0,
        }
    }

    /// Returns the connection's phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Records that the connection enters a phase.
    pub fn enter_phase(&mut self, phase: Phase, now: Millis) {
        // The timeout of a first request that arrives in pieces counts from the connect, that of a later one from its
        // first byte.
        let continues = phase == Phase::ReceivingRequest
            && matches!(
                self.phase,
                Phase::AwaitingFirstRequest | Phase::ReceivingRequest
            );
        self.phase = phase;
        if !continues {
            self.phase_began = now;
        }
    }

    /// Records that a request was rejected. The next one is read after a backoff.
    pub fn request_rejected(&mut self, now: Millis) {
        self.rejections.request_rejected(now);
    }

    /// Records that a request was accepted, which resets the backoff.
    pub fn request_accepted(&mut self) {
        self.rejections.request_accepted();
    }

    /// Returns whether the host may read the client's next request now.
    #[must_use]
    pub fn may_read(&self, now: Millis) -> bool {
        let awaits_request = matches!(
            self.phase,
            Phase::AwaitingFirstRequest | Phase::ReceivingRequest | Phase::Idle
        );
        awaits_request && self.rejections.has_passed(now)
    }

    /// Records bytes that were received on a finished connection and discarded. Returns whether the connection must be
    /// reset because of their number.
    pub fn bytes_discarded(&mut self, bytes: usize) -> bool {
        self.discarded_bytes += bytes;
        self.discarded_bytes >= MAX_DISCARDED_BYTES
    }

    /// Returns the action that the connection's timeouts require now. `shutdown`: the host's graceful shutdown, once
    /// it has begun.
    #[must_use]
    pub fn check_timeouts(&self, now: Millis, shutdown: Option<GracefulShutdown>) -> TimeoutAction {
        let age = now.saturating_sub(self.phase_began);
        let rejects_clients = shutdown.is_some_and(|shutdown| !shutdown.admits_clients(now));
        match self.phase {
            Phase::AwaitingFirstRequest if age >= REQUEST_TIMEOUT || rejects_clients => {
                TimeoutAction::Close
            }
            Phase::ReceivingRequest if age >= REQUEST_TIMEOUT => TimeoutAction::RejectLateRequest,
            Phase::SendingResponse if age >= RESPONSE_TIMEOUT => TimeoutAction::Close,
            Phase::Idle if age >= IDLE_TIMEOUT || rejects_clients => TimeoutAction::Close,
            Phase::Lingering if age >= LINGER_TIMEOUT => TimeoutAction::Close,
            _ => TimeoutAction::Nothing,
        }
    }

    /// Returns whether the connection may be evicted for a new one.
    #[must_use]
    pub fn is_evictable(&self) -> bool {
        self.eviction_key(self.phase_began).is_some()
    }

    /// Returns the connection's place in the order of eviction: by rank, then by the time it entered its phase,
    /// earliest first. `None`: the connection is not evicted.
    fn eviction_key(&self, now: Millis) -> Option<(EvictionRank, Millis)> {
        let age = now.saturating_sub(self.phase_began);
        let rank = match self.phase {
            Phase::Lingering => EvictionRank::Lingering,
            Phase::Idle if age >= EVICTABLE_AFTER_IDLE => EvictionRank::LongIdle,
            Phase::AwaitingFirstRequest => EvictionRank::AwaitingFirstRequest,
            Phase::Idle => EvictionRank::RecentlyIdle,
            Phase::ReceivingRequest | Phase::InFlight | Phase::SendingResponse => return None,
        };
        Some((rank, self.phase_began))
    }
}

/// Returns whether a poll result is too old to show that a client is still connected. `since_poll`: milliseconds since
/// the poll returned.
#[must_use]
pub fn poll_result_is_stale(since_poll: Millis) -> bool {
    since_poll > POLL_RESULT_LIFETIME
}

/// Returns the index of the connection to evict for a new one. Order of eviction: lingering connections, connections
/// that have been idle for `EVICTABLE_AFTER_IDLE`, connections that await their first request, other idle connections;
/// among several, the one that has been in its phase for the longest time. Clients that send nothing, or that stay
/// connected after one request, therefore evict only each other.
///
/// `connections`: index and state of the connections that were polled and had nothing to read. `None`: no connection
/// may be evicted, and the caller closes the new one at once.
pub fn eviction_candidate<'a>(
    connections: impl Iterator<Item = (u32, &'a ClientConnection)>,
    now: Millis,
) -> Option<u32> {
    let ranked = connections.filter_map(|(index, state)| Some((state.eviction_key(now)?, index)));
    ranked.min().map(|(_, index)| index)
}
