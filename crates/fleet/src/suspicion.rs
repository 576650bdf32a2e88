//! Suspicion of a member that did not answer pings and has not yet refuted the suspicion (SWIM, section 4.2).
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::config::SUSPICION_CONFIRMATIONS;

/// Members that suspect the same member, as the lower halves of their ids.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Accusers {
    /// Member that raised the suspicion.
    first: u32,
    /// Members that confirmed the suspicion, in the order in which this host learned of their confirmations.
    confirming: heapless::Vec<u32, SUSPICION_CONFIRMATIONS>,
}

impl Accusers {
    fn contains(&self, accuser: u32) -> bool {
        self.first == accuser || self.confirming.contains(&accuser)
    }

    /// Adds a confirmation. Returns whether it counts: only one of each accuser does, and only up to
    /// [`SUSPICION_CONFIRMATIONS`].
    fn add(&mut self, accuser: u32) -> bool {
        !self.contains(accuser) && self.confirming.push(accuser).is_ok()
    }

    fn latest(&self) -> u32 {
        self.confirming.last().copied().unwrap_or(self.first)
    }
}

/// Pending suspicion of one member: it was neither refuted nor has it timed out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Suspicion {
    since: Millis,
    accusers: Accusers,
    is_local: bool,
}

impl Suspicion {
    /// Creates a suspicion that a member raises. `is_local`: whether this host raised it while isolated and does not
    /// gossip it.
    pub fn raised_by(accuser: u32, is_local: bool, now: Millis) -> Self {
        Suspicion {
            since: now,
            accusers: Accusers {
                first: accuser,
                confirming: heapless::Vec::new(),
            },
            is_local,
        }
    }

    /// Records that another member gossips the suspicion, which is thus no longer local to this host. Returns whether
    /// anything changed.
    pub fn confirm(&mut self, accuser: u32) -> bool {
        let is_new = self.accusers.add(accuser);
        let was_local = std::mem::take(&mut self.is_local);
        is_new || was_local
    }

    /// Extends the suspicion by a pause of this process, in which it could receive no refutation.
    pub fn extend(&mut self, pause: Millis) {
        self.since += pause;
    }

    /// Makes the suspicion local to this host if only this host raised it, after its last contact with any member.
    /// Returns whether it is such a suspicion.
    pub fn keep_local(&mut self, own_accuser: u32, last_contact: Millis) -> bool {
        let is_only_own = self.accusers.first == own_accuser && self.accusers.confirming.is_empty();
        let is_kept_local = is_only_own && self.since >= last_contact;
        self.is_local |= is_kept_local;
        is_kept_local
    }

    /// Returns when the suspicion was raised.
    pub fn since(&self) -> Millis {
        self.since
    }

    /// Returns the number of members that confirmed the suspicion, without the one that raised it.
    pub fn confirmations(&self) -> usize {
        self.accusers.confirming.len()
    }

    /// Returns whether the suspicion is local to this host, which is isolated. A local suspicion is not gossiped.
    pub fn is_local(&self) -> bool {
        self.is_local
    }

    /// Returns the member that raised the suspicion.
    pub fn first_accuser(&self) -> u32 {
        self.accusers.first
    }

    /// Returns the member that confirmed the suspicion last, or the one that raised it if it is unconfirmed.
    pub fn latest_accuser(&self) -> u32 {
        self.accusers.latest()
    }
}
