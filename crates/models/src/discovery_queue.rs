//! The discovery service as a queue: it serves one poll at a time, and rejects polls that have waited for too long.
use crate::Micros;
use rand::{Rng, RngExt};
use std::collections::VecDeque;

/// Polls that wait at most; further ones are rejected at once.
const MAX_QUEUED: usize = 4_096;

/// How the service behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceBehavior {
    /// It serves.
    Normal,
    /// It refuses connections and resets open ones.
    Down,
    /// It accepts polls and sends nothing.
    Hung,
    /// It rejects this fraction of polls with status 503.
    Rejecting(f64),
}

/// What becomes of a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// It gets the list.
    Served,
    /// It gets status 503.
    Rejected,
}

/// The queue of one service; `P` identifies a poll.
pub struct DiscoveryQueue<P> {
    /// Microseconds that a poll takes.
    pub service_time: Micros,
    behavior: ServiceBehavior,
    /// Microseconds after which a poll that still waits is rejected.
    queue_timeout: Micros,
    /// When the current poll is finished, and the poll.
    in_service: Option<(Micros, P)>,
    /// Polls that wait, with their arrival times.
    waiting: VecDeque<(Micros, P)>,
    /// Polls rejected so far.
    pub rejected: u64,
    /// The most polls that waited at one time.
    pub max_queued: usize,
}

impl<P: Copy + PartialEq> DiscoveryQueue<P> {
    /// An empty queue of a service that behaves normally.
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

    /// How the service behaves now.
    pub fn behavior(&self) -> ServiceBehavior {
        self.behavior
    }

    /// A poll has arrived. Returns its outcome if that is known at once.
    pub fn enqueue(&mut self, now: Micros, poll: P, rng: &mut impl Rng) -> Option<PollOutcome> {
        let refused = matches!(self.behavior, ServiceBehavior::Rejecting(fraction) if rng.random_bool(fraction));
        if refused || self.waiting.len() >= MAX_QUEUED {
            self.rejected += 1;
            return Some(PollOutcome::Rejected);
        }
        self.waiting.push_back((now, poll));
        self.start_next(now);
        self.max_queued = self.max_queued.max(self.waiting.len());
        None
    }

    fn start_next(&mut self, now: Micros) {
        if self.in_service.is_some() || self.behavior == ServiceBehavior::Hung {
            return;
        }
        let Some((arrived_at, poll)) = self.waiting.pop_front() else {
            return;
        };
        let expired = now - arrived_at > self.queue_timeout;
        // Rejecting a poll takes no time.
        self.in_service = Some((
            if expired {
                now
            } else {
                now + self.service_time
            },
            poll,
        ));
        if expired {
            self.waiting.push_front((arrived_at, poll));
        }
    }

    /// The caller of a poll has disconnected. A poll in service is finished nevertheless.
    pub fn cancel(&mut self, poll: P) {
        self.waiting.retain(|(_, waiting)| *waiting != poll);
    }

    /// When the current poll is finished.
    pub fn next_due(&self) -> Option<Micros> {
        self.in_service.map(|(due, _)| due)
    }

    /// Polls that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Takes the next poll that is finished by now, and starts the one behind it.
    pub fn complete_next(&mut self, now: Micros) -> Option<(P, PollOutcome)> {
        let (_, poll) = self.in_service.take_if(|(due, _)| *due <= now)?;
        // An expired poll is still the first that waits.
        let expired = self
            .waiting
            .front()
            .is_some_and(|(_, first)| *first == poll);
        if expired {
            self.waiting.pop_front();
            self.rejected += 1;
        }
        self.start_next(now);
        Some((
            poll,
            if expired {
                PollOutcome::Rejected
            } else {
                PollOutcome::Served
            },
        ))
    }

    /// Changes the behavior. A service that goes down loses all polls; one that hangs keeps them.
    pub fn set_behavior(&mut self, now: Micros, behavior: ServiceBehavior) {
        self.behavior = behavior;
        if behavior == ServiceBehavior::Down {
            self.in_service = None;
            self.waiting = VecDeque::new();
        }
        self.start_next(now);
    }
}
