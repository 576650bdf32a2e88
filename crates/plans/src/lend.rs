//! A host's part of a limit. Each host owns an even part, which nobody can take from it. What it does not use it
//! lends for a short time, by its own word and its own clock; what it is granted beyond it may use for a
//! shorter time. So a host that is cut off falls back to its even part by itself, and the parts of all hosts
//! never add up to more than the limit.
use crate::{Millis, Units};

/// How long a loan lasts from the moment at which the service asked for it: a few questions may be lost.
pub const LOAN: Millis = 3_000;
/// What the lender waits beyond: clocks apart by a part in a hundred, and a step of its own clock.
pub const MARGIN: Millis = 50;
/// Kept of the even part, whatever is used: a first surge is met before anything can be got back.
const KEEP_PART: Units = 250;
/// Kept above what is used now, in thousandths of it: use grows by a quarter in a second at a busy start of day.
const HEADROOM: Units = 1_250;

/// A host's view of one limit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Share {
    /// The even part: the limit over all hosts of the volume.
    even: Units,
    /// Amounts lent, each until it lapses. The largest one that has not counts.
    lent: Vec<(Units, Millis)>,
    /// Amounts granted, likewise.
    granted: Vec<(Units, Millis)>,
}

fn largest(all: &[(Units, Millis)], now: Millis) -> Units {
    all.iter().filter(|a| now < a.1).map(|a| a.0).max().unwrap_or(0)
}

/// Adds an amount, and drops what has lapsed or counts no more beside it.
fn add(all: &mut Vec<(Units, Millis)>, amount: Units, until: Millis, now: Millis) {
    all.retain(|a| now < a.1 && !(a.0 <= amount && a.1 <= until));
    all.push((amount, until));
}

impl Share {
    pub fn new(limit: Units, hosts: u32) -> Self {
        Share { even: limit / Units::from(hosts.max(1)), ..Share::default() }
    }

    /// A host that has just started does not know what it lent before: it holds itself to the part that it never
    /// lends until all of that has lapsed.
    pub fn started(&mut self, until: Millis, now: Millis) {
        add(&mut self.lent, self.even - self.even * KEEP_PART / 1000, until, now);
    }

    pub fn even(&self) -> Units {
        self.even
    }

    /// The limit is another one. What is lent stays lent until it lapses, and what is granted may be used until
    /// then: see `force` for when a lowered limit counts everywhere.
    pub fn limit(&mut self, limit: Units, hosts: u32) {
        self.even = limit / Units::from(hosts.max(1));
    }

    /// What this host may let through a second.
    pub fn part(&self, now: Millis) -> Units {
        self.even.saturating_sub(largest(&self.lent, now)) + largest(&self.granted, now)
    }

    /// What the host could lend if it goes on using so much; `wanted` counts what it has shed as well.
    pub fn spare(&self, wanted: Units) -> Units {
        let keep = (wanted.saturating_mul(HEADROOM) / 1000).max(self.even * KEEP_PART / 1000);
        self.even.saturating_sub(keep)
    }

    /// Lends so much in answer to the service's question, which is received now. The part is smaller from this
    /// moment on, before the answer is sent.
    pub fn lend(&mut self, amount: Units, now: Millis) -> Units {
        let amount = amount.min(self.even);
        add(&mut self.lent, amount, now + LOAN + MARGIN, now);
        amount
    }

    /// A grant in answer to a report that was sent at `sent`, by this host's clock.
    pub fn granted(&mut self, amount: Units, sent: Millis, span: Millis, now: Millis) {
        if now < sent + span {
            add(&mut self.granted, amount, sent + span, now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_lent_comes_back_by_itself_and_not_before_it_has_lapsed() {
        let mut share = Share::new(900, 3);
        assert_eq!(share.lend(200, 1_000), 200);
        assert_eq!(share.part(1_000), 100);
        // Lending less takes nothing back: others may still use the first loan.
        share.lend(50, 1_500);
        assert_eq!(share.part(1_000 + LOAN + MARGIN - 1), 100);
        assert_eq!(share.part(1_000 + LOAN + MARGIN), 250);
        assert_eq!(share.part(1_500 + LOAN + MARGIN), 300);
    }

    #[test]
    fn a_grant_counts_from_the_moment_at_which_it_was_asked_for() {
        let mut share = Share::new(900, 3);
        share.granted(400, 1_000, 1_500, 2_000);
        assert_eq!((share.part(2_499), share.part(2_500)), (700, 300));
        share.granted(400, 1_000, 1_500, 2_600);
        assert_eq!(share.part(2_600), 300, "it came too late to be of use");
    }

    #[test]
    fn a_host_that_starts_uses_only_what_it_cannot_have_lent() {
        let mut share = Share::new(900, 3);
        share.started(3_050, 0);
        assert_eq!((share.part(0), share.part(3_049), share.part(3_050)), (75, 75, 300));
        let mut other = Share::new(900, 3);
        assert_eq!(other.lend(other.spare(0), 0), 225, "no more is ever lent");
    }

    #[test]
    fn a_host_keeps_what_it_uses_and_a_first_surge() {
        let share = Share::new(900, 3);
        assert_eq!(share.spare(0), 225);
        assert_eq!(share.spare(200), 50);
        assert_eq!(share.spare(10_000), 0);
        assert_eq!(Share::new(900, 3).lend(5_000, 0), 300, "nobody lends what it does not have");
    }
}
