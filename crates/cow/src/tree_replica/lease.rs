//! The lease within which a host may act on its replica, and when it is renewed.
use crate::Millis;
use crate::leases::LEASE_DURATION;

/// A host renews its lease when this many milliseconds of it are left: one renewal may be lost.
const RENEWAL_LEAD: Millis = LEASE_DURATION / 2;
/// An unanswered renewal is sent again after this many milliseconds.
const RENEWAL_RETRY: Millis = RENEWAL_LEAD / 2;

/// A host's lease by its own clock.
#[derive(Default)]
pub(super) struct Lease {
    /// None: none was ever granted.
    expires_at: Option<Millis>,
    /// When the renewal was sent that is not answered yet.
    renewal_sent_at: Option<Millis>,
}

impl Lease {
    /// Whether the host may act now.
    pub(super) fn is_alive(&self, now: Millis) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// A renewal that was sent at `sent_at` is granted for a duration from then on.
    pub(super) fn granted(&mut self, sent_at: Millis, duration: Millis) {
        self.expires_at = self.expires_at.max(Some(sent_at + duration));
        self.renewal_sent_at = None;
    }

    /// Whether a renewal is to be sent now; it then counts as sent.
    pub(super) fn renewal_due(&mut self, now: Millis) -> bool {
        let ends_soon = self
            .expires_at
            .is_none_or(|expires_at| now + RENEWAL_LEAD >= expires_at);
        let is_unanswered = self
            .renewal_sent_at
            .is_some_and(|sent_at| now < sent_at + RENEWAL_RETRY);
        let due = ends_soon && !is_unanswered;
        if due {
            self.renewal_sent_at = Some(now);
        }
        due
    }

    /// The connection to the catalog was lost, and with it the answer to a renewal.
    pub(super) fn connection_lost(&mut self) {
        self.renewal_sent_at = None;
    }
}
