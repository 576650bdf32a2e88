//! From the placement of today to another one, a part of a volume at a time, so that no step on the way breaks a
//! reserve, a loss that a volume survives, or a zone wish. What is broken today may stay broken until its step
//! comes, and gets no worse. The steps are data for whatever moves extents.
use crate::model::{Problem, SCALE};
use crate::value::{Placement, excess, part_gain, placed};
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// One part of a volume goes from a node to another. Without `from` it is new there; without `to` it is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Step {
    pub volume: usize,
    pub from: Option<usize>,
    pub to: Option<usize>,
    /// Data that this step copies, times `SCALE`.
    pub data: u128,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Moves {
    pub steps: Vec<Step>,
    /// How all volumes lie after the last step.
    pub ends: Placement,
    /// Volumes that stay where they are, as the data allowed to move does not reach for them.
    pub left: Vec<usize>,
    /// Volumes that no order of steps was found for.
    pub stuck: Vec<usize>,
}

impl Moves {
    pub fn data(&self) -> u128 {
        self.steps.iter().map(|s| s.data).sum()
    }
}

/// Where volumes lie today. A volume that lies nowhere yet has no nodes.
pub fn today(p: &Problem) -> Placement {
    let at = |name: &String| p.nodes.iter().position(|n| n.name == *name);
    p.volumes.iter().map(|v| v.today.iter().filter_map(at).collect()).collect()
}

/// Orders the way from one placement to another, with at most so much data moved (times `SCALE`).
///
/// Volumes on nodes that can do nothing any more go first, then those whose moves gain most for their data; what
/// the data does not reach for stays. Where two volumes stand in each other's way, one goes round by a third
/// node, which moves its data twice.
pub fn order(p: &Problem, from: &Placement, to: &Placement, most: Option<u128>) -> Moves {
    let (chosen, left) = choose(p, from, to, most);
    let mut way = Way { p, at: from.clone(), steps: Vec::new(), broken: broken(p, from) };
    let mut open: Vec<usize> = chosen;
    // Data that is left for going round.
    let room = |way: &Way| most.map(|m| m.saturating_sub(way.steps.iter().map(|s| s.data).sum()));
    while !open.is_empty() {
        let before = way.steps.len();
        open.retain(|v| {
            while way.at[*v] != to[*v] && way.nearer(*v, &to[*v]) {}
            way.at[*v] != to[*v]
        });
        if way.steps.len() > before {
            continue;
        }
        let needs = |v: usize| remaining(p, v, &way.at[v], &to[v]);
        let all: u128 = open.iter().map(|v| needs(*v)).sum();
        let spare = room(&way).map(|r| r.saturating_sub(all));
        if !way.round(&open, to, spare) {
            break;
        }
    }
    // What could not be finished goes no further, but stays sound where it is.
    Moves { steps: way.steps, ends: way.at, left, stuck: open }
}

fn remaining(p: &Problem, v: usize, at: &[usize], to: &[usize]) -> u128 {
    let part = u128::from(p.volumes[v].size) * SCALE as u128 / to.len().max(1) as u128;
    part * to.iter().filter(|n| !at.contains(n)).count() as u128
}

/// Which volumes move, in the order in which they are worth it, and which the data does not reach for.
fn choose(p: &Problem, from: &Placement, to: &Placement, most: Option<u128>) -> (Vec<usize>, Vec<usize>) {
    let lost = |v: usize| from[v].is_empty() || from[v].iter().any(|n| p.nodes[*n].capacity == 0);
    // What moving one volume alone would gain, at the nodes that it touches.
    let gains = |v: usize| {
        let nodes: BTreeSet<usize> = from[v].iter().chain(&to[v]).copied().collect();
        let at = |placement: &Placement| -> i128 {
            let here =
                |n: usize| (0..placement.len()).filter(|v| placement[*v].contains(&n)).collect::<Vec<_>>();
            nodes.iter().map(|n| part_gain(p, placement, *n, &here(*n))).sum()
        };
        let mut moved = from.clone();
        moved[v].clone_from(&to[v]);
        at(&moved) - at(from)
    };
    let mut all: Vec<_> = (0..p.volumes.len())
        .filter(|v| from[*v] != to[*v])
        .map(|v| {
            let data = remaining(p, v, &from[v], &to[v]);
            // Without a bound on the data only the order is at stake, and any will do.
            let gain = if most.is_some() { gains(v) } else { 0 };
            (Reverse(lost(v)), Reverse(gain / (data as i128 / SCALE).max(1)), v, data)
        })
        .collect();
    all.sort_unstable();
    let (mut chosen, mut left, mut sum) = (Vec::new(), Vec::new(), 0);
    for (_, _, v, data) in all {
        if most.is_none_or(|m| sum + data <= m) {
            sum += data;
            chosen.push(v);
        } else {
            left.push(v);
        }
    }
    left.sort_unstable();
    (chosen, left)
}

/// Wishes of a volume's own that a node set does not meet.
fn unmet(p: &Problem, v: usize, set: &[usize]) -> usize {
    let volume = &p.volumes[v];
    let zones: BTreeSet<&str> = set.iter().map(|n| p.nodes[*n].zone.as_str()).collect();
    let outside =
        set.iter().filter(|n| volume.zone.as_ref().is_some_and(|z| *z != p.nodes[**n].zone)).count();
    outside + if volume.apart { set.len() - zones.len() } else { 0 }
}

/// How far reserves are from fitting, now and in every loss that is survived.
fn broken(p: &Problem, at: &Placement) -> i128 {
    // A new volume counts once all of it is there: nobody is served by the half.
    let counts = |a: &(usize, &[usize])| {
        !a.1.is_empty() && (!p.volumes[a.0].today.is_empty() || a.1.len() == p.volumes[a.0].spread)
    };
    let mut placed = placed(at);
    placed.retain(counts);
    excess(p, &placed)
}

struct Way<'a> {
    p: &'a Problem,
    at: Placement,
    steps: Vec<Step>,
    broken: i128,
}

impl Way<'_> {
    /// Takes a step if nothing gets worse by it.
    fn take(&mut self, v: usize, from: Option<usize>, to: Option<usize>) -> bool {
        let mut set: Vec<usize> = self.at[v].iter().copied().filter(|n| Some(*n) != from).chain(to).collect();
        set.sort_unstable();
        set.dedup();
        let wishes = |set: &[usize]| unmet(self.p, v, set);
        // A volume that is new has its wishes met when its last part is there.
        if wishes(&set) > wishes(&self.at[v]) {
            return false;
        }
        let before = std::mem::replace(&mut self.at[v], set);
        let broken = broken(self.p, &self.at);
        if broken > self.broken {
            self.at[v] = before;
            return false;
        }
        self.broken = broken;
        let data = to.map_or(0, |_| self.part(v));
        self.steps.push(Step { volume: v, from, to, data });
        true
    }

    /// One step of a volume towards a node set. False: none is possible now.
    fn nearer(&mut self, v: usize, wanted: &[usize]) -> bool {
        let leaves: Vec<usize> = self.at[v].iter().copied().filter(|n| !wanted.contains(n)).collect();
        let comes: Vec<usize> = wanted.iter().copied().filter(|n| !self.at[v].contains(n)).collect();
        if comes.is_empty() {
            return leaves.iter().any(|l| self.take(v, Some(*l), None));
        }
        if leaves.is_empty() {
            return comes.iter().any(|c| self.take(v, None, Some(*c)));
        }
        leaves.iter().any(|l| comes.iter().any(|c| self.take(v, Some(*l), Some(*c))))
    }

    /// Data of a part of a volume, times `SCALE`.
    fn part(&self, v: usize) -> u128 {
        u128::from(self.p.volumes[v].size) * SCALE as u128 / self.p.volumes[v].spread.max(1) as u128
    }

    /// Moves a part of some volume out of the way, to a third node, with the least data. False: that helps none.
    fn round(&mut self, open: &[usize], to: &Placement, spare: Option<u128>) -> bool {
        let may = |v: &usize| spare.is_none_or(|s| self.part(*v) <= s);
        let mut by_size: Vec<usize> = open.iter().copied().filter(may).collect();
        by_size.sort_unstable_by_key(|v| (self.part(*v), *v));
        for v in by_size {
            let leaves: Vec<usize> = self.at[v].iter().copied().filter(|n| !to[v].contains(n)).collect();
            for from in leaves {
                for third in (0..self.p.nodes.len()).filter(|n| !to[v].contains(n)) {
                    if self.at[v].contains(&third) || !self.take(v, Some(from), Some(third)) {
                        continue;
                    }
                    // Only where another one can go on by that; else it is taken back.
                    let helped = open.iter().any(|o| *o != v && self.nearer(*o, &to[*o]));
                    if helped {
                        return true;
                    }
                    self.steps.pop();
                    let set = &mut self.at[v];
                    set.retain(|n| *n != third);
                    set.push(from);
                    set.sort_unstable();
                    self.broken = broken(self.p, &self.at);
                }
            }
        }
        false
    }
}
