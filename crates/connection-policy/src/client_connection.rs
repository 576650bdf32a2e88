//! Lifecycle of a client's connection that carries one request at a time: its timeouts, and which connection is
//! evicted when there are too many. Decisions on a request itself are the scheduler's once it was admitted.
use crate::Millis;
use crate::graceful_shutdown::GracefulShutdown;
use crate::rejection_backoff::RejectionBackoff;

/// Milliseconds from connecting to the first complete request, and from a later request's first byte to its
/// last. Clients send a request at once; the platform requires that a connection which does not is closed or
/// answered within 3 s.
pub const REQUEST_TIMEOUT: Millis = 2_000;
/// Milliseconds within which a client must receive its complete response.
pub const RESPONSE_TIMEOUT: Millis = 4_000;
/// Milliseconds after which a connection without a request may be closed (platform's rule); it is closed when
/// others need its place.
const EVICTABLE_AFTER_IDLE: Millis = 2_000;
/// Milliseconds after which an idle connection is closed in any case: past any client's pause.
const IDLE_TIMEOUT: Millis = 30_000;
/// Milliseconds for which the result of a poll is taken as current. A client's disconnect must be noticed within
/// 100 ms (platform's rule), also while the loop is busy; this is a third of it.
const POLL_RESULT_LIFETIME: Millis = 30;
/// Milliseconds for which a closed connection is still read: closing a socket with unread bytes would reset it, and
/// the client could lose the error that was sent on it.
pub const LINGER_TIMEOUT: Millis = 500;
/// Bytes that a client may still send on a closed connection before it is reset.
pub const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// What a connection is occupied with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing has been received yet.
    AwaitingFirstRequest,
    /// A request has begun and is incomplete.
    ReceivingRequest,
    /// The scheduler has its request.
    InFlight,
    /// Its response is not fully written.
    SendingResponse,
    /// Nothing since its last response.
    Idle,
    /// It is finished; what it still sends is read and discarded.
    Lingering,
}

/// What the periodic check asks the host to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimeoutAction {
    /// Nothing is due.
    Nothing,
    /// Its request took too long: respond with an error, then close.
    RejectLateRequest,
    /// Close it.
    Close,
}

/// Order of eviction; the first variant goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionRank {
    Lingering,
    LongIdle,
    /// A new connection most likely carries a request soon, so it is evicted after the long idle.
    AwaitingFirstRequest,
    /// One that was just served may not send another request.
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
    /// A connection accepted at `now`.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        ClientConnection {
            phase: Phase::AwaitingFirstRequest,
            phase_began: now,
            rejections: RejectionBackoff::default(),
            discarded_bytes: 0,
        }
    }

    /// What it is occupied with.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// It enters a phase.
    pub fn enter_phase(&mut self, phase: Phase, now: Millis) {
        // The timeout of a first request that arrives in pieces counts from the connect.
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

    /// A request was rejected; the next one is read after a backoff.
    pub fn request_rejected(&mut self, now: Millis) {
        self.rejections.request_rejected(now);
    }

    /// A request was accepted, which resets the backoff.
    pub fn request_accepted(&mut self) {
        self.rejections.request_accepted();
    }

    /// Whether its next request is read now.
    #[must_use]
    pub fn may_read(&self, now: Millis) -> bool {
        let awaits_request = matches!(
            self.phase,
            Phase::AwaitingFirstRequest | Phase::ReceivingRequest | Phase::Idle
        );
        awaits_request && self.rejections.has_passed(now)
    }

    /// Bytes were received after its end and discarded. True: it has sent so many that it is to be reset.
    pub fn bytes_discarded(&mut self, bytes: usize) -> bool {
        self.discarded_bytes += bytes;
        self.discarded_bytes >= MAX_DISCARDED_BYTES
    }

    /// The periodic check: what is due for it now. `shutdown`: the host's graceful shutdown, once it has begun.
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

    /// Its order of eviction, the longest in its phase first. None: it is not evicted.
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

/// Whether the result of a poll is too old to tell that a client is still connected. `since_poll`: milliseconds
/// since the poll returned.
#[must_use]
pub fn poll_result_is_stale(since_poll: Millis) -> bool {
    since_poll > POLL_RESULT_LIFETIME
}

/// Which connection is evicted for a new one. In this order: one that lingers; one that has been idle for
/// `EVICTABLE_AFTER_IDLE`; one that awaits its first request; one that is idle. Among several, the one that has been
/// in its phase for the longest time. So clients that send nothing, or stay connected after one request, evict only
/// each other.
///
/// `connections`: index and state of those that were checked and had nothing to read. None: nothing may be
/// evicted, and the new connection is closed at once.
pub fn eviction_candidate<'a>(
    connections: impl Iterator<Item = (u32, &'a ClientConnection)>,
    now: Millis,
) -> Option<u32> {
    let ranked = connections.filter_map(|(index, state)| Some((state.eviction_key(now)?, index)));
    ranked.min().map(|(_, index)| index)
}
