//! A list service that handles calls in turn: each takes its time, and one that has waited too long is turned away.
use crate::trace::Micros;
use rand::{Rng, RngExt};
use std::collections::VecDeque;

/// Calls that wait at most; the next one is turned away at once.
const WAITING_MOST: usize = 4_096;

/// How the service is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    Well,
    /// Resets and refuses all.
    Down,
    /// Takes calls and says nothing.
    Mute,
    /// Turns away this part of its calls with 503.
    Refuses(f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handled {
    Served,
    TurnedAway,
}

pub struct Turns<C> {
    /// Time that a call takes, and how long one may wait for its turn.
    pub takes: Micros,
    pub patience: Micros,
    pub mood: Mood,
    /// The call in hand, and when it is over.
    busy: Option<(Micros, C)>,
    waiting: VecDeque<(Micros, C)>,
    pub calls: u64,
    pub turned_away: u64,
    pub most_waiting: usize,
}

impl<C: Copy + PartialEq> Turns<C> {
    pub fn new(takes: Micros, patience: Micros) -> Self {
        let (busy, waiting) = (None, VecDeque::new());
        Turns { takes, patience, mood: Mood::Well, busy, waiting, calls: 0, turned_away: 0, most_waiting: 0 }
    }

    /// A call has come whole. An answer: it needs no turn.
    pub fn call(&mut self, now: Micros, call: C, rng: &mut impl Rng) -> Option<Handled> {
        self.calls += 1;
        let refused = matches!(self.mood, Mood::Refuses(part) if rng.random_bool(part));
        if refused || self.waiting.len() >= WAITING_MOST {
            self.turned_away += 1;
            return Some(Handled::TurnedAway);
        }
        self.waiting.push_back((now, call));
        self.begin(now);
        self.most_waiting = self.most_waiting.max(self.waiting.len());
        None
    }

    fn begin(&mut self, now: Micros) {
        if self.busy.is_none()
            && self.mood != Mood::Mute
            && let Some((came, call)) = self.waiting.pop_front()
        {
            let over = now - came > self.patience;
            // Turning one away costs no turn.
            self.busy = Some((if over { now } else { now + self.takes }, call));
            if over {
                self.waiting.push_front((came, call));
            }
        }
    }

    /// A caller has gone; the call that is in hand is finished all the same.
    pub fn gone(&mut self, call: C) {
        self.waiting.retain(|w| w.1 != call);
    }

    pub fn due(&self) -> Option<Micros> {
        self.busy.map(|b| b.0)
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The next call that is over by now.
    pub fn next(&mut self, now: Micros) -> Option<(C, Handled)> {
        let (_, call) = self.busy.take_if(|b| b.0 <= now)?;
        // One that is turned away is still first in line: it never was in hand.
        let away = self.waiting.front().is_some_and(|w| w.1 == call);
        if away {
            self.waiting.pop_front();
            self.turned_away += 1;
        }
        self.begin(now);
        Some((call, if away { Handled::TurnedAway } else { Handled::Served }))
    }

    /// Down, or up again: nothing that waited is left. Mute, or no longer: what waits goes on.
    pub fn turns(&mut self, now: Micros, mood: Mood) {
        self.mood = mood;
        if mood == Mood::Down {
            (self.busy, self.waiting) = (None, VecDeque::new());
        }
        self.begin(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_pcg::Pcg64Mcg;

    #[test]
    fn calls_are_handled_in_turn_and_those_that_waited_too_long_are_turned_away() {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut turns = Turns::new(400_000, 1_000_000);
        for call in 0..6 {
            assert_eq!(turns.call(0, call, &mut rng), None);
        }
        turns.gone(1);
        let (mut now, mut came) = (0, Vec::new());
        while let Some(due) = turns.due() {
            now = due;
            came.extend(turns.next(now).map(|(call, how)| (call, how, now)));
        }
        use Handled::*;
        let wanted = [
            (0, Served, 400_000),
            (2, Served, 800_000),
            (3, Served, 1_200_000),
            (4, TurnedAway, 1_200_000),
            (5, TurnedAway, 1_200_000),
        ];
        assert_eq!(came, wanted);
        assert_eq!((turns.most_waiting, turns.turned_away, now), (5, 2, 1_200_000));
        turns.turns(now, Mood::Refuses(1.0));
        assert_eq!(turns.call(now, 9, &mut rng), Some(TurnedAway));
        turns.turns(now, Mood::Mute);
        assert_eq!((turns.call(now, 10, &mut rng), turns.due()), (None, None), "no word");
        turns.turns(now, Mood::Down);
        turns.turns(now, Mood::Well);
        assert_eq!(turns.due(), None, "what waited went with the service");
    }
}
