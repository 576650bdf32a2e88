//! Queue model of the discovery service, which serves one poll at a time and rejects polls that were queued for too long.
use crate::Micros;
use rand::{Rng, RngExt};
use std::collections::VecDeque;

/// Maximum number of queued polls; further ones are rejected immediately.
const MAX_QUEUED: usize = 4_096;

/// Behavior of the service, normal or faulty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceBehavior {
    /// The service serves polls.
    Normal,
    /// The service refuses connections and resets open ones.
    Down,
    /// The service accepts polls but sends no response.
    Hung,
    /// The service rejects this fraction of polls, from 0 to 1, with status 503.
    Rejecting(f64),
}

/// Outcome of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The response contains the endpoint list.
    Served,
    /// The response has status 503.
    Rejected,
}

/// Poll queue of one discovery service; `P` identifies a poll.
pub struct DiscoveryQueue<P> {
    /// Time that the service takes for a poll, in microseconds.
    pub service_time: Micros,
    behavior: ServiceBehavior,
    /// Time after which a queued poll is rejected, in microseconds.
    queue_timeout: Micros,
    /// Poll in service, with the time at which it finishes.
    in_service: Option<(Micros, P)>,
    /// Queued polls with their arrival times, the oldest first.
    waiting: VecDeque<(Micros, P)>,
    /// Number of polls rejected so far.
    pub rejected: u64,
    /// Maximum number of polls that were queued at one time.
    pub max_queued: usize,
}

impl<P: Copy + PartialEq> DiscoveryQueue<P> {
    /// Creates an empty queue of a service with normal behavior.
    pub fn new(service_time: Micros, queue_timeout: Micros) -> Self {
        DiscoveryQueue {
            service_time,
            behavior: ServiceBehavior::Normal,
            queue_timeout,
            in_service: None,
            waiting: VecDeque::new(),
            rejected: 0,
            max_queued: 0,
        }
    }

    /// Returns the current behavior of the service.
    pub fn behavior(&self) -> ServiceBehavior {
        self.behavior
    }

    /// Adds a poll that has arrived. Returns its outcome if it is rejected immediately.
    pub fn enqueue(&mut self, now: Micros, poll: P, rng: &mut impl Rng) -> Option<PollOutcome> {
        let is_rejected = matches!(self.behavior, ServiceBehavior::Rejecting(fraction) if rng.random_bool(fraction));
        if is_rejected || self.waiting.len() >= MAX_QUEUED {
            self.rejected += 1;
            return Some(PollOutcome::Rejected);
        }
        self.waiting.push_back((now, poll));
        self.start_next(now);
        self.max_queued = self.max_queued.max(self.waiting.len());
        None
    }

    /// Starts to serve the oldest queued poll if the service is idle. An expired poll stays at the front of the queue and
    /// finishes at once.
    fn start_next(&mut self, now: Micros) {
        if self.in_service.is_some() || self.behavior == ServiceBehavior::Hung {
            return;
        }
        let Some((arrived_at, poll)) = self.waiting.pop_front() else {
            return;
        };
        let is_expired = now - arrived_at > self.queue_timeout;
        // The service rejects a poll without spending its service time.
        self.in_service = Some((
            if is_expired {
                now
            } else {
                now + self.service_time
            },
            poll,
        ));
        if is_expired {
            self.waiting.push_front((arrived_at, poll));
        }
    }

    /// Removes a queued poll whose client has disconnected. A poll in service is still finished.
    pub fn cancel(&mut self, poll: P) {
        self.waiting.retain(|(_, waiting)| *waiting != poll);
    }

    /// Returns the time at which the poll in service finishes, or `None` if the service is idle.
    pub fn next_due(&self) -> Option<Micros> {
        self.in_service.map(|(due, _)| due)
    }

    /// Returns the number of queued polls.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Removes and returns the poll in service if it is finished by `now`, and starts the next one.
    pub fn complete_next(&mut self, now: Micros) -> Option<(P, PollOutcome)> {
        let (_, poll) = self.in_service.take_if(|(due, _)| *due <= now)?;
        // An expired poll is still at the front of the queue.
        let is_expired = self
            .waiting
            .front()
            .is_some_and(|(_, first)| *first == poll);
        if is_expired {
            self.waiting.pop_front();
            self.rejected += 1;
        }
        self.start_next(now);
        Some((
            poll,
            if is_expired {
                PollOutcome::Rejected
            } else {
                PollOutcome::Served
            },
        ))
    }

    /// Changes the behavior of the service. A service that goes down drops all polls; one that hangs keeps them.
    pub fn set_behavior(&mut self, now: Micros, behavior: ServiceBehavior) {
        self.behavior = behavior;
        if behavior == ServiceBehavior::Down {
            self.in_service = None;
            self.waiting = VecDeque::new();
        }
        self.start_next(now);
    }
}
