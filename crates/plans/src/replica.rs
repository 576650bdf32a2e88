//! A host's replica of the plans: it follows the change log of the control service, and keeps the host's quotas of the
//! limits in the plans.
use crate::change_log::{ChangeLog, GENESIS_HASH};
use crate::error::{LogError, ReplicaError};
use crate::messages::{HostMessage, ServiceMessage};
use crate::reconnect_backoff::ReconnectBackoff;
use crate::state::State;
use crate::volume_quotas::VolumeQuotas;
use crate::{MilliUnits, Millis};

pub use crate::reconnect_backoff::MAX_RECONNECT_DELAY;
pub use crate::volume_quotas::HostedVolume;

/// Action that the caller takes after a message.
#[derive(Debug)]
pub enum ReplicaAction {
    /// No action.
    None,
    /// Apply the pending state, then call [`PlanReplica::accept_pending`] or [`PlanReplica::reject_pending`].
    ApplyPending,
    /// Send this message to the service.
    Send(HostMessage),
    /// Close the connection; the next one requests a full snapshot.
    Disconnect(ReplicaError),
}

/// A host's replica of the plans.
pub struct PlanReplica {
    host: String,
    /// Log whose state the host acts on.
    log: ChangeLog,
    /// Newest log received from the service, unless the host has accepted it.
    pending: Option<ChangeLog>,
    quotas: VolumeQuotas,
    backoff: ReconnectBackoff,
}

impl PlanReplica {
    /// Returns a replica that starts with the log stored on disk, if there is one.
    #[must_use]
    pub fn new(
        host: &str,
        volumes: Vec<HostedVolume>,
        stored: Option<ChangeLog>,
        now: Millis,
    ) -> Self {
        let log = stored.unwrap_or_default();
        let mut quotas = VolumeQuotas::new(volumes, now);
        quotas.set_limits(&log.state, now);
        PlanReplica {
            host: host.to_owned(),
            log,
            pending: None,
            quotas,
            backoff: ReconnectBackoff::default(),
        }
    }

    /// Returns the state that the host acts on.
    #[must_use]
    pub fn state(&self) -> &State {
        &self.log.state
    }

    /// Returns the log to store on disk for the next start: the state that the host acts on, and its hash.
    #[must_use]
    pub fn log(&self) -> &ChangeLog {
        &self.log
    }

    /// Returns the state to be applied next; none if nothing is pending.
    #[must_use]
    pub fn pending(&self) -> Option<&State> {
        self.pending.as_ref().map(|pending| &pending.state)
    }

    /// Returns the message that opens a connection.
    #[must_use]
    pub fn hello(&self) -> HostMessage {
        let newest = self.pending.as_ref().unwrap_or(&self.log);
        HostMessage::Hello {
            host: self.host.clone(),
            version: newest.state.version,
            last_hash: newest.last_hash().to_owned(),
        }
    }

    /// Handles a message from the service. `demand` is used for a poll only: for each volume, in the order given to
    /// [`PlanReplica::new`], the rate that clients request, served or not, in thousandths of a unit a second.
    pub fn receive(
        &mut self,
        message: ServiceMessage,
        demand: &[MilliUnits],
        now: Millis,
    ) -> ReplicaAction {
        self.backoff.reset();
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
                self.quotas.add_leases(volumes, requested_at, duration, now);
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
            // The service answers the next hello with a full snapshot.
            self.log.mark_diverged();
        }
        appended.map(drop)
    }

    /// Lends the quota that is not needed. Returns the report of it and of the quota needed beyond the nominal quotas.
    fn quota_report(
        &mut self,
        polled_at: Millis,
        demand: &[MilliUnits],
        now: Millis,
    ) -> HostMessage {
        HostMessage::QuotaReport {
            polled_at,
            sent_at: now,
            version: self.log.state.version,
            volumes: self.quotas.lend(demand, now),
        }
    }

    /// Accepts the pending state, which the host acts on from now on. Returns the message to send; none if nothing is
    /// pending.
    pub fn accept_pending(&mut self, now: Millis) -> Option<HostMessage> {
        self.log = self.pending.take()?;
        self.quotas.set_limits(&self.log.state, now);
        Some(HostMessage::Accepted {
            version: self.log.state.version,
        })
    }

    /// Rejects the pending state, which the host cannot act on. It stays pending: a later log entry may make it
    /// acceptable. Returns the message to send; none if nothing is pending.
    pub fn reject_pending(&mut self, reason: String) -> Option<HostMessage> {
        let version = self.pending()?.version;
        Some(HostMessage::Rejected { version, reason })
    }

    /// Returns the rate that the host may use now for each volume, in the order given to [`PlanReplica::new`], in
    /// thousandths of a unit a second; none if the volume has no limit.
    pub fn available_quotas(&self, now: Millis) -> impl Iterator<Item = Option<MilliUnits>> {
        self.quotas.available(now)
    }

    /// Returns whether the caller should try to connect now; if so, the next attempt is due after an exponential
    /// backoff. `jitter`, from 0 to 1,000, spreads the attempts of different hosts.
    pub fn should_connect(&mut self, now: Millis, jitter: u64) -> bool {
        self.backoff.is_attempt_due(now, jitter)
    }
}
