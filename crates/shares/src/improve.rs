//! Placements of large problems: one that fits early, then better ones as long as steps last. With the bound of
//! `bound` the gap is proven at any moment. The same seed and steps give the same answer.
use crate::model::{Problem, SCALE, Wish};
use crate::value::{Placement, Worth, fits, moved, part_gain, placed, worth};
use std::collections::BTreeMap;

/// Sets that are looked at for one volume in the first pass: the least loaded ones of a zone mix.
const FIRST_LOOKS: usize = 24;
/// Rounds in which volumes that found no room may push others out.
const REPAIRS: usize = 40;

pub struct Improve<'a> {
    p: &'a Problem,
    zone_of: Vec<usize>,
    /// Per volume its nodes; empty while it has none.
    at: Placement,
    here: Vec<Vec<usize>>,
    load: Vec<i128>,
    /// What the loss of a node, or of a zone, adds to the load of another node.
    node_lost: Vec<Vec<i128>>,
    zone_lost: Vec<Vec<i128>>,
    gains: Vec<i128>,
    chance: u64,
}

impl<'a> Improve<'a> {
    pub fn new(p: &'a Problem, seed: u64) -> Self {
        let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
        for n in &p.nodes {
            let next = zones.len();
            zones.entry(&n.zone).or_insert(next);
        }
        let nodes = p.nodes.len();
        Improve {
            p,
            zone_of: p.nodes.iter().map(|n| zones[n.zone.as_str()]).collect(),
            at: vec![Vec::new(); p.volumes.len()],
            here: vec![Vec::new(); nodes],
            load: vec![0; nodes],
            node_lost: vec![vec![0; nodes]; nodes],
            zone_lost: vec![vec![0; nodes]; zones.len()],
            gains: vec![0; nodes],
            chance: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        }
    }

    /// A number below n, from a xorshift generator: which moves are tried is all that hangs on it.
    fn below(&mut self, n: usize) -> usize {
        self.chance ^= self.chance << 13;
        self.chance ^= self.chance >> 7;
        self.chance ^= self.chance << 17;
        (self.chance % n.max(1) as u64) as usize
    }

    /// Adds a volume's load at its nodes (or takes it away), now and in every loss it survives.
    fn weigh(&mut self, v: usize, sign: i128) {
        let volume = &self.p.volumes[v];
        let set = self.at[v].clone();
        let reserve = i128::from(volume.reserve) * SCALE;
        let part = reserve / set.len().max(1) as i128;
        for n in &set {
            self.load[*n] += sign * part;
        }
        if volume.survives_node && set.len() > 1 {
            let more = reserve / (set.len() as i128 - 1) - part;
            for lost in &set {
                for n in set.iter().filter(|n| *n != lost) {
                    self.node_lost[*lost][*n] += sign * more;
                }
            }
        }
        if volume.survives_zone {
            for zone in 0..self.zone_lost.len() {
                let left: Vec<usize> = set.iter().filter(|n| self.zone_of[**n] != zone).copied().collect();
                if !left.is_empty() && left.len() < set.len() {
                    let more = reserve / left.len() as i128 - part;
                    left.iter().for_each(|n| self.zone_lost[zone][*n] += sign * more);
                }
            }
        }
    }

    /// Whether every reserve fits at these nodes, now and in every loss.
    fn fits_at(&self, nodes: &[usize]) -> bool {
        nodes.iter().all(|n| {
            let room = i128::from(self.p.nodes[*n].capacity) * SCALE - self.load[*n];
            room >= 0
                && (0..self.node_lost.len()).all(|lost| self.node_lost[lost][*n] <= room)
                && (0..self.zone_lost.len()).all(|z| self.zone_of[*n] == z || self.zone_lost[z][*n] <= room)
        })
    }

    /// Whether a volume's own wishes allow a node set.
    fn allowed(&self, v: usize, set: &[usize]) -> bool {
        let volume = &self.p.volumes[v];
        let zones: Vec<usize> = set.iter().map(|n| self.zone_of[*n]).collect();
        let distinct = |z: &[usize]| (1..z.len()).all(|i| !z[..i].contains(&z[i]));
        let outside = volume.reserve == 0 || zones.iter().any(|z| *z != zones[0]);
        distinct(set)
            && volume.zone.as_ref().is_none_or(|z| set.iter().all(|n| self.p.nodes[*n].zone == *z))
            && (!volume.apart || distinct(&zones))
            && (!volume.survives_zone || outside)
    }

    fn put(&mut self, v: usize, set: Vec<usize>) {
        for n in &set {
            self.here[*n].push(v);
        }
        self.at[v] = set;
        self.weigh(v, 1);
    }

    fn take(&mut self, v: usize) -> Vec<usize> {
        self.weigh(v, -1);
        let set = std::mem::take(&mut self.at[v]);
        for n in &set {
            self.here[*n].retain(|w| *w != v);
        }
        set
    }

    /// The least loaded node set that its wishes allow, by parts of capacity; with some chance in it.
    fn least(&mut self, v: usize, shake: usize) -> Option<Vec<usize>> {
        let spread = self.p.volumes[v].spread;
        let mut by_room: Vec<usize> = (0..self.p.nodes.len()).collect();
        // Least load for its capacity first, compared without division.
        by_room.sort_by(|a, b| {
            let (a, b) = (*a, *b);
            let left = self.load[a] * i128::from(self.p.nodes[b].capacity.max(1));
            let right = self.load[b] * i128::from(self.p.nodes[a].capacity.max(1));
            let lost = |n: usize| self.p.nodes[n].capacity == 0;
            lost(a)
                .cmp(&lost(b))
                .then(left.cmp(&right))
                .then(self.p.nodes[b].capacity.cmp(&self.p.nodes[a].capacity))
                .then(a.cmp(&b))
        });
        for _ in 0..shake {
            let (a, b) = (self.below(by_room.len()), self.below(by_room.len()));
            by_room.swap(a, b);
        }
        let mut set: Vec<usize> = Vec::new();
        for n in by_room {
            set.push(n);
            let mut whole = set.clone();
            whole.sort_unstable();
            // A set that still lacks nodes need not yet lie in two zones.
            let ok = if set.len() < spread {
                let volume = &self.p.volumes[v];
                let zone = volume.zone.as_ref().is_none_or(|z| self.p.nodes[n].zone == *z);
                let first = set[..set.len() - 1].iter().all(|m| self.zone_of[*m] != self.zone_of[n]);
                zone && (!volume.apart || first)
            } else {
                self.allowed(v, &whole)
            };
            if !ok {
                set.pop();
            } else if set.len() == spread {
                return Some(whole);
            }
        }
        None
    }

    /// Puts every volume somewhere, the hardest first. False: some found no room, which proves nothing.
    pub fn first(&mut self) -> bool {
        let mut order: Vec<usize> = (0..self.p.volumes.len()).collect();
        let hard = |v: &usize| {
            let v = &self.p.volumes[*v];
            (!(v.zone.is_some() || v.apart || v.survives_zone), std::cmp::Reverse(v.reserve))
        };
        order.sort_by_key(|v| (hard(v), *v));
        let mut left: Vec<usize> = order.into_iter().filter(|v| !self.settle(*v)).collect();
        for _ in 0..REPAIRS {
            let Some(v) = left.pop() else { break };
            // Room is made by taking out others at random; they are placed anew behind it.
            for _ in 0..3 {
                let other = self.below(self.p.volumes.len());
                if other != v && !self.at[other].is_empty() {
                    self.take(other);
                    left.insert(0, other);
                }
            }
            if !self.settle(v) {
                left.insert(0, v);
            }
            let waiting = std::mem::take(&mut left);
            left = waiting.into_iter().filter(|w| !self.settle(*w)).collect();
        }
        for n in 0..self.gains.len() {
            self.gains[n] = self.gain_at(n);
        }
        left.is_empty()
    }

    fn settle(&mut self, v: usize) -> bool {
        for look in 0..FIRST_LOOKS {
            let Some(set) = self.least(v, look) else { continue };
            self.put(v, set.clone());
            if self.fits_at(&set) {
                return true;
            }
            self.take(v);
        }
        false
    }

    fn gain_at(&self, n: usize) -> i128 {
        let mut here = self.here[n].clone();
        here.sort_unstable();
        part_gain(self.p, &self.at, n, &here)
    }

    /// Tries so many moves of one volume, or exchanges of two, and keeps those that are worth more.
    pub fn improve(&mut self, moves: u64) {
        for _ in 0..moves {
            let v = self.below(self.p.volumes.len());
            let (mut set, old) = (self.at[v].clone(), self.at[v].clone());
            if set.is_empty() {
                continue;
            }
            let (out, into) = (self.below(set.len()), self.below(self.p.nodes.len()));
            if set.contains(&into) {
                continue;
            }
            let from = std::mem::replace(&mut set[out], into);
            set.sort_unstable();
            if !self.allowed(v, &set) {
                continue;
            }
            // Every other move exchanges it with one that lies there and not here.
            let others: Vec<usize> =
                self.here[into].iter().filter(|w| !self.at[**w].contains(&from)).copied().collect();
            let other = if self.below(2) == 0 && !others.is_empty() {
                Some(others[self.below(others.len())])
            } else {
                None
            };
            let back = other.map(|w| {
                let old = self.at[w].clone();
                let mut set: Vec<usize> = old.iter().map(|n| if *n == into { from } else { *n }).collect();
                set.sort_unstable();
                (w, old, set)
            });
            if back.as_ref().is_some_and(|(w, _, set)| !self.allowed(*w, set)) {
                continue;
            }
            self.shift(v, set.clone());
            if let Some((w, _, set)) = &back {
                self.shift(*w, set.clone());
            }
            let mut touched: Vec<usize> = old.iter().chain(&set).copied().collect();
            if let Some((_, old, set)) = &back {
                touched.extend(old.iter().chain(set));
            }
            touched.sort_unstable();
            touched.dedup();
            let before: i128 = touched.iter().map(|n| self.gains[*n]).sum();
            let after: Vec<i128> = touched.iter().map(|n| self.gain_at(*n)).collect();
            let better = after.iter().sum::<i128>().cmp(&before).then_with(|| {
                let shifts = |v: usize, old: &[usize], new: &[usize]| {
                    moved(self.p, v, old) as i128 - moved(self.p, v, new) as i128
                };
                let saved =
                    shifts(v, &old, &set) + back.as_ref().map_or(0, |(w, old, set)| shifts(*w, old, set));
                saved.cmp(&0)
            });
            if better.is_gt() && self.fits_at(&touched) {
                touched.iter().zip(after).for_each(|(n, g)| self.gains[*n] = g);
            } else {
                if let Some((w, old, _)) = back {
                    self.shift(w, old);
                }
                self.shift(v, old);
            }
        }
    }

    fn shift(&mut self, v: usize, set: Vec<usize>) {
        self.take(v);
        self.put(v, set);
    }

    /// Takes today's placement over where it fits, to be mended by `first` from there.
    pub fn from_today(&mut self) {
        for v in 0..self.p.volumes.len() {
            let today = &self.p.volumes[v].today;
            let set: Vec<usize> =
                (0..self.p.nodes.len()).filter(|n| today.contains(&self.p.nodes[*n].name)).collect();
            // Without a reserve it would fit on a node that can do nothing, and be served by nobody.
            let lost = set.iter().any(|n| self.p.nodes[*n].capacity == 0);
            if !lost && set.len() == self.p.volumes[v].spread && self.allowed(v, &set) {
                self.put(v, set.clone());
                if !self.fits_at(&set) {
                    self.take(v);
                }
            }
        }
    }

    /// Places what has no place yet; false where some found no room.
    pub fn mend(&mut self) -> bool {
        let open: Vec<usize> = (0..self.at.len()).filter(|v| self.at[*v].is_empty()).collect();
        let left = open.into_iter().filter(|v| !self.settle(*v)).count();
        for n in 0..self.gains.len() {
            self.gains[n] = self.gain_at(n);
        }
        left == 0
    }

    /// What stands now; none while some volume has no place.
    pub fn worth(&self) -> Option<Worth> {
        self.at.iter().all(|s| !s.is_empty()).then(|| worth(self.p, &self.at))
    }

    /// Whether what stands fits, by the plain count and not by the running one.
    pub fn sound(&self) -> bool {
        fits(self.p, &placed(&self.at), &|_: Wish| true, 1000)
    }
}
