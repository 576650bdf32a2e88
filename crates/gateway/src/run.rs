//! The event loop: one thread, every decision the scheduler's or a connection policy's.
use crate::clients::Clients;
use crate::clock::{Clock, ticks_to_duration, ticks_to_millis};
use crate::control::{self, Control, GroupStatus, NodeStatus, PlanStatus, Status, VolumeStatus};
use crate::desk::Desk;
use crate::follow::Follow;
use crate::list::List;
use crate::map::Map;
use crate::nodes::Nodes;
use crate::opening::{Failure, control, failure, listen, signals};
use crate::terms;
use mallowseam_connection_policy::admission::AdmissionController;
use mallowseam_fleet::record::ActiveVersions;
use mallowseam_fleet_udp::UdpMembership;
use mallowseam_iscsi::frame::Digests;
use mallowseam_iscsi::params::Wishes;
use mallowseam_iscsi::target::TargetTerms;
use mallowseam_plans::MilliUnits;
use mallowseam_plans::replica::HostedVolume;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{Host, NodeId, NodeState, Tick, VolumeId};
use mallowseam_settings::{GatewayConfig, reload};
use mio::net::{TcpListener, UnixStream};
use mio::{Events, Poll, Token};
use rand::Rng;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::rc::Rc;

const LISTENER: Token = Token(0);
const CONTROL: Token = Token(1);
const LIST: Token = Token(2);
const SIGNALS: Token = Token(3);
const MAP: Token = Token(4);
const FOLLOW: Token = Token(5);
const FLEET: Token = Token(6);
/// Ticks between two counts of what clients ask.
const COUNT: Tick = 2_500;
const CALLERS: usize = 7;
const NODES: usize = CALLERS + control::MOST;
/// Bytes read from a socket in one go; each ready socket has its turn.
const SCRATCH: usize = 128 * 1024;
/// Ticks between two looks at how connections stand: fine enough for times of seconds.
const LOOK: Tick = 1_000;
const MICROS: f64 = 1_000.0; // microseconds in a millisecond

/// Whose turn it is to be read from.
#[derive(Clone, Copy, PartialEq)]
enum Turn {
    Map,
    Client(u32),
    Node(usize),
}

struct Gateway {
    site: GatewayConfig,
    clock: Clock,
    scheduler: Scheduler,
    desk: Desk,
    list: List,
    follow: Option<Follow>,
    /// Its part in the fleet's view, where the configuration names one, and whether that has more to read.
    membership: Option<Box<UdpMembership>>,
    membership_readable: bool,
    /// The parts of limits that the scheduler keeps to, by volume.
    parts: Vec<Option<MilliUnits>>,
    /// What clients asked of each volume in the last span, a second; and the counts it began with.
    wanted: Vec<MilliUnits>,
    counted: (Tick, Vec<f64>),
    listener: TcpListener,
    accepting: bool,
    control: Option<Control>,
    signals: UnixStream,
    stops: u32,
    turns: VecDeque<Turn>,
    scratch: Vec<u8>,
    looked: Tick,
}

/// Runs a host until it is told to stop. Errors: an address or path that cannot be had.
pub fn run(site: GatewayConfig) -> Result<(), Failure> {
    let mut poll = Poll::new().map_err(failure("poll".into()))?;
    let mut gateway = Gateway::open(site, &poll)?;
    let mut events = Events::with_capacity(1024);
    gateway.start();
    while !gateway.over() {
        let wait = gateway.wait();
        if let Err(e) = poll.poll(&mut events, wait)
            && e.kind() != ErrorKind::Interrupted
        {
            return Err(Failure::new(format!("poll: {e}")));
        }
        gateway.desk.now = gateway.clock.now();
        // Time first: a host that was stopped must not take what has come since for late.
        gateway.membership.iter_mut().for_each(|p| p.tick());
        for event in events.iter() {
            let readable = event.is_readable() || event.is_error() || event.is_read_closed();
            gateway.ready(event.token(), readable);
        }
        gateway.round();
    }
    gateway.membership.iter_mut().for_each(|p| p.announce_left());
    tracing::info!("host ends");
    Ok(())
}

impl Gateway {
    fn open(site: GatewayConfig, poll: &Poll) -> Result<Self, Failure> {
        let registry = || poll.registry().try_clone().map_err(failure("poll".into()));
        let address = site.host.listen.expect("checked");
        let (listener, _) = listen(address, poll, LISTENER)?;
        let bound = listener.local_addr().map_err(failure(format!("listen {address}")))?;
        let control = control(site.host.control_socket.as_deref(), poll, CONTROL, CALLERS)?;
        let signals = signals(poll, SIGNALS).map_err(failure("signals".into()))?;
        let digests = Digests { header: site.host.header_digest, data: site.host.data_digest };
        let wishes = Wishes { digests, ..Wishes::default() };
        let targets = Rc::new(TargetTerms {
            wishes,
            window: site.host.command_window,
            longest: site.host.max_transfer_bytes as usize,
            names: vec![site.host.target.clone()],
            address: bound.to_string(),
        });
        let admission = AdmissionController::new(&site.host.target, site.host.max_connections as usize);
        let clients = Clients::new(admission, targets, registry()?, NODES + site.nodes.len());
        let initiator = format!("{}:{}", site.host.target, site.host.name);
        let nodes = Nodes::new(&site.nodes, initiator, wishes, registry()?, NODES);
        let map = match &site.catalog {
            Some(c) if site.volumes.iter().any(|v| v.mapped) => {
                Some(Map::new(&site.host.name, c.listen.expect("checked"), registry()?, MAP))
            }
            _ => None,
        };
        let list = List::new(&site.host, &site.nodes, registry()?, LIST);
        let follow = match site.host.plan_service {
            Some(address) => {
                let volumes = site
                    .volumes
                    .iter()
                    .map(|v| HostedVolume { name: v.name.clone(), host_count: v.host_count })
                    .collect();
                let kept = site.host.plan_cache_path.clone();
                Some(Follow::new(&site.host.name, address, kept, volumes, registry()?, FOLLOW, 0))
            }
            None => None,
        };
        let opened = |place| UdpMembership::open(poll.registry(), FLEET, place).map(Box::new);
        let membership =
            site.host.fleet.clone().map(opened).transpose().map_err(failure("the fleet's view".into()))?;
        let seed = site.host.seed.unwrap_or_else(|| rand::rng().next_u64());
        let clock = Clock::from_zero();
        tracing::info!(host = site.host.name, listen = %bound, seed, "host starts");
        Ok(Gateway {
            scheduler: Scheduler::new(&terms::terms(&site), seed, clock.now()),
            desk: Desk::new(&site, clients, nodes, map),
            list,
            follow,
            membership,
            membership_readable: false,
            parts: vec![None; site.volumes.len()],
            wanted: vec![0; site.volumes.len()],
            counted: (0, vec![0.0; site.volumes.len()]),
            listener,
            accepting: false,
            control,
            signals,
            stops: 0,
            turns: VecDeque::new(),
            scratch: vec![0; SCRATCH],
            looked: 0,
            clock,
            site,
        })
    }

    fn start(&mut self) {
        self.desk.now = self.clock.now();
        // The first wake-up, ahead of all that makes the scheduler ask for one: it asks for the list and its windows
        // from here on.
        self.desk.set_timer(0);
        self.desk.woken(&mut self.scheduler);
        self.list.start(self.desk.now);
        self.hear_list();
        // Plans that were kept count until the service says otherwise.
        let kept = self.follow.as_ref().map(|f| f.member.state()).filter(|s| s.version > 0);
        match kept.map(|state| self.of_state(state)) {
            Some(Ok(taken)) => self.put(taken),
            Some(Err(why)) => tracing::warn!(why, "kept plans are not used"),
            None => {}
        }
        self.round();
    }

    /// Told to stop and nobody is left, or told twice.
    fn over(&self) -> bool {
        let empty = self.desk.clients.admission.connection_count() == 0 && self.desk.in_hand() == 0;
        self.stops > 1 || self.stops == 1 && empty
    }

    fn wait(&self) -> Option<std::time::Duration> {
        if !self.turns.is_empty() || self.membership_readable {
            return Some(std::time::Duration::ZERO);
        }
        let mut due = self.looked + LOOK;
        for at in [self.desk.wake_at, self.desk.next_timer(), self.desk.next_look()].into_iter().flatten() {
            due = due.min(at);
        }
        let due = ticks_to_duration(due - self.clock.now());
        Some(
            self.membership
                .as_ref()
                .map_or(due, |p| due.min(std::time::Duration::from_millis(p.millis_until_tick()))),
        )
    }

    fn ready(&mut self, token: Token, readable: bool) {
        let now = self.desk.now;
        match token {
            LISTENER => self.accepting = true,
            FLEET => self.membership_readable = true,
            CONTROL => {
                if let Some(control) = &mut self.control {
                    control.accept();
                }
            }
            MAP => {
                if let Some(map) = &mut self.desk.map {
                    let more = map.ready(readable, &mut self.scratch, ticks_to_millis(now));
                    if more && !self.turns.contains(&Turn::Map) {
                        self.turns.push_back(Turn::Map);
                    }
                }
                self.desk.settle(&mut self.scheduler);
            }
            FOLLOW => {
                if let Some(follow) = &mut self.follow
                    && follow.ready(&mut self.scratch, &self.wanted, ticks_to_millis(now))
                {
                    self.take_up_next();
                }
            }
            LIST => self.list.ready(readable, &mut self.scratch, now),
            SIGNALS => {
                let mut bytes = [0; 16];
                while let Ok(n) = self.signals.read(&mut bytes) {
                    if n == 0 {
                        break;
                    }
                    self.stops += n as u32;
                    self.drain("signal");
                }
            }
            Token(t) if t < NODES => {
                let at = (t - CALLERS) as u32;
                if let Some(line) = self.control.as_mut().and_then(|c| c.ready(at)) {
                    let answer = self.told(&line);
                    if let Some(control) = &mut self.control {
                        control.answer(at, &answer);
                    }
                }
            }
            Token(t) if t < NODES + self.desk.nodes.all.len() => {
                let at = t - NODES;
                if self.desk.nodes.ready(at, readable, &mut self.scratch, now) {
                    self.turns.push_back(Turn::Node(at));
                }
                self.desk.settle(&mut self.scheduler);
            }
            Token(t) => {
                let at = (t - NODES - self.desk.nodes.all.len()) as u32;
                let more = self.desk.clients.ready(at, readable, &mut self.scratch, now);
                self.client_came(at, more);
            }
        }
    }

    fn client_came(&mut self, at: u32, more: bool) {
        if more && !self.turns.contains(&Turn::Client(at)) {
            self.turns.push_back(Turn::Client(at));
        }
        while let Some(came) = self.desk.clients.came(at) {
            self.desk.came(&mut self.scheduler, at, came);
        }
        self.desk.settle(&mut self.scheduler);
    }

    /// What is due after the events of one poll.
    fn round(&mut self) {
        if self.accepting {
            self.accept();
        }
        // Each socket with more to read has one turn a round.
        for _ in 0..self.turns.len() {
            let now = self.desk.now;
            match self.turns.pop_front() {
                Some(Turn::Node(at)) => {
                    if self.desk.nodes.read(at, &mut self.scratch, now) {
                        self.turns.push_back(Turn::Node(at));
                    }
                    self.desk.settle(&mut self.scheduler);
                }
                Some(Turn::Map) => {
                    if let Some(map) = &mut self.desk.map
                        && map.ready(false, &mut self.scratch, ticks_to_millis(now))
                    {
                        self.turns.push_back(Turn::Map);
                    }
                    self.desk.settle(&mut self.scheduler);
                }
                Some(Turn::Client(at)) => {
                    let more = self.desk.clients.read(at, &mut self.scratch, now);
                    self.client_came(at, more);
                }
                None => break,
            }
        }
        if let Some(membership) = self.membership.as_mut().filter(|_| self.membership_readable) {
            self.membership_readable = membership.on_readable();
        }
        self.hear_list();
        self.desk.now = self.clock.now();
        self.desk.run_timers();
        self.desk.settle(&mut self.scheduler);
        self.desk.woken(&mut self.scheduler);
        if std::mem::take(&mut self.desk.wants_list) {
            self.list.watch(self.desk.now);
            self.hear_list();
        }
        if self.desk.now >= self.looked + LOOK {
            self.looked = self.desk.now;
            self.desk.clients.care(self.desk.now);
            self.desk.nodes.care(self.desk.now);
            self.list.care(self.desk.now);
            self.accepting = true;
            self.hear_list();
            self.desk.settle(&mut self.scheduler);
        }
        self.tend_follow();
        self.tell_part();
        if let Some(map) = &mut self.desk.map {
            map.tend(ticks_to_millis(self.desk.now));
        }
        self.desk.nodes.flush();
        let mut again = Vec::new();
        self.desk.clients.flush(self.desk.now, &mut again);
        for at in again {
            if !self.turns.contains(&Turn::Client(at)) {
                self.turns.push_back(Turn::Client(at));
            }
        }
        // A connection that failed while it was written to has ended submits.
        self.desk.settle(&mut self.scheduler);
    }

    fn accept(&mut self) {
        self.accepting = false;
        loop {
            match self.listener.accept() {
                Ok((socket, peer)) => self.desk.clients.accept(socket, peer, self.desk.now),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => {
                    tracing::warn!(error = %e, "accept");
                    return;
                }
            }
        }
    }

    /// Counts what clients ask, and has the scheduler keep to the parts of limits that are this host's now.
    fn tend_follow(&mut self) {
        let Some(follow) = &mut self.follow else { return };
        let now = self.desk.now;
        if now >= self.counted.0 + COUNT {
            let span = (now - self.counted.0) as f64 / 10_000.0;
            let counts = self.desk.figures.volumes.iter().zip(&mut self.counted.1);
            for (wanted, (f, before)) in self.wanted.iter_mut().zip(counts) {
                *wanted = ((f.asked - *before) / span * 1000.0) as MilliUnits;
                *before = f.asked;
            }
            self.counted.0 = now;
            follow.tend(ticks_to_millis(now), rand::rng().next_u64() % 1_000);
        }
        let parts = follow.member.available_quotas(ticks_to_millis(now)).zip(&mut self.parts);
        for (at, (part, kept)) in parts.enumerate().filter(|(_, (part, kept))| part != *kept) {
            *kept = part;
            self.scheduler.on_quota_changed(now, VolumeId(at as u32), part.map(|p| p as f64 / 1000.0));
        }
    }

    /// Takes up the state that the control service has sent, or says why not.
    fn take_up_next(&mut self) {
        let Some(follow) = &self.follow else { return };
        let Some(state) = follow.member.pending() else { return };
        let taken = self.of_state(state).map(|taken| self.put(taken));
        let Some(follow) = &mut self.follow else { return };
        match taken {
            Ok(()) => follow.acts_on(ticks_to_millis(self.desk.now)),
            Err(why) => follow.against(&why),
        }
        self.tend_follow();
    }

    /// What is to be taken up of a state of plans. Error: a volume of this host that has no plan in it.
    fn of_state(&self, state: &mallowseam_plans::state::State) -> Result<reload::ReloadOutcome, String> {
        let mut wanted = self.site.clone();
        wanted.plans = state.plans.iter().map(|(name, p)| terms::from_figures(name, p)).collect();
        for v in &mut wanted.volumes {
            let plan = state.volumes.get(&v.name);
            let at = plan.and_then(|name| wanted.plans.iter().position(|p| p.name == *name));
            v.plan = at.ok_or_else(|| format!("volume {} has no plan", v.name))?;
        }
        reload::evaluate(&self.site, &wanted).map_err(|against| against.join("; "))
    }

    fn put(&mut self, taken: reload::ReloadOutcome) {
        self.site.plans = taken.plans;
        for (volume, plan) in self.site.volumes.iter_mut().zip(&taken.volume_plans) {
            volume.plan = *plan;
        }
        let changed = self.desk.planned(&taken.volume_plans);
        self.scheduler.on_plans_changed(self.desk.now, &terms::plans(&self.site), &changed);
        taken.changes.iter().for_each(|what| tracing::info!(what, "plans taken up"));
    }

    fn hear_list(&mut self) {
        while let Some((form, listed)) = self.list.news() {
            for l in &listed {
                self.desk.nodes.all[l.node.0 as usize]
                    .connection
                    .set_node_removed(l.state == NodeState::Removed);
            }
            let now = self.desk.now;
            self.scheduler.on_endpoints(&mut self.desk, now, form, &listed);
            self.desk.settle(&mut self.scheduler);
        }
    }

    /// What this host acts on, for the fleet's view.
    fn tell_part(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        let plans = self.follow.as_ref().map_or(0, |f| f.member.state().version);
        membership.set_active_versions(ActiveVersions { endpoint_list: self.list.known().1, plans });
    }

    fn drain(&mut self, cause: &str) -> bool {
        let drained = self.desk.clients.drain(self.desk.now);
        if drained && self.stops > 0 {
            self.membership.iter_mut().for_each(|p| p.announce_leaving());
        }
        if drained {
            tracing::info!(cause, "closed to new logins");
        }
        drained
    }

    /// A line on the control socket.
    fn told(&mut self, line: &str) -> String {
        match line {
            "status" => serde_json::to_string(&self.status()).unwrap_or_else(|e| format!("error: {e}")),
            "drain" => if self.drain("operator") { "draining" } else { "draining already" }.into(),
            "undrain" if self.stops > 0 => "error: the host is stopping".into(),
            "undrain" => {
                self.desk.clients.admission.stop_draining();
                tracing::info!("open to logins");
                "open".into()
            }
            "stop" => {
                self.stops += 1;
                self.drain("operator");
                "stopping".into()
            }
            other => match other.strip_prefix("plans ") {
                Some(file) => self.take_up(file).unwrap_or_else(|why| format!("error: {why}")),
                None => format!("error: `{other}`: expected status, drain, undrain, plans FILE or stop"),
            },
        }
    }

    /// Takes up the plans of a configuration that differs from the running one in nothing else.
    fn take_up(&mut self, file: &str) -> Result<String, String> {
        if self.follow.is_some() {
            return Err("plans come from the control service: see `mallowseam plan`".into());
        }
        let text = std::fs::read_to_string(file).map_err(|e| format!("{file}: {e}"))?;
        let wanted = mallowseam_settings::parse(file, &text).map_err(|problems| problems.to_string())?;
        let taken = reload::evaluate(&self.site, &wanted).map_err(|against| against.join("\n"))?;
        if taken.changes.is_empty() {
            return Ok("nothing is different".into());
        }
        let told = taken.changes.join("\n");
        self.put(taken);
        Ok(told)
    }

    fn status(&self) -> Status {
        let desk = &self.desk;
        let (list_epoch, list_version) = self.list.known();
        let volume = |(at, v): (usize, &mallowseam_settings::config::Volume)| VolumeStatus {
            name: v.name.clone(),
            asked_units: desk.figures.volumes[at].asked,
            ended_units: desk.figures.volumes[at].ended,
            part: self.parts[at].map(|p| p as f64 / 1000.0),
        };
        let plan = |p: &mallowseam_settings::config::Plan| PlanStatus {
            name: p.name.clone(),
            reserve: p.reserved_rate,
            limit: p.rate_limit,
            weight: p.weight,
        };
        let group =
            |(g, f): (&mallowseam_settings::config::IoClass, &crate::figures::GroupFigures)| GroupStatus {
                name: g.name.clone(),
                taken: f.answers.taken,
                ended: f.answers.ended,
                shed: f.answers.shed,
                failed: f.answers.failed,
                past_goal: f.late,
                median_ms: f.waits.value_at_quantile(0.5) as f64 / MICROS,
                p99_ms: f.waits.value_at_quantile(0.99) as f64 / MICROS,
            };
        let node = |(i, n): (usize, &crate::nodes::Node)| {
            let (status, f) =
                (self.scheduler.node_status(desk.now, NodeId(i as u32)), &desk.figures.nodes[i]);
            let status = status.unwrap_or_default();
            NodeStatus {
                name: n.name.clone(),
                connected: n.connection.is_ready(),
                open: status.active,
                cold: status.warming_up,
                out: status.in_flight,
                held: status.queued,
                window: status.concurrency_window,
                wait_ms: status.mean_latency / 10.0,
                failures: status.consecutive_failures,
                submits: f.submits,
                done: f.done,
                busy: f.busy,
                errors: f.errors,
                timed_out: f.timed_out,
                no_connect: f.no_connect,
                reset: f.reset,
                cancelled: f.cancelled,
            }
        };
        Status {
            host: self.site.host.name.clone(),
            up_seconds: ticks_to_millis(desk.now) as f64 / 1000.0,
            draining: desk.clients.admission.is_draining(),
            connections: desk.clients.admission.connection_count(),
            in_hand: desk.in_hand(),
            buffer_bytes: desk.clients.held(),
            list_epoch,
            list_version,
            commands: desk.figures.commands,
            groups: self.site.io_classes.iter().zip(&desk.figures.groups).map(group).collect(),
            nodes: desk.nodes.all.iter().enumerate().map(node).collect(),
            plans: self.site.plans.iter().map(plan).collect(),
            volumes: self.site.volumes.iter().enumerate().map(volume).collect(),
        }
    }
}
