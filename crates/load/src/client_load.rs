//! Clients as a model: which volume issues which operation through which host and when, with a skewed distribution,
//! and how rejected operations are retried.
use mallowseam_audit::fleet::terms::has_limit;
use mallowseam_audit::trace::Micros;
use rand::{Rng, RngExt};

/// How clients behave. Times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadProfile {
    /// Block I/Os a second, of all volumes.
    pub operations_per_second: f64,
    /// Fraction of writes.
    pub write_fraction: f64,
    /// Number of volumes.
    pub volumes: u32,
    /// The heaviest volumes issue so many times the mean.
    pub skew: f64,
    /// Retries of a rejected operation.
    pub max_retries: u32,
    /// Clients wait before a retry.
    pub backs_off: bool,
    /// Time until the deadline of a read.
    pub read_timeout: Micros,
    /// Time until the deadline of a write.
    pub write_timeout: Micros,
    /// Size of the largest operation.
    pub max_units: u32,
}

/// One block I/O of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Operation {
    /// Identifier; a retry has a new one.
    pub id: u64,
    /// Its volume.
    pub volume: u32,
    /// Extent of the volume; volume and extent are the key that writes are ordered by.
    pub extent: u64,
    /// A write; otherwise a read.
    pub write: bool,
    /// Its size.
    pub units: u32,
    /// Shard of its key.
    pub shard: u32,
    /// Number of hosts that its volume uses.
    pub hosts: u32,
    /// Time until its deadline.
    pub timeout: Micros,
    /// Times that it was rejected before.
    pub retries: u32,
}

/// One volume.
pub struct Volume {
    /// The hosts that it uses.
    pub hosts: Vec<u32>,
    /// Sum of the weights up to and with this volume.
    cumulative_weight: f64,
    /// It is on the plan with a limit.
    pub limited: bool,
}

/// The clients of a run.
pub struct ClientLoad {
    profile: LoadProfile,
    volumes: Vec<Volume>,
    shards: u32,
    next_due: Micros,
    last_id: u64,
    /// Factor on the usual rate.
    pub intensity: f64,
}

/// Extents of a volume: few, so that writes conflict on a key.
const EXTENTS_PER_VOLUME: u64 = 16;
/// Hosts that one volume uses at most.
const MAX_HOSTS_PER_VOLUME: u32 = 3;
/// First backoff where the host names no time, doubled with each retry.
const FIRST_BACKOFF: Micros = 60_000;
/// Retries after which the backoff is not doubled any more.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Chance that an operation is no larger than the size at hand: small ones are frequent.
const SMALL_OPERATION_CHANCE: f64 = 0.6;

impl ClientLoad {
    /// Draws the volumes.
    pub fn new(profile: LoadProfile, hosts: u32, shards: u32, rng: &mut impl Rng) -> Self {
        let mut cumulative_weight = 0.0;
        let volumes = (0..profile.volumes).map(|volume| {
            // Squares of uniform draws: a few volumes have several times the mean, many far below it.
            cumulative_weight += rng.random::<f64>().powi(2) * (profile.skew - 1.0) + 1.0;
            Volume {
                hosts: draw_hosts(volume, hosts, rng),
                cumulative_weight,
                limited: has_limit(volume),
            }
        });
        ClientLoad {
            volumes: volumes.collect(),
            profile,
            shards,
            next_due: 0,
            last_id: 0,
            intensity: 1.0,
        }
    }

    /// A volume by its index.
    pub fn volume(&self, volume: u32) -> &Volume {
        &self.volumes[volume as usize]
    }

    /// When the next operation is issued.
    pub fn next_due(&self) -> Micros {
        self.next_due
    }

    /// Starts or resumes at this time.
    pub fn resume(&mut self, now: Micros) {
        self.next_due = now;
    }

    /// The next operation, if it is due. Gaps are exponentially distributed.
    pub fn next_operation(&mut self, now: Micros, rng: &mut impl Rng) -> Option<Operation> {
        let rate = self.profile.operations_per_second * self.intensity;
        if rate <= 0.0 || self.next_due > now {
            return None;
        }
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate * 1e6;
        self.next_due += (gap as Micros).max(1);
        let volume = self.draw_volume(rng)?;
        let write = rng.random_bool(self.profile.write_fraction);
        let max_units = self.profile.max_units.max(1);
        let units = (0..4)
            .find(|_| rng.random_bool(SMALL_OPERATION_CHANCE))
            .map_or(max_units, |n| (1 + n).min(max_units));
        let extent = rng.random_range(0..EXTENTS_PER_VOLUME);
        let hosts = self.volumes[volume as usize].hosts.len() as u32;
        let shard = ((u64::from(volume) + extent) % u64::from(self.shards)) as u32;
        let timeout = if write {
            self.profile.write_timeout
        } else {
            self.profile.read_timeout
        };
        self.last_id += 1;
        Some(Operation {
            id: self.last_id,
            volume,
            extent,
            write,
            units,
            shard,
            hosts,
            timeout,
            retries: 0,
        })
    }

    /// A volume, by weight.
    fn draw_volume(&self, rng: &mut impl Rng) -> Option<u32> {
        let drawn = rng.random::<f64>() * self.volumes.last()?.cumulative_weight;
        let index = self
            .volumes
            .partition_point(|v| v.cumulative_weight < drawn);
        Some(index.min(self.volumes.len() - 1) as u32)
    }

    /// One of the hosts of an operation's volume that are ready.
    pub fn choose_host(
        &self,
        operation: &Operation,
        ready: impl Fn(u32) -> bool,
        rng: &mut impl Rng,
    ) -> Option<u32> {
        let hosts = &self.volumes[operation.volume as usize].hosts;
        let first = rng.random_range(0..hosts.len());
        (0..hosts.len())
            .map(|n| hosts[(first + n) % hosts.len()])
            .find(|host| ready(*host))
    }

    /// The retry of a rejected operation and when it is issued, unless there were enough. `retry_after`: the time that
    /// the host named.
    pub fn retry(
        &mut self,
        now: Micros,
        operation: &Operation,
        retry_after: Option<Micros>,
        rng: &mut impl Rng,
    ) -> Option<(Micros, Operation)> {
        if operation.retries >= self.profile.max_retries {
            return None;
        }
        let backoff = match (self.profile.backs_off, retry_after) {
            (false, _) => 0,
            (true, Some(retry_after)) => retry_after,
            (true, None) => {
                let doublings = operation.retries.min(MAX_BACKOFF_DOUBLINGS);
                rng.random_range(FIRST_BACKOFF / 2..=FIRST_BACKOFF) << doublings
            }
        };
        self.last_id += 1;
        Some((
            now + backoff,
            Operation {
                id: self.last_id,
                retries: operation.retries + 1,
                ..*operation
            },
        ))
    }
}

/// Hosts of a volume. The first ones are assigned round-robin, so that each host has clients.
fn draw_hosts(volume: u32, hosts: u32, rng: &mut impl Rng) -> Vec<u32> {
    let first = volume % hosts;
    let count = rng.random_range(1..=MAX_HOSTS_PER_VOLUME.min(hosts));
    let mut chosen: Vec<u32> = (0..count)
        .map(|k| (first + k * (1 + volume / hosts)) % hosts)
        .collect();
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}
