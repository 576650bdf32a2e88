//! A host's replica of the plans: it follows the change log of the control service, and keeps the host's quotas of
//! the limits in it.
use crate::change_log::{ChangeLog, GENESIS_HASH};
use crate::error::{LogError, ReplicaError};
use crate::host_quota::{CLOCK_SKEW_MARGIN, HostQuota, LOAN_DURATION};
use crate::messages::{HostMessage, ServiceMessage, VolumeLease, VolumeReport};
use crate::state::State;
use crate::{MilliUnits, Millis};

/// Longest delay in milliseconds before the next connection attempt; each failed attempt doubles the delay. Half of
/// each delay is jitter, so that hosts that lost the service at the same time do not reconnect at the same time.
pub const MAX_RECONNECT_DELAY: Millis = 5_000;
const MIN_RECONNECT_DELAY: Millis = 100;
/// The delay stops doubling after so many attempts.
const MAX_BACKOFF_EXPONENT: u32 = 10;
/// The largest value of the jitter that a caller passes in.
const FULL_JITTER: u64 = 1_000;

/// What the caller has to do after a message.
#[derive(Debug)]
pub enum ReplicaAction {
    /// Nothing.
    None,
    /// Apply the pending state, then call [`PlanReplica::accept_pending`] or [`PlanReplica::reject_pending`].
    ApplyPending,
    /// Send this message.
    Send(HostMessage),
    /// Close the connection; the next one requests a full snapshot.
    Disconnect(ReplicaError),
}

/// A volume that the host serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostedVolume {
    /// Name of the volume.
    pub name: String,
    /// Number of hosts that serve it, this one included.
    pub host_count: u32,
}

/// A volume with the host's quota of its limit, if its plan has one.
struct VolumeQuota {
    volume: HostedVolume,
    quota: Option<HostQuota>,
}

/// A host's replica of the plans.
pub struct PlanReplica {
    host: String,
    /// What the host acts on.
    log: ChangeLog,
    /// What the host has received and neither accepted nor replaced yet.
    pending: Option<ChangeLog>,
    /// In the caller's order.
    volumes: Vec<VolumeQuota>,
    /// Until then, other hosts may still use what was lent before this start.
    unknown_loans_until: Millis,
    failed_attempts: u32,
    next_attempt: Millis,
}

impl PlanReplica {
    /// A replica that starts with what was stored on disk, if anything.
    #[must_use]
    pub fn new(
        host: &str,
        volumes: Vec<HostedVolume>,
        stored: Option<ChangeLog>,
        now: Millis,
    ) -> Self {
        let mut replica = PlanReplica {
            host: host.to_owned(),
            log: stored.unwrap_or_default(),
            pending: None,
            volumes: volumes
                .into_iter()
                .map(|volume| VolumeQuota {
                    volume,
                    quota: None,
                })
                .collect(),
            unknown_loans_until: now + LOAN_DURATION + CLOCK_SKEW_MARGIN,
            failed_attempts: 0,
            next_attempt: 0,
        };
        replica.update_quotas(now);
        replica
    }

    /// The state that the host acts on.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.log.state
    }

    /// What is to be stored on disk for the next start: the state that the host acts on, and its hash.
    #[must_use]
    pub fn log(&self) -> &ChangeLog {
        &self.log
    }

    /// The state that is to be applied next.
    #[must_use]
    pub fn pending(&self) -> Option<&State> {
        self.pending.as_ref().map(|pending| &pending.state)
    }

    /// The message that opens a connection.
    #[must_use]
    pub fn hello(&self) -> HostMessage {
        let newest = self.pending.as_ref().unwrap_or(&self.log);
        HostMessage::Hello {
            host: self.host.clone(),
            version: newest.state.version,
            last_hash: newest.last_hash().to_owned(),
        }
    }

    /// Takes a message. `demand` is used for a poll only: for each volume, in the order given to
    /// [`PlanReplica::new`], the thousandths of units a second that clients request, served or not.
    pub fn receive(
        &mut self,
        message: ServiceMessage,
        demand: &[MilliUnits],
        now: Millis,
    ) -> ReplicaAction {
        self.failed_attempts = 0;
        match message {
            ServiceMessage::Snapshot { state, last_hash } => self.on_snapshot(*state, last_hash),
            ServiceMessage::LogEntry { text } => match self.append_to_pending(&text) {
                Ok(()) => ReplicaAction::ApplyPending,
                Err(error) => ReplicaAction::Disconnect(error.into()),
            },
            ServiceMessage::QuotaPoll { polled_at } => {
                ReplicaAction::Send(self.quota_report(polled_at, demand, now))
            }
            ServiceMessage::QuotaLeases {
                requested_at,
                duration,
                volumes,
            } => {
                self.add_leases(volumes, requested_at, duration, now);
                ReplicaAction::None
            }
        }
    }

    fn on_snapshot(&mut self, state: State, last_hash: String) -> ReplicaAction {
        if state.version == 0 && last_hash != GENESIS_HASH {
            return ReplicaAction::Disconnect(ReplicaError::InvalidSnapshot);
        }
        self.pending = Some(ChangeLog::from_snapshot(state, last_hash));
        ReplicaAction::ApplyPending
    }

    fn append_to_pending(&mut self, text: &str) -> Result<(), LogError> {
        let mut newest = self.pending.take().unwrap_or_else(|| self.log.clone());
        let appended = newest.append(text);
        if appended.is_ok() {
            self.pending = Some(newest);
        } else {
            // An empty hash matches no entry, so the service answers the next hello with a full snapshot.
            self.log = ChangeLog::from_snapshot(self.log.state.clone(), String::new());
        }
        appended.map(drop)
    }

    /// Lends what is not needed, and reports it with what is needed beyond the nominal quotas.
    fn quota_report(
        &mut self,
        polled_at: Millis,
        demand: &[MilliUnits],
        now: Millis,
    ) -> HostMessage {
        let mut volumes = Vec::new();
        for (index, entry) in self.volumes.iter_mut().enumerate() {
            let Some(quota) = &mut entry.quota else {
                continue;
            };
            let demand = demand.get(index).copied().unwrap_or(0);
            volumes.push(VolumeReport {
                volume: entry.volume.name.clone(),
                lent: quota.lend(quota.lendable(demand), now),
                requested: demand.saturating_sub(quota.nominal()),
            });
        }
        HostMessage::QuotaReport {
            polled_at,
            sent_at: now,
            version: self.log.state.version,
            volumes,
        }
    }

    fn add_leases(
        &mut self,
        leases: Vec<VolumeLease>,
        requested_at: Millis,
        duration: Millis,
        now: Millis,
    ) {
        for lease in leases {
            let own = self
                .volumes
                .iter_mut()
                .find(|own| own.volume.name == lease.volume);
            if let Some(quota) = own.and_then(|own| own.quota.as_mut()) {
                quota.add_lease(lease.amount, requested_at, duration, now);
            }
        }
    }

    /// The host acts on the pending state from now on. Returns the message to send; none if nothing is pending.
    pub fn accept_pending(&mut self, now: Millis) -> Option<HostMessage> {
        self.log = self.pending.take()?;
        self.update_quotas(now);
        Some(HostMessage::Accepted {
            version: self.log.state.version,
        })
    }

    /// The host cannot act on the pending state, which stays pending: a later log entry may make it acceptable.
    /// Returns the message to send; none if nothing is pending.
    pub fn reject_pending(&mut self, reason: String) -> Option<HostMessage> {
        let version = self.pending()?.version;
        Some(HostMessage::Rejected { version, reason })
    }

    fn update_quotas(&mut self, now: Millis) {
        for entry in &mut self.volumes {
            let plan = self.log.state.plan_of(&entry.volume.name);
            let Some(limit) = plan.map(|plan| plan.rate_limit).filter(|limit| *limit > 0) else {
                entry.quota = None;
                continue;
            };
            let hosts = entry.volume.host_count;
            if let Some(quota) = &mut entry.quota {
                quota.set_limit(limit, hosts);
                continue;
            }
            let quota = entry.quota.insert(HostQuota::new(limit, hosts));
            if now < self.unknown_loans_until {
                quota.restrict_until(self.unknown_loans_until, now);
            }
        }
    }

    /// For each volume, in the order given to [`PlanReplica::new`], what the host may use now, in thousandths of a
    /// unit a second; none if the volume has no limit.
    pub fn available_quotas(&self, now: Millis) -> impl Iterator<Item = Option<MilliUnits>> {
        self.volumes
            .iter()
            .map(move |entry| entry.quota.as_ref().map(|quota| quota.available(now)))
    }

    /// Whether the caller should try to connect now; if so, the next attempt is due after an exponential backoff.
    /// `jitter`, from 0 to 1,000, spreads the attempts of different hosts.
    pub fn should_connect(&mut self, now: Millis, jitter: u64) -> bool {
        if now < self.next_attempt {
            return false;
        }
        let delay = (MIN_RECONNECT_DELAY << self.failed_attempts).min(MAX_RECONNECT_DELAY);
        self.failed_attempts = (self.failed_attempts + 1).min(MAX_BACKOFF_EXPONENT);
        self.next_attempt = now + delay / 2 + delay / 2 * jitter.min(FULL_JITTER) / FULL_JITTER;
        true
    }
}
