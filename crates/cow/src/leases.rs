//! The leases of hosts: when a change is effective everywhere, since each host has either acknowledged it or may no
//! longer act on what it knew before (Gray and Cheriton, "Leases", SOSP 1989).
//!
//! A host may act on its replica for the duration of its lease, from the moment at which it *sent* its last renewal.
//! The catalog grants a little less than it waits itself, which allows for clock drift of one per cent. Between
//! a host's last act on an old tree and the first act of anybody on a change there is always a moment at which that
//! host had no lease.
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds for which a host may act without contact to the catalog: clients do not notice a catalog that restarts
/// within it, and a partitioned host delays a first write for no longer.
pub const LEASE_DURATION: Millis = 3_000;
/// Milliseconds that the catalog waits beyond that: for clock drift of one per cent, and a step of its own clock.
pub const LEASE_MARGIN: Millis = 50;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HostLease {
    acknowledged_version: u64,
    expires_at: Millis,
}

impl HostLease {
    fn is_alive(&self, now: Millis) -> bool {
        now < self.expires_at
    }

    /// Whether the host may still act on something older than a version.
    fn blocks(&self, version: u64, now: Millis) -> bool {
        self.acknowledged_version < version && self.is_alive(now)
    }
}

/// The leases that the catalog has granted.
#[derive(Clone, Debug)]
pub struct HostLeases {
    hosts: BTreeMap<String, HostLease>,
    /// Until then hosts may act that this catalog does not know: an earlier process granted their leases.
    unknown_hosts_until: Millis,
}

impl HostLeases {
    /// The leases of a catalog that has just started. `is_first_start`: no catalog ran before this one, so no host
    /// can hold a lease.
    #[must_use]
    pub fn new(now: Millis, is_first_start: bool) -> Self {
        let unknown_hosts_until = if is_first_start {
            now
        } else {
            now + LEASE_DURATION + LEASE_MARGIN
        };
        HostLeases {
            hosts: BTreeMap::new(),
            unknown_hosts_until,
        }
    }

    /// Renews the lease of a host that acts on a version. Returns how long it may act, from when it sent its request.
    pub fn renew(&mut self, host: &str, acknowledged_version: u64, now: Millis) -> Millis {
        let lease = self.hosts.entry(host.to_owned()).or_default();
        lease.acknowledged_version = acknowledged_version;
        lease.expires_at = now + LEASE_DURATION + LEASE_MARGIN;
        LEASE_DURATION
    }

    /// A host acts on a version from now on.
    pub fn acknowledge(&mut self, host: &str, version: u64) {
        if let Some(lease) = self.hosts.get_mut(host) {
            lease.acknowledged_version = lease.acknowledged_version.max(version);
        }
    }

    /// Whether no host acts on anything older than a version.
    #[must_use]
    pub fn is_effective(&self, version: u64, now: Millis) -> bool {
        let is_blocked = self.hosts.values().any(|lease| lease.blocks(version, now));
        self.all_hosts_known(now) && !is_blocked
    }

    /// Whether every host that may act is known.
    #[must_use]
    pub fn all_hosts_known(&self, now: Millis) -> bool {
        now >= self.unknown_hosts_until
    }

    /// The known hosts that may act now.
    #[must_use]
    pub fn active_hosts(&self, now: Millis) -> BTreeSet<String> {
        let active = self.hosts.iter().filter(|(_, lease)| lease.is_alive(now));
        active.map(|(host, _)| host.clone()).collect()
    }

    /// The hosts because of which a version is not effective yet, each with when its lease expires.
    #[must_use]
    pub fn blocking_hosts(&self, version: u64, now: Millis) -> Vec<(&str, Millis)> {
        let blocking = self
            .hosts
            .iter()
            .filter(|(_, lease)| lease.blocks(version, now));
        blocking
            .map(|(host, lease)| (host.as_str(), lease.expires_at))
            .collect()
    }

    /// Forgets hosts whose lease has long expired.
    pub fn remove_expired(&mut self, now: Millis) {
        self.hosts
            .retain(|_, lease| now < lease.expires_at + LEASE_DURATION);
    }
}
