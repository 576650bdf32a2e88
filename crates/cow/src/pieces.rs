//! A write of several parts, with regard to cuts: a snapshot holds all of it or none.
//!
//! Parts that lie in different extents may land in different layers when a cut comes between them. A part may
//! not follow into a newer layer while another may still land in the older one, nor after one has, unless the
//! catalog gives leave: it does if no snapshot has been granted in between, and makes a cut that is still
//! pending anew once the write is through. Leave is for one layer: with the next cut it has to be asked for again. Until a host has no such write under way it holds a grant up. While a cut is
//! pending a host begins no such write: else each cut made anew would meet the next one.
use crate::Millis;
use crate::cache::TELL_AGAIN;
use crate::tree::LayerId;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Leave {
    #[default]
    Needless,
    Asked(Millis, LayerId),
    Given(LayerId),
    Refused,
}

/// What may be done with a part now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Go {
    Now,
    /// Ask for leave first: parts of it lie in this layer.
    Ask(LayerId),
    Wait,
    /// A snapshot holds a part of the write already: it cannot be completed.
    Never,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pieces {
    /// The oldest layer in which a part has landed.
    landed: Option<LayerId>,
    leave: Leave,
}

impl Pieces {
    /// A part has ended in a layer.
    pub fn landed(&mut self, layer: LayerId) {
        self.landed = Some(self.landed.map_or(layer, |l| l.min(layer)));
    }

    /// Whether a part may go into a layer; `elsewhere`: another part is under way to a different one.
    pub fn go(&mut self, into: LayerId, elsewhere: bool, now: Millis) -> Go {
        if elsewhere {
            return Go::Wait;
        }
        let Some(landed) = self.landed.filter(|l| *l != into) else { return Go::Now };
        match self.leave {
            Leave::Given(layer) if layer == into => Go::Now,
            Leave::Refused => Go::Never,
            Leave::Asked(at, layer) if layer == into && now < at + TELL_AGAIN => Go::Wait,
            _ => {
                self.leave = Leave::Asked(now, into);
                Go::Ask(landed)
            }
        }
    }

    /// The catalog's word about a layer.
    pub fn heard(&mut self, layer: LayerId, given: bool) {
        if let (true, Leave::Asked(_, into)) = (self.landed == Some(layer), self.leave) {
            self.leave = if given { Leave::Given(into) } else { Leave::Refused };
        }
    }

    /// Whether a part of it lies in this layer or an older one.
    pub fn begun_by(&self, layer: LayerId) -> bool {
        self.landed.is_some_and(|l| l <= layer)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parts_in_one_layer_go_at_once() {
        let mut pieces = Pieces::default();
        assert_eq!(pieces.go(5, false, 0), Go::Now);
        pieces.landed(5);
        assert_eq!(pieces.go(5, false, 0), Go::Now);
    }

    #[test]
    fn a_part_does_not_follow_into_a_newer_layer_without_leave() {
        let mut pieces = Pieces::default();
        pieces.landed(5);
        assert_eq!(pieces.go(6, false, 10), Go::Ask(5));
        assert_eq!(pieces.go(6, false, 11), Go::Wait);
        assert_eq!(pieces.go(6, false, 10 + TELL_AGAIN), Go::Ask(5));
        pieces.heard(4, true);
        assert_eq!(pieces.go(6, false, 20 + TELL_AGAIN), Go::Wait);
        pieces.heard(5, true);
        assert_eq!(pieces.go(6, false, 20 + TELL_AGAIN), Go::Now);
    }

    #[test]
    fn a_write_that_a_snapshot_holds_half_of_is_never_completed() {
        let mut pieces = Pieces::default();
        pieces.landed(5);
        pieces.go(6, false, 0);
        pieces.heard(5, false);
        pieces.heard(5, true);
        assert_eq!(pieces.go(6, false, 9_999), Go::Never);
    }

    #[test]
    fn leave_ends_with_the_next_cut_and_the_oldest_part_counts() {
        let mut pieces = Pieces::default();
        pieces.landed(5);
        pieces.go(6, false, 0);
        pieces.heard(5, true);
        pieces.landed(6);
        assert_eq!(pieces.go(6, false, 0), Go::Now);
        assert_eq!(pieces.go(7, false, 0), Go::Ask(5));
    }

    #[test]
    fn a_part_waits_for_one_that_may_still_land_in_the_older_layer() {
        let mut pieces = Pieces::default();
        assert_eq!(pieces.go(6, true, 0), Go::Wait);
        assert!(!pieces.begun_by(6));
        pieces.landed(5);
        assert!(pieces.begun_by(5) && !pieces.begun_by(4));
        assert_eq!(pieces.go(6, false, 0), Go::Ask(5));
    }
}
