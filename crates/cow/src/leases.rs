//! When a change counts everywhere: once each host has either seen it or may no longer act on what it knew.
//!
//! A host may act on its map for a span from the moment at which it sent its last renewal. The catalog grants a
//! little less than it waits itself, so that clocks may run apart by a part in a hundred. Between a host's last
//! act on an old map and the first act on a change there is always a moment at which that host had none.
use crate::Millis;
use std::collections::BTreeMap;

/// How long a host may act without news: a catalog that starts again within it is not noticed by clients, and
/// a host cut off holds up a first write for no longer.
pub const LEASE: Millis = 3_000;
/// What the catalog waits beyond: clocks apart by one in a hundred, and a step of its own clock.
pub const MARGIN: Millis = 50;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Host {
    seen: u64,
    until: Millis,
}

/// The catalog's view of its hosts.
#[derive(Clone, Debug)]
pub struct Leases {
    hosts: BTreeMap<String, Host>,
    /// Hosts not known yet may act until then: the catalog has just started and does not know them all.
    unknown_until: Millis,
}

impl Leases {
    /// `fresh`: no catalog ran before this one, so no host can hold a lease.
    pub fn new(now: Millis, fresh: bool) -> Self {
        let unknown_until = if fresh { now } else { now + LEASE + MARGIN };
        Leases { hosts: BTreeMap::new(), unknown_until }
    }

    /// A host asks to go on; it holds version `seen`. The span it may act for, from the time it sent this.
    pub fn renew(&mut self, host: &str, seen: u64, now: Millis) -> Millis {
        let host = self.hosts.entry(host.to_owned()).or_default();
        host.seen = seen;
        host.until = now + LEASE + MARGIN;
        LEASE
    }

    pub fn seen(&mut self, host: &str, version: u64) {
        if let Some(host) = self.hosts.get_mut(host) {
            host.seen = host.seen.max(version);
        }
    }

    /// Whether no host acts on anything older than a version.
    pub fn counts(&self, version: u64, now: Millis) -> bool {
        now >= self.unknown_until && self.hosts.values().all(|h| h.seen >= version || now >= h.until)
    }

    /// Whether every host that may act is known.
    pub fn knows_all(&self, now: Millis) -> bool {
        now >= self.unknown_until
    }

    /// Hosts that may act now.
    pub fn holding(&self, now: Millis) -> std::collections::BTreeSet<String> {
        self.hosts.iter().filter(|h| now < h.1.until).map(|h| h.0.clone()).collect()
    }

    /// Hosts that hold a version up now, with when they cease to.
    pub fn late(&self, version: u64, now: Millis) -> Vec<(&str, Millis)> {
        let late = |h: &&(&String, &Host)| h.1.seen < version && now < h.1.until;
        self.hosts.iter().collect::<Vec<_>>().iter().filter(late).map(|h| (h.0.as_str(), h.1.until)).collect()
    }

    pub fn tidy(&mut self, now: Millis) {
        self.hosts.retain(|_, h| now < h.until + LEASE);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_change_counts_once_every_host_has_seen_it() {
        let mut leases = Leases::new(0, true);
        assert!(leases.counts(9, 0));
        leases.renew("a", 4, 0);
        leases.renew("b", 5, 0);
        assert!(!leases.counts(5, 10));
        leases.seen("a", 5);
        assert!(leases.counts(5, 10) && !leases.counts(6, 10));
    }

    #[test]
    fn a_host_that_says_nothing_holds_a_change_up_until_it_may_not_act_and_no_longer() {
        let mut leases = Leases::new(0, true);
        let span = leases.renew("a", 4, 100);
        assert!(!leases.counts(5, 100 + span + MARGIN - 1));
        assert!(leases.counts(5, 100 + span + MARGIN));
        assert_eq!(leases.late(5, 200), [("a", 100 + span + MARGIN)]);
    }

    #[test]
    fn a_catalog_that_starts_again_waits_for_hosts_it_cannot_know() {
        let leases = Leases::new(1_000, false);
        assert!(!leases.counts(1, 1_000 + LEASE) && leases.counts(1, 1_000 + LEASE + MARGIN));
    }

    #[test]
    fn an_older_word_does_not_take_back_a_newer_one() {
        let mut leases = Leases::new(0, true);
        leases.renew("a", 5, 0);
        leases.seen("a", 3);
        assert!(leases.counts(5, 1));
    }

    #[test]
    fn a_host_ceases_to_act_before_the_catalog_ceases_to_wait_with_clocks_apart() {
        // A host's clock that is slow by one in a hundred measures the span longer than it is.
        const { assert!(LEASE * 101 / 100 < LEASE + MARGIN) };
    }
}
