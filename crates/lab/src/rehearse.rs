//! Plays a script: real hosts as processes, stand-ins round them, trouble as written, then the audit.
use crate::audit::{self, Verdict};
use crate::listd::{self, Listd, Word as ListWord};
use crate::load::{self, Load, Word as LoadWord};
use crate::node::{Fault, Node};
use crate::script::{Event, Scene, Trouble, Which};
use crate::trace::{Micros, Seen, Trace, What};
use mallowseam_iscsi::frame::Digests;
use mallowseam_iscsi::params::Wishes;
use mallowseam_nodelist::Condition;
use mallowseam_settings::Site;
use mallowseam_settings::site::Direction;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const TARGET: &str = "iqn.2026-12.example.lab:gateway";
const PORT: u16 = 3260;

/// What a run came to.
pub struct Outcome {
    pub verdict: Verdict,
    pub seen: Vec<Seen>,
    pub site: Site,
    /// Processes that did not end as they should.
    pub unclean: Vec<String>,
    pub digest: Digest,
}

/// Figures over all hosts, from their own status at the end.
#[derive(Default)]
pub struct Digest {
    pub status: Vec<(String, mallowseam_gateway::Status)>,
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

    fn list(&self) -> SocketAddr {
        self.at(201)
    }
}

fn site_text(scene: &Scene, addresses: &Addresses, dir: &Path, host: u32, seed: u64) -> String {
    let mut out = String::new();
    let dir = dir.display();
    // The scene's own sections first: their lines keep their numbers.
    writeln!(out, "{}\n", scene.site).expect("memory");
    writeln!(out, "host gw{host}\n    listen {}\n    target {TARGET}", addresses.host(host)).expect("memory");
    writeln!(out, "    control \"{dir}/gw{host}.sock\"\n    node-list {}", addresses.list()).expect("memory");
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
    program: Program,
    dir: PathBuf,
    order: [Vec<u32>; 3],
    unclean: Vec<String>,
    site: Site,
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
    for event in &scene.events {
        stage.wait_until(event.at);
        tell(stage.trace.now(), &describe(event));
        stage.play(event);
    }
    stage.wait_until(scene.length);
    tell(stage.trace.now(), "clients ask for nothing more");
    let outcome = stage.close();
    if !outcome.unclean.is_empty() || !outcome.verdict.kept() {
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
        let site = mallowseam_settings::read(&scene.name, &text).map_err(|p| p.to_string())?;
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
        let limit = |v: &mallowseam_settings::site::Volume, direction| {
            let rule = v.rules.iter().find(|r| r.direction == direction || r.direction == Direction::Any);
            site.groups[rule.expect("checked").group].hard_limit
        };
        let volume = |v: &mallowseam_settings::site::Volume| load::Volume {
            lun: v.lun.into(),
            blocks: v.blocks,
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
            wishes: Wishes {
                digests: Digests { header: scene.digests, data: scene.digests },
                ..Wishes::default()
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
            program: program.clone(),
            dir: dir.to_owned(),
            order,
            unclean: Vec::new(),
            site,
        };
        for host in 0..scene.hosts {
            stage.start_host(host)?;
        }
        Ok(stage)
    }

    fn wait_until(&self, at: Micros) {
        let now = self.trace.now();
        std::thread::sleep(Duration::from_micros(at.saturating_sub(now)));
    }

    fn start_host(&mut self, n: u32) -> Result<(), String> {
        let host = &mut self.hosts[n as usize];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("gw{n}.log")))
            .map_err(|e| e.to_string())?;
        let child = Command::new(&self.program.path)
            .args(&self.program.args)
            .arg("run")
            .arg(&host.file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.program.path.display()))?;
        host.child = Some(child);
        self.trace.note(What::HostUp { host: n });
        Ok(())
    }

    fn kill_host(&mut self, n: u32) {
        if let Some(mut child) = self.hosts[n as usize].child.take() {
            let _ = child.kill();
            let _ = child.wait();
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

    fn tell_list(&self, n: u32, condition: Condition) {
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
                self.tell_list(node(*n), Condition::Left);
            }
            Trouble::NodeStart(n) => {
                let n = node(*n);
                let before = self.nodes[n as usize].life.lock().expect("no writer panics").run;
                self.nodes[n as usize].fault(Fault::Start);
                for _ in 0..200 {
                    let life = *self.nodes[n as usize].life.lock().expect("no writer panics");
                    if life.up && life.run > before {
                        return self.tell_list(n, Condition::Active);
                    }
                    std::thread::sleep(Duration::from_millis(5));
                }
            }
            Trouble::NodeDrain(n) => self.tell_list(node(*n), Condition::Leaving),
            Trouble::NodeUndrain(n) => self.tell_list(node(*n), Condition::Active),
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
                if let Err(e) = mallowseam_gateway::ask(control, "drain") {
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
        }
    }

    /// Lets what is in hand end, asks the hosts for their figures, ends them, and judges.
    fn close(mut self) -> Outcome {
        self.load.say(LoadWord::Quiet);
        let longest = self.site.groups.iter().map(|g| g.hard_limit).max().unwrap_or(0);
        std::thread::sleep(Duration::from_micros(longest + 2 * load::WAY));
        let mut digest = Digest::default();
        for (n, host) in self.hosts.iter().enumerate() {
            if let Ok(text) = mallowseam_gateway::ask(&host.control, "status")
                && let Ok(status) = parse(&text)
            {
                digest.status.push((format!("gw{n}"), status));
            }
        }
        for n in 0..self.scene.hosts {
            self.signal(n, Signal::SIGTERM);
        }
        for n in 0..self.scene.hosts {
            self.await_end(n);
        }
        let Stage { trace, load, nodes, list, site, unclean, scene, .. } = self;
        drop((load, nodes, list));
        let seen = trace.take();
        let mut model = scene.model.clone();
        // The slowest that the stand-ins' draws allow is not what they bear: the audit takes the fastest, and
        // a node that fell says so itself.
        model.unit_work *= 0.85;
        let verdict = audit::judge(&site, &model, &seen);
        Outcome { verdict, seen, site, unclean, digest }
    }
}

fn parse(text: &str) -> Result<mallowseam_gateway::Status, String> {
    mallowseam_gateway::Status::read(text)
}
