//! From when on a version is in force. A host has a version in force from the moment at which it has taken it
//! up. All have it in force once each host has acknowledged it; where it lowered a limit, once what was lent and
//! granted by the older one has lapsed as well. A host that does not answer keeps acting on what it has: its
//! even part is its own, so nothing can be dealt out in its place, and it is named until it answers or is
//! declared gone by an operator who knows that it has stopped.
use crate::Millis;
use crate::lend::{LOAN, MARGIN};
use std::collections::BTreeMap;

/// A host that has not been heard of for so long is late.
pub const LATE: Millis = 3_000;

#[derive(Clone, Debug, PartialEq, Eq)]
struct Host {
    /// The version that it acts on, and since when it is known to.
    acts_on: u64,
    since: Millis,
    heard: Millis,
    /// The last version that it has turned down, and why.
    against: Option<(u64, String)>,
    gone: bool,
}

/// Why a version is not in force everywhere yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Waits {
    /// Not heard of since then; acts on this version or a later one.
    Silent {
        host: String,
        acts_on: u64,
        since: Millis,
    },
    /// Answers, and has not taken it up yet.
    Behind {
        host: String,
        acts_on: u64,
    },
    Against {
        host: String,
        why: String,
    },
    /// All have it; what was lent by the older version lapses then.
    Lapses {
        at: Millis,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Hosts {
    all: BTreeMap<String, Host>,
    /// Versions that lowered a limit: after them older loans have to lapse.
    lowered: Vec<u64>,
}

impl Hosts {
    /// A host has been heard of. One that is new is a member from now on, and acts on nothing yet.
    pub fn heard(&mut self, host: &str, now: Millis) {
        let fresh = Host { acts_on: 0, since: now, heard: now, against: None, gone: false };
        let host = self.all.entry(host.to_owned()).or_insert(fresh);
        // One that was declared gone and is here is not gone.
        (host.heard, host.gone) = (now, false);
    }

    /// Hosts that count: all but those that are gone.
    pub fn count(&self) -> usize {
        self.all.values().filter(|h| !h.gone).count()
    }

    pub fn knows(&self, host: &str) -> bool {
        self.all.get(host).is_some_and(|h| !h.gone)
    }

    /// A host acts on a version from now on. One that it says twice, or an older one, changes nothing: a host
    /// never goes back.
    pub fn acts_on(&mut self, host: &str, version: u64, now: Millis) {
        self.heard(host, now);
        let host = self.all.get_mut(host).expect("just heard");
        if version > host.acts_on {
            (host.acts_on, host.since) = (version, now);
            host.against = host.against.take().filter(|a| a.0 > version);
        }
    }

    pub fn against(&mut self, host: &str, version: u64, why: &str, now: Millis) {
        self.heard(host, now);
        let host = self.all.get_mut(host).expect("just heard");
        if version > host.acts_on {
            host.against = Some((version, why.to_owned()));
        }
    }

    /// An operator knows that a host has stopped for good. False: it has been heard of just now, or is unknown.
    pub fn gone(&mut self, host: &str, now: Millis) -> bool {
        match self.all.get_mut(host) {
            Some(h) if now >= h.heard + LATE => {
                h.gone = true;
                true
            }
            _ => false,
        }
    }

    /// A version lowers some limit.
    pub fn lowers(&mut self, version: u64) {
        self.lowered.push(version);
    }

    /// What a version waits for; empty: it is in force at all hosts.
    pub fn waits(&self, version: u64, now: Millis) -> Vec<Waits> {
        let mut waits = Vec::new();
        let (mut last, lowers) = (0, self.lowered.contains(&version));
        for (name, h) in self.all.iter().filter(|h| !h.1.gone) {
            let host = name.clone();
            if h.acts_on >= version {
                // Since a later version it also has this one, and has had it for at least as long.
                last = last.max(h.since);
            } else if let Some((_, why)) = h.against.as_ref().filter(|a| a.0 >= version) {
                waits.push(Waits::Against { host, why: why.clone() });
            } else if now >= h.heard + LATE {
                waits.push(Waits::Silent { host, acts_on: h.acts_on, since: h.heard });
            } else {
                waits.push(Waits::Behind { host, acts_on: h.acts_on });
            }
        }
        let at = last + LOAN + MARGIN;
        if waits.is_empty() && lowers && now < at {
            waits.push(Waits::Lapses { at });
        }
        waits
    }

    /// The last version that is in force at all hosts.
    pub fn everywhere(&self, newest: u64, now: Millis) -> u64 {
        let of = self.all.values().filter(|h| !h.gone).map(|h| h.acts_on).min();
        let mut version = of.unwrap_or(newest).min(newest);
        while version > 0 && !self.waits(version, now).is_empty() {
            version -= 1;
        }
        version
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_version_is_in_force_once_every_host_acts_on_it() {
        let mut hosts = Hosts::default();
        hosts.acts_on("a", 4, 0);
        hosts.acts_on("b", 3, 0);
        assert_eq!(hosts.waits(4, 10), [Waits::Behind { host: "b".into(), acts_on: 3 }]);
        assert_eq!(hosts.everywhere(4, 10), 3);
        hosts.acts_on("b", 4, 20);
        assert_eq!((hosts.waits(4, 20), hosts.everywhere(4, 20)), (vec![], 4));
        hosts.acts_on("b", 2, 30);
        assert_eq!(hosts.everywhere(4, 30), 4, "an old word does not take it back");
    }

    #[test]
    fn a_lowered_limit_also_waits_for_what_was_lent_before_it() {
        let mut hosts = Hosts::default();
        hosts.lowers(2);
        hosts.acts_on("a", 2, 0);
        hosts.acts_on("b", 2, 500);
        let at = 500 + LOAN + MARGIN;
        assert_eq!(hosts.waits(2, 600), [Waits::Lapses { at }]);
        assert_eq!((hosts.waits(2, at), hosts.everywhere(3, at)), (vec![], 2));
    }

    #[test]
    fn a_silent_host_is_named_until_it_answers_or_is_declared_gone() {
        let mut hosts = Hosts::default();
        hosts.acts_on("a", 1, 0);
        hosts.acts_on("b", 1, 0);
        hosts.acts_on("a", 2, 100);
        assert!(!hosts.gone("b", 1_000), "it has been heard of just now");
        let silent = Waits::Silent { host: "b".into(), acts_on: 1, since: 0 };
        assert_eq!(hosts.waits(2, LATE), [silent]);
        assert!(hosts.gone("b", LATE));
        assert!(hosts.waits(2, LATE).is_empty());
        hosts.heard("b", LATE + 1);
        assert_eq!(hosts.waits(2, LATE + 1).len(), 1, "it is here: it was not gone");
    }

    #[test]
    fn a_host_that_turns_a_version_down_is_named_with_its_reason() {
        let mut hosts = Hosts::default();
        hosts.acts_on("a", 1, 0);
        hosts.against("a", 2, "no such node", 10);
        assert_eq!(hosts.waits(2, 10), [Waits::Against { host: "a".into(), why: "no such node".into() }]);
        hosts.acts_on("a", 3, 20);
        assert!(hosts.waits(2, 20).is_empty());
    }
}
