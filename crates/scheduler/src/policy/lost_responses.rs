//! The attempts in flight at a node, and the detection of lost responses from their order.
use crate::interface::{BioId, Tick};

/// Ticks after a lost response during which the scheduler checks for further lost ones (5 s).
const LOSS_DETECTION_PERIOD: Tick = 50_000;

/// An attempt in flight at a node.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// Time at which the attempt was sent.
    pub(super) sent_at: Tick,
    /// The block I/O that the attempt belongs to.
    pub(super) bio: BioId,
}

/// The attempts in flight at a node, oldest first.
#[derive(Default)]
pub(super) struct AttemptsInFlight {
    attempts: Vec<Attempt>,
    /// Latest time at which any attempt that has completed was sent.
    latest_completed_sent_at: Option<Tick>,
}

impl AttemptsInFlight {
    /// Returns the number of attempts in flight.
    pub(super) fn count(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Returns whether no attempt is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Adds an attempt that is sent now.
    pub(super) fn add(&mut self, now: Tick, bio: BioId) {
        self.attempts.push(Attempt { sent_at: now, bio });
    }

    /// Removes the attempt of a block I/O.
    pub(super) fn remove(&mut self, bio: BioId) {
        self.attempts.retain(|attempt| attempt.bio != bio);
    }

    /// Records the completion of an attempt that was sent at this time.
    pub(super) fn record_completion(&mut self, sent_at: Tick) {
        self.latest_completed_sent_at = self.latest_completed_sent_at.max(Some(sent_at));
    }

    /// Returns the age of the oldest attempt in flight, or 0 if there is none.
    pub(super) fn age_of_oldest(&self, now: Tick) -> Tick {
        self.attempts
            .first()
            .map_or(0, |oldest| now - oldest.sent_at)
    }

    /// Returns the number of attempts no older than `span`, which may still be answered while responses are being lost.
    pub(super) fn count_younger_than(&self, now: Tick, span: Tick) -> u32 {
        let younger = |attempt: &&Attempt| now - attempt.sent_at <= span;
        self.attempts.iter().filter(younger).count() as u32
    }

    /// Returns whether an attempt sent after this time has completed.
    pub(super) fn is_overtaken(&self, sent_at: Tick) -> bool {
        self.latest_completed_sent_at
            .is_some_and(|latest| latest > sent_at)
    }

    /// Returns the attempts older than `span` that were sent before an attempt that has completed.
    pub(super) fn overtaken(&self, now: Tick, span: Tick) -> impl Iterator<Item = &Attempt> {
        let old = move |attempt: &&Attempt| attempt.sent_at < now - span;
        self.attempts
            .iter()
            .filter(old)
            .filter(|attempt| self.is_overtaken(attempt.sent_at))
    }
}

/// Detects that responses are being lost: an attempt timed out after a later one was answered.
#[derive(Default)]
pub(super) struct LostResponseDetector {
    losing_until: Option<Tick>,
}

impl LostResponseDetector {
    /// Records that an attempt timed out although a later one was answered.
    pub(super) fn record_loss(&mut self, now: Tick) {
        self.losing_until = Some(now + LOSS_DETECTION_PERIOD);
    }

    /// Returns whether a response was lost recently, so that others may be lost too.
    pub(super) fn is_losing(&self, now: Tick) -> bool {
        self.losing_until.is_some_and(|end| now < end)
    }
}
