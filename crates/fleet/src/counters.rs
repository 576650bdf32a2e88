//! Counters of datagrams, for operators.
use crate::wire::DecodeError;

/// Counters of datagrams, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Gossip messages received and decoded.
    pub received: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Datagrams dropped as malformed.
    pub malformed: u64,
    /// Datagrams dropped as another fleet's.
    pub other_fleet: u64,
    /// Datagrams dropped for their version of the format.
    pub unsupported_version: u64,
    /// Members and ping requests dropped for want of capacity.
    pub capacity_drops: u64,
    /// Suspicions of this host that it refuted.
    pub refutations: u64,
}

/// No decision depends on the counters: two states that differ in them alone are the same for an exhaustive search.
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
            DecodeError::Malformed | DecodeError::ImpossibleGeneration => self.malformed += 1,
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
