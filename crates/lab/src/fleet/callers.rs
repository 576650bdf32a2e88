//! Clients as figures: which volume asks for what through which host and when, unevenly, and how those come again
//! that were turned away.
use crate::trace::Micros;
use rand::{Rng, RngExt};

/// How clients ask. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Wants {
    /// Block I/Os a second, of all volumes, and the part that writes.
    pub rate: f64,
    pub posts: f64,
    pub volumes: u32,
    /// The heaviest volumes ask so many times the mean.
    pub uneven: f64,
    /// How often one comes again, and whether it waits before it does.
    pub again: u32,
    pub patient: bool,
    pub read_wait: Micros,
    pub write_wait: Micros,
    pub largest: u32,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Op {
    pub id: u64,
    pub volume: u32,
    pub piece: u64,
    pub write: bool,
    pub units: u32,
    pub shard: u32,
    /// Through how many hosts its volume works.
    pub hosts: u32,
    pub wait: Micros,
    /// Times that it was turned away before.
    pub tries: u32,
}

pub struct Volume {
    pub hosts: Vec<u32>,
    /// All volumes' shares up to and with this one.
    up_to: f64,
    pub limited: bool,
}

pub struct Callers {
    wants: Wants,
    volumes: Vec<Volume>,
    shards: u32,
    next: Micros,
    ids: u64,
    /// Times the usual rate.
    pub load: f64,
}

/// Pieces of a volume: few, so that writes meet on a key.
const PIECES: u64 = 16;
/// Hosts that one volume works through, at most.
const HOSTS_MOST: u32 = 3;
/// First pause of a patient client, doubled each time; seconds are named by the host where it may.
const PAUSE: Micros = 60_000;

impl Callers {
    pub fn new(wants: Wants, hosts: u32, shards: u32, rng: &mut impl Rng) -> Self {
        let mut up_to = 0.0;
        let volumes = (0..wants.volumes).map(|n| {
            // Squares of even draws: some several times the mean, many far below it.
            up_to += rng.random::<f64>().powi(2) * (wants.uneven - 1.0) + 1.0;
            // Each host has a volume of its own first, so that none is without clients.
            let first = n % hosts;
            let many = rng.random_range(1..=HOSTS_MOST.min(hosts));
            let hosts = (0..many).map(|k| (first + k * (1 + n / hosts)) % hosts);
            let mut hosts: Vec<u32> = hosts.collect();
            hosts.sort_unstable();
            hosts.dedup();
            Volume { hosts, up_to, limited: n % 3 == 0 }
        });
        Callers { volumes: volumes.collect(), wants, shards, next: 0, ids: 0, load: 1.0 }
    }

    pub fn volume(&self, n: u32) -> &Volume {
        &self.volumes[n as usize]
    }

    pub fn due(&self) -> Micros {
        self.next
    }

    /// Starts, or goes on after a pause, at this time.
    pub fn begin(&mut self, now: Micros) {
        self.next = now;
    }

    /// The next block I/O, if its time has come.
    pub fn next(&mut self, now: Micros, rng: &mut impl Rng) -> Option<Op> {
        if self.wants.rate * self.load <= 0.0 || self.next > now {
            return None;
        }
        let gap = -(1.0 - rng.random::<f64>()).ln() / (self.wants.rate * self.load) * 1e6;
        self.next += (gap as Micros).max(1);
        let all = self.volumes.last()?.up_to;
        let drawn = rng.random::<f64>() * all;
        let volume = self.volumes.partition_point(|v| v.up_to < drawn).min(self.volumes.len() - 1) as u32;
        let write = rng.random_bool(self.wants.posts);
        // Sizes as the users' are: small ones often, the largest seldom.
        let most = self.wants.largest.max(1);
        let units = (0..4).find(|_| rng.random_bool(0.6)).map_or(most, |n| (1 + n).min(most));
        let piece = rng.random_range(0..PIECES);
        let hosts = self.volumes[volume as usize].hosts.len() as u32;
        let shard = ((u64::from(volume) + piece) % u64::from(self.shards)) as u32;
        let wait = if write { self.wants.write_wait } else { self.wants.read_wait };
        self.ids += 1;
        Some(Op { id: self.ids, volume, piece, write, units, shard, hosts, wait, tries: 0 })
    }

    /// One of a volume's hosts, of those that clients use now.
    pub fn host(&self, op: &Op, ready: impl Fn(u32) -> bool, rng: &mut impl Rng) -> Option<u32> {
        let hosts = &self.volumes[op.volume as usize].hosts;
        let from = rng.random_range(0..hosts.len());
        (0..hosts.len()).map(|k| hosts[(from + k) % hosts.len()]).find(|h| ready(*h))
    }

    /// Whether and when a client that was turned away comes again, under a new id. `named`: the host's own word.
    pub fn again(
        &mut self,
        now: Micros,
        op: &Op,
        named: Option<Micros>,
        rng: &mut impl Rng,
    ) -> Option<(Micros, Op)> {
        if op.tries >= self.wants.again {
            return None;
        }
        let pause = match (self.wants.patient, named) {
            (false, _) => 0,
            (true, Some(named)) => named,
            (true, None) => rng.random_range(PAUSE / 2..=PAUSE) << op.tries.min(8),
        };
        self.ids += 1;
        Some((now + pause, Op { id: self.ids, tries: op.tries + 1, ..*op }))
    }
}
