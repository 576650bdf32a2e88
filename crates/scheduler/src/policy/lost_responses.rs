//! The attempts in flight at a node, and the loss of responses that their order shows.
use crate::interface::{BioId, Tick};

/// Ticks after a lost response in which the scheduler looks for others.
const LOSS_DETECTION_PERIOD: Tick = 50_000;

/// An attempt in flight at a node.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    /// When it was sent.
    pub(super) sent_at: Tick,
    /// The block I/O that it is for.
    pub(super) bio: BioId,
}

/// The attempts in flight at a node, oldest first.
#[derive(Default)]
pub(super) struct AttemptsInFlight {
    attempts: Vec<Attempt>,
    /// The latest sending time of an attempt that completed.
    latest_completed_sent_at: Option<Tick>,
}

impl AttemptsInFlight {
    /// How many there are.
    pub(super) fn count(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Whether there are none.
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

    /// An attempt that was sent at this time completed.
    pub(super) fn record_completion(&mut self, sent_at: Tick) {
        self.latest_completed_sent_at = self.latest_completed_sent_at.max(Some(sent_at));
    }

    /// How long the oldest attempt has been in flight; 0 without one.
    pub(super) fn age_of_oldest(&self, now: Tick) -> Tick {
        self.attempts
            .first()
            .map_or(0, |oldest| now - oldest.sent_at)
    }

    /// How many were sent within this span: those that may still be answered while responses are lost.
    pub(super) fn count_younger_than(&self, now: Tick, span: Tick) -> u32 {
        let younger = |attempt: &&Attempt| now - attempt.sent_at <= span;
        self.attempts.iter().filter(younger).count() as u32
    }

    /// Whether a later attempt than one sent at this time has completed.
    pub(super) fn is_overtaken(&self, sent_at: Tick) -> bool {
        self.latest_completed_sent_at
            .is_some_and(|latest| latest > sent_at)
    }

    /// The attempts older than this span that a later one has overtaken.
    pub(super) fn overtaken(&self, now: Tick, span: Tick) -> impl Iterator<Item = &Attempt> {
        let old = move |attempt: &&Attempt| attempt.sent_at < now - span;
        self.attempts
            .iter()
            .filter(old)
            .filter(|attempt| self.is_overtaken(attempt.sent_at))
    }
}

/// Tells whether responses are being lost: an attempt timed out that a later response had overtaken.
#[derive(Default)]
pub(super) struct LostResponseDetector {
    losing_until: Option<Tick>,
}

impl LostResponseDetector {
    /// An attempt timed out although a later one was answered.
    pub(super) fn record_loss(&mut self, now: Tick) {
        self.losing_until = Some(now + LOSS_DETECTION_PERIOD);
    }

    /// Whether a response was lost a short while ago, so that others may be lost too.
    pub(super) fn is_losing(&self, now: Tick) -> bool {
        self.losing_until.is_some_and(|end| now < end)
    }
}
