//! A node as figures: it serves at a set speed, charges for new connections, holds few of them, is cold after a
//! start, and falls over when what comes within a span passes what a cold node bears.
use crate::node::Model;
use crate::trace::Micros;
use std::collections::VecDeque;

/// What a node does beside its work.
#[derive(Clone, Copy, Debug)]
pub struct Manners {
    /// Connections held; what comes on one beyond them is turned away.
    pub lines: usize,
    /// Work of a new connection's first request.
    pub handshake: Micros,
    /// How long one that fell over stays down.
    pub down: Micros,
}

/// One request at a node; `from` names its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job<C> {
    pub from: C,
    pub op: u64,
    pub units: f64,
    /// The first on its connection.
    pub first: bool,
    /// On a connection that was one too many when it came up.
    pub excess: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Got {
    Queued,
    /// Turned away without running.
    Full,
    /// It fell over by this one: all its connections are gone.
    Fell,
}

pub struct Store<C> {
    model: Model,
    manners: Manners,
    /// Times slower than usual.
    pub slow: f64,
    /// When it started; none: long past.
    born: Option<Micros>,
    /// Until when it is down.
    down: Option<Micros>,
    pub lines: usize,
    queue: VecDeque<Job<C>>,
    running: Vec<(Micros, Job<C>)>,
    received: VecDeque<(Micros, f64)>,
    pub falls: u64,
    /// The most that came within a fall span while cold, as part of what it bore.
    pub most_cold: f64,
}

impl<C: Copy + PartialEq> Store<C> {
    pub fn new(model: Model, manners: Manners) -> Self {
        Store {
            model,
            manners,
            slow: 1.0,
            born: None,
            down: None,
            lines: 0,
            queue: VecDeque::new(),
            running: Vec::new(),
            received: VecDeque::new(),
            falls: 0,
            most_cold: 0.0,
        }
    }

    pub fn born(&self) -> Option<Micros> {
        self.born
    }

    pub fn up(&self, now: Micros) -> bool {
        self.down.is_none_or(|until| now >= until)
    }

    /// Its process starts, or starts anew: cold, with nothing in hand.
    pub fn start(&mut self, now: Micros) {
        (self.born, self.down, self.lines) = (Some(now), None, 0);
        self.queue.clear();
        self.running.clear();
        self.received.clear();
    }

    /// Its process is gone until it is started.
    pub fn stop(&mut self) {
        self.start(0);
        self.down = Some(Micros::MAX);
    }

    fn age(&self, now: Micros) -> Micros {
        self.born.map_or(Micros::MAX / 2, |born| now.saturating_sub(born))
    }

    /// Part of its speed.
    pub fn warmth(&self, now: Micros) -> f64 {
        self.model.warmth(self.age(now))
    }

    /// A connection has come up; whether it is one too many.
    pub fn opened(&mut self) -> bool {
        self.lines += 1;
        self.lines > self.manners.lines
    }

    /// A request has come whole.
    pub fn got(&mut self, now: Micros, job: Job<C>) -> Got {
        let age = self.age(now);
        if age <= self.model.cold_span && self.model.fall_span > 0 {
            while self.received.front().is_some_and(|r| r.0 + self.model.fall_span < now) {
                self.received.pop_front();
            }
            self.received.push_back((now, job.units));
            let came: f64 = self.received.iter().map(|r| r.1).sum();
            let bears = self.model.bears(age);
            self.most_cold = self.most_cold.max(came / bears);
            if came > bears {
                self.falls += 1;
                self.start(now);
                self.down = Some(now + self.manners.down);
                return Got::Fell;
            }
        }
        if job.excess || self.queue.len() >= self.model.queue {
            return Got::Full;
        }
        self.queue.push_back(job);
        self.begin(now);
        Got::Queued
    }

    fn begin(&mut self, now: Micros) {
        while self.running.len() < self.model.cores {
            let Some(job) = self.queue.pop_front() else { return };
            let work = job.units * self.model.unit_work * self.slow;
            let opening = if job.first { self.manners.handshake } else { 0 };
            let takes = (work + opening as f64) / self.warmth(now);
            self.running.push((now + takes as Micros, job));
        }
    }

    pub fn due(&self) -> Option<Micros> {
        self.running.iter().map(|r| r.0).min()
    }

    /// The next request that is done by now.
    pub fn next(&mut self, now: Micros) -> Option<Job<C>> {
        let at = (0..self.running.len()).min_by_key(|i| self.running[*i].0)?;
        let done = self.running[at].0;
        if done > now {
            return None;
        }
        let (_, job) = self.running.swap_remove(at);
        self.begin(done);
        Some(job)
    }

    /// Whose connection has ended is not begun any more.
    pub fn gone(&mut self, from: C) {
        self.queue.retain(|j| j.from != from);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn store() -> Store<u32> {
        let model = Model {
            cold_from: 0.25,
            cold_span: 8_000_000,
            fall_multiple: 4.0,
            fall_span: 2_000_000,
            ..Model::quick(1, 10_000.0, 3)
        };
        Store::new(model, Manners { lines: 2, handshake: 5_000, down: 3_000_000 })
    }

    fn job(from: u32, units: f64) -> Job<u32> {
        Job { from, op: 0, units, first: false, excess: false }
    }

    #[test]
    fn a_cold_node_is_slow_and_falls_over_by_what_comes_not_by_what_it_serves() {
        let mut node = store();
        assert_eq!(node.got(0, Job { first: true, ..job(1, 1.0) }), Got::Queued);
        assert_eq!(node.due(), Some(15_000), "work and handshake, warm");
        node.start(0);
        assert_eq!((node.got(0, job(1, 1.0)), node.due()), (Got::Queued, Some(40_000)));
        // It bears four times a quarter of 100 units a second, for two seconds.
        let came = (1..400).find(|n| node.got(*n, job(1, 1.0)) == Got::Fell);
        assert!(came.is_some_and(|n| (199..=201).contains(&n)), "{came:?}");
        assert!(!node.up(2_000_000) && node.up(3_000_500) && node.due().is_none());
    }

    #[test]
    fn what_has_no_room_is_turned_away_without_running() {
        let mut node = store();
        let said: Vec<Got> = (0..5).map(|n| node.got(0, job(n, 1.0))).collect();
        assert_eq!(said, [Got::Queued, Got::Queued, Got::Queued, Got::Queued, Got::Full]);
        node.gone(2);
        assert_eq!(node.got(1, job(6, 1.0)), Got::Queued);
        let mut node = store();
        assert_eq!([node.opened(), node.opened(), node.opened()], [false, false, true]);
        assert_eq!(node.got(1, Job { excess: true, ..job(7, 1.0) }), Got::Full, "one too many");
    }
}
