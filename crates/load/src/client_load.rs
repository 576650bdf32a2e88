//! Model of the clients of a fleet: times, volumes, sizes and hosts of their operations, with a skewed distribution
//! over volumes, and retries of rejected operations.
use mallowseam_audit::fleet::terms::has_limit;
use mallowseam_audit::trace::Micros;
use rand::{Rng, RngExt};

/// Behaviour of the clients. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadProfile {
    /// Block I/Os per second, over all volumes.
    pub operations_per_second: f64,
    /// Fraction of the operations that are writes.
    pub write_fraction: f64,
    /// Number of volumes.
    pub volumes: u32,
    /// Upper bound of the weight of a volume, as a multiple of the smallest weight.
    pub skew: f64,
    /// Maximum number of retries of a rejected operation.
    pub max_retries: u32,
    /// Whether clients wait before a retry.
    pub backs_off: bool,
    /// Time until the deadline of a read.
    pub read_timeout: Micros,
    /// Time until the deadline of a write.
    pub write_timeout: Micros,
    /// Size of the largest operation, in units.
    pub max_units: u32,
}

/// Block I/O of a client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Operation {
    /// Identifier of the operation; a retry has a new one.
    pub id: u64,
    /// Volume of the operation.
    pub volume: u32,
    /// Extent within the volume. Volume and extent are the ordering key of writes.
    pub extent: u64,
    /// Whether the operation is a write; otherwise it is a read.
    pub write: bool,
    /// Size of the operation, in units.
    pub units: u32,
    /// Shard of the ordering key.
    pub shard: u32,
    /// Number of hosts that the volume uses.
    pub hosts: u32,
    /// Time until the deadline of the operation, in microseconds.
    pub timeout: Micros,
    /// Number of earlier rejections of the operation.
    pub retries: u32,
}

/// Volume of the clients.
pub struct Volume {
    /// Hosts that the volume uses.
    pub hosts: Vec<u32>,
    /// Sum of the weights of the volumes up to and including this one.
    cumulative_weight: f64,
    /// Whether the volume is on the limited plan.
    pub limited: bool,
}

/// Clients of a run.
pub struct ClientLoad {
    profile: LoadProfile,
    volumes: Vec<Volume>,
    shards: u32,
    next_due: Micros,
    last_id: u64,
    /// Multiple of the usual rate.
    pub intensity: f64,
}

/// Number of extents of a volume. It is small, so that writes of one key overlap.
const EXTENTS_PER_VOLUME: u64 = 16;
/// Maximum number of hosts that a volume uses.
const MAX_HOSTS_PER_VOLUME: u32 = 3;
/// Maximum of the first backoff, in microseconds, if the host gives no retry time. It doubles with each retry.
const FIRST_BACKOFF: Micros = 60_000;
/// Number of retries after which the backoff no longer doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;
/// Probability, at each size from the smallest on, that an operation has this size, so that small operations are
/// frequent.
const SMALL_OPERATION_CHANCE: f64 = 0.6;

impl ClientLoad {
    /// Creates the clients, with volumes drawn from `rng`.
    pub fn new(profile: LoadProfile, hosts: u32, shards: u32, rng: &mut impl Rng) -> Self {
        let mut cumulative_weight = 0.0;
        let volumes = (0..profile.volumes).map(|volume| {
            // Squares of uniform draws: a few volumes have several times the mean weight, and many are far below it.
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

    /// Returns a volume by its index.
    pub fn volume(&self, volume: u32) -> &Volume {
        &self.volumes[volume as usize]
    }

    /// Returns when the next operation is due.
    pub fn next_due(&self) -> Micros {
        self.next_due
    }

    /// Starts or resumes the load at this time.
    pub fn resume(&mut self, now: Micros) {
        self.next_due = now;
    }

    /// Returns the next operation, if it is due. The intervals are exponentially distributed.
    pub fn next_operation(&mut self, now: Micros, rng: &mut impl Rng) -> Option<Operation> {
        let rate = self.profile.operations_per_second * self.intensity;
        if rate <= 0.0 || self.next_due > now {
            return None;
        }
        let interval = -(1.0 - rng.random::<f64>()).ln() / rate * 1e6;
        self.next_due += (interval as Micros).max(1);
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

    /// Draws a volume, with probability proportional to its weight.
    fn draw_volume(&self, rng: &mut impl Rng) -> Option<u32> {
        let drawn = rng.random::<f64>() * self.volumes.last()?.cumulative_weight;
        let index = self
            .volumes
            .partition_point(|v| v.cumulative_weight < drawn);
        Some(index.min(self.volumes.len() - 1) as u32)
    }

    /// Returns a ready host of an operation's volume; none if no host is ready.
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

    /// Returns the time and the operation of a retry; none if the operation has had its maximum number of retries.
    /// `retry_after` is the retry time that the host gave.
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

/// Draws the hosts of a volume. The first host is assigned round-robin, so that each host has clients.
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
