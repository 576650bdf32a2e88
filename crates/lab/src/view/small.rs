//! Three hosts' parts in a view, with every order of deliveries, losses, repeats and ticks, a kill, a start anew, a cut
//! and its healing. What is not delivered within two passes of half a period is lost.
use crate::search::Searched;
use crate::view::net::{address, name};
use mallowseam_fleet::config::{MembershipConfig, Mutant};
use mallowseam_fleet::record::{Lifecycle, Name};
use mallowseam_fleet::{ActionSink, MemberState, Membership, MembershipEvent, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const HOSTS: usize = 3;
/// Datagrams under way at most; what is sent on top is lost.
const UNDER_WAY: usize = 6;
/// Passes after which a datagram is lost.
const LIVES: u32 = 2;
const PERIOD: Millis = 1_000;
const PASS: Millis = PERIOD / 2;
/// Promise 1 for three hosts, in periods (docs/fleet.md).
pub const SETTLES: u64 = 120;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Sent {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
    age: u32,
    /// Held up for as long as it takes: never lost.
    old: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    Comes(usize),
    Repeats(usize),
    Pass,
    Kill(usize),
    Start(usize),
    /// This host on one side, the others on the other.
    Cut(usize),
    Heal,
}

/// What may still happen from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    pub passes: u32,
    pub repeats: u32,
    pub kills: u32,
    pub starts: u32,
    pub cuts: u32,
}

type Rank = mallowseam_fleet::record::Precedence;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Small {
    hosts: [Option<Membership>; HOSTS],
    sent: Vec<Sent>,
    now: Millis,
    cut: Option<usize>,
    budget: Budget,
    settings: MembershipConfig,
    starts: u64,
    /// Generations there ever were, with the latest word that each said of itself.
    were: BTreeMap<(Name, u64), u32>,
    /// The latest rank that each host has held of each name, and the generations that it has seen end.
    held: BTreeMap<(usize, Name), Rank>,
    ended: BTreeSet<(usize, Name, u64)>,
    wrong: Option<String>,
}

#[derive(Default)]
struct Out(Vec<(SocketAddr, Vec<u8>)>);

impl ActionSink for Out {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]) {
        self.0.push((to, bytes.to_vec()));
    }
    fn notify(&mut self, _: MembershipEvent) {}
}

impl Small {
    /// All three know each other, and nothing is under way.
    pub fn joined(budget: Budget, mutant: Option<Mutant>) -> Self {
        let fleet = Name::try_from("small").unwrap_or_default();
        let mut settings = MembershipConfig::new(fleet, Name::new(), address(0));
        settings.seeds = vec![address(0), address(1)];
        settings.mutant = mutant;
        let mut small = Small {
            hosts: [None, None, None],
            sent: Vec::new(),
            now: 10_000,
            cut: None,
            budget,
            settings,
            starts: 0,
            were: BTreeMap::new(),
            held: BTreeMap::new(),
            ended: BTreeSet::new(),
            wrong: None,
        };
        (0..HOSTS).for_each(|h| small.start(h));
        small.goes_on(30 * PERIOD, |_| false);
        small
    }

    /// One was killed so many periods ago, and nobody was there to say otherwise.
    pub fn after_a_kill(budget: Budget, mutant: Option<Mutant>, periods: u64) -> Self {
        let mut small = Small::joined(budget, mutant);
        small.hosts[2] = None;
        small.goes_on(periods * PERIOD, |_| false);
        small
    }

    /// One has been cut off from the others for so many periods.
    pub fn after_a_cut(budget: Budget, mutant: Option<Mutant>, periods: u64) -> Self {
        let mut small = Small::joined(budget, mutant);
        small.cut = Some(0);
        small.goes_on(periods * PERIOD, |_| false);
        small
    }

    /// One said long ago that it lives, in a datagram that is still under way, and ended since: nothing of it is shown.
    pub fn after_an_end(budget: Budget, mutant: Option<Mutant>) -> Self {
        let mut small = Small::joined(budget, mutant);
        small.pass();
        let old: Vec<Sent> = small.sent.iter().filter(|s| s.from == 2).cloned().collect();
        small.goes_on(PERIOD, |_| false);
        small.with(2, |f, now, out| f.announce_left(now, out));
        while !small.sent.is_empty() {
            small.comes(0, false);
        }
        small.hosts[2] = None;
        small.goes_on(130 * PERIOD, |_| false);
        small.sent = old.into_iter().map(|s| Sent { old: true, ..s }).collect();
        small
    }

    fn start(&mut self, host: usize) {
        self.starts += 1;
        let settings = MembershipConfig { name: name(host), address: address(host), ..self.settings.clone() };
        let fleet = Membership::new(settings, self.starts, self.now, 1_000_000 + self.starts);
        self.hosts[host] = Some(fleet);
        self.held.retain(|k, _| k.0 != host);
        self.ended.retain(|e| e.0 != host);
        self.note(host);
    }

    fn with(&mut self, host: usize, act: impl FnOnce(&mut Membership, Millis, &mut dyn ActionSink)) {
        let mut out = Out::default();
        let Some(fleet) = &mut self.hosts[host] else { return };
        act(fleet, self.now, &mut out);
        for (to, bytes) in out.0 {
            let Some(to) = (0..HOSTS).find(|h| address(*h) == to) else { continue };
            let apart = self.cut.is_some_and(|one| (host == one) != (to == one));
            if !apart && self.sent.len() < UNDER_WAY {
                self.sent.push(Sent { from: host, to, bytes, age: 0, old: false });
            }
        }
        self.note(host);
    }

    /// Holds what a host's view says against all that there was and all that it held before.
    fn note(&mut self, host: usize) {
        let Some(fleet) = &self.hosts[host] else { return };
        let own = fleet.own_record();
        self.were.insert((own.name.clone(), own.generation), own.incarnation);
        let mut wrong = None;
        for (word, state) in fleet.members() {
            let (name, rank) = (&word.name, word.precedence());
            match self.were.get(&(name.clone(), word.generation)) {
                None => wrong = Some(format!("h{host} holds {name} of a generation that never was")),
                Some(said) if word.incarnation > *said && word.lifecycle != Lifecycle::Left => {
                    wrong = Some(format!("h{host} holds a word of {name} that it never said"));
                }
                Some(_) => {}
            }
            if self.held.get(&(host, name.clone())).is_some_and(|was| *was > rank) {
                wrong = Some(format!("h{host} went back to an earlier word of {name}"));
            }
            self.held.insert((host, name.clone()), rank);
            let key = (host, name.clone(), word.generation);
            match state {
                MemberState::Left => drop(self.ended.insert(key)),
                _ if self.ended.contains(&key) => {
                    wrong = Some(format!("to h{host} {name} came back from the dead"))
                }
                _ => {}
            }
        }
        self.wrong = self.wrong.take().or(wrong);
    }

    fn comes(&mut self, nth: usize, stays: bool) {
        let sent = if stays { self.sent[nth].clone() } else { self.sent.remove(nth) };
        // What was under way when a cut came does not pass it.
        let apart = self.cut.is_some_and(|one| (sent.from == one) != (sent.to == one));
        if !apart {
            self.with(sent.to, |f, now, out| f.receive(address(sent.from), &sent.bytes, now, out));
        }
    }

    fn pass(&mut self) {
        self.now += PASS;
        self.sent.iter_mut().for_each(|s| s.age += 1);
        self.sent.retain(|s| s.old || s.age < LIVES);
        (0..HOSTS).for_each(|h| self.with(h, |f, now, out| f.tick(now, out)));
    }

    /// Lets time pass with nothing from outside: all that is sent comes, in order. True: it was so before the end.
    fn goes_on(&mut self, span: Millis, until: impl Fn(&Small) -> bool) -> bool {
        let end = self.now + span;
        loop {
            while !self.sent.is_empty() {
                self.comes(0, false);
            }
            if until(self) {
                return true;
            }
            if self.now >= end {
                return false;
            }
            self.pass();
        }
    }

    /// Whether all running hosts hold the same, and just they are up.
    fn settled(&self) -> bool {
        let running: BTreeSet<Name> = (0..HOSTS).filter(|h| self.hosts[*h].is_some()).map(name).collect();
        self.hosts.iter().flatten().all(|f| {
            let up: BTreeSet<Name> =
                f.members().filter(|(_, s)| *s == MemberState::Alive).map(|(w, _)| w.name.clone()).collect();
            let open = |s| matches!(s, MemberState::Joining | MemberState::Suspect | MemberState::Leaving);
            up == running && !f.members().any(|(_, s)| open(s))
        }) && self
            .hosts
            .iter()
            .flatten()
            .all(|f| Some(f.digest()) == self.hosts.iter().flatten().next().map(Membership::digest))
    }
}

/// Where searches begin.
pub fn roots(budget: Budget, mutant: Option<Mutant>) -> [(&'static str, Small); 4] {
    [
        ("all joined", Small::joined(budget, mutant)),
        ("one killed 14 periods ago", Small::after_a_kill(budget, mutant, 14)),
        ("one cut off for 40 periods", Small::after_a_cut(budget, mutant, 40)),
        ("one ended, and an old word of it under way", Small::after_an_end(budget, mutant)),
    ]
}

impl Searched for Small {
    type Move = Move;

    fn moves(&self) -> Vec<Move> {
        let mut moves: Vec<Move> = (0..self.sent.len()).map(Move::Comes).collect();
        if self.budget.repeats > 0 {
            moves.extend((0..self.sent.len()).map(Move::Repeats));
        }
        if self.budget.passes > 0 {
            moves.push(Move::Pass);
        }
        if self.budget.kills > 0 {
            moves.extend((0..HOSTS).filter(|h| self.hosts[*h].is_some()).map(Move::Kill));
        }
        if self.budget.starts > 0 {
            moves.extend((0..HOSTS).filter(|h| self.hosts[*h].is_none()).map(Move::Start));
        }
        match self.cut {
            Some(_) => moves.push(Move::Heal),
            None if self.budget.cuts > 0 => moves.extend((0..HOSTS).map(Move::Cut)),
            None => {}
        }
        moves
    }

    fn step(&mut self, next: &Move) {
        match *next {
            Move::Comes(nth) => self.comes(nth, false),
            Move::Repeats(nth) => {
                self.budget.repeats -= 1;
                self.comes(nth, true);
            }
            Move::Pass => {
                self.budget.passes -= 1;
                self.pass();
            }
            Move::Kill(host) => {
                self.budget.kills -= 1;
                self.hosts[host] = None;
            }
            Move::Start(host) => {
                self.budget.starts -= 1;
                self.start(host);
            }
            Move::Cut(host) => {
                self.budget.cuts -= 1;
                self.cut = Some(host);
            }
            Move::Heal => self.cut = None,
        }
    }

    fn holds(&self) -> Result<(), String> {
        self.wrong.clone().map_or(Ok(()), Err)
    }

    fn ends(&self) -> Result<(), String> {
        let mut end = self.clone();
        end.cut = None;
        if end.goes_on(SETTLES * PERIOD, Small::settled) {
            return end.holds();
        }
        let views: Vec<String> = (end.hosts.iter().flatten())
            .map(|f| {
                let seen: Vec<String> = f.members().map(|(w, s)| format!("{} {s:?}", w.name)).collect();
                format!("{}: {}", f.own_record().name, seen.join(", "))
            })
            .collect();
        Err(format!("not one view {SETTLES} periods later: {}", views.join("; ")))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::search::search;

    const ALL: Budget = Budget { passes: 6, repeats: 1, kills: 1, starts: 1, cuts: 1 };
    /// States looked at in a test; `mallowseam-lab search` looks at as many as it is told.
    const STATES: u64 = 4_000;

    #[test]
    fn in_every_order_words_never_go_back_the_dead_stay_dead_and_one_view_comes_of_it() {
        for (n, root) in roots(ALL, None) {
            let reached = search(&root, STATES, 20);
            assert!(reached.as_ref().is_ok_and(|r| r.states >= STATES), "from {n}: {reached:?}");
        }
    }

    #[test]
    fn a_rule_left_out_is_found() {
        for (mutant, root, wanted) in [
            (Mutant::NoRefutation, 2, "not one view"),
            (Mutant::NoTombstones, 3, "back from the dead"),
            (Mutant::AcceptStaleRecords, 0, "earlier word"),
        ] {
            let found = search(&roots(ALL, Some(mutant))[root].1, STATES, 20);
            assert!(found.as_ref().is_err_and(|f| f.wrong.contains(wanted)), "{mutant:?}: {found:?}");
        }
    }
}
