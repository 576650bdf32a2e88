//! The loop: one thread between clients, nodes, the list service and the scheduler.
use crate::clients::{Came, Clients};
use crate::desk::Desk;
use crate::discovery::{Call, Heard};
use crate::nodes::Nodes;
use mallowseam_connection_policy::client_connection::Phase;
use mallowseam_connection_policy::graceful_shutdown::GracefulShutdown;
use mallowseam_connection_policy::keep_alive::KeepAlivePolicy;
use mallowseam_connection_policy::resource_budget::ResourceBudget;
use mallowseam_connection_policy::watch_slots::WatchSlots;
use mallowseam_fleet::record::ActiveVersions;
use mallowseam_fleet_udp::UdpMembership;
use mallowseam_platform::config::{self, HostConfig};
use mallowseam_platform::endpoints::WatchEvent;
use mallowseam_platform::settings::PlatformSettings;
use mallowseam_scheduler::Scheduler;
use mallowseam_scheduler::interface::{EndpointEvent, Host, NodeId, SchedulerConfig, Tick};
use mallowseam_sockets::arrival_estimator::ArrivalEstimator;
use mallowseam_sockets::clock::{Clock, ticks_from_millis, ticks_to_duration, ticks_to_millis};
use mallowseam_sockets::{descriptors, listener, signals};
use mio::net::{TcpListener, TcpStream, UnixStream};
use mio::{Events, Interest, Poll, Registry, Token};
use std::io::{self, ErrorKind, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

const LISTENER: Token = Token(0);
const TERM: Token = Token(1);
const HUP: Token = Token(2);
/// The two calls to the list service.
const CALLS: [Token; 2] = [Token(3), Token(4)];
const INT: Token = Token(5);
const FLEET: Token = Token(6);
const CALLERS: usize = 8;
/// Bytes read from a socket in one go.
const SCRATCH: usize = 128 * 1024;
/// Events of one round; the rest keep for the next.
const EVENTS: usize = 512;
/// Connections accepted and turns given in one round: then nodes and the list are heard again.
const ROUND: usize = 64;
/// Ticks between two looks at how connections stand: fine enough for times of seconds.
const LOOK: Tick = 500;
/// Ticks between two lines of the log on what is believed and what passed.
const TELL: Tick = 50_000;

/// Why a host could not run.
#[derive(Debug)]
pub struct Failure(String);

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

fn failure(what: impl std::fmt::Display) -> impl FnOnce(io::Error) -> Failure {
    move |e| Failure(format!("{what}: {e}"))
}

fn client_token(at: u32) -> Token {
    Token(CALLERS + 2 * at as usize)
}

fn line_token(at: u32) -> Token {
    Token(CALLERS + 2 * at as usize + 1)
}

struct Platform {
    path: PathBuf,
    config: HostConfig,
    clock: Clock,
    arrivals: ArrivalEstimator,
    scheduler: Scheduler,
    desk: Desk,
    registry: Registry,
    listener: Option<TcpListener>,
    accepting: bool,
    term: UnixStream,
    int: UnixStream,
    hup: UnixStream,
    calls: [Option<Call>; 2],
    watch_slots: WatchSlots,
    /// Its part in the fleet's view, where the configuration names one, and whether that has more to read.
    membership: Option<Box<UdpMembership>>,
    membership_readable: bool,
    /// The version of the list, once one was told, and the service that counts by it.
    seq: Option<u64>,
    counted_by: SocketAddr,
    told: bool,
    /// The host is to end.
    leaving: Option<GracefulShutdown>,
    scratch: Vec<u8>,
    looked: Tick,
    logged: Tick,
}

fn load(path: &Path) -> Result<HostConfig, Failure> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(failure(&name))?;
    config::parse(&text).map_err(|problems| Failure(format!("{name}:\n{problems}")))
}

/// Runs a host by the configuration at a path until it is told to end. `list_turn`: milliseconds that a call takes
/// of the list service, where somebody says so.
pub fn run(path: &Path, list_turn: Option<u64>) -> Result<(), Failure> {
    let mut config = load(path)?;
    config.settings.scheduler.poll_service_time = list_turn.map(ticks_from_millis);
    // Parted by what the configuration says, it would run short of them where nothing may be turned away.
    let given = descriptors::raise_limit(config.max_sockets).map_err(failure("descriptors"))?;
    if given < config.max_sockets {
        let wanted = config.max_sockets;
        return Err(Failure(format!("limits.sockets: {wanted}, where the system gives {given} descriptors")));
    }
    let mut poll = Poll::new().map_err(failure("poll"))?;
    let mut host = Platform::open(path, config, &poll)?;
    let mut events = Events::with_capacity(EVENTS);
    host.start();
    while !host.over() {
        let (wait, from) = (host.wait(), host.clock.now());
        match poll.poll(&mut events, Some(wait)) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(failure("poll")(e)),
            _ => {}
        }
        host.desk.heard = host.arrivals.estimate(from, host.clock.now());
        host.round(&events);
    }
    if let Some(membership) = &mut host.membership {
        membership.announce_left();
    }
    tracing::info!("host ends");
    Ok(())
}

fn drain(socket: &mut UnixStream) -> bool {
    let mut any = false;
    let mut bytes = [0; 16];
    while matches!(socket.read(&mut bytes), Ok(n) if n > 0) {
        any = true;
    }
    any
}

impl Platform {
    fn open(path: &Path, config: HostConfig, poll: &Poll) -> Result<Self, Failure> {
        use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
        let registry = || poll.registry().try_clone().map_err(failure("poll"));
        let hup = signals::pipe(poll, HUP, &[SIGHUP]).map_err(failure("signals"))?;
        let term = signals::pipe(poll, TERM, &[SIGTERM]).map_err(failure("signals"))?;
        let int = signals::pipe(poll, INT, &[SIGINT]).map_err(failure("signals"))?;
        let listening = failure(format!("listen {}", config.listen));
        let mut listener = listener::listen(config.listen).map_err(listening)?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE).map_err(failure("poll"))?;
        let budget = ResourceBudget::new(config.max_sockets, config.memory_mb);
        let clock = Clock::from_unix_epoch();
        let now = clock.now();
        let mut named = config.settings.clone();
        // On the platform the list is always asked for, and a late word on what was never tried costs three tenths.
        named.scheduler.endpoints_polled = true;
        named.scheduler.shed_at_half_deadline = true;
        let opened = |place| UdpMembership::open(poll.registry(), FLEET, place).map(Box::new);
        let membership = config.fleet.clone().map(opened).transpose().map_err(failure("the fleet's view"))?;
        let keep = KeepAlivePolicy::new(ticks_to_millis(named.idle_timeout), ticks_to_millis(now));
        let clients = Clients::new(registry()?, client_token, budget.client_connections, budget.client_bytes);
        let nodes = Nodes::new(
            registry()?,
            line_token,
            budget.node_connections,
            budget.node_bytes,
            named.connect_timeout,
            keep,
        );
        tracing::info!(
            host = config.name,
            listen = %config.listen,
            discovery = %config.discovery,
            clients = budget.client_connections,
            nodes = budget.node_connections,
            cores = config.cpu_cores,
            idle_close_ms = ticks_to_millis(config.settings.idle_timeout),
            connect_within_ms = ticks_to_millis(config.settings.connect_timeout),
            memory_mb = config.memory_mb,
            known = config.cached_list.as_ref().map_or(0, |k| k.endpoints.len()),
            list_pushed = config.settings.scheduler.endpoints_pushed,
            ask_within_ms = ticks_to_millis(config.settings.scheduler.max_poll_delay),
            "host starts"
        );
        Ok(Platform {
            path: path.to_owned(),
            scheduler: Scheduler::new(&named.scheduler, config.seed, now),
            desk: Desk::new(now, named, clients, nodes),
            registry: registry()?,
            listener: Some(listener),
            accepting: false,
            term,
            int,
            hup,
            calls: [None, None],
            watch_slots: WatchSlots::default(),
            membership,
            membership_readable: false,
            seq: None,
            counted_by: config.discovery,
            told: false,
            leaving: None,
            scratch: vec![0; SCRATCH],
            looked: now,
            logged: now,
            arrivals: ArrivalEstimator::new(now),
            clock,
            config,
        })
    }

    fn start(&mut self) {
        self.tick();
        // The first wake-up, ahead of all that makes the scheduler ask for one: it asks for the list and its windows
        // from here on.
        self.desk.set_timer(0);
        self.desk.woken(&mut self.scheduler);
        if let Some(known) = self.config.cached_list.take() {
            self.told = !known.endpoints.is_empty();
            self.seq = Some(known.version);
            self.desk.listed(&mut self.scheduler, EndpointEvent::Cached, &known);
        }
        self.finish();
    }

    fn tick(&mut self) {
        self.desk.now = self.clock.now();
    }

    /// By when all has to be answered, once it is told to end.
    fn answer_deadline(&self) -> Option<Tick> {
        self.leaving.and_then(|l| l.answer_deadline()).map(ticks_from_millis)
    }

    fn over(&self) -> bool {
        let clients = self.desk.clients.len();
        self.leaving.is_some_and(|l| l.is_complete(ticks_to_millis(self.desk.now), clients))
    }

    fn wait(&self) -> std::time::Duration {
        if self.accepting || self.membership_readable || !self.desk.clients.turns.is_empty() {
            return std::time::Duration::ZERO;
        }
        let mut due = self.looked + LOOK;
        let by = self.answer_deadline().filter(|by| *by > self.desk.now);
        for at in [self.desk.wake_at, self.desk.nodes.next_timer(), by].into_iter().flatten() {
            due = due.min(at);
        }
        let due = ticks_to_duration(due - self.clock.now());
        self.membership
            .as_ref()
            .map_or(due, |p| due.min(std::time::Duration::from_millis(p.millis_until_tick())))
    }

    /// One round: the list and the nodes are heard ahead of new work of clients, those who have left ahead of what
    /// nodes make room for, and time-outs count only what had not come by now.
    fn round(&mut self, events: &Events) {
        self.tick();
        self.desk.polled = self.desk.now;
        // Time first: a host that was stopped must not take what has come since for late.
        self.membership.iter_mut().for_each(|p| p.tick());
        // A round that is full may leave the list's event for the next one, behind what clients ask.
        let full = events.iter().count() >= EVENTS;
        for (at, token) in CALLS.into_iter().enumerate() {
            if full || events.iter().any(|e| e.token() == token) {
                self.hear(at);
            }
        }
        for event in events {
            match event.token() {
                FLEET => self.membership_readable = true,
                HUP if drain(&mut self.hup) => self.reload(),
                TERM if drain(&mut self.term) => {
                    let named = &self.desk.named;
                    let goal = named.scheduler.classes.iter().map(|c| c.latency_objective).max().unwrap_or(0);
                    let (longest, goal) = (ticks_to_millis(named.longest_deadline), ticks_to_millis(goal));
                    self.leave(GracefulShutdown::by_platform(ticks_to_millis(self.desk.now), longest, goal));
                }
                INT if drain(&mut self.int) => {
                    self.leave(GracefulShutdown::by_operator(ticks_to_millis(self.desk.now)))
                }
                LISTENER => self.accepting = true,
                _ => {}
            }
        }
        self.clients_ready(events, true);
        for event in events {
            let Token(token) = event.token();
            if token >= CALLERS && !(token - CALLERS).is_multiple_of(2) {
                self.tick();
                let at = ((token - CALLERS) / 2) as u32;
                let ended = event.is_read_closed() || event.is_error();
                self.desk.node_ready(&mut self.scheduler, at, ended, &mut self.scratch);
            }
        }
        self.clients_ready(events, false);
        self.turns(ROUND);
        // Those let in are read once the poll has told of them: they may have left by now.
        if self.accepting {
            self.accept();
        }
        if let Some(membership) = self.membership.as_mut().filter(|_| self.membership_readable) {
            self.membership_readable = membership.on_readable();
        }
        self.finish();
    }

    /// Connections of clients that have left, or the others, have something.
    fn clients_ready(&mut self, events: &Events, left: bool) {
        for event in events {
            let Token(token) = event.token();
            let ended = event.is_read_closed() || event.is_error();
            if token >= CALLERS && (token - CALLERS).is_multiple_of(2) && ended == left {
                self.tick();
                let at = ((token - CALLERS) / 2) as u32;
                let now = ticks_to_millis(self.desk.now);
                if let Some(bio) = self.desk.clients.ready(at, event.is_readable(), ended, now) {
                    self.desk.left(&mut self.scheduler, bio);
                }
            }
        }
    }

    /// Turns of clients' connections that may have something to read.
    fn turns(&mut self, most: usize) {
        for _ in 0..self.desk.clients.turns.len().min(most) {
            let Some(at) = self.desk.clients.turns.pop_front() else { break };
            self.tick();
            match self.desk.clients.turn(at, &mut self.scratch, ticks_to_millis(self.desk.now)) {
                Came::Request => self.desk.asked(&mut self.scheduler, at, self.told),
                Came::Nothing => {}
            }
        }
    }

    /// What is due by time.
    fn finish(&mut self) {
        self.tick();
        self.desk.overdue(&mut self.scheduler);
        self.desk.woken(&mut self.scheduler);
        if self.answer_deadline().is_some_and(|by| by <= self.desk.now) && self.desk.in_hand() > 0 {
            self.desk.close_all(&mut self.scheduler);
        }
        // A watch begins with all that was missed, the whole list where that is called for.
        if std::mem::take(&mut self.desk.wants_watch) {
            self.call();
        }
        if self.desk.now >= self.looked + LOOK {
            self.looked = self.desk.now;
            self.look();
        }
    }

    fn look(&mut self) {
        let now = ticks_to_millis(self.desk.now);
        self.desk.clients.look(now);
        self.desk.nodes.look(self.desk.now);
        for at in 0..CALLS.len() {
            let Some(call) = &mut self.calls[at] else { continue };
            if !call.watch.check_failure(now) {
                continue;
            }
            if !call.up() {
                self.lost(at, "no connection");
                continue;
            }
            tracing::warn!(address = %call.address(), "the list service says nothing");
            // A call without a word takes a place in the service's queue; a watch that had one takes none.
            if !call.watch.is_established() {
                self.end(at);
            }
            if self.watch_slots.is_latest(at) {
                self.desk.list_failed(&mut self.scheduler, EndpointEvent::WatchSilent);
            }
        }
        if self.leaving.is_some_and(|l| !l.admits_clients(now)) {
            self.shut();
        }
        if self.desk.now >= self.logged + TELL {
            self.logged = self.desk.now;
            self.tell();
        }
    }

    fn accept(&mut self) {
        for _ in 0..ROUND {
            let Some(listener) = &self.listener else {
                self.accepting = false;
                return;
            };
            match listener.accept() {
                Ok((socket, _)) => self.enter(socket),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.accepting = false;
                    return;
                }
                // A connection that is gone by now, or a descriptor short: the next round tries again.
                Err(_) => return,
            }
        }
    }

    fn enter(&mut self, socket: TcpStream) {
        // Where a crowd comes at once, each is looked at before the next is let in: only so it shows which of
        // them have something to say.
        if self.desk.clients.full() {
            self.turns(usize::MAX);
        }
        self.desk.clients.enter(socket, ticks_to_millis(self.desk.now));
    }

    /// The listener is closed once nothing waits at it.
    fn shut(&mut self) {
        if let Some(mut listener) = self.listener.take() {
            while let Ok((socket, _)) = listener.accept() {
                self.enter(socket);
            }
            let _ = self.registry.deregister(&mut listener);
        }
    }

    fn leave(&mut self, leaving: GracefulShutdown) {
        if self.leaving.is_none() {
            tracing::info!(clients = self.desk.clients.len(), in_hand = self.desk.in_hand(), "told to end");
            self.leaving = Some(leaving);
            self.membership.iter_mut().for_each(|p| p.announce_leaving());
            self.desk.clients.leaving = self.leaving;
        }
    }

    fn reload(&mut self) {
        let config = match load(&self.path) {
            Ok(config) => config,
            Err(why) => return tracing::error!(%why, "the configuration is not taken"),
        };
        if config.listen != self.config.listen || config.name != self.config.name {
            tracing::warn!("another name or address to listen on needs a new start");
        }
        let (was, named) = (&self.desk.named, &config.settings);
        if named.class_names == was.class_names && named.plan_names == was.plan_names {
            self.scheduler.on_plans_changed(self.desk.now, &named.scheduler.plans, &[]);
            self.desk.named.scheduler.plans.clone_from(&named.scheduler.plans);
        } else {
            tracing::warn!("other I/O groups or plans need a new start");
        }
        // Set up once, at the start: a host that took only a part of them would serve by two pages at once.
        let rest = |n: &PlatformSettings| PlatformSettings {
            scheduler: SchedulerConfig {
                plans: Vec::new(),
                endpoints_polled: true,
                shed_at_half_deadline: true,
                poll_service_time: None,
                ..n.scheduler.clone()
            },
            ..n.clone()
        };
        if rest(named) != rest(&self.desk.named) {
            tracing::warn!("settings beside the plans' figures have changed, and need a new start");
        }
        match (&mut self.membership, config.fleet) {
            (None, None) => {}
            (Some(membership), place) => membership.reload(place),
            (None, Some(_)) => tracing::warn!("a place in the fleet's view needs a new start"),
        }
        let moved = config.discovery != self.config.discovery;
        tracing::info!(discovery = %config.discovery, moved, "the configuration is taken");
        self.config.discovery = config.discovery;
        if moved {
            // The watch of the old service stands until the new one is called.
            self.desk.list_moved(&mut self.scheduler);
        }
    }

    /// Calls the list service anew. A call that still stands is listened to until the new one has spoken.
    fn call(&mut self) {
        let last = self.calls.iter().enumerate().any(|(at, c)| c.is_some() && self.watch_slots.is_latest(at));
        let at = self.watch_slots.next_slot(last);
        self.end(at);
        let (address, now) = (self.config.discovery, ticks_to_millis(self.desk.now));
        // Another service counts by itself: where it stands says nothing of what this one has told.
        if address != self.counted_by {
            (self.seq, self.counted_by) = (None, address);
        }
        match Call::open(&self.registry, CALLS[at], address, self.seq, now) {
            Ok(call) => self.calls[at] = Some(call),
            Err(why) => self.lost(at, &why),
        }
    }

    fn end(&mut self, at: usize) {
        if let Some(call) = self.calls[at].take() {
            call.end(&self.registry);
        }
    }

    /// A call has failed, or its watch has ended.
    fn lost(&mut self, at: usize, why: &str) {
        tracing::warn!(why, address = %self.config.discovery, "the list service failed");
        self.end(at);
        // One that another was called beside has been told as silent before.
        if self.watch_slots.is_latest(at) {
            self.desk.list_failed(&mut self.scheduler, EndpointEvent::PollFailed);
        }
    }

    fn hear(&mut self, at: usize) {
        let Some(mut call) = self.calls[at].take() else { return };
        let mut heard = Vec::new();
        call.ready(&mut self.scratch, &mut |h| heard.push(h));
        self.calls[at] = Some(call);
        for heard in heard {
            // A long list takes its time: clients may leave meanwhile.
            self.tick();
            match heard {
                // Given up over the news before.
                _ if self.calls[at].is_none() => return,
                Heard::News(news) => self.news(at, &news),
                Heard::Alive => self.spoke(at),
                Heard::Closings(entries) => {
                    let news = WatchEvent { version: 0, full_snapshot: false, endpoints: entries };
                    self.desk.listed(&mut self.scheduler, EndpointEvent::Incremental, &news);
                }
                Heard::Failed(why) => return self.lost(at, &why),
            }
        }
    }

    /// A whole line has come on a call: the one made before it has no more to say.
    fn spoke(&mut self, at: usize) {
        let now = ticks_to_millis(self.desk.now);
        let first = self.calls[at].as_mut().is_some_and(|c| c.watch.event_received(now));
        if let Some(other) = self.watch_slots.superseded_by(at) {
            self.end(other);
        }
        if first {
            // With no news or old ones, it is had all the same: the scheduler goes by that when the watch is lost.
            let none = WatchEvent { version: 0, full_snapshot: false, endpoints: Vec::new() };
            self.desk.listed(&mut self.scheduler, EndpointEvent::Incremental, &none);
        }
    }

    fn news(&mut self, at: usize, news: &WatchEvent) {
        self.spoke(at);
        let Some(call) = &self.calls[at] else { return };
        let form = if news.full_snapshot { EndpointEvent::FullSnapshot } else { EndpointEvent::Incremental };
        if call.address() != self.counted_by {
            // The last words of a service that this host has left: they count as changes, and no version goes by them.
            return self.desk.listed(&mut self.scheduler, EndpointEvent::Incremental, news);
        }
        if !news.full_snapshot && call.since().is_some_and(|since| news.version < since) {
            // It has started anew and counts from below: what it has to tell is all that it has.
            self.seq = None;
            return self.lost(at, "counts anew");
        }
        // Changes older than the list are none. A whole list counts whatever its version: it was asked for later than
        // all that came before.
        if !news.full_snapshot && self.seq.is_some_and(|seq| news.version <= seq) {
            return;
        }
        self.seq = Some(news.version);
        self.membership
            .iter_mut()
            .for_each(|p| p.set_active_versions(ActiveVersions { endpoint_list: news.version, plans: 0 }));
        self.told |= !news.endpoints.is_empty();
        self.desk.listed(&mut self.scheduler, form, news);
    }

    /// What the scheduler believes of each node beside what passed on its sockets.
    fn tell(&mut self) {
        let (now, desk) = (self.desk.now, &mut self.desk);
        let kept = desk.nodes.kept(now);
        let clients = &desk.clients;
        tracing::info!(
            clients = clients.len(),
            silent = clients.doing(Phase::AwaitingFirstRequest),
            idle = clients.doing(Phase::Idle),
            bytes = clients.bytes() + desk.nodes.bytes(),
            counts = ?clients.counts,
            bios = ?desk.counts,
            in_hand = desk.in_hand(),
            lines = desk.nodes.len(),
            kept_ms = kept,
            names = ?desk.names.counts(),
            "host"
        );
        let ids: Vec<NodeId> = desk.nodes.ids().collect();
        for at in ids {
            let Some(status) = self.scheduler.node_status(now, at) else { continue };
            let Some(node) = desk.nodes.node_mut(at) else { continue };
            tracing::info!(
                node = at.0,
                open = status.active,
                window = format!("{:.2}", status.concurrency_window),
                out = status.in_flight,
                held = status.queued,
                wait_ms = format!("{:.1}", status.mean_latency / 10.0),
                slowest_ms = node.slowest / 10,
                failures = status.consecutive_failures,
                lines = node.lines,
                submits = node.submits,
                opened = node.opened,
                written = node.written,
                answered = node.answered,
                spoilt = node.spoilt,
                "node"
            );
            node.slowest = 0;
        }
    }
}
