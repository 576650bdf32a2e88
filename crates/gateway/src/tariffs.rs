//! The control service of plans: keeps the trail, streams versions to hosts, deals what they lend.
use crate::clock::{Clock, ticks_to_millis};
use crate::control::{self, Control};
use crate::lines::{Bounds, Peer, Peers};
use crate::opening::{self, Failure, failure, signals};
use crate::terms;
use mallowseam_change_log::ChangeLogStore;
use mallowseam_plans::Millis;
use mallowseam_plans::change_log::LogEntry;
use mallowseam_plans::messages::{HostMessage, ServiceMessage, VolumeLease, VolumeReport};
use mallowseam_plans::quota_pool::{LEASE_DURATION, POLL_INTERVAL, QuotaPool};
use mallowseam_plans::rollout::{Rollout, RolloutBlocker};
use mallowseam_plans::state::{Change, Plan, State};
use mallowseam_settings::GatewayConfig;
use mio::net::UnixStream;
use mio::{Events, Poll, Token};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};
use std::time::Duration;

const LISTENER: Token = Token(0);
const CONTROL: Token = Token(1);
const SIGNALS: Token = Token(2);
const CALLERS: usize = 3;
const MEMBERS: usize = CALLERS + control::MOST;
/// Longest line of a host, and bytes that may wait for one: a host that takes nothing is dropped.
const BOUNDS: Bounds = Bounds { longest: 1 << 20, waiting: 32 << 20 };
/// Lines sent to a host that comes back, at most; one that lacks more gets the whole state.
const CATCH_UP: u64 = 256;
/// Milliseconds between two looks at what is due.
const LOOK: u64 = 50;
/// An operator waits for a version to be in force for no longer.
const WAIT_MOST: Millis = 12_000;

struct Service {
    clock: Clock,
    now: Millis,
    store: ChangeLogStore,
    hosts: Rollout,
    numbers: BTreeMap<String, u32>,
    pools: BTreeMap<String, QuotaPool>,
    started: Millis,
    fresh: bool,
    /// With the place of each among those that lend and borrow, the same over all its connections.
    peers: Peers<u32>,
    control: Option<Control>,
    signals: UnixStream,
    waits: Vec<(u32, u64, Millis)>,
    asked: Millis,
    stops: bool,
    scratch: Vec<u8>,
}

/// Runs the control service of a site until it is told to stop.
pub fn run(site: &GatewayConfig) -> Result<(), Failure> {
    let mut poll = Poll::new().map_err(failure("poll".into()))?;
    let mut service = Service::open(site, &poll)?;
    let mut events = Events::with_capacity(256);
    while !service.stops {
        if let Err(e) = poll.poll(&mut events, Some(Duration::from_millis(LOOK)))
            && e.kind() != ErrorKind::Interrupted
        {
            return Err(Failure::new(format!("poll: {e}")));
        }
        service.now = ticks_to_millis(service.clock.now());
        for event in events.iter() {
            service.ready(event.token())?;
        }
        service.round();
    }
    tracing::info!("control service ends");
    Ok(())
}

impl Service {
    fn open(site: &GatewayConfig, poll: &Poll) -> Result<Self, Failure> {
        let settings = site.plan_service.clone().ok_or_else(|| Failure::new("no section tariffs".into()))?;
        let address = settings.listen.expect("checked");
        let peers = Peers::open(address, poll, LISTENER, MEMBERS, BOUNDS)?;
        let control = opening::control(settings.control_socket.as_deref(), poll, CONTROL, CALLERS)?;
        let said =
            |e: mallowseam_change_log::Error| Failure::new(format!("{}: {e}", settings.store_path.display()));
        let mut store = ChangeLogStore::open(&settings.store_path).map_err(said)?;
        let fresh = store.log().state.version == 0;
        if fresh {
            // The first versions are what the configuration says.
            let plans = site
                .plans
                .iter()
                .map(|p| Change::SetPlan { name: p.name.clone(), plan: terms::to_figures(p) });
            let of = |v: &mallowseam_settings::config::Volume| Change::AssignPlan {
                volume: v.name.clone(),
                plan: site.plans[v.plan].name.clone(),
            };
            for change in plans.chain(site.volumes.iter().map(of)) {
                let version = store.log().state.version;
                let line = store.log().propose(version, "configuration", "first start", wall(), change);
                let line = line.map_err(|r| Failure::new(r.to_string()))?;
                store.append(&line).map_err(said)?;
            }
        }
        let clock = Clock::from_zero();
        let now = ticks_to_millis(clock.now());
        let mut hosts = Rollout::default();
        store.members().map_err(said)?.iter().for_each(|host| hosts.on_contact(host, now));
        tracing::info!(listen = %address, version = store.log().state.version, "control service starts");
        Ok(Service {
            now,
            store,
            hosts,
            numbers: BTreeMap::new(),
            pools: BTreeMap::new(),
            started: now,
            fresh,
            peers,
            control,
            signals: signals(poll, SIGNALS).map_err(failure("signals".into()))?,
            waits: Vec::new(),
            asked: now,
            stops: false,
            scratch: vec![0; 64 * 1024],
            clock,
        })
    }

    fn version(&self) -> u64 {
        self.store.log().state.version
    }

    fn ready(&mut self, token: Token) -> Result<(), Failure> {
        match token {
            LISTENER => self.peers.accept(),
            CONTROL => {
                if let Some(control) = &mut self.control {
                    control.accept();
                }
            }
            SIGNALS => {
                let mut bytes = [0; 16];
                self.stops |= matches!(self.signals.read(&mut bytes), Ok(n) if n > 0);
            }
            Token(t) if t < MEMBERS => {
                let at = (t - CALLERS) as u32;
                if let Some(line) = self.control.as_mut().and_then(|c| c.ready(at)) {
                    let answer = self.told(at, &line)?;
                    if let (Some(text), Some(control)) = (answer, &mut self.control) {
                        control.answer(at, &text);
                    }
                }
            }
            Token(t) => self.read((t - MEMBERS) as u32),
        }
        Ok(())
    }

    fn read(&mut self, at: u32) {
        let mut scratch = std::mem::take(&mut self.scratch);
        while let Some(lines) = self.peers.read(at, &mut scratch) {
            for line in lines {
                match serde_json::from_slice(&line) {
                    Ok(word) => self.heard(at, word),
                    Err(e) => self.peers.lose(at, &e.to_string()),
                }
            }
        }
        self.scratch = scratch;
    }

    fn heard(&mut self, at: u32, word: HostMessage) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(at) else { return };
        if let HostMessage::Hello { host, version, last_hash: last } = word {
            if !self.hosts.is_member(&host)
                && let Err(e) = self.store.add_member(&host)
            {
                // It would be forgotten by the next start, and a version be taken for in force without it.
                return self.peers.lose(at, &e.to_string());
            }
            let next = self.numbers.len() as u32;
            peer.about = *self.numbers.entry(host.clone()).or_insert(next);
            peer.name.clone_from(&host);
            self.hosts.on_contact(&host, now);
            self.hosts.on_accepted(&host, version, now);
            return self.catch_up(at, version, &last);
        }
        if peer.name.is_empty() {
            return self.peers.lose(at, "expected hello first");
        }
        let (host, number) = (peer.name.clone(), peer.about);
        match word {
            HostMessage::Hello { .. } => {}
            HostMessage::Accepted { version } => {
                tracing::info!(host, version, "acts on");
                self.hosts.on_accepted(&host, version, now);
            }
            HostMessage::Rejected { version, reason: why } => {
                tracing::warn!(host, version, why, "turned down");
                self.hosts.on_rejected(&host, version, &why, now);
            }
            HostMessage::QuotaReport { polled_at, sent_at, version: _, volumes } => {
                self.hosts.on_contact(&host, now);
                let mut granted: Vec<VolumeLease> = Vec::new();
                for VolumeReport { volume, lent, requested } in volumes {
                    // Pools only for what there is: a host cannot make this service grow without bound.
                    if !self.store.log().state.volumes.contains_key(&volume) {
                        continue;
                    }
                    let fresh = self.fresh;
                    let pool = self
                        .pools
                        .entry(volume.clone())
                        .or_insert_with(|| QuotaPool::new(self.started, fresh));
                    pool.on_report(number, polled_at, lent, requested, now);
                    let amount = pool.grant(number, now);
                    if amount > 0 {
                        granted.push(VolumeLease { volume, amount });
                    }
                }
                if let Some(peer) = self.peers.get_mut(at).filter(|_| !granted.is_empty()) {
                    peer.lines.say(&ServiceMessage::QuotaLeases {
                        requested_at: sent_at,
                        duration: LEASE_DURATION,
                        volumes: granted,
                    });
                }
            }
        }
    }

    /// Sends a host that has come what it lacks: lines where its last one is ours, else the whole state.
    fn catch_up(&mut self, at: u32, version: u64, last: &str) {
        let trail = self.store.log();
        let lacks = trail.state.version.checked_sub(version).filter(|n| *n <= CATCH_UP);
        let lines = lacks.and_then(|_| self.store.entries(version + 1, CATCH_UP as usize).ok());
        // Each line bears the hash of the one before it.
        let follows = |lines: &Vec<String>| match lines.first() {
            Some(first) => {
                serde_json::from_str::<LogEntry>(first).is_ok_and(|line| line.previous_hash == last)
            }
            None => trail.last_hash() == last,
        };
        let Some(peer) = self.peers.get_mut(at) else { return };
        match lines.filter(follows) {
            Some(lines) => {
                lines.into_iter().for_each(|text| peer.lines.say(&ServiceMessage::LogEntry { text }))
            }
            None => {
                let (state, last) = (Box::new(trail.state.clone()), trail.last_hash().to_owned());
                peer.lines.say(&ServiceMessage::Snapshot { state, last_hash: last });
            }
        }
    }

    fn round(&mut self) {
        if self.now >= self.asked + POLL_INTERVAL {
            self.asked = self.now;
            self.peers.say_all(&ServiceMessage::QuotaPoll { polled_at: self.now }, known);
        }
        for (caller, version, until) in std::mem::take(&mut self.waits) {
            let waits = self.hosts.blockers(version, self.now);
            let text = if waits.is_empty() {
                format!("version {version} in force at all {} hosts", self.hosts.member_count())
            } else if self.now >= until {
                format!("error: version {version} stands, and is not in force everywhere: {}", tell(&waits))
            } else {
                self.waits.push((caller, version, until));
                continue;
            };
            if let Some(control) = &mut self.control {
                control.answer(caller, &text);
            }
        }
        self.peers.push();
    }

    /// A line on the control socket: one JSON object. None: the answer comes later.
    fn told(&mut self, caller: u32, line: &str) -> Result<Option<String>, Failure> {
        if line == "stop" {
            self.stops = true;
            return Ok(Some("stopping".into()));
        }
        let asked: Asked = match serde_json::from_str(line) {
            Ok(asked) => asked,
            Err(e) => return Ok(Some(format!("error: {e}"))),
        };
        self.asked_for(caller, asked).or_else(|why| match why {
            Why::Said(text) => Ok(Some(format!("error: {text}"))),
            // A store that fails is no store: hosts go on with what they have.
            Why::Store(e) => Err(Failure::new(e)),
        })
    }

    fn asked_for(&mut self, caller: u32, asked: Asked) -> Result<Option<String>, Why> {
        let read = |e: mallowseam_change_log::Error| Why::Said(e.to_string());
        let at = |version: u64| {
            let found = self.store.log_at(version).map_err(read)?;
            found.ok_or_else(|| Why::Said(format!("no version {version}")))
        };
        match asked {
            Asked::Set { change, expected, author, reason, dry, wait } => {
                let trail = self.store.log();
                let expected = expected.unwrap_or(trail.state.version);
                let text = trail.propose(expected, &author, &reason, wall(), change.clone());
                let text = text.map_err(|r| Why::Said(r.to_string()))?;
                if dry {
                    return Ok(Some(format!("would be version {}", expected + 1)));
                }
                let lowers = lowers(&trail.state, &change);
                let line = self.store.append(&text).map_err(|e| Why::Store(e.to_string()))?;
                tracing::info!(version = line.version, author = line.author, reason = line.reason, "changed");
                if lowers {
                    self.hosts.mark_limit_lowered(line.version);
                }
                self.peers.say_all(&ServiceMessage::LogEntry { text }, known);
                if !wait {
                    return Ok(Some(format!("version {}", line.version)));
                }
                self.waits.push((caller, line.version, self.now + WAIT_MOST));
                Ok(None)
            }
            Asked::Undo { version, author, reason, dry, wait } => {
                let line = self.store.entries(version, 1).map_err(read)?.pop();
                let line: LogEntry = line
                    .and_then(|text| serde_json::from_str(&text).ok())
                    .ok_or_else(|| Why::Said(format!("no version {version}")))?;
                let change = at(version - 1)?.state.revert(&line.change);
                self.asked_for(caller, Asked::Set { change, expected: None, author, reason, dry, wait })
            }
            Asked::Show { version } => {
                let state = match version {
                    Some(version) => at(version)?.state,
                    None => self.store.log().state.clone(),
                };
                Ok(Some(serde_json::to_string(&state).expect("plain")))
            }
            Asked::History { from, most } => {
                let lines = self.store.entries(from, most.min(10_000)).map_err(read)?;
                Ok(Some(lines.join("\n")))
            }
            Asked::Diff { one, other } => {
                let changes = at(one)?.state.diff(&at(other)?.state);
                let text: Vec<String> =
                    changes.iter().map(|c| serde_json::to_string(c).expect("plain")).collect();
                Ok(Some(if text.is_empty() { "no difference".into() } else { text.join("\n") }))
            }
            Asked::Hosts => {
                let (newest, now) = (self.version(), self.now);
                let waits = self.hosts.blockers(newest, now);
                let everywhere = self.hosts.effective_version(newest, now);
                let count = self.hosts.member_count();
                let mut text =
                    format!("version {newest}; {count} hosts; in force at all of them: {everywhere}");
                if !waits.is_empty() {
                    text += &format!("\nwaits: {}", tell(&waits));
                }
                Ok(Some(text))
            }
            Asked::Gone { host } => {
                if self.hosts.declare_removed(&host, self.now) {
                    self.store.remove_member(&host).map_err(|e| Why::Store(e.to_string()))?;
                    Ok(Some(format!("{host} is taken for gone")))
                } else {
                    Err(Why::Said(format!("`{host}`: unknown, or heard of in the last seconds")))
                }
            }
            Asked::Replay => {
                let lines = self.store.verify().map_err(read)?;
                Ok(Some(format!("trail replays: {lines} of {}", self.version())))
            }
        }
    }
}

enum Why {
    Said(String),
    Store(String),
}

/// What an operator asks.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Asked {
    Set {
        change: Change,
        /// The version it was made for; none: whatever stands.
        expected: Option<u64>,
        author: String,
        reason: String,
        dry: bool,
        wait: bool,
    },
    Undo {
        version: u64,
        author: String,
        reason: String,
        dry: bool,
        wait: bool,
    },
    Show {
        version: Option<u64>,
    },
    History {
        from: u64,
        most: usize,
    },
    Diff {
        one: u64,
        other: u64,
    },
    Hosts,
    Gone {
        host: String,
    },
    Replay,
}

/// A host that has said hello.
fn known(peer: &Peer<u32>) -> bool {
    !peer.name.is_empty()
}

/// Seconds since 1970, for readers of the trail.
fn wall() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |s| s.as_secs())
}

/// Whether a change lowers the limit of any volume. No limit is the highest.
fn lowers(state: &State, change: &Change) -> bool {
    let mut next = state.clone();
    if next.apply(change).is_err() {
        return false;
    }
    let limit = |p: Option<&Plan>| p.map_or(0, |p| p.limit);
    state.volumes.keys().any(|v| {
        let (old, new) = (limit(state.plan_of(v)), limit(next.plan_of(v)));
        new > 0 && (old == 0 || new < old)
    })
}

fn tell(waits: &[RolloutBlocker]) -> String {
    let one = |w: &RolloutBlocker| match w {
        RolloutBlocker::Silent { host, accepted_version, .. } => {
            format!("{host} is silent, acts on {accepted_version}")
        }
        RolloutBlocker::Behind { host, accepted_version } => format!("{host} acts on {accepted_version}"),
        RolloutBlocker::Rejected { host, reason } => format!("{host} turned it down: {reason}"),
        RolloutBlocker::UnexpiredLeases { .. } => "what was lent before lapses".into(),
    };
    waits.iter().map(one).collect::<Vec<_>>().join("; ")
}
