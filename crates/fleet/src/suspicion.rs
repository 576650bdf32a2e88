//! Suspicions: a member did not answer pings, and has not yet refuted that (SWIM, section 4.2).
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::config::SUSPICION_CONFIRMATIONS;

/// Members that accuse the same member: the lower halves of their ids.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Accusers {
    /// The member that raised the suspicion.
    first: u32,
    /// Members that confirmed it, in the order in which this host learned of them.
    confirming: heapless::Vec<u32, SUSPICION_CONFIRMATIONS>,
}

impl Accusers {
    fn contains(&self, accuser: u32) -> bool {
        self.first == accuser || self.confirming.contains(&accuser)
    }

    /// Adds a confirmation. Returns whether it counts: each accuser does once, and only so many are kept.
    fn add(&mut self, accuser: u32) -> bool {
        !self.contains(accuser) && self.confirming.push(accuser).is_ok()
    }

    fn latest(&self) -> u32 {
        self.confirming.last().copied().unwrap_or(self.first)
    }
}

/// A suspicion of one member that was neither refuted nor concluded yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Suspicion {
    since: Millis,
    accusers: Accusers,
    is_local: bool,
}

impl Suspicion {
    /// A suspicion that a member raises. `is_local`: this host is isolated, and does not gossip the suspicion.
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

    /// Another member gossips the suspicion, so it is no longer this host's alone. Returns whether that changed anything.
    pub fn confirm(&mut self, accuser: u32) -> bool {
        let is_new = self.accusers.add(accuser);
        let was_local = std::mem::take(&mut self.is_local);
        is_new || was_local
    }

    /// This host was stopped for `gap`, in which no refutation could be read.
    pub fn extend(&mut self, gap: Millis) {
        self.since += gap;
    }

    /// Keeps the suspicion to this host, if this host alone raised it since its last contact with any member. Returns
    /// whether it did.
    pub fn keep_local(&mut self, own_accuser: u32, last_contact: Millis) -> bool {
        let is_only_own = self.accusers.first == own_accuser && self.accusers.confirming.is_empty();
        let is_kept = is_only_own && self.since >= last_contact;
        self.is_local |= is_kept;
        is_kept
    }

    /// When it was raised.
    pub fn since(&self) -> Millis {
        self.since
    }

    /// Members that confirmed it, besides the one that raised it.
    pub fn confirmations(&self) -> usize {
        self.accusers.confirming.len()
    }

    /// Whether this host alone raised it while isolated. Such a suspicion is not gossiped.
    pub fn is_local(&self) -> bool {
        self.is_local
    }

    /// The member that raised it.
    pub fn first_accuser(&self) -> u32 {
        self.accusers.first
    }

    /// The member that confirmed it last, or the one that raised it.
    pub fn latest_accuser(&self) -> u32 {
        self.accusers.latest()
    }
}
