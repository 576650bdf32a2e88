//! What the control service does with parts of a limit that are lent to it: it grants them to hosts that want
//! more than their even part, each time for less than every loan behind it still lasts. It owns nothing itself:
//! a service that dies or forgets leaves every host with its own.
use crate::lend::{LOAN, MARGIN};
use crate::{Millis, Units};
use std::collections::BTreeMap;

/// How long a grant lasts. Two in a row may be missed before a borrower falls back.
pub const GRANT: Millis = 1_500;
/// A borrower's clock may be slow: what the service counts a grant for.
const HELD: Millis = GRANT + MARGIN;
/// The service asks all hosts this often.
pub const ASK: Millis = 500;
/// Of what a borrower has and wants less of, this part of a thousand stays with it at each look: demand that
/// wavers does not send parts to and fro.
const STAY: Units = 500;

/// One limit as the service sees it.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Nothing is granted before: grants of a service before this one have to lapse, as nobody knows of them.
    from: Millis,
    /// By lender: amounts, and until when they surely last.
    loans: BTreeMap<u32, Vec<(Units, Millis)>>,
    /// By borrower: amounts that it may still use, and until when.
    grants: BTreeMap<u32, Vec<(Units, Millis)>>,
    /// What each host wants beyond its even part, and when it said so.
    wants: BTreeMap<u32, (Units, Millis)>,
}

impl Pool {
    /// `fresh`: no service ran before this one.
    pub fn new(now: Millis, fresh: bool) -> Pool {
        let from = if fresh { now } else { now + HELD };
        Pool { from, loans: BTreeMap::new(), grants: BTreeMap::new(), wants: BTreeMap::new() }
    }

    /// A host's answer to a question that was sent at `asked`: what it lends, and what it wants beyond its even
    /// part. The loan counts from the question, which came before the answer whatever the clocks say.
    pub fn heard(&mut self, host: u32, asked: Millis, lent: Units, wants: Units, now: Millis) {
        let loans = self.loans.entry(host).or_default();
        loans.retain(|l| now < l.1);
        if lent > 0 && now < asked + LOAN {
            loans.push((lent, asked + LOAN));
        }
        self.wants.insert(host, (wants, now));
    }

    /// What all lenders together surely leave unused up to a moment.
    fn lasting(&self, until: Millis) -> Units {
        let of = |loans: &Vec<(Units, Millis)>| {
            loans.iter().filter(|l| until <= l.1).map(|l| l.0).max().unwrap_or(0)
        };
        self.loans.values().map(of).sum()
    }

    /// What a host may still be using of earlier grants.
    fn holds(&self, host: u32, now: Millis) -> Units {
        let grants = self.grants.get(&host).into_iter().flatten();
        grants.filter(|g| now < g.1).map(|g| g.0).max().unwrap_or(0)
    }

    /// What a host is granted now, for `GRANT` from its report on; 0: nothing.
    pub fn grant(&mut self, host: u32, now: Millis) -> Units {
        self.tidy(now);
        if now < self.from {
            return 0;
        }
        let wants = self.wants.get(&host).map_or(0, |w| w.0);
        let all = self.lasting(now + HELD);
        let wanted: u128 = self.wants.values().map(|w| u128::from(w.0)).sum();
        // Its share by what all want, and by no more than it wants itself.
        let fair = (u128::from(all) * u128::from(wants)).checked_div(wanted).unwrap_or(0) as Units;
        let has = self.holds(host, now);
        let aim = if fair < has { fair + (has - fair) * STAY / 1000 } else { fair };
        let others: Units = self.grants.keys().filter(|h| **h != host).map(|h| self.holds(*h, now)).sum();
        // What others still hold is not there to be granted, whoever should have it.
        let amount = aim.min(wants).min(all.saturating_sub(others));
        if amount > 0 {
            self.grants.entry(host).or_default().push((amount, now + HELD));
        }
        amount
    }

    fn tidy(&mut self, now: Millis) {
        let alive = |all: &mut BTreeMap<u32, Vec<(Units, Millis)>>| {
            all.values_mut().for_each(|v| v.retain(|a| now < a.1));
            all.retain(|_, v| !v.is_empty());
        };
        alive(&mut self.loans);
        alive(&mut self.grants);
        self.wants.retain(|_, w| now < w.1 + GRANT);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_service_that_starts_anew_grants_nothing_that_may_still_be_in_use() {
        let mut pool = Pool::new(1_000, false);
        for (now, granted) in [(1_000, 0), (1_000 + HELD - 1, 0), (1_000 + HELD, 300)] {
            pool.heard(0, now, 300, 0, now);
            pool.heard(1, now, 0, 400, now);
            assert_eq!(pool.grant(1, now), granted, "at {now}");
        }
    }

    #[test]
    fn what_is_lent_goes_to_those_who_want_it_by_how_much_they_want() {
        let mut pool = Pool::new(0, true);
        pool.heard(0, 0, 300, 0, 10);
        pool.heard(1, 0, 0, 400, 10);
        pool.heard(2, 0, 0, 200, 10);
        assert_eq!((pool.grant(1, 10), pool.grant(2, 10), pool.grant(0, 10)), (200, 100, 0));
    }

    #[test]
    fn nothing_is_granted_for_longer_than_it_is_lent() {
        let mut pool = Pool::new(0, true);
        pool.heard(0, 0, 300, 0, 10);
        pool.heard(1, 0, 0, 400, LOAN - HELD);
        assert_eq!(pool.grant(1, LOAN - HELD), 300);
        pool.heard(1, 0, 0, 400, LOAN - HELD + 1);
        assert_eq!(pool.grant(1, LOAN - HELD + 1), 0);
    }

    #[test]
    fn what_a_borrower_may_still_use_is_not_granted_to_another() {
        let mut pool = Pool::new(0, true);
        pool.heard(0, 0, 300, 0, 10);
        pool.heard(1, 0, 0, 900, 10);
        assert_eq!(pool.grant(1, 10), 300);
        // The first is silent now; the second wants all.
        pool.heard(0, 1_000, 300, 0, 1_010);
        pool.heard(2, 1_000, 0, 900, 1_010);
        assert_eq!(pool.grant(2, 1_010), 0);
        pool.heard(0, 1_500, 300, 0, 1_570);
        pool.heard(2, 1_500, 0, 900, 1_570);
        assert_eq!(pool.grant(2, 1_570), 300, "what the first was granted has lapsed");
    }

    #[test]
    fn demand_that_moves_takes_its_parts_along_without_a_swing() {
        let mut pool = Pool::new(0, true);
        let (mut now, mut last) = (0, (0, 0));
        let mut turns = 0;
        for round in 0..20 {
            now += ASK;
            pool.heard(0, now, 300, 0, now);
            let (a, b) = if round < 10 { (300, 0) } else { (0, 300) };
            pool.heard(1, now, 0, a, now);
            pool.heard(2, now, 0, b, now);
            let got = (pool.grant(1, now), pool.grant(2, now));
            turns += u32::from(got.0 > last.0) + u32::from(got.1 > last.1);
            last = got;
        }
        assert_eq!(last, (0, 300));
        assert!(turns <= 4, "{turns} rises: once for each, in steps of what lapses");
    }
}
