//! The plan service: keeps the change log of plans, replicates versions to hosts, and grants borrowed quotas.
//!
//! - `request`, `operator`: requests of operators on the control socket.
mod operator;
mod request;

pub use request::PlanRequest;

use crate::clock::{Clock, ticks_to_millis};
use crate::control_socket::{self, ConnectionId, ControlSocket};
use crate::error::Error;
use crate::json_lines::{Disconnect, Limits, Peer, PeerId, Peers};
use crate::scheduler_config;
use crate::startup;
use mallowseam_change_log::ChangeLogStore;
use mallowseam_plans::Millis;
use mallowseam_plans::change_log::LogEntry;
use mallowseam_plans::messages::{HostMessage, ServiceMessage, VolumeLease, VolumeReport};
use mallowseam_plans::quota_pool::{LEASE_DURATION, POLL_INTERVAL, QuotaPool};
use mallowseam_plans::rollout::Rollout;
use mallowseam_plans::state::Change;
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::Volume;
use mio::net::UnixStream;
use mio::{Events, Poll, Token};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const LISTENER: Token = Token(0);
const CONTROL: Token = Token(1);
const SIGNALS: Token = Token(2);
/// First token of connections to the control socket.
const FIRST_CONTROL_CONNECTION: usize = 3;
/// First token of hosts.
const FIRST_PEER: usize = FIRST_CONTROL_CONNECTION + control_socket::MAX_CONNECTIONS;
const LIMITS: Limits = Limits {
    max_line: 1 << 20,
    max_unsent: 32 << 20,
};
/// Lines sent to a host that comes back, at most; one that lacks more gets a full snapshot.
const MAX_CATCH_UP: u64 = 256;
/// Longest sleep of the event loop.
const PERIOD: Duration = Duration::from_millis(50);
const READ_BUFFER: usize = 64 * 1024;
const MAX_EVENTS: usize = 256;
/// Author and reason of the first versions, which the configuration makes.
const CONFIGURATION_AUTHOR: &str = "configuration";
const CONFIGURATION_REASON: &str = "first start";

/// An operator who waits for a version to be in effect at all hosts.
struct RolloutWait {
    connection: ConnectionId,
    version: u64,
    deadline: Millis,
}

/// Number of a host among those that lend and borrow quotas, the same over all its connections.
type LenderId = u32;

struct PlanService {
    clock: Clock,
    now: Millis,
    store: ChangeLogStore,
    /// Which host acts on which version.
    rollout: Rollout,
    lender_ids: BTreeMap<String, LenderId>,
    /// Lent and granted quotas of each volume.
    pools: BTreeMap<String, QuotaPool>,
    started: Millis,
    /// No service ran before this one, so no grants of another one can be in use.
    fresh: bool,
    peers: Peers<LenderId>,
    control: Option<ControlSocket>,
    signals: UnixStream,
    rollout_waits: Vec<RolloutWait>,
    /// When hosts were last asked for what they lend and want.
    last_poll: Millis,
    stopping: bool,
    read_buffer: Vec<u8>,
}

/// Runs the plan service of a site until SIGTERM, SIGINT or a request to stop.
///
/// # Errors
/// An address, path or store of the configuration cannot be had, or the store fails later.
pub(crate) fn run(config: &GatewayConfig) -> Result<(), Error> {
    let mut poll = Poll::new().map_err(Error::Poll)?;
    let mut service = PlanService::open(config, &poll)?;
    let mut events = Events::with_capacity(MAX_EVENTS);
    while !service.stopping {
        if let Err(e) = poll.poll(&mut events, Some(PERIOD))
            && e.kind() != ErrorKind::Interrupted
        {
            return Err(Error::Poll(e));
        }
        service.now = ticks_to_millis(service.clock.now());
        for event in &events {
            service.on_event(event.token())?;
        }
        service.after_events();
    }
    tracing::info!("plan service stopped");
    Ok(())
}

/// Opens the store. A new one gets the plans of the configuration as its first versions; whether it is new.
fn open_store(
    config: &GatewayConfig,
    path: &std::path::Path,
) -> Result<(ChangeLogStore, bool), Error> {
    let failed = |source| Error::OpenPlanStore {
        path: path.to_owned(),
        source,
    };
    let mut store = ChangeLogStore::open(path).map_err(failed)?;
    let fresh = store.log().state.version == 0;
    if fresh {
        for change in configured_changes(config) {
            let version = store.log().state.version;
            let (author, reason) = (CONFIGURATION_AUTHOR, CONFIGURATION_REASON);
            let line = store
                .log()
                .propose(version, author, reason, wall_clock(), change);
            store
                .append(&line.map_err(Error::ConfiguredPlan)?)
                .map_err(failed)?;
        }
    }
    Ok((store, fresh))
}

/// The changes that make the plans of a configuration.
fn configured_changes(config: &GatewayConfig) -> impl Iterator<Item = Change> {
    let plans = config.plans.iter().map(|plan| Change::SetPlan {
        name: plan.name.clone(),
        plan: scheduler_config::replicated_plan(plan),
    });
    let plan_of = |volume: &Volume| Change::AssignPlan {
        volume: volume.name.clone(),
        plan: config.plans[volume.plan].name.clone(),
    };
    plans.chain(config.volumes.iter().map(plan_of))
}

impl PlanService {
    fn open(config: &GatewayConfig, poll: &Poll) -> Result<Self, Error> {
        let settings = config
            .plan_service
            .clone()
            .ok_or(Error::MissingSection("tariffs"))?;
        let address = startup::validated_address(settings.listen);
        let peers = Peers::open(address, poll, LISTENER, FIRST_PEER, LIMITS)?;
        let control = startup::control_socket(
            settings.control_socket.as_deref(),
            poll,
            CONTROL,
            FIRST_CONTROL_CONNECTION,
        )?;
        let (store, fresh) = open_store(config, &settings.store_path)?;
        let clock = Clock::from_zero();
        let now = ticks_to_millis(clock.now());
        let mut rollout = Rollout::default();
        let members = store.members().map_err(|source| Error::OpenPlanStore {
            path: settings.store_path.clone(),
            source,
        })?;
        members
            .iter()
            .for_each(|host| rollout.on_contact(host, now));
        tracing::info!(listen = %address, version = store.log().state.version, "plan service started");
        Ok(PlanService {
            clock,
            now,
            store,
            rollout,
            lender_ids: BTreeMap::new(),
            pools: BTreeMap::new(),
            started: now,
            fresh,
            peers,
            control,
            signals: startup::signals(poll, SIGNALS)?,
            rollout_waits: Vec::new(),
            last_poll: now,
            stopping: false,
            read_buffer: vec![0; READ_BUFFER],
        })
    }

    /// The newest version.
    fn version(&self) -> u64 {
        self.store.log().state.version
    }

    fn on_event(&mut self, token: Token) -> Result<(), Error> {
        match token {
            LISTENER => self.peers.accept(),
            CONTROL => {
                if let Some(control) = &mut self.control {
                    control.accept();
                }
            }
            SIGNALS => self.stopping |= startup::take_signal(&mut self.signals),
            Token(token) if token < FIRST_PEER => {
                let connection = (token - FIRST_CONTROL_CONNECTION) as ConnectionId;
                if let Some(line) = self
                    .control
                    .as_mut()
                    .and_then(|c| c.read_request(connection))
                {
                    let answer = self.on_request(connection, &line)?;
                    if let (Some(text), Some(control)) = (answer, &mut self.control) {
                        control.answer(connection, &text);
                    }
                }
            }
            Token(token) => self.read_peer((token - FIRST_PEER) as PeerId),
        }
        Ok(())
    }

    fn read_peer(&mut self, id: PeerId) {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        while let Some(lines) = self.peers.read(id, &mut buffer) {
            for line in lines {
                match serde_json::from_slice(&line) {
                    Ok(message) => self.on_message(id, message),
                    Err(e) => self.peers.disconnect(id, &e.into()),
                }
            }
        }
        self.read_buffer = buffer;
    }

    fn on_message(&mut self, id: PeerId, message: HostMessage) {
        if let HostMessage::Hello {
            host,
            version,
            last_hash,
        } = message
        {
            return self.on_hello(id, &host, version, &last_hash);
        }
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        if !is_known(peer) {
            return self.peers.disconnect(id, &Disconnect::HelloExpected);
        }
        let (host, lender) = (peer.name.clone(), peer.state);
        match message {
            HostMessage::Hello { .. } => {}
            HostMessage::Accepted { version } => {
                tracing::info!(host, version, "version accepted");
                self.rollout.on_accepted(&host, version, self.now);
            }
            HostMessage::Rejected { version, reason } => {
                tracing::warn!(host, version, reason, "version rejected");
                self.rollout.on_rejected(&host, version, &reason, self.now);
            }
            HostMessage::QuotaReport {
                polled_at,
                sent_at,
                version: _,
                volumes,
            } => {
                self.rollout.on_contact(&host, self.now);
                self.on_report(id, lender, polled_at, sent_at, volumes);
            }
        }
    }

    fn on_hello(&mut self, id: PeerId, host: &str, version: u64, last: &str) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        if !self.rollout.is_member(host)
            && let Err(e) = self.store.add_member(host)
        {
            // It would be forgotten by the next start, and a version be taken for in effect without it.
            return self.peers.disconnect(id, &Disconnect::Store(e));
        }
        let next = self.lender_ids.len() as LenderId;
        peer.state = *self.lender_ids.entry(host.to_owned()).or_insert(next);
        host.clone_into(&mut peer.name);
        self.rollout.on_contact(host, self.now);
        self.rollout.on_accepted(host, version, self.now);
        self.catch_up(id, version, last);
    }

    /// Takes what a host lends and wants of each volume's limit, and grants it what it can have.
    fn on_report(
        &mut self,
        id: PeerId,
        lender: LenderId,
        polled_at: Millis,
        sent_at: Millis,
        volumes: Vec<VolumeReport>,
    ) {
        let mut granted: Vec<VolumeLease> = Vec::new();
        for VolumeReport {
            volume,
            lent,
            requested,
        } in volumes
        {
            // Pools only for volumes that exist: a host cannot make this service grow without bound.
            if !self.store.log().state.volumes.contains_key(&volume) {
                continue;
            }
            let (started, fresh) = (self.started, self.fresh);
            let pool = self
                .pools
                .entry(volume.clone())
                .or_insert_with(|| QuotaPool::new(started, fresh));
            pool.on_report(lender, polled_at, lent, requested, self.now);
            let amount = pool.grant(lender, self.now);
            if amount > 0 {
                granted.push(VolumeLease { volume, amount });
            }
        }
        if let Some(peer) = self.peers.get_mut(id).filter(|_| !granted.is_empty()) {
            peer.connection.send(&ServiceMessage::QuotaLeases {
                requested_at: sent_at,
                duration: LEASE_DURATION,
                volumes: granted,
            });
        }
    }

    /// Sends a host that has connected what it lacks: lines of the change log where the last one that it has
    /// is in it, else a full snapshot.
    fn catch_up(&mut self, id: PeerId, version: u64, last: &str) {
        let log = self.store.log();
        let missing = log
            .state
            .version
            .checked_sub(version)
            .filter(|n| *n <= MAX_CATCH_UP);
        let lines =
            missing.and_then(|_| self.store.entries(version + 1, MAX_CATCH_UP as usize).ok());
        // Each line bears the hash of the one before it.
        let follows = |lines: &Vec<String>| match lines.first() {
            Some(first) => serde_json::from_str::<LogEntry>(first)
                .is_ok_and(|entry| entry.previous_hash == last),
            None => log.last_hash() == last,
        };
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        match lines.filter(follows) {
            Some(lines) => {
                lines
                    .into_iter()
                    .for_each(|text| peer.connection.send(&ServiceMessage::LogEntry { text }));
            }
            None => {
                let (state, last_hash) = (Box::new(log.state.clone()), log.last_hash().to_owned());
                peer.connection
                    .send(&ServiceMessage::Snapshot { state, last_hash });
            }
        }
    }

    /// What is due after the events of one poll.
    fn after_events(&mut self) {
        if self.now >= self.last_poll + POLL_INTERVAL {
            self.last_poll = self.now;
            self.peers.broadcast(
                &ServiceMessage::QuotaPoll {
                    polled_at: self.now,
                },
                is_known,
            );
        }
        self.answer_rollout_waits();
        self.peers.flush();
    }
}

/// Whether a host has said hello.
fn is_known(peer: &Peer<LenderId>) -> bool {
    !peer.name.is_empty()
}

/// Seconds since 1970, for readers of the change log.
fn wall_clock() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_secs())
}
