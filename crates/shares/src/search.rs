//! The best placement, proven: volumes one by one, the hardest first, with what cannot fit or cannot be best
//! any more left out.
use crate::bound::most;
use crate::model::{Problem, Volume, Wish};
use crate::value::{Placement, Worth, cost, fits, moved, worth};
use std::cmp::Reverse;

/// How a search came out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The best, proven.
    Best(Worth),
    /// Proven that none fits.
    None,
    /// The steps ran out: the best found so far, and a bound that no placement's gain passes.
    Open { found: Option<Worth>, bound: i128 },
}

struct Search<'a> {
    p: &'a Problem,
    wishes: &'a dyn Fn(Wish) -> bool,
    stretch: u64,
    /// Volumes in the order in which they are placed, and their node sets.
    order: Vec<usize>,
    choices: Vec<Vec<Vec<usize>>>,
    /// For each place in the order, the last one before it with a volume that differs by its name only. Of two
    /// such volumes the first never lies behind the second: exchanged, they would be worth the same, and the
    /// least by name is wanted.
    twins: Vec<Option<usize>>,
    /// Which choice each place in the order has now.
    chosen: Vec<usize>,
    /// No placement gains more.
    bound: i128,
    any: bool,
    steps: u64,
    best: Option<Worth>,
}

/// Works out a problem within so many steps (placements of one volume that were looked at).
pub fn solve(p: &Problem, steps: u64) -> Answer {
    let mut search = Search::new(p, &|_| true, 1000, false, steps);
    search.run();
    let bound = search.bound;
    match (search.steps, search.best) {
        (0, found) => Answer::Open { found, bound },
        (_, Some(best)) => Answer::Best(best),
        (_, None) => Answer::None,
    }
}

/// Whether any placement meets these demands, with capacities in thousandths of what they are. None: the steps
/// ran out.
pub fn feasible(p: &Problem, wishes: &dyn Fn(Wish) -> bool, stretch: u64, steps: u64) -> Option<bool> {
    let mut search = Search::new(p, wishes, stretch, true, steps);
    search.run();
    match (search.best, search.steps) {
        (Some(_), _) => Some(true),
        (None, 0) => None,
        (None, _) => Some(false),
    }
}

impl<'a> Search<'a> {
    fn new(p: &'a Problem, wishes: &'a dyn Fn(Wish) -> bool, stretch: u64, any: bool, steps: u64) -> Self {
        let choices: Vec<_> = (0..p.volumes.len()).map(|v| p.choices(v, wishes)).collect();
        let mut order: Vec<usize> = (0..p.volumes.len()).collect();
        // Few choices and much reserve first: what cannot fit shows early.
        order.sort_by_key(|v| (choices[*v].len().min(1), Reverse(p.volumes[*v].reserve), *v));
        let alike = |a: usize, b: usize| {
            let of = |v: usize| {
                [
                    Wish::Reserve(v),
                    Wish::Zone(v),
                    Wish::Apart(v),
                    Wish::SurvivesNode(v),
                    Wish::SurvivesZone(v),
                ]
                .map(wishes)
            };
            Volume { name: p.volumes[b].name.clone(), ..p.volumes[a].clone() } == p.volumes[b]
                && of(a) == of(b)
        };
        let twin = |at: usize| (0..at).rev().find(|before| alike(order[*before], order[at]));
        let twins = (0..order.len()).map(twin).collect();
        let chosen = vec![0; order.len()];
        Search { p, wishes, stretch, order, choices, twins, chosen, bound: most(p), any, steps, best: None }
    }

    fn run(&mut self) {
        let mut placed = vec![Vec::new(); self.p.volumes.len()];
        self.place(0, &mut placed);
    }

    fn done(&self) -> bool {
        self.steps == 0 || self.any && self.best.is_some()
    }

    fn place(&mut self, depth: usize, placed: &mut Placement) {
        if depth == self.order.len() {
            let found = worth(self.p, placed);
            if self.best.as_ref().is_none_or(|b| found > *b) {
                self.best = Some(found);
            }
            return;
        }
        let v = self.order[depth];
        let from = self.twins[depth].map_or(0, |twin| self.chosen[twin]);
        for i in from..self.choices[v].len() {
            if self.done() {
                return;
            }
            self.chosen[depth] = i;
            self.steps -= 1;
            placed[v] = self.choices[v][i].clone();
            let so_far: Vec<(usize, &[usize])> =
                self.order[..=depth].iter().map(|v| (*v, placed[*v].as_slice())).collect();
            // What has been placed only ever asks for more.
            if fits(self.p, &so_far, self.wishes, self.stretch) && self.may_be_best(depth, placed) {
                self.place(depth + 1, placed);
            }
        }
        placed[v] = Vec::new();
    }

    /// Whether what is still open could beat the best: no volume gains more than alone, and cost and moved
    /// data never shrink.
    fn may_be_best(&self, depth: usize, placed: &Placement) -> bool {
        let Some(best) = self.best.as_ref().filter(|_| !self.any) else { return true };
        if self.bound > best.gain {
            return true;
        }
        let so_far = &self.order[..=depth];
        let spent = cost(self.p, so_far.iter().flat_map(|v| placed[*v].iter().copied()));
        let shifted: u128 = so_far.iter().map(|v| moved(self.p, *v, &placed[*v])).sum();
        (self.bound, Reverse(spent), Reverse(shifted)) >= (best.gain, best.cost, best.moved)
    }
}
