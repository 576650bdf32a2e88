//! Plays a script: real hosts as processes, stand-ins round them, trouble as written, then the audit.
use crate::audit::{self, InForce, Places, Verdict};
use crate::block;
use crate::blocking_client::BlockingClient;
use crate::listd::{self, Listd, Word as ListWord};
use crate::load::{self, Load, Word as LoadWord};
use crate::node::{Fault, Node};
use crate::script::{Event, Scene, Trouble, Which};
use crate::trace::{Micros, Seen, Trace, What};
use mallowseam_cow::tree::Tree;
use mallowseam_endpoint_list::EndpointState;
use mallowseam_gateway::PlanRequest as Ask;
use mallowseam_iscsi::frame::Digests;
use mallowseam_iscsi::params::ProposedParams;
use mallowseam_plans::change_log::LogEntry;
use mallowseam_plans::state::{Change, Plan};
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::Direction;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

const TARGET: &str = "iqn.2026-12.example.lab:gateway";
const PORT: u16 = 3260;

/// What a run came to.
pub struct Outcome {
    pub verdict: Verdict,
    pub seen: Vec<Seen>,
    pub site: GatewayConfig,
    /// Processes that did not end as they should.
    pub unclean: Vec<String>,
    pub clones: Clones,
    /// Versions of plans, and how many of them the trail replays to; none without a control service.
    pub trail: Option<(u64, u64)>,
    /// Milliseconds from asking for a version to hearing that it is in force at all hosts, in order; and how
    /// many were asked for.
    pub in_force: (Vec<u64>, usize),
}

/// How clones came out, and snapshots that were refused.
#[derive(Default)]
pub struct Clones {
    pub made: u64,
    pub apart: u64,
    /// Snapshots and clones not made, with the reason.
    pub not_made: Vec<String>,
    pub wrong: Vec<String>,
    /// Places that nothing referred to, as `verify` found them at the end.
    pub leaked: u64,
    /// Milliseconds from asking to the grant, in order.
    pub grants: Vec<u64>,
}

/// A change of a limit: when it was asked for, and when it was told to be in force at all hosts.
struct Tariff {
    reason: String,
    at: Micros,
    in_force: Option<Micros>,
}

/// Figures of a plan with its limit and burst times so many.
fn figures(plan: mallowseam_settings::config::Plan, times: f64) -> Plan {
    let (limit, limit_burst) = ((plan.rate_limit * times).max(plan.reserved_rate), plan.burst_units * times);
    mallowseam_gateway::replicated_plan(&mallowseam_settings::config::Plan {
        rate_limit: limit,
        burst_units: limit_burst,
        ..plan
    })
}

/// Changes of limits over a day, as the seed draws them.
fn tariffs(scene: &Scene, site: &GatewayConfig, seed: u64) -> Vec<Event> {
    let Some(every) = scene.tariffs else { return Vec::new() };
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7a71);
    let limited: Vec<usize> = (0..site.plans.len()).filter(|p| site.plans[*p].rate_limit > 0.0).collect();
    let times = (1..).map(|n| n * every).take_while(|at| at + 2_000_000 < scene.length);
    times
        .filter(|_| !limited.is_empty())
        .map(|at| {
            let plan = limited[rng.random_range(0..limited.len())];
            Event { at, trouble: Trouble::Tariff(plan, rng.random_range(0.4..1.6)) }
        })
        .collect()
}

enum Kind {
    Snapshot(String, String),
    Clone(String, String),
}

struct Asked {
    kind: Kind,
    at: Micros,
    answered: Micros,
    unit: Option<u32>,
    why: Option<String>,
}

/// How hosts are started: a program, and what stands before `run FILE`.
#[derive(Clone)]
pub struct Program {
    pub path: PathBuf,
    pub args: Vec<String>,
}

/// Loopback addresses of a run's own, so that runs beside each other and connections' own ports never meet.
struct Addresses(u8, u8);

static RUNS: AtomicU32 = AtomicU32::new(0);

impl Addresses {
    fn new() -> Self {
        let n = std::process::id().wrapping_mul(31).wrapping_add(RUNS.fetch_add(1, Ordering::Relaxed));
        Addresses(16 + (n >> 8) as u8 % 200, n as u8)
    }

    fn at(&self, last: u32) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.0, self.1, last as u8), PORT))
    }

    fn node(&self, n: u32) -> SocketAddr {
        self.at(1 + n)
    }

    fn host(&self, n: u32) -> SocketAddr {
        self.at(101 + n)
    }

    fn catalog(&self) -> SocketAddr {
        self.at(202)
    }

    fn control(&self) -> SocketAddr {
        self.at(203)
    }

    fn list(&self) -> SocketAddr {
        self.at(201)
    }
}

fn site_text(scene: &Scene, addresses: &Addresses, dir: &Path, host: u32, seed: u64) -> String {
    let mut out = String::new();
    let dir = dir.display();
    // The scene's own sections first: their lines keep their numbers.
    writeln!(out, "{}\n", scene.site).expect("memory");
    if let Some((extent, copies)) = &scene.catalog {
        writeln!(out, "catalog\n    listen {}\n    store \"{dir}/store\"", addresses.catalog())
            .expect("memory");
        writeln!(out, "    control \"{dir}/catalog.sock\"\n    extent {extent}\n    copies {copies}")
            .expect("memory");
    }
    if scene.tariffs.is_some() {
        writeln!(out, "tariffs\n    listen {}\n    store \"{dir}/plans\"", addresses.control())
            .expect("memory");
        writeln!(out, "    control \"{dir}/control.sock\"").expect("memory");
    }
    writeln!(out, "host gw{host}\n    listen {}\n    target {TARGET}", addresses.host(host)).expect("memory");
    writeln!(out, "    control \"{dir}/gw{host}.sock\"\n    node-list {}", addresses.list()).expect("memory");
    if scene.tariffs.is_some() {
        writeln!(out, "    follow {}\n    kept-plans \"{dir}/gw{host}.plans\"", addresses.control())
            .expect("memory");
    }
    if scene.kept_list {
        writeln!(out, "    kept-list \"{dir}/gw{host}.list\"").expect("memory");
    }
    writeln!(out, "    window 32\n    connections 256\n    longest 1MiB\n    seed {seed}").expect("memory");
    if scene.digests {
        writeln!(out, "    digests header data").expect("memory");
    }
    for n in 0..scene.nodes {
        let name = listd::name(n);
        writeln!(
            out,
            "node {name}\n    address {}\n    target iqn.2026-12.example.lab:{name}",
            addresses.node(n)
        )
        .expect("memory");
    }
    out
}

/// The configuration that a scene's hosts share.
pub(crate) fn site_of(scene: &Scene) -> Result<GatewayConfig, String> {
    let text = site_text(scene, &Addresses::new(), Path::new("."), 0, 0);
    mallowseam_settings::parse(&scene.name, &text).map_err(|p| p.to_string())
}

struct HostProcess {
    child: Option<Child>,
    file: PathBuf,
    control: PathBuf,
}

pub struct Stage<'a> {
    scene: &'a Scene,
    trace: Trace,
    nodes: Vec<Node>,
    list: Listd,
    load: Load,
    hosts: Vec<HostProcess>,
    catalog: Option<Child>,
    control: Option<Child>,
    tariffs: Arc<Mutex<Vec<Tariff>>>,
    /// What was asked of the catalog, in threads of their own.
    asked: Arc<Mutex<Vec<Asked>>>,
    askers: Vec<JoinHandle<()>>,
    host_addresses: Vec<SocketAddr>,
    program: Program,
    dir: PathBuf,
    order: [Vec<u32>; 3],
    unclean: Vec<String>,
    site: GatewayConfig,
}

/// Plays a scene. `tell` gets a line for each trouble as it happens.
pub fn run(
    scene: &Scene,
    seed: u64,
    program: &Program,
    tell: &mut dyn FnMut(Micros, &str),
) -> Result<Outcome, String> {
    let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
    let mut stage = Stage::open(scene, seed, program, dir.path())?;
    let mut events = scene.events.clone();
    events.extend(tariffs(scene, &stage.site, seed));
    events.sort_by_key(|e| e.at);
    for event in &events {
        stage.wait_until(event.at);
        tell(stage.trace.now(), &describe(event));
        stage.play(event);
    }
    stage.wait_until(scene.length);
    tell(stage.trace.now(), "clients ask for nothing more");
    let outcome = stage.close();
    if !outcome.unclean.is_empty() || !outcome.verdict.kept() || !outcome.clones.wrong.is_empty() {
        // What the hosts said is evidence.
        let _ = dir.keep();
    }
    Ok(outcome)
}

fn describe(event: &Event) -> String {
    format!("{:?}", event.trouble)
}

impl<'a> Stage<'a> {
    fn open(scene: &'a Scene, seed: u64, program: &Program, dir: &Path) -> Result<Self, String> {
        let addresses = Addresses::new();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut order = [scene.nodes, scene.hosts, scene.clients].map(|n| (0..n).collect::<Vec<u32>>());
        order.iter_mut().for_each(|o| o.shuffle(&mut rng));
        let text = site_text(scene, &addresses, dir, 0, 0);
        let site = mallowseam_settings::parse(&scene.name, &text).map_err(|p| p.to_string())?;
        let trace = Trace::default();
        let failed = |what: &str| {
            let what = what.to_owned();
            move |e: std::io::Error| format!("{what}: {e}")
        };
        let mut nodes = Vec::new();
        for n in 0..scene.nodes {
            let mut model = scene.model.clone();
            // No two machines are alike.
            model.unit_work *= rng.random_range(0.85..1.15);
            let target = &site.nodes[n as usize].target;
            let node = Node::start(n, addresses.node(n), target, model, trace.clone(), rng.random());
            nodes.push(node.map_err(failed("node stand-in"))?);
        }
        let list = Listd::start(addresses.list(), scene.nodes, scene.list_lag, trace.clone())
            .map_err(failed("node list stand-in"))?;
        let mut hosts = Vec::new();
        for host in 0..scene.hosts {
            let file = dir.join(format!("gw{host}.conf"));
            std::fs::write(&file, site_text(scene, &addresses, dir, host, rng.random()))
                .map_err(failed("configuration"))?;
            let control = dir.join(format!("gw{host}.sock"));
            hosts.push(HostProcess { child: None, file, control });
        }
        let limit = |v: &mallowseam_settings::config::Volume, direction| {
            let rule = v.rules.iter().find(|r| r.direction == direction || r.direction == Direction::Any);
            site.io_classes[rule.expect("checked").io_class].deadline
        };
        let volume = |v: &mallowseam_settings::config::Volume| load::Volume {
            lun: v.lun.into(),
            blocks: v.block_count,
            plan: site.plans[v.plan].name.clone(),
            read_limit: limit(v, Direction::Read),
            write_limit: limit(v, Direction::Write),
        };
        let plan = load::Plan {
            hosts: (0..scene.hosts).map(|h| addresses.host(h)).collect(),
            target: TARGET.into(),
            volumes: site.volumes.iter().map(volume).collect(),
            clients: scene.clients,
            rate: scene.rate,
            posts: scene.posts,
            wishes: ProposedParams {
                digests: Digests { header: scene.digests, data: scene.digests },
                ..ProposedParams::default()
            },
        };
        let load_seed = rng.random();
        let mut stage = Stage {
            scene,
            nodes,
            list,
            load: Load::start(plan, trace.clone(), load_seed).map_err(failed("clients"))?,
            trace,
            hosts,
            catalog: None,
            control: None,
            tariffs: Arc::default(),
            asked: Arc::default(),
            askers: Vec::new(),
            host_addresses: (0..scene.hosts).map(|h| addresses.host(h)).collect(),
            program: program.clone(),
            dir: dir.to_owned(),
            order,
            unclean: Vec::new(),
            site,
        };
        if scene.catalog.is_some() {
            stage.start_catalog()?;
        }
        if scene.tariffs.is_some() {
            stage.start_control()?;
        }
        for host in 0..scene.hosts {
            stage.start_host(host)?;
        }
        Ok(stage)
    }

    fn wait_until(&self, at: Micros) {
        let now = self.trace.now();
        std::thread::sleep(Duration::from_micros(at.saturating_sub(now)));
    }

    fn start_control(&mut self) -> Result<(), String> {
        let file = self.hosts[0].file.clone();
        self.control = Some(self.spawn("control", &file, "control.log")?);
        Ok(())
    }

    /// Changes a plan's limit, in a thread of its own, and waits until it is in force everywhere.
    fn change_plan(&mut self, plan: usize, times: f64) {
        let (trace, tariffs, sock) =
            (self.trace.clone(), Arc::clone(&self.tariffs), self.dir.join("control.sock"));
        let plan = self.site.plans[plan].clone();
        let number = self.askers.len();
        self.askers.push(std::thread::spawn(move || {
            let change = Change::SetPlan { name: plan.name.clone(), plan: figures(plan, times) };
            let (author, reason) = ("rehearsal".into(), format!("change {number}"));
            let asked = Ask::Set {
                change,
                expected: None,
                author,
                reason: reason.clone(),
                dry_run: false,
                wait: true,
            };
            let at = trace.now();
            let line = serde_json::to_string(&asked).expect("plain");
            let done = mallowseam_gateway::send_request(&sock, &line).is_ok();
            let in_force = done.then(|| trace.now());
            tariffs.lock().expect("no panic").push(Tariff { reason, at, in_force });
        }));
    }

    /// What limits were in force when, by the trail and by what was answered; and how the trail replays.
    fn read_trail(&mut self, places: &mut Places) -> (u64, u64) {
        for asker in std::mem::take(&mut self.askers) {
            let _ = asker.join();
        }
        let sock = self.dir.join("control.sock");
        let ask = |what: &Ask| {
            let line = serde_json::to_string(what).expect("plain");
            mallowseam_gateway::send_request(&sock, &line).map_err(|e| e.to_string())
        };
        let history = match ask(&Ask::History { from: 1, limit: 10_000 }) {
            Ok(text) => text,
            Err(e) => {
                self.unclean.push(format!("the trail: {e}"));
                return (0, 0);
            }
        };
        let lines: Vec<LogEntry> = history.lines().filter_map(|l| serde_json::from_str(l).ok()).collect();
        let told = self.tariffs.lock().expect("no panic");
        let of = |line: &LogEntry| told.iter().find(|t| t.reason == line.reason);
        // Once a version is in force at all hosts, so is each one before it, and none of them any more.
        let over = |after: u64| {
            let later = lines.iter().filter(|l| l.version >= after).filter_map(|l| of(l)?.in_force);
            later.min().unwrap_or(Micros::MAX)
        };
        for (i, line) in lines.iter().enumerate() {
            let Change::SetPlan { name, plan } = &line.change else { continue };
            let same = |l: &&LogEntry| matches!(&l.change, Change::SetPlan { name: n, .. } if n == name);
            let until = lines[i + 1..].iter().find(same).map_or(Micros::MAX, |next| over(next.version));
            let (from, whole) = (of(line).map_or(0, |t| t.at), |n: u64| n as f64 / 1000.0);
            let in_force =
                InForce { from, until, limit: whole(plan.rate_limit), burst: whole(plan.burst_units) };
            places.limits.entry(name.clone()).or_default().push(in_force);
        }
        drop(told);
        let versions = lines.len() as u64;
        match ask(&Ask::Replay) {
            Ok(text) if text == format!("trail replays: {versions} of {versions}") => (versions, versions),
            Ok(text) => {
                self.unclean.push(text);
                (versions, 0)
            }
            Err(e) => {
                self.unclean.push(format!("the trail: {e}"));
                (versions, 0)
            }
        }
    }

    fn start_catalog(&mut self) -> Result<(), String> {
        let file = self.hosts[0].file.clone();
        let child = self.spawn("catalog", &file, "catalog.log")?;
        self.catalog = Some(child);
        Ok(())
    }

    fn spawn(&self, what: &str, file: &Path, log: &str) -> Result<Child, String> {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(log))
            .map_err(|e| e.to_string())?;
        Command::new(&self.program.path)
            .args(&self.program.args)
            .arg(what)
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.path.display()))
    }

    /// Asks the catalog, in a thread of its own.
    fn ask_catalog(&mut self, kind: Kind) {
        let (trace, asked, sock) =
            (self.trace.clone(), Arc::clone(&self.asked), self.dir.join("catalog.sock"));
        self.askers.push(std::thread::spawn(move || {
            let at = trace.now();
            let line = match &kind {
                Kind::Snapshot(volume, name) => format!("snapshot {volume} {name}"),
                Kind::Clone(snapshot, name) => format!("clone {snapshot} {name}"),
            };
            let answer = mallowseam_gateway::send_request(&sock, &line).map_err(|e| e.to_string());
            let unit = answer.as_ref().ok().and_then(|a| a.rsplit(' ').next()?.parse().ok());
            let entry = Asked { kind, at, answered: trace.now(), unit, why: answer.err() };
            asked.lock().expect("no panic").push(entry);
        }));
    }

    fn start_host(&mut self, n: u32) -> Result<(), String> {
        let file = self.hosts[n as usize].file.clone();
        let child = self.spawn("run", &file, &format!("gw{n}.log"))?;
        self.hosts[n as usize].child = Some(child);
        self.trace.note(What::HostUp { host: n });
        Ok(())
    }

    fn kill_host(&mut self, n: u32) {
        if kill_now(&mut self.hosts[n as usize].child) {
            self.trace.note(What::HostDown { host: n });
        }
    }

    fn signal(&self, n: u32, signal: Signal) {
        if let Some(child) = &self.hosts[n as usize].child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Waits for a host that was told to end; it must do so by itself, with code 0.
    fn await_end(&mut self, n: u32) {
        let Some(mut child) = self.hosts[n as usize].child.take() else { return };
        for _ in 0..1500 {
            match child.try_wait() {
                Ok(Some(status)) => {
                    if !status.success() {
                        self.unclean.push(format!("gw{n} ended with {status}"));
                    }
                    self.trace.note(What::HostDown { host: n });
                    return;
                }
                _ => std::thread::sleep(Duration::from_millis(10)),
            }
        }
        self.unclean.push(format!("gw{n} did not end within 15 s of SIGTERM"));
        let _ = child.kill();
        let _ = child.wait();
        self.trace.note(What::HostDown { host: n });
    }

    fn pick(&self, kind: usize, which: Which) -> u32 {
        let order = &self.order[kind];
        match which {
            Which::Number(n) => n % order.len() as u32,
            Which::Any(n) => order[n as usize % order.len()],
        }
    }

    fn tell_list(&self, n: u32, condition: EndpointState) {
        let life = *self.nodes[n as usize].life.lock().expect("no writer panics");
        let word = ListWord::Node { node: n, condition, run: life.run, since: life.since };
        self.list.say(word);
    }

    fn play(&mut self, event: &Event) {
        let node = |which| self.pick(0, which);
        let fault = |which, fault| self.nodes[node(which) as usize].fault(fault);
        let client = |which| self.pick(2, which);
        match &event.trouble {
            Trouble::NodeSilent(n, on) => fault(*n, Fault::Silent(*on)),
            Trouble::NodeStill(n, on) => fault(*n, Fault::Still(*on)),
            Trouble::NodeDeaf(n, on) => fault(*n, Fault::Deaf(*on)),
            Trouble::NodeSlow(n, times) => fault(*n, Fault::Slow(*times)),
            Trouble::NodeErrors(n, part) => fault(*n, Fault::Errors(*part)),
            Trouble::NodeLoses(n, part) => fault(*n, Fault::Lose(*part)),
            Trouble::NodeReset(n) => fault(*n, Fault::Reset),
            Trouble::NodeCrash(n) => {
                fault(*n, Fault::Crash);
                self.tell_list(node(*n), EndpointState::Removed);
            }
            Trouble::NodeStart(n) => {
                let n = node(*n);
                let before = self.nodes[n as usize].life.lock().expect("no writer panics").run;
                self.nodes[n as usize].fault(Fault::Start);
                for _ in 0..200 {
                    let life = *self.nodes[n as usize].life.lock().expect("no writer panics");
                    if life.up && life.run > before {
                        return self.tell_list(n, EndpointState::Active);
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            Trouble::NodeDrain(n) => self.tell_list(node(*n), EndpointState::Draining),
            Trouble::NodeUndrain(n) => self.tell_list(node(*n), EndpointState::Active),
            Trouble::HostKill(n) => self.kill_host(self.pick(1, *n)),
            Trouble::HostTerm(n) => self.signal(self.pick(1, *n), Signal::SIGTERM),
            Trouble::HostStart(n) => {
                let n = self.pick(1, *n);
                self.await_end(n);
                if let Err(e) = self.start_host(n) {
                    self.unclean.push(e);
                }
            }
            Trouble::HostStall(n, on) => {
                let signal = if *on { Signal::SIGSTOP } else { Signal::SIGCONT };
                self.signal(self.pick(1, *n), signal);
            }
            Trouble::HostDrain(n) => {
                let control = &self.hosts[self.pick(1, *n) as usize].control;
                if let Err(e) = mallowseam_gateway::send_request(control, "drain") {
                    self.unclean.push(format!("drain: {e}"));
                }
            }
            Trouble::ClientDrop(n) => self.load.say(LoadWord::Drop(client(*n))),
            Trouble::ClientStall(n, on) => self.load.say(LoadWord::Stall(client(*n), *on)),
            Trouble::ClientDeaf(n, on) => self.load.say(LoadWord::Deaf(client(*n), *on)),
            Trouble::ClientAgain(n) => self.load.say(LoadWord::Again(client(*n))),
            Trouble::HalfLogins(n) => self.load.say(LoadWord::HalfLogins(*n)),
            Trouble::Garbage(n) => self.load.say(LoadWord::Garbage(*n)),
            Trouble::Surge(plan, times) => self.load.say(LoadWord::Surge(plan.clone(), *times)),
            Trouble::Load(times) => self.load.say(LoadWord::Load(*times)),
            Trouble::ListLag(Micros::MAX) => self.list.say(ListWord::Lag(self.scene.list_lag)),
            Trouble::ListLag(lag) => self.list.say(ListWord::Lag(*lag)),
            Trouble::ListAway(on) => self.list.say(ListWord::Away(*on)),
            Trouble::ListBackwards => self.list.say(ListWord::Backwards),
            Trouble::Snapshot(volume, name) => self.ask_catalog(Kind::Snapshot(volume.clone(), name.clone())),
            Trouble::Clone(snapshot, name) => self.ask_catalog(Kind::Clone(snapshot.clone(), name.clone())),
            Trouble::CatalogKill => {
                kill_now(&mut self.catalog);
            }
            Trouble::Tariff(plan, times) => self.change_plan(*plan, *times),
            Trouble::ControlKill => {
                kill_now(&mut self.control);
            }
            Trouble::ControlStart => {
                if let Err(e) = self.start_control() {
                    self.unclean.push(e);
                }
            }
            Trouble::CatalogStart => {
                if let Err(e) = self.start_catalog() {
                    self.unclean.push(e);
                }
            }
        }
    }

    /// Reads every snapshot and clone back, writes to the clones, and reads all again.
    fn read_back(&mut self) -> (Places, Clones) {
        for asker in std::mem::take(&mut self.askers) {
            let _ = asker.join();
        }
        let mut clones = Clones::default();
        let mut places = Places::default();
        let sock = self.dir.join("catalog.sock");
        let tree = mallowseam_gateway::send_request(&sock, "tree").map_err(|e| e.to_string());
        let tree: Result<Tree, String> =
            tree.and_then(|t| serde_json::from_str(&t).map_err(|e| e.to_string()));
        let mut client = match BlockingClient::open(self.host_addresses[0], Some(TARGET), 900) {
            Ok(client) => client,
            Err(e) => {
                self.unclean.push(format!("reading back: {e}"));
                return (places, clones);
            }
        };
        match tree {
            Ok(tree) => {
                places.extent = self.scene.catalog.as_ref().map_or(1, |c| c.0);
                for (volume, v) in self.site.volumes.iter().enumerate().filter(|v| v.1.mapped) {
                    let heads = tree.branches.get(&v.name).map(|b| b.head);
                    let cuts = tree.snapshots.values().filter(|s| s.branch == v.name).map(|s| s.layer);
                    for root in heads.into_iter().chain(cuts) {
                        for (layer, l) in tree.ancestors(root) {
                            for (extent, p) in &l.locations {
                                let at = (layer, p.node, u64::from(p.slot));
                                places.found.insert(at, (volume, u64::from(*extent)));
                            }
                        }
                    }
                }
            }
            Err(e) => self.unclean.push(format!("the catalog's tree: {e}")),
        }
        let asked = std::mem::take(&mut *self.asked.lock().expect("no panic"));
        let size = |v: &str| self.site.volumes.iter().find(|x| x.name == v).map_or(0, |x| x.block_count);
        let mut shown: BTreeMap<String, Vec<Option<u64>>> = BTreeMap::new();
        let mut kept = Vec::new();
        let mut pairs = Vec::new();
        for a in &asked {
            let (name, volume) = match &a.kind {
                Kind::Snapshot(volume, name) => (format!("{volume}@{name}"), volume.clone()),
                Kind::Clone(snapshot, name) => {
                    (name.clone(), snapshot.split('@').next().unwrap_or_default().to_owned())
                }
            };
            let Some(unit) = a.unit else {
                clones.not_made.push(format!("{name}: {}", a.why.clone().unwrap_or_default()));
                continue;
            };
            match read_unit(&mut client, unit, size(&volume)) {
                Ok(blocks) => {
                    if let Kind::Clone(snapshot, _) = &a.kind {
                        pairs.push((name, snapshot.clone(), unit, blocks));
                    } else {
                        clones.grants.push((a.answered - a.at) / 1000);
                        kept.push((a, volume, name.clone(), unit));
                        shown.insert(name, blocks);
                    }
                }
                Err(e) => self.unclean.push(format!("reading {name} back: {e}")),
            }
        }
        // Clones show their snapshot, then their own writes and nobody else's.
        for (n, (name, snapshot, unit, blocks)) in pairs.iter().enumerate() {
            clones.made += 1;
            let mut wanted = shown.get(snapshot).cloned().unwrap_or_default();
            let mut wrong = (*blocks != wanted).then(|| "does not show its snapshot".to_owned());
            for i in 0..8u64 {
                let (id, lba) = (CLONE_IDS + n as u64 * 100 + i, i * 200);
                let cdb = mallowseam_iscsi::scsi::read_or_write_16(true, lba, 8, audit::COPY_MARK);
                let mut answer = Err(String::new());
                for _ in 0..20 {
                    answer = client
                        .execute(*unit, &cdb, 0, block::write(id, lba, 8))
                        .map(|a| a.status)
                        .map_err(|e| e.to_string());
                    if answer == Ok(0) {
                        wanted[lba as usize..lba as usize + 8].fill(Some(id));
                        break;
                    }
                }
                if answer != Ok(0) {
                    wrong = wrong.or_else(|| Some(format!("takes no write: {answer:?}")));
                }
            }
            match read_unit(&mut client, *unit, wanted.len() as u64) {
                Ok(now) if now == wanted => {}
                Ok(_) => wrong = wrong.or_else(|| Some("does not show its own writes alone".into())),
                Err(e) => wrong = wrong.or(Some(e)),
            }
            match wrong {
                Some(why) => clones.wrong.push(format!("{name}: {why}")),
                None => clones.apart += 1,
            }
        }
        // What a snapshot shows stays so, whatever its clones write; the second reading is what is judged.
        for (a, volume, name, unit) in kept {
            let blocks = match read_unit(&mut client, unit, size(&volume)) {
                Ok(blocks) => blocks,
                Err(e) => {
                    self.unclean.push(format!("reading {name} again: {e}"));
                    continue;
                }
            };
            if shown.get(&name) != Some(&blocks) {
                clones.wrong.push(format!("{name} has changed"));
            }
            let volume = self.site.volumes.iter().position(|v| v.name == volume).unwrap_or(0) as u32;
            let what = What::Kept { volume, name, asked: a.at, blocks };
            self.trace.note_at(a.answered, what);
        }
        client.conn.send_logout_request();
        let _ = client.flush();
        (places, clones)
    }

    /// Has `verify` walk catalog and nodes. What a killed host left of a copy may be found once; after it was
    /// given back, nothing may be.
    fn verify(&mut self, clones: &mut Clones) {
        for mend in [true, false] {
            let mut command = Command::new(&self.program.path);
            command.args(&self.program.args).arg("verify").arg(&self.hosts[0].file);
            if mend {
                command.arg("--mend");
            }
            let (code, text) = match command.output() {
                Ok(o) => (o.status.success(), String::from_utf8_lossy(&o.stdout).into_owned()),
                Err(e) => (false, e.to_string()),
            };
            if mend {
                clones.leaked = text.lines().filter(|l| l.starts_with("given back")).count() as u64;
            }
            if !code {
                self.unclean.push(format!("verify: {}", text.lines().last().unwrap_or_default()));
            }
        }
    }

    /// Lets what is in hand end, ends the hosts, and judges.
    fn close(mut self) -> Outcome {
        self.load.say(LoadWord::Quiet);
        let longest = self.site.io_classes.iter().map(|g| g.deadline).max().unwrap_or(0);
        std::thread::sleep(Duration::from_micros(longest + 2 * load::WAY));
        let (mut places, clones) =
            if self.scene.catalog.is_some() { self.read_back() } else { Default::default() };
        let trail = self.scene.tariffs.map(|_| self.read_trail(&mut places));
        if !ends_well(&mut self.control) {
            self.unclean.push("the control service did not end well".into());
        }
        for n in 0..self.scene.hosts {
            self.signal(n, Signal::SIGTERM);
        }
        for n in 0..self.scene.hosts {
            self.await_end(n);
        }
        if !ends_well(&mut self.catalog) {
            self.unclean.push("the catalog did not end well".into());
        }
        let mut clones = clones;
        if self.scene.catalog.is_some() {
            self.verify(&mut clones);
        }
        let told = self.tariffs.lock().expect("no panic");
        let spans = told.iter().filter_map(|t| Some((t.in_force? - t.at) / 1_000));
        let mut in_force: (Vec<u64>, usize) = (spans.collect(), told.len());
        in_force.0.sort_unstable();
        drop(told);
        let Stage { trace, load, nodes, list, site, unclean, scene, .. } = self;
        drop((load, nodes, list));
        let seen = trace.take();
        let mut model = scene.model.clone();
        // The slowest that the stand-ins' draws allow is not what they bear: the audit takes the fastest, and
        // a node that fell says so itself.
        model.unit_work *= 0.85;
        let verdict = audit::judge(&site, &model, &seen, &places);
        Outcome { verdict, seen, site, unclean, clones, trail, in_force }
    }
}

/// Kills a process, if it runs; whether it did.
fn kill_now(child: &mut Option<Child>) -> bool {
    let Some(mut child) = child.take() else { return false };
    let _ = child.kill();
    let _ = child.wait();
    true
}

/// Tells a process to end and waits for it. True where none runs.
fn ends_well(child: &mut Option<Child>) -> bool {
    let Some(mut child) = child.take() else { return true };
    let _ = kill(Pid::from_raw(child.id() as i32), Signal::SIGTERM);
    child.wait().is_ok_and(|s| s.success())
}

/// Ids of what is written to clones, which no client uses.
const CLONE_IDS: u64 = 1 << 48;

/// Which write each block of a unit shows. Turned away, it tries again for a while.
fn read_unit(client: &mut BlockingClient, unit: u32, blocks: u64) -> Result<Vec<Option<u64>>, String> {
    let mut out = Vec::new();
    let mut lba = 0;
    while lba < blocks {
        let count = (blocks - lba).min(256) as u32;
        let cdb = mallowseam_iscsi::scsi::read_or_write_16(false, lba, count, audit::COPY_MARK);
        let mut last = String::new();
        let mut found = None;
        for _ in 0..50 {
            let answer = client
                .execute(unit, &cdb, count as usize * block::SIZE, Vec::new())
                .map_err(|e| e.to_string())?;
            if answer.status == 0 {
                found = Some(answer.data);
                break;
            }
            last = format!("status {:#x}, sense {:?}", answer.status, answer.sense);
            std::thread::sleep(Duration::from_millis(50));
        }
        let data = found.ok_or(last)?;
        out.extend(data.chunks(block::SIZE).zip(lba..).map(|(b, at)| block::read(b, at)));
        lba += u64::from(count);
    }
    Ok(out)
}
