//! Counters of datagrams and refutations, for operators.
use crate::wire::DecodeError;

/// Counters of datagrams and refutations since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Gossip messages that were received and decoded.
    pub received: u64,
    /// Datagrams that were sent.
    pub sent: u64,
    /// Total size of the datagrams that were sent, in bytes.
    pub bytes_sent: u64,
    /// Datagrams that were dropped as malformed.
    pub malformed: u64,
    /// Datagrams that were dropped because they belong to another fleet.
    pub other_fleet: u64,
    /// Datagrams that were dropped because their format version is not supported.
    pub unsupported_version: u64,
    /// Members and ping requests that were dropped because a limit was reached.
    pub capacity_drops: u64,
    /// Suspicions and false records of this host that it refuted.
    pub refutations: u64,
}

/// Hashes nothing: no decision depends on the counters, so states that differ in them alone are the same for an
/// exhaustive search.
impl std::hash::Hash for Counters {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

impl Counters {
    pub(crate) fn count_received(&mut self) {
        self.received += 1;
    }

    pub(crate) fn count_sent(&mut self, bytes: usize) {
        self.sent += 1;
        self.bytes_sent += bytes as u64;
    }

    pub(crate) fn count_undecodable(&mut self, error: DecodeError) {
        match error {
            DecodeError::Malformed | DecodeError::GenerationTooHigh => self.malformed += 1,
            DecodeError::OtherFleet => self.other_fleet += 1,
            DecodeError::UnsupportedVersion => self.unsupported_version += 1,
        }
    }

    pub(crate) fn count_capacity_drop(&mut self) {
        self.capacity_drops += 1;
    }

    pub(crate) fn count_refutation(&mut self) {
        self.refutations += 1;
    }
}
