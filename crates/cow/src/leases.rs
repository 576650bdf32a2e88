//! The leases of hosts (Gray and Cheriton, "Leases", SOSP 1989). By them the catalog knows when a change is effective
//! everywhere: each host has either acknowledged the change, or may no longer act on an older tree.
//!
//! A host may act on its replica for the duration of its lease, which begins when the host *sent* its last renewal.
//! The catalog waits a little longer than the duration that it grants, which allows for clock drift of one per cent.
//! Between the last time that a host acts on an old tree and the first time that any host acts on the change, there is
//! always a moment at which the former host has no lease.
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// Time for which a host may act without contact to the catalog, in milliseconds. Clients do not notice a catalog that
/// restarts within this time, and a partitioned host delays a first write for no longer.
pub const LEASE_DURATION: Millis = 3_000;
/// Time that the catalog waits beyond [`LEASE_DURATION`], in milliseconds. It allows for clock drift of one per cent
/// and for a step of the catalog's own clock.
pub const LEASE_MARGIN: Millis = 50;

/// The lease of one host, as the catalog sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct HostLease {
    acknowledged_version: u64,
    expires_at: Millis,
}

impl HostLease {
    fn is_alive(&self, now: Millis) -> bool {
        now < self.expires_at
    }

    /// Returns whether the host may still act on a tree that is older than a version.
    fn blocks(&self, version: u64, now: Millis) -> bool {
        self.acknowledged_version < version && self.is_alive(now)
    }
}

/// The leases that the catalog has granted.
#[derive(Clone, Debug)]
pub struct HostLeases {
    hosts: BTreeMap<String, HostLease>,
    /// Time until which hosts may act that this catalog does not know, as an earlier process granted their leases.
    unknown_hosts_until: Millis,
}

impl HostLeases {
    /// Returns the leases of a catalog that has just started. `is_first_start`: whether no catalog ran before this one,
    /// so that no host can hold a lease.
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

    /// Renews the lease of a host that acts on a version. Returns the duration of the lease, which begins when the host
    /// sent its request.
    pub fn renew(&mut self, host: &str, acknowledged_version: u64, now: Millis) -> Millis {
        let lease = self.hosts.entry(host.to_owned()).or_default();
        lease.acknowledged_version = acknowledged_version;
        lease.expires_at = now + LEASE_DURATION + LEASE_MARGIN;
        LEASE_DURATION
    }

    /// Records that a host acts on a version from now on.
    pub fn acknowledge(&mut self, host: &str, version: u64) {
        if let Some(lease) = self.hosts.get_mut(host) {
            lease.acknowledged_version = lease.acknowledged_version.max(version);
        }
    }

    /// Returns whether a version is effective, that is, no host acts on an older tree.
    #[must_use]
    pub fn is_effective(&self, version: u64, now: Millis) -> bool {
        let is_blocked = self.hosts.values().any(|lease| lease.blocks(version, now));
        self.all_hosts_known(now) && !is_blocked
    }

    /// Returns whether the catalog knows every host that may act.
    #[must_use]
    pub fn all_hosts_known(&self, now: Millis) -> bool {
        now >= self.unknown_hosts_until
    }

    /// Returns the names of the known hosts that may act now.
    #[must_use]
    pub fn active_hosts(&self, now: Millis) -> BTreeSet<String> {
        let active = self.hosts.iter().filter(|(_, lease)| lease.is_alive(now));
        active.map(|(host, _)| host.clone()).collect()
    }

    /// Returns the known hosts that may still act on a tree older than a version, each with the time at which its lease
    /// expires.
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

    /// Removes hosts whose lease expired at least [`LEASE_DURATION`] ago.
    pub fn remove_expired(&mut self, now: Millis) {
        self.hosts
            .retain(|_, lease| now < lease.expires_at + LEASE_DURATION);
    }
}
