//! The rollout of versions to hosts, and the version that is effective at all of them.
//!
//! A version is effective at a host from the moment at which the host has accepted it. It is effective at all hosts
//! once every host has accepted it and, if it lowered a limit, the loans and leases of the older version have expired
//! as well. A host that does not answer continues to act on the version that it has: its nominal quota is its own and
//! cannot be given to others. Such a host is reported until it answers, or until an operator who knows that it has
//! stopped declares it removed.
use crate::Millis;
use crate::host_quota::{CLOCK_SKEW_MARGIN, LOAN_DURATION};
use std::collections::BTreeMap;

/// Milliseconds without contact after which a host counts as silent.
pub const SILENT_AFTER: Millis = 3_000;

/// The rejection of a version by a host.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Rejection {
    version: u64,
    reason: String,
}

/// What the control service knows of one host.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Host {
    /// Newest version that the host has accepted.
    accepted_version: u64,
    /// When the service learned that the host had accepted `accepted_version`.
    accepted_at: Millis,
    last_contact: Millis,
    /// Last rejection by the host, unless the host has since accepted the same version or a newer one.
    rejection: Option<Rejection>,
    is_removed: bool,
}

impl Host {
    fn is_silent(&self, now: Millis) -> bool {
        now >= self.last_contact + SILENT_AFTER
    }
}

/// A reason why a version is not effective at all hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutBlocker {
    /// A host has not accepted the version and is silent.
    Silent {
        /// Name of the host.
        host: String,
        /// Newest version that the host is known to have accepted.
        accepted_version: u64,
        /// When something was last received from the host.
        last_contact: Millis,
    },
    /// A host answers but has not accepted the version yet.
    Behind {
        /// Name of the host.
        host: String,
        /// Newest version that the host has accepted.
        accepted_version: u64,
    },
    /// A host has rejected the version or a newer one.
    Rejected {
        /// Name of the host.
        host: String,
        /// Reason that the host gave.
        reason: String,
    },
    /// All hosts have accepted the version, which lowered a limit; loans and leases of the older version have not
    /// expired yet.
    UnexpiredLeases {
        /// When the last of these loans and leases expires.
        until: Millis,
    },
}

/// The versions that each host has accepted or rejected, as far as the control service knows.
#[derive(Clone, Debug, Default)]
pub struct Rollout {
    hosts: BTreeMap<String, Host>,
    /// Versions that lowered a limit.
    limit_lowering_versions: Vec<u64>,
}

impl Rollout {
    /// Records that a host has sent something. A new host becomes a member that has accepted nothing yet; a host that
    /// was declared removed becomes a member again.
    pub fn on_contact(&mut self, host: &str, now: Millis) {
        self.record_contact(host, now);
    }

    fn record_contact(&mut self, host: &str, now: Millis) -> &mut Host {
        let host = self.hosts.entry(host.to_owned()).or_insert(Host {
            accepted_version: 0,
            accepted_at: now,
            last_contact: now,
            rejection: None,
            is_removed: false,
        });
        host.last_contact = now;
        host.is_removed = false;
        host
    }

    /// Returns the number of members: all hosts that have not been declared removed.
    #[must_use]
    pub fn member_count(&self) -> usize {
        self.members().count()
    }

    /// Returns whether a host is known and has not been declared removed.
    #[must_use]
    pub fn is_member(&self, host: &str) -> bool {
        self.hosts.get(host).is_some_and(|host| !host.is_removed)
    }

    fn members(&self) -> impl Iterator<Item = (&String, &Host)> {
        self.hosts.iter().filter(|(_, host)| !host.is_removed)
    }

    /// Records that a host has accepted a version (ACK). A repeated or older version counts only as a contact: a host
    /// never returns to an older version.
    pub fn on_accepted(&mut self, host: &str, version: u64, now: Millis) {
        let host = self.record_contact(host, now);
        if version > host.accepted_version {
            host.accepted_version = version;
            host.accepted_at = now;
            host.rejection = host
                .rejection
                .take()
                .filter(|rejection| rejection.version > version);
        }
    }

    /// Records that a host has rejected a version (NACK).
    pub fn on_rejected(&mut self, host: &str, version: u64, reason: &str, now: Millis) {
        let host = self.record_contact(host, now);
        if version > host.accepted_version {
            host.rejection = Some(Rejection {
                version,
                reason: reason.to_owned(),
            });
        }
    }

    /// Declares a host removed, on behalf of an operator who knows that it has stopped permanently. Returns false, and
    /// changes nothing, if the host is unknown or not silent.
    pub fn declare_removed(&mut self, host: &str, now: Millis) -> bool {
        match self.hosts.get_mut(host) {
            Some(host) if host.is_silent(now) => {
                host.is_removed = true;
                true
            }
            _ => false,
        }
    }

    /// Records that a version lowers a limit.
    pub fn mark_limit_lowered(&mut self, version: u64) {
        self.limit_lowering_versions.push(version);
    }

    /// Returns the reasons why a version is not effective at all hosts; empty if it is effective.
    #[must_use]
    pub fn blockers(&self, version: u64, now: Millis) -> Vec<RolloutBlocker> {
        let blockers: Vec<RolloutBlocker> = self
            .members()
            .filter_map(|(name, host)| blocker(name, host, version, now))
            .collect();
        if !blockers.is_empty() || !self.limit_lowering_versions.contains(&version) {
            return blockers;
        }
        // A host that has accepted a later version accepted this one no later than that.
        let all_accepted_at = self
            .members()
            .map(|(_, host)| host.accepted_at)
            .max()
            .unwrap_or(0);
        let until = all_accepted_at + LOAN_DURATION + CLOCK_SKEW_MARGIN;
        if now < until {
            vec![RolloutBlocker::UnexpiredLeases { until }]
        } else {
            Vec::new()
        }
    }

    /// Returns the last version up to `newest` that is effective at all hosts.
    #[must_use]
    pub fn effective_version(&self, newest: u64, now: Millis) -> u64 {
        let oldest_accepted = self.members().map(|(_, host)| host.accepted_version).min();
        let mut version = oldest_accepted.unwrap_or(newest).min(newest);
        while version > 0 && !self.blockers(version, now).is_empty() {
            version -= 1;
        }
        version
    }
}

fn blocker(name: &str, host: &Host, version: u64, now: Millis) -> Option<RolloutBlocker> {
    let accepted_version = host.accepted_version;
    if accepted_version >= version {
        return None;
    }
    let name = name.to_owned();
    Some(match &host.rejection {
        Some(rejection) if rejection.version >= version => RolloutBlocker::Rejected {
            host: name,
            reason: rejection.reason.clone(),
        },
        _ if host.is_silent(now) => RolloutBlocker::Silent {
            host: name,
            accepted_version,
            last_contact: host.last_contact,
        },
        _ => RolloutBlocker::Behind {
            host: name,
            accepted_version,
        },
    })
}
