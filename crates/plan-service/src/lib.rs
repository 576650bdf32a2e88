//! The plan service: keeps the change log of plans, replicates versions to hosts, and leases lent quota to hosts.
//!
//! - `hosts`: messages from hosts; `catch_up`: messages that bring a connecting host up to the newest version.
//! - `quotas`: the quotas that hosts lend each other.
//! - `operator`: requests of operators on the control socket.
//! - `rollout_waits`: operators who wait for a version to be effective at all hosts.
//! - `limit_change`: whether a change lowers a limit; `rollout_text`: rollouts as text for operators.
//! - `initial_plans`: opens the store, and makes its first versions.
#![warn(missing_docs)]

mod catch_up;
mod error;
mod hosts;
mod initial_plans;
mod limit_change;
mod operator;
mod quotas;
mod rollout_text;
mod rollout_waits;

pub use error::Error;

use initial_plans::OpenedStore;
use mallowseam_change_log::ChangeLogStore;
use mallowseam_control_protocol::startup;
use mallowseam_plans::Millis;
use mallowseam_plans::messages::ServiceMessage;
use mallowseam_plans::quota_pool::POLL_INTERVAL;
use mallowseam_plans::rollout::Rollout;
use mallowseam_plans::state::Change;
use mallowseam_service_loop::{
    Answer, HostConnection, Limits, ListeningSockets, PollError, Service, ServiceSockets,
    SocketEvent,
};
use mallowseam_settings::config;
use mallowseam_sockets::clock::{Clock, ticks_to_millis};
use mallowseam_sockets::periodic_timer::PeriodicTimer;
use mio::Poll;
use mio::event::Event;
use quotas::{QuotaHostId, Quotas};
use rollout_waits::RolloutWaits;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Limits on one host, in bytes. The longest line is a quota report, with up to a few hundred bytes for each volume.
const LIMITS: Limits = Limits {
    max_line: 1 << 20,
    max_unsent: 32 << 20,
};
/// Longest time that the event loop waits for events.
const MAX_POLL_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection of a host, with its id in the quota pools once it has sent its hello message.
type Host = HostConnection<Option<QuotaHostId>>;

struct PlanService {
    clock: Clock,
    /// Time at which the last poll for events returned.
    now: Millis,
    sockets: ServiceSockets<Option<QuotaHostId>>,
    store: ChangeLogStore,
    /// The versions that each host has accepted or rejected.
    rollout: Rollout,
    rollout_waits: RolloutWaits,
    quotas: Quotas,
    /// Timer of the quota polls.
    quota_poll_timer: PeriodicTimer<Millis>,
}

/// Runs the plan service of a site until SIGTERM, SIGINT or a stop request.
///
/// `settings`: the service's section of the configuration. `configured_plans`: the changes that make the configured
/// plans, which become the first versions of a new store.
///
/// # Errors
/// An address, path or store of the configuration cannot be opened, or the store fails later.
pub fn run(settings: &config::PlanService, configured_plans: Vec<Change>) -> Result<(), Error> {
    let mut poll = Poll::new().map_err(PollError)?;
    let mut service = PlanService::open(settings, configured_plans, &poll)?;
    mallowseam_service_loop::run(&mut service, &mut poll)?;
    tracing::info!("plan service stopped");
    Ok(())
}

impl PlanService {
    fn open(
        settings: &config::PlanService,
        configured_plans: Vec<Change>,
        poll: &Poll,
    ) -> Result<Self, Error> {
        let address = startup::validated_address(settings.listen);
        let control_socket = settings.control_socket.as_deref();
        let listening = ListeningSockets::open(address, control_socket, 0, LIMITS, poll)?;
        let OpenedStore {
            store,
            members,
            is_new,
        } = initial_plans::open_store(&settings.store_path, configured_plans)?;
        let clock = Clock::from_zero();
        let now = ticks_to_millis(clock.now());
        let mut rollout = Rollout::default();
        for host in &members {
            rollout.on_contact(host, now);
        }
        tracing::info!(listen = %address, version = store.log().state.version, "plan service started");
        Ok(PlanService {
            clock,
            now,
            sockets: listening.watch_signals(poll)?,
            store,
            rollout,
            rollout_waits: RolloutWaits::default(),
            quotas: Quotas::new(now, is_new),
            quota_poll_timer: PeriodicTimer::new(POLL_INTERVAL, now),
        })
    }

    /// Returns the newest version.
    fn version(&self) -> u64 {
        self.store.log().state.version
    }

    /// Polls all hosts for the quota that they lend and request.
    fn poll_quotas(&mut self) {
        let polled_at = self.now;
        self.sockets
            .hosts_mut()
            .broadcast(&ServiceMessage::QuotaPoll { polled_at }, is_identified);
    }

    /// Answers the operators whose wait for a version has ended.
    fn answer_rollout_waits(&mut self) {
        for ended in self.rollout_waits.take_ended(&self.rollout, self.now) {
            self.sockets
                .operators_mut()
                .answer(ended.connection, &ended.answer);
        }
    }
}

impl Service for PlanService {
    type Error = Error;

    fn is_stopping(&self) -> bool {
        self.sockets.is_stop_requested()
    }

    fn poll_timeout(&self) -> Duration {
        MAX_POLL_TIMEOUT
    }

    fn on_poll_returned(&mut self) {
        self.now = ticks_to_millis(self.clock.now());
    }

    fn on_event(&mut self, event: &Event) -> Result<(), Error> {
        match self.sockets.on_ready(event.token()) {
            Some(SocketEvent::Request { connection, line }) => {
                if let Answer::Now(text) = self.on_request(connection, &line)? {
                    self.sockets.operators_mut().answer(connection, &text);
                }
            }
            Some(SocketEvent::Host(id)) => {
                while let Some(message) = self.sockets.hosts_mut().next_message(id) {
                    self.on_message(id, message);
                }
            }
            // The plan service has no connections to nodes.
            Some(SocketEvent::Node(_)) | None => {}
        }
        Ok(())
    }

    fn after_events(&mut self) -> Result<(), Error> {
        if self.quota_poll_timer.take_due(self.now) {
            self.poll_quotas();
        }
        self.answer_rollout_waits();
        self.sockets.hosts_mut().flush();
        Ok(())
    }
}

/// Returns whether a host has sent its hello message.
fn is_identified(host: &Host) -> bool {
    host.name().is_some()
}

/// Returns the seconds since 1970, for readers of the change log.
fn wall_clock() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
