//! The lease of a host, during which it may act on its replica, and when the host renews it.
use crate::Millis;
use crate::leases::LEASE_DURATION;

/// Time before the end of its lease at which a host sends a renewal, in milliseconds: early enough that one renewal may
/// be lost.
const RENEWAL_LEAD: Millis = LEASE_DURATION / 2;
/// Time after which an unanswered renewal is sent again, in milliseconds.
const RENEWAL_RETRY: Millis = RENEWAL_LEAD / 2;

/// A host's lease by its own clock.
#[derive(Default)]
pub(super) struct Lease {
    /// When the lease expires. None: no lease was ever granted.
    expires_at: Option<Millis>,
    /// When the renewal was sent that is not answered yet. None: no renewal is unanswered.
    renewal_sent_at: Option<Millis>,
}

impl Lease {
    /// Returns whether the lease has not expired, so that the host may act now.
    pub(super) fn is_alive(&self, now: Millis) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Records that the renewal that was sent at `sent_at` is granted for a duration from then on.
    pub(super) fn granted(&mut self, sent_at: Millis, duration: Millis) {
        self.expires_at = self.expires_at.max(Some(sent_at + duration));
        self.renewal_sent_at = None;
    }

    /// Returns whether a renewal is to be sent now. If so, records it as sent.
    pub(super) fn renewal_due(&mut self, now: Millis) -> bool {
        let ends_soon = self
            .expires_at
            .is_none_or(|expires_at| now + RENEWAL_LEAD >= expires_at);
        let awaits_answer = self
            .renewal_sent_at
            .is_some_and(|sent_at| now < sent_at + RENEWAL_RETRY);
        let is_due = ends_soon && !awaits_answer;
        if is_due {
            self.renewal_sent_at = Some(now);
        }
        is_due
    }

    /// Records that the connection to the catalog was lost, and with it the answer to an unanswered renewal.
    pub(super) fn connection_lost(&mut self) {
        self.renewal_sent_at = None;
    }
}
