//! When a host may begin to copy an extent before its first write. A copy that came to nothing is begun again
//! from a budget of its own, so that a node in trouble is not asked for the same extents over and over on the
//! counters' time: each copy reads and writes a whole extent.
use crate::Millis;

/// Copies of one host at once: enough to keep some nodes busy, few enough to leave them to clients.
pub const AT_ONCE: usize = 8;
/// After a copy that came to nothing, the next of that extent waits.
pub const AGAIN: Millis = 20;
/// How long a host remembers that a copy came to nothing, when no write asks for it again.
pub const REMEMBER: Millis = 5_000;
/// Copies that may be begun again without any having ended well: one for each that can be under way.
const FREE: f64 = AT_ONCE as f64;
/// What a copy that ended well adds: as the share of further submits that the fleet is usually allowed.
const EARNS: f64 = 0.1;
/// With nothing ending well, one may be tried again in this time, so that trouble that is over is noticed.
const PROBE: Millis = 250;

pub struct Copies {
    left: f64,
    probed: Millis,
    /// Copies that were held back by the budget so far.
    pub held: u64,
}

impl Default for Copies {
    fn default() -> Self {
        Copies { left: FREE, probed: 0, held: 0 }
    }
}

impl Copies {
    /// Whether one may begin now, with so many under way. `again`: its last try came to nothing.
    pub fn may_begin(&mut self, under_way: usize, again: bool, now: Millis) -> bool {
        if under_way >= AT_ONCE {
            return false;
        }
        if !again {
            return true;
        }
        if self.left >= 1.0 {
            self.left -= 1.0;
            return true;
        }
        if now >= self.probed + PROBE {
            self.probed = now;
            return true;
        }
        self.held += 1;
        false
    }

    pub fn ended_well(&mut self) {
        self.left = (self.left + EARNS).min(FREE);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_more_are_under_way_than_nodes_can_be_spared_for() {
        let mut copies = Copies::default();
        assert!(copies.may_begin(AT_ONCE - 1, false, 0));
        assert!(!copies.may_begin(AT_ONCE, false, 0));
    }

    #[test]
    fn nodes_in_trouble_are_tried_again_a_few_times_and_then_seldom() {
        let mut copies = Copies::default();
        let tried = (0..1_000).filter(|now| copies.may_begin(0, true, 1_000 + now)).count();
        assert_eq!(tried, AT_ONCE + 4);
        assert_eq!(copies.held, 1_000 - tried as u64);
        assert!(copies.may_begin(0, false, 2_000), "a first try takes nothing from the budget");
    }

    #[test]
    fn what_ends_well_earns_further_tries_up_to_a_bound() {
        let mut copies = Copies { left: 0.0, probed: 1_000, held: 0 };
        (0..9).for_each(|_| copies.ended_well());
        assert!(!copies.may_begin(0, true, 1_000));
        (0..2).for_each(|_| copies.ended_well());
        assert!(copies.may_begin(0, true, 1_000));
        (0..1_000).for_each(|_| copies.ended_well());
        assert_eq!((0..100).filter(|_| copies.may_begin(0, true, 1_000)).count(), AT_ONCE);
    }
}
