//! The catalog's process: keeps the tree, tells hosts of its changes, has nodes close and give back.
use crate::clock::{Clock, ticks_to_duration, ticks_to_millis};
use crate::control::{self, Control};
use crate::lines::{Bounds, Peer, Peers};
use crate::nodes::{Nodes, Order};
use crate::opening::{self, Failure, failure, signals};
use mallowseam_cow::consistent_cut::{ConsistentCut, CutFailure, CutProgress, decide_completion};
use mallowseam_cow::leases::HostLeases;
use mallowseam_cow::messages::{ToCatalog, ToHost, TreeVersion, full_tree_messages};
use mallowseam_cow::reclaim::Reclaimer;
use mallowseam_cow::tree::{Change, ChangeError, LayerId, Tree};
use mallowseam_cow::tree_replica::check_placement;
use mallowseam_iscsi::params::Wishes;
use mallowseam_iscsi::scsi;
use mallowseam_scheduler::interface::{AttemptResult, Tick};
use mallowseam_settings::GatewayConfig;
use mallowseam_snapshot_catalog::Catalog;
use mio::net::UnixStream;
use mio::{Events, Poll, Token};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};

const LISTENER: Token = Token(0);
const CONTROL: Token = Token(1);
const SIGNALS: Token = Token(2);
const CALLERS: usize = 3;
const NODES: usize = CALLERS + control::MOST;
const SCRATCH: usize = 64 * 1024;
/// Longest line of a host, and bytes that may wait for one: a host that takes nothing is dropped.
const BOUNDS: Bounds = Bounds { longest: 64 * 1024, waiting: 128 << 20 };
/// Ticks a node has to close a layer or give a place back, and between two looks at what is due.
const ORDER_WITHIN: Tick = 20_000;
const LOOK: Tick = 100;
/// Ticks after which hosts that have not said that they are clear are asked again.
const ASK_AGAIN: Tick = 2_000;

/// What a node was asked to do.
enum Asked {
    Close(LayerId, u32),
    GiveBack(LayerId, u32),
    /// A copy that came second; what is left of it if its node does not answer, `verify` finds.
    Drop,
}

/// An operator who waits for the end of what was asked.
enum Waits {
    /// Until all hosts that may act are known: branch and name.
    Begin(String, String),
    Snapshot(ConsistentCut),
    /// Until a layer is closed (0: none) and a version counts.
    Counts(u64, LayerId, String),
}

struct Service {
    site: GatewayConfig,
    clock: Clock,
    now: Tick,
    catalog: Catalog,
    leases: HostLeases,
    free: Reclaimer,
    /// With whether a host has said hello, and hears of every change from now on.
    hosts: Peers<bool>,
    nodes: Nodes,
    control: Option<Control>,
    signals: UnixStream,
    hosts_from: usize,
    orders: BTreeMap<u32, (Asked, Tick)>,
    tag: u32,
    opening: Vec<(u64, LayerId, u32)>,
    waits: Vec<(u32, Waits)>,
    replies: Vec<(u32, String)>,
    /// Hosts that have said hello, with what they hold.
    hello: Vec<(u32, Option<TreeVersion>)>,
    stops: bool,
    /// This round has put a batch on disk.
    changed: bool,
    steps: u64,
    die_at: Option<u64>,
    looked: Tick,
    asked_clear: Tick,
    scratch: Vec<u8>,
}

/// Runs the catalog of a site until it is told to stop.
///
/// `die_at`: aborts at that step, as a crash would. Steps lie before and after the store takes a batch, after
/// hosts and operators have been told, and after a node has carried an order out.
pub fn run(site: GatewayConfig, die_at: Option<u64>) -> Result<(), Failure> {
    let mut poll = Poll::new().map_err(failure("poll".into()))?;
    let mut service = Service::open(site, &poll)?;
    service.die_at = die_at;
    let mut events = Events::with_capacity(256);
    while !service.stops {
        let wait = ticks_to_duration((service.looked + LOOK - service.clock.now()).max(0));
        if let Err(e) = poll.poll(&mut events, Some(wait))
            && e.kind() != ErrorKind::Interrupted
        {
            return Err(Failure::new(format!("poll: {e}")));
        }
        service.now = service.clock.now();
        for event in events.iter() {
            let readable = event.is_readable() || event.is_error() || event.is_read_closed();
            service.ready(event.token(), readable);
        }
        service.round()?;
    }
    tracing::info!("catalog ends");
    Ok(())
}

impl Service {
    fn open(site: GatewayConfig, poll: &Poll) -> Result<Self, Failure> {
        let settings = site.catalog.clone().ok_or_else(|| Failure::new("no section catalog".into()))?;
        let registry = || poll.registry().try_clone().map_err(failure("poll".into()));
        let address = settings.listen.expect("checked");
        let hosts_from = NODES + site.nodes.len();
        let hosts = Peers::open(address, poll, LISTENER, hosts_from, BOUNDS)?;
        let control = opening::control(settings.control_socket.as_deref(), poll, CONTROL, CALLERS)?;
        let catalog = Catalog::open(&settings.store_path)
            .map_err(|e| Failure::new(format!("{}: {e}", settings.store_path.display())))?;
        let initiator = format!("{}:catalog", site.host.target);
        let nodes = Nodes::new(&site.nodes, initiator, Wishes::default(), registry()?, NODES);
        let clock = Clock::from_zero();
        let now = clock.now();
        let fresh = catalog.tree().version == 0;
        tracing::info!(listen = %address, version = catalog.tree().version, "catalog starts");
        let mut service = Service {
            hosts_from,
            now,
            free: Reclaimer::from_tree(catalog.tree()),
            catalog,
            leases: HostLeases::new(ticks_to_millis(now), fresh),
            hosts,
            nodes,
            control,
            signals: signals(poll, SIGNALS).map_err(failure("signals".into()))?,
            orders: BTreeMap::new(),
            tag: 0,
            opening: Vec::new(),
            waits: Vec::new(),
            replies: Vec::new(),
            hello: Vec::new(),
            stops: false,
            changed: false,
            steps: 0,
            die_at: None,
            looked: now,
            asked_clear: now,
            scratch: vec![0; SCRATCH],
            clock,
            site,
        };
        // Places that were told and not opened before the last end.
        let tree = service.catalog.tree();
        for (layer, l) in &tree.layers {
            for extent in l.locations.keys().filter(|e| !l.writable.contains(e)) {
                service.opening.push((tree.version, *layer, *extent));
            }
        }
        for volume in service.site.volumes.clone().iter().filter(|v| v.mapped) {
            if !service.next().branches.contains_key(&volume.name) {
                let extent_count = (volume.block_count / settings.extent_blocks) as u32;
                let made = Change::BranchCreated { branch: volume.name.clone(), extent_count };
                service.propose(made).map_err(|r| Failure::new(r.to_string()))?;
            }
        }
        Ok(service)
    }

    /// Makes a change that counts once the batch is on disk.
    fn propose(&mut self, change: Change) -> Result<u64, ChangeError> {
        let effects = self.catalog.stage(change)?;
        self.free.record_change(self.catalog.tree(), &effects);
        Ok(self.catalog.tree().version)
    }

    /// The tree with changes that are not on disk yet.
    fn next(&self) -> &Tree {
        self.catalog.tree()
    }

    fn ready(&mut self, token: Token, readable: bool) {
        match token {
            LISTENER => self.hosts.accept(),
            CONTROL => {
                if let Some(control) = &mut self.control {
                    control.accept();
                }
            }
            SIGNALS => {
                let mut bytes = [0; 16];
                self.stops |= matches!(self.signals.read(&mut bytes), Ok(n) if n > 0);
            }
            Token(t) if t < NODES => {
                let at = (t - CALLERS) as u32;
                if let Some(line) = self.control.as_mut().and_then(|c| c.ready(at)) {
                    match self.told(at, &line) {
                        Ok(Some(answer)) => self.replies.push((at, answer)),
                        Ok(None) => {}
                        Err(why) => self.replies.push((at, format!("error: {why}"))),
                    }
                }
            }
            Token(t) if t < self.hosts_from => {
                let at = t - NODES;
                let mut more = self.nodes.ready(at, readable, &mut self.scratch, self.now);
                while more {
                    more = self.nodes.read(at, &mut self.scratch, self.now);
                }
            }
            Token(t) => self.read((t - self.hosts_from) as u32),
        }
    }

    fn read(&mut self, at: u32) {
        let mut scratch = std::mem::take(&mut self.scratch);
        while let Some(lines) = self.hosts.read(at, &mut scratch) {
            for line in lines {
                match serde_json::from_slice(&line) {
                    Ok(word) => self.heard(at, word),
                    Err(e) => self.hosts.lose(at, &e.to_string()),
                }
            }
        }
        self.scratch = scratch;
    }

    fn heard(&mut self, at: u32, word: ToCatalog) {
        let now = ticks_to_millis(self.now);
        let Some(host) = self.hosts.get_mut(at) else { return };
        match word {
            ToCatalog::Hello { host: name, known } => {
                host.name = name;
                self.hello.push((at, known));
            }
            ToCatalog::RenewLease { sent_at, seen_version } => {
                let duration = self.leases.renew(&host.name, seen_version, now);
                host.lines.say(&ToHost::LeaseGranted { sent_at, duration });
            }
            ToCatalog::Acknowledge { version } => self.leases.acknowledge(&host.name, version),
            ToCatalog::AllocateSlots { layer, count } => {
                let first = self.next().layers.get(&layer).map_or(0, |l| l.next_slot);
                if self.propose(Change::SlotsAllocated { layer, first, count }).is_ok() {
                    // Told behind the change, once that is on disk.
                    let word = ToHost::SlotsAllocated { layer, first, count };
                    self.after(at, word);
                }
            }
            ToCatalog::Quiesced { layer } => {
                for (_, wait) in &mut self.waits {
                    if let Waits::Snapshot(cut) = wait {
                        cut.host_quiesced(layer, &host.name);
                    }
                }
            }
            ToCatalog::RequestCompletion { layer } => self.leave(at, layer),
            ToCatalog::ProposeLocation { layer, extent, location } => {
                let change = Change::ExtentPlaced { layer, extent, location };
                match check_placement(self.next(), &change) {
                    Ok(None) => {
                        if let Ok(version) = self.propose(change) {
                            self.opening.push((version, layer, extent));
                        }
                    }
                    Ok(Some(first)) if first == location => {}
                    _ => {
                        // It was never referred to and never will be.
                        self.after(at, ToHost::LocationRejected { layer, extent });
                        let blocks = self.site.catalog.as_ref().map_or(1, |c| c.extent_blocks);
                        let run = (u64::from(location.slot) * blocks, blocks as u32);
                        if (location.node as usize) < self.nodes.all.len() {
                            self.order(Asked::Drop, location.node, layer, scsi::unmap(&[run]));
                        }
                    }
                }
            }
        }
    }

    /// A host asks to complete a write that has parts in a layer: cuts that are pending are made anew behind it.
    fn leave(&mut self, at: u32, layer: LayerId) {
        let Some(decision) = decide_completion(self.next(), layer) else {
            return self.after(at, ToHost::CompletionDecision { layer, granted: false });
        };
        if decision.is_granted {
            for (_, wait) in &mut self.waits {
                if let Waits::Snapshot(cut) = wait
                    && decision.frozen_layers.contains(&cut.layer)
                {
                    cut.mark_stale();
                }
            }
        }
        self.after(at, ToHost::CompletionDecision { layer, granted: decision.is_granted });
    }

    /// A cut has ended: hosts begin writes of several parts again, if no other one of the branch is pending.
    fn cut_over(&mut self, branch: &str) {
        let other = |w: &(u32, Waits)| matches!(&w.1, Waits::Snapshot(cut) if cut.branch == branch);
        if self.waits.iter().any(other) {
            return;
        }
        for at in self.hosts.indices() {
            self.after(at, ToHost::CutFinished { branch: branch.to_owned() });
        }
    }

    /// Asks hosts that pending cuts wait for whether they are clear.
    fn ask_clear(&mut self, now: u64) {
        let holding = self.leases.active_hosts(now);
        let mut asks = Vec::new();
        for (_, wait) in &mut self.waits {
            if let Waits::Snapshot(cut) = wait {
                let unclear = cut.unquiesced_hosts(&holding).clone();
                asks.push((unclear, ToHost::Quiesce { layer: cut.layer, branch: cut.branch.clone() }));
            }
        }
        for (hosts, word) in asks {
            let of = |(at, host): (u32, &Peer<bool>)| hosts.contains(&host.name).then_some(at);
            for at in self.hosts.iter().filter_map(of).collect::<Vec<_>>() {
                self.after(at, word.clone());
            }
        }
    }

    fn begin_cut(&mut self, caller: u32, branch: &str, name: &str) -> Result<(), String> {
        let now = ticks_to_millis(self.now);
        let begun = ConsistentCut::begin(self.next(), branch, name, self.leases.active_hosts(now), now);
        let (change, cut) = begun.map_err(|f| self.why(&f))?;
        self.propose(change).map_err(|r| r.to_string())?;
        self.waits.push((caller, Waits::Snapshot(cut)));
        // Not a moment is lost: nodes and hosts are asked in this round.
        self.close_layers();
        self.ask_clear(now);
        Ok(())
    }

    /// Says something once the batch is on disk: kept as a reply of this round.
    fn after(&mut self, at: u32, word: ToHost) {
        let text = serde_json::to_string(&word).expect("words are plain");
        self.replies.push((u32::MAX - at, text));
    }

    /// What is due after the events of one poll.
    fn round(&mut self) -> Result<(), Failure> {
        let now = ticks_to_millis(self.now);
        self.node_ends();
        for (version, layer, extent) in std::mem::take(&mut self.opening) {
            if self.leases.is_effective(version, now) {
                let _ = self.propose(Change::ExtentWritable { layer, extent });
            } else {
                self.opening.push((version, layer, extent));
            }
        }
        if self.now >= self.looked + LOOK {
            self.looked = self.now;
            self.leases.remove_expired(now);
            if self.asked_clear + ASK_AGAIN <= self.now {
                self.asked_clear = self.now;
                self.ask_clear(now);
            }
            self.nodes.care(self.now);
            self.close_layers();
            self.give_back(now);
        }
        self.tend_waits(now);
        self.keep()?;
        self.nodes.flush();
        self.answer();
        Ok(())
    }

    fn step(&mut self) {
        self.steps += 1;
        if self.die_at == Some(self.steps) {
            std::process::abort();
        }
    }

    /// Puts the batch on disk, then tells the hosts.
    fn keep(&mut self) -> Result<(), Failure> {
        // A store that fails is no store: hosts go on by their leases, and a new process reads what is there.
        self.changed = self.catalog.committed_version() < self.next().version;
        if self.changed {
            self.step();
        }
        let batch = self.catalog.commit().map_err(|e| Failure::new(e.to_string()))?;
        if self.changed {
            self.step();
        }
        for (version, change) in (batch.first_version..).zip(batch.changes) {
            self.hosts.say_all(&ToHost::TreeChanged { version, change }, |host| host.about);
        }
        self.greet();
        Ok(())
    }

    /// Tells hosts that have said hello what they lack of what is on disk; later changes follow one by one.
    fn greet(&mut self) {
        for (at, known) in std::mem::take(&mut self.hello) {
            let Some(host) = self.hosts.get_mut(at) else { continue };
            host.about = true;
            let id = self.catalog.id();
            let known = known.filter(|known| known.catalog_id == id);
            let since = known.and_then(|known| self.catalog.changes_since(known.version));
            match since {
                Some(missed) => {
                    for (version, change) in missed {
                        host.lines.say(&ToHost::TreeChanged { version, change: change.clone() });
                    }
                    host.lines.say(&ToHost::CaughtUp);
                }
                None => full_tree_messages(id, self.catalog.tree()).for_each(|word| host.lines.say(&word)),
            }
        }
    }

    fn answer(&mut self) {
        for (at, text) in std::mem::take(&mut self.replies) {
            if at > u32::MAX / 2 {
                if let Some(host) = self.hosts.get_mut(u32::MAX - at) {
                    host.lines.say_written(&text);
                }
            } else if let Some(control) = &mut self.control {
                control.answer(at, &text);
            }
        }
        self.hosts.push();
        if std::mem::take(&mut self.changed) {
            self.step();
        }
    }

    fn order(&mut self, asked: Asked, node: u32, lun: LayerId, command: ([u8; 16], Vec<u8>)) {
        self.tag = self.tag.wrapping_add(1);
        let (cdb, data) = command;
        let order = Order { tag: self.tag, lun: Some(lun), cdb, room: 0, data: data.into() };
        self.orders.insert(self.tag, (asked, self.now + ORDER_WITHIN));
        self.nodes.submit(node as usize, order, self.now);
    }

    /// Every frozen layer is closed at every node that holds a place of it, however often that takes.
    fn close_layers(&mut self) {
        for (layer, node) in self.next().pending_closes().collect::<Vec<_>>() {
            let same = |o: &(Asked, Tick)| matches!(o.0, Asked::Close(l, n) if (l, n) == (layer, node));
            if !self.orders.values().any(same) {
                self.order(Asked::Close(layer, node), node, layer, scsi::write_protect(true));
            }
        }
    }

    fn give_back(&mut self, now: u64) {
        let limit = self.site.io_classes.iter().map(|g| g.deadline / 1000).max().unwrap_or(0);
        let pending = |w: &(u32, Waits)| match &w.1 {
            Waits::Snapshot(cut) => Some(cut.layer),
            Waits::Counts(..) | Waits::Begin(..) => None,
        };
        let kept = self.waits.iter().filter_map(pending).collect();
        let tree = self.catalog.tree();
        let extent_blocks = self.site.catalog.as_ref().map_or(1, |c| c.extent_blocks);
        for (layer, extent) in self.free.next_batch(tree, &kept, &self.leases, limit, now) {
            let Some(place) = self.next().layers.get(&layer).and_then(|l| l.locations.get(&extent)).copied()
            else {
                continue;
            };
            let run = (u64::from(place.slot) * extent_blocks, extent_blocks as u32);
            self.order(Asked::GiveBack(layer, extent), place.node, layer, scsi::unmap(&[run]));
        }
        for layer in self.free.removable_layers(self.catalog.tree(), &kept) {
            let _ = self.propose(Change::ExtentsReclaimed { layer, extents: Vec::new() });
        }
    }

    fn node_ends(&mut self) {
        while let Some((_, result)) = self.nodes.ended() {
            let Some((asked, _)) = self.orders.remove(&result.tag) else { continue };
            self.order_over(asked, result.ending == AttemptResult::Completed);
        }
        let late: Vec<u32> = self.orders.iter().filter(|o| o.1.1 <= self.now).map(|o| *o.0).collect();
        for tag in late {
            let Some((asked, _)) = self.orders.remove(&tag) else { continue };
            let node = match &asked {
                Asked::Close(_, node) => Some(*node),
                Asked::Drop => None,
                Asked::GiveBack(layer, extent) => {
                    self.next().layers.get(layer).and_then(|l| l.locations.get(extent)).map(|p| p.node)
                }
            };
            if let Some(node) = node {
                self.nodes.give_up(node as usize, tag, self.now);
            }
            self.order_over(asked, false);
        }
    }

    fn order_over(&mut self, asked: Asked, done: bool) {
        self.step();
        match asked {
            Asked::Close(layer, node) if done => drop(self.propose(Change::LayerClosed { layer, node })),
            Asked::GiveBack(layer, extent) if done => {
                self.free.completed((layer, extent));
                let _ = self.propose(Change::ExtentsReclaimed { layer, extents: vec![extent] });
            }
            Asked::GiveBack(layer, extent) => self.free.failed((layer, extent), ticks_to_millis(self.now)),
            Asked::Close(..) | Asked::Drop => {}
        }
    }

    fn tend_waits(&mut self, now: u64) {
        let mut over: Vec<String> = Vec::new();
        for (caller, mut wait) in std::mem::take(&mut self.waits) {
            match &mut wait {
                Waits::Begin(branch, name) => {
                    if !self.leases.all_hosts_known(now) {
                        self.waits.push((caller, wait));
                    } else if let Err(why) = self.begin_cut(caller, branch, name) {
                        self.replies.push((caller, format!("error: {why}")));
                    }
                }
                Waits::Snapshot(cut) => match cut.progress(self.next(), now) {
                    CutProgress::Wait => self.waits.push((caller, wait)),
                    CutProgress::Restart => {
                        let change = cut.restart(self.next(), self.leases.active_hosts(now));
                        change.into_iter().for_each(|c| drop(self.propose(c)));
                        self.waits.push((caller, wait));
                        self.close_layers();
                        self.ask_clear(now);
                    }
                    CutProgress::Grant(change) => {
                        over.push(cut.branch.clone());
                        let full = format!("{}@{}", cut.branch, cut.name);
                        match self.propose(change) {
                            Ok(version) => {
                                tracing::info!(snapshot = full, "granted");
                                let unit = self.next().snapshots[&full].lun;
                                // Told once every host knows its unit.
                                let text = format!("{full} granted, LUN {unit}");
                                self.waits.push((caller, Waits::Counts(version, 0, text)));
                            }
                            Err(r) => self.replies.push((caller, format!("error: {r}"))),
                        }
                    }
                    CutProgress::Fail(why) => {
                        over.push(cut.branch.clone());
                        let text = self.why(&why);
                        tracing::warn!(snapshot = format!("{}@{}", cut.branch, cut.name), text, "failed");
                        self.replies.push((caller, format!("error: {text}")));
                    }
                },
                Waits::Counts(version, old, text) => {
                    let closed = self
                        .next()
                        .layers
                        .get(old)
                        .is_none_or(|_| !self.next().pending_closes().any(|c| c.0 == *old));
                    if closed && self.leases.is_effective(*version, now) {
                        self.replies.push((caller, text.clone()));
                    } else {
                        self.waits.push((caller, wait));
                    }
                }
            }
        }
        over.iter().for_each(|branch| self.cut_over(branch));
    }

    fn why(&self, failed: &CutFailure) -> String {
        match failed {
            CutFailure::Rejected(error) => error.to_string(),
            CutFailure::HostsNotQuiesced(hosts) => {
                let names: Vec<&str> = hosts.iter().map(String::as_str).collect();
                format!("writes under way at {}; no snapshot was made", names.join(", "))
            }
            CutFailure::NodesNotClosed(nodes) => {
                let names: Vec<&str> =
                    nodes.iter().map(|n| self.nodes.all[*n as usize].name.as_str()).collect();
                format!("not closed in time by {}; no snapshot was made", names.join(", "))
            }
        }
    }

    /// A line on the control socket. None: the answer comes later.
    fn told(&mut self, caller: u32, line: &str) -> Result<Option<String>, String> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let refused = |r: ChangeError| r.to_string();
        match words.as_slice() {
            ["snapshot", branch, name] => {
                if self.leases.all_hosts_known(ticks_to_millis(self.now)) {
                    self.begin_cut(caller, branch, name)?;
                } else {
                    self.waits.push((caller, Waits::Begin((*branch).to_owned(), (*name).to_owned())));
                }
                Ok(None)
            }
            ["clone", snapshot, branch] => {
                let (snapshot, branch) = ((*snapshot).to_owned(), (*branch).to_owned());
                let change = Change::CloneCreated { snapshot, branch: branch.clone() };
                let version = self.propose(change).map_err(refused)?;
                let text = format!("{branch} made, LUN {}", self.next().branches[&branch].lun);
                self.waits.push((caller, Waits::Counts(version, 0, text)));
                Ok(None)
            }
            ["rollback", branch, snapshot] => {
                let old = self.next().branch(branch).map_err(refused)?.head;
                let (branch, snapshot) = ((*branch).to_owned(), (*snapshot).to_owned());
                let text = format!("{branch} shows {snapshot}");
                let version = self.propose(Change::BranchRolledBack { branch, snapshot }).map_err(refused)?;
                self.waits.push((caller, Waits::Counts(version, old, text)));
                self.close_layers();
                Ok(None)
            }
            ["delete", name] => {
                let change = if name.contains('@') {
                    Change::SnapshotDeleted { snapshot: (*name).to_owned() }
                } else if self.site.volumes.iter().any(|v| v.name == *name) {
                    return Err(format!("`{name}`: a volume of the configuration"));
                } else {
                    Change::BranchDeleted { branch: (*name).to_owned() }
                };
                self.propose(change).map_err(refused)?;
                Ok(Some(format!("{name} deleted; its space is given back in the background")))
            }
            ["list"] => Ok(Some(list(self.next()))),
            ["diff", a, b] => {
                let layer =
                    |n: &str| self.next().layer_read_by(n).ok_or_else(|| format!("`{n}`: no such name"));
                let extents = |n: &str| {
                    let branch = self.next().branches.get(n).map(|b| b.extent_count);
                    branch.or_else(|| self.next().snapshots.get(n).map(|s| s.extent_count)).unwrap_or(0)
                };
                let blocks = self.site.catalog.as_ref().map_or(1, |c| c.extent_blocks);
                let found = self.next().diff(layer(a)?, layer(b)?, extents(a).max(extents(b)));
                Ok(Some(runs(&found, blocks)))
            }
            ["tree"] => serde_json::to_string(self.next()).map(Some).map_err(|e| e.to_string()),
            ["stop"] => {
                self.stops = true;
                Ok(Some("stopping".into()))
            }
            _ => {
                Err(format!("`{line}`: expected snapshot, clone, rollback, delete, list, diff, tree or stop"))
            }
        }
    }
}

fn list(tree: &Tree) -> String {
    let mut out = Vec::new();
    for (name, b) in &tree.branches {
        let origin = b.origin.as_deref().map_or(String::new(), |o| format!("  clone of {o}"));
        let own = tree.layers.get(&b.head).map_or(0, |l| l.locations.len());
        out.push(format!("{name}  LUN {}  {own} of {} extents its own{origin}", b.lun, b.extent_count));
    }
    for (name, s) in &tree.snapshots {
        out.push(format!("{name}  LUN {}  layer {}", s.lun, s.layer));
    }
    out.join("\n")
}

/// Extents as runs of blocks, first to last.
fn runs(extents: &[u32], blocks: u64) -> String {
    let mut out: Vec<(u64, u64)> = Vec::new();
    for e in extents {
        let (from, to) = (u64::from(*e) * blocks, (u64::from(*e) + 1) * blocks - 1);
        match out.last_mut() {
            Some(last) if last.1 + 1 == from => last.1 = to,
            _ => out.push((from, to)),
        }
    }
    if out.is_empty() {
        return "no difference".into();
    }
    out.iter().map(|(a, b)| format!("{a}-{b}")).collect::<Vec<_>>().join("\n")
}
