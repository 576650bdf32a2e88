//! Ids of side-effecting requests that a node has run or may have run, so that none of them is run again when its id
//! comes a second time, for example because its client has left and come back.
//!
//! An id is remembered for [`RETENTION`] to twice that. The memory is bounded: ids whose client has its answer are
//! forgotten early where there are too many, the oldest first. Ids whose client was left in doubt are never forgotten
//! early; where there are too many of those, [`may_admit`](ExecutedRequests::may_admit) asks for new side-effecting
//! requests to be shed, which is harmless, until the oldest have reached their age.
use crate::Millis;
use std::collections::HashSet;
use std::hash::{DefaultHasher, Hasher};

/// Minimum time for which an id is remembered, in milliseconds. Far longer than any deadline of a request.
pub const RETENTION: Millis = 60_000;
/// Number of ids of each kind that a host remembers for each MiB of its memory limit. An id takes at most 27 bytes, while
/// its set grows, so that both kinds together take less than a twentieth of the limit.
const IDS_PER_MIB: u64 = 800;
/// Maximum number of ids of each kind, whatever the memory limit.
const MAX_IDS: u64 = 1 << 18;

/// What the client of a request that may have run was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKnowledge {
    /// The client was sent the response of the node.
    Answered,
    /// The client has left, or was told that the request may have run.
    InDoubt,
}

/// Ids of one kind, in two generations by age.
#[derive(Debug, Default)]
struct Generations {
    current: HashSet<u64>,
    previous: HashSet<u64>,
}

impl Generations {
    fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    fn contains(&self, fingerprint: u64) -> bool {
        self.current.contains(&fingerprint) || self.previous.contains(&fingerprint)
    }

    /// Forgets the older generation and begins a new one.
    fn rotate(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }
}

/// The ids that a host remembers, as 64-bit fingerprints. Two ids share one with a probability of 2^-64, in which case
/// the later request fails.
#[derive(Debug)]
pub struct ExecutedRequests {
    seed: u64,
    /// Maximum number of ids of each kind.
    capacity: usize,
    answered: Generations,
    in_doubt: Generations,
    /// Time at which the ids grow old by a generation.
    next_rotation: Option<Millis>,
}

impl ExecutedRequests {
    /// Creates an empty memory. `seed`: varies the fingerprints from start to start. `memory_mib`: memory limit of the
    /// host in MiB.
    #[must_use]
    pub fn new(seed: u64, memory_mib: u64) -> Self {
        ExecutedRequests {
            seed,
            capacity: memory_mib.saturating_mul(IDS_PER_MIB).min(MAX_IDS) as usize,
            answered: Generations::default(),
            in_doubt: Generations::default(),
            next_rotation: None,
        }
    }

    /// Returns whether a request with this id has run or may have run.
    #[must_use]
    pub fn contains(&self, id: &[u8]) -> bool {
        let fingerprint = self.fingerprint(id);
        self.in_doubt.contains(fingerprint) || self.answered.contains(fingerprint)
    }

    /// Returns whether another side-effecting request may be admitted, because its id could be remembered. Otherwise the
    /// caller sheds it. `in_flight`: number of requests that are admitted and not yet remembered.
    #[must_use]
    pub fn may_admit(&self, in_flight: usize) -> bool {
        self.in_doubt.len() + in_flight < self.capacity
    }

    /// Remembers the id of a request that has run or may have run.
    pub fn record(&mut self, now: Millis, id: &[u8], knowledge: ClientKnowledge) {
        self.forget_old(now);
        let fingerprint = self.fingerprint(id);
        match knowledge {
            ClientKnowledge::InDoubt => {
                self.in_doubt.current.insert(fingerprint);
            }
            ClientKnowledge::Answered => {
                if self.answered.current.len() >= self.capacity / 2 {
                    self.answered.rotate();
                }
                self.answered.current.insert(fingerprint);
            }
        }
    }

    /// Forgets the ids that have reached their age.
    pub fn forget_old(&mut self, now: Millis) {
        let due = *self.next_rotation.get_or_insert(now + RETENTION);
        if now < due {
            return;
        }
        self.answered.rotate();
        self.in_doubt.rotate();
        if now >= due + RETENTION {
            self.answered.rotate();
            self.in_doubt.rotate();
        }
        self.next_rotation = Some(now + RETENTION);
    }

    /// Returns the number of ids that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.answered.len() + self.in_doubt.len()
    }

    /// Returns whether no id is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn fingerprint(&self, id: &[u8]) -> u64 {
        let mut hasher = DefaultHasher::new();
        hasher.write_u64(self.seed);
        hasher.write(id);
        hasher.finish()
    }
}
