//! Clients at a node directly, beside clients through a host to the same node, in turn within one run.
use crate::block;
use crate::blocking_client::BlockingClient;
use crate::node::{Model, Node};
use crate::rehearse::Program;
use crate::trace::Trace;
use hdrhistogram::Histogram;
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::scsi::{self, status};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Blocks of one command: 4 KiB, as ledger pages are.
const BLOCKS: u32 = 8;
const VOLUME_BLOCKS: u64 = 1 << 16;
const GATEWAY: &str = "iqn.2026-12.example.lab:gateway";
const NODE: &str = "iqn.2026-12.example.lab:node0";

#[derive(clap::Args, Clone, Debug)]
pub struct Options {
    /// Seconds of each phase
    #[arg(long, default_value_t = 2)]
    seconds: u64,
    /// Rounds of direct and through the host in turn
    #[arg(long, default_value_t = 3)]
    rounds: u32,
    /// Connections and commands out on each, for the rate
    #[arg(long, default_value_t = 2)]
    connections: u32,
    #[arg(long, default_value_t = 16)]
    depth: usize,
    /// Idle connections whose memory is measured
    #[arg(long, default_value_t = 1000)]
    idle: u32,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// What one phase measured.
struct Phase {
    rate: f64,
    waits: Histogram<u64>,
    turned: u64,
}

/// A process of this build, ended when dropped.
pub(crate) struct Running(Child);

impl Running {
    pub(crate) fn start(program: &Program, what: &[&str], file: &Path) -> Result<Running, String> {
        let mut command = Command::new(&program.path);
        command.args(&program.args).args(what).arg(file).stdin(Stdio::null()).stdout(Stdio::null());
        command.spawn().map(Running).map_err(|e| e.to_string())
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs the comparison; its table. Errors: what could not be started or came back wrong.
pub fn run(options: &Options, program: &Program) -> Result<String, String> {
    let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
    let n = std::process::id();
    let address = |last| SocketAddr::from(([127, 16 + (n >> 8) as u8 % 200, n as u8, last], 3260));
    let (node_at, host_at) = (address(1), address(101));
    let model = Model::quick(64, 0.0, 4096);
    let node = Node::start(0, node_at, NODE, model, Trace::off(), options.seed).map_err(|e| e.to_string())?;
    let file = dir.path().join("gw0.conf");
    std::fs::write(&file, site(node_at, host_at, options)).map_err(|e| e.to_string())?;
    let host = Running::start(program, &["run", "--log", "warn"], &file)?;
    let wait = Instant::now();
    while TcpStream::connect(host_at).is_err() {
        if wait.elapsed() > Duration::from_secs(5) {
            return Err("the host does not listen".into());
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let (mut single, mut many) = ((Vec::new(), Vec::new()), (Vec::new(), Vec::new()));
    let (mut cpu, mut count) = (0.0, 0.0);
    // Windows open first.
    phase(host_at, GATEWAY, options, options.connections, options.depth, 1)?;
    for _ in 0..options.rounds {
        single.0.push(phase(node_at, NODE, options, 1, 1, options.seconds)?);
        single.1.push(phase(host_at, GATEWAY, options, 1, 1, options.seconds)?);
        many.0.push(phase(node_at, NODE, options, options.connections, options.depth, options.seconds)?);
        let before = cpu_seconds(host.0.id())?;
        let through = phase(host_at, GATEWAY, options, options.connections, options.depth, options.seconds)?;
        cpu += cpu_seconds(host.0.id())? - before;
        count += through.rate * options.seconds as f64;
        many.1.push(through);
    }
    let before = resident(host.0.id())?;
    let mut idle = Vec::new();
    for i in 0..options.idle {
        idle.push(BlockingClient::open(host_at, Some(GATEWAY), 1000 + i).map_err(|e| e.to_string())?);
    }
    let after = resident(host.0.id())?;
    let turned: u64 = many.1.iter().chain(&single.1).map(|p| p.turned).sum();
    drop((idle, node));

    let mut out = String::new();
    let line = |out: &mut String, what: &str, a: f64, b: f64, unit: &str| {
        writeln!(out, "{what:<44}{a:>12.1}{b:>14.1}  {unit}").expect("memory");
    };
    writeln!(out, "{:<44}{:>12}{:>14}", "", "direct", "through host").expect("memory");
    let wait = |p: &[Phase], q| median(p.iter().map(|p| p.waits.value_at_quantile(q) as f64 / 1000.0));
    line(&mut out, "one command out: median", wait(&single.0, 0.5), wait(&single.1, 0.5), "us");
    line(&mut out, "one command out: p99", wait(&single.0, 0.99), wait(&single.1, 0.99), "us");
    let rate = |p: &[Phase]| median(p.iter().map(|p| p.rate));
    let what = format!("{} x {} commands out: rate", options.connections, options.depth);
    line(&mut out, &what, rate(&many.0), rate(&many.1), "block I/Os a second");
    let added = |q| {
        let pairs = single.0.iter().zip(&single.1);
        median(pairs.map(|(a, b)| {
            (b.waits.value_at_quantile(q) as f64 - a.waits.value_at_quantile(q) as f64) / 1000.0
        }))
    };
    let ratio = median(many.0.iter().zip(&many.1).map(|(a, b)| b.rate / a.rate));
    writeln!(out, "added by the host, pair by pair: median {:.1} us, p99 {:.1} us", added(0.5), added(0.99))
        .expect("memory");
    writeln!(out, "rate through the host over direct, pair by pair: {ratio:.2}").expect("memory");
    writeln!(out, "CPU of the host: {:.1} us a block I/O", cpu * 1e6 / count.max(1.0)).expect("memory");
    let each = (after.saturating_sub(before)) as f64 / f64::from(options.idle.max(1));
    writeln!(
        out,
        "memory: {before} KiB, with {} idle connections {after} KiB: {each:.1} KiB each",
        options.idle
    )
    .expect("memory");
    writeln!(out, "turned away by the host: {turned}").expect("memory");
    Ok(out)
}

pub(crate) fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

fn site(node: SocketAddr, host: SocketAddr, options: &Options) -> String {
    format!(
        "host gw0\n    listen {host}\n    target {GATEWAY}\n    node-list static\n    window 64\n    \
         connections {}\n    longest 1MiB\n    seed {}\nfleet\n    hosts 1\n    unit 4KiB\n    mean-units 1\n    \
         largest-units 1\n    submits 3\nplan free\n    usual 1000/s\n    reserve 1000/s\ngroup all\n    \
         effect idempotent\n    goal 200ms\n    hard-limit 2s\nvolume bench\n    lun 0\n    plan free\n    \
         blocks {VOLUME_BLOCKS}\n    block-size 512B\n    hosts 1\n    extent 0 {VOLUME_BLOCKS} node0 at 0\n    \
         rule any all\nnode node0\n    address {node}\n    target {NODE}\n",
        options.idle + 100,
        options.seed
    )
}

fn phase(
    address: SocketAddr,
    target: &str,
    options: &Options,
    connections: u32,
    depth: usize,
    seconds: u64,
) -> Result<Phase, String> {
    let threads: Vec<_> = (0..connections)
        .map(|i| {
            let (target, seed) = (target.to_owned(), options.seed + u64::from(i));
            std::thread::spawn(move || one(address, &target, i, depth, seconds, seed))
        })
        .collect();
    let mut all: Option<Phase> = None;
    for thread in threads {
        let phase = thread.join().map_err(|_| "a client failed".to_owned())??;
        match &mut all {
            Some(all) => {
                all.rate += phase.rate;
                all.turned += phase.turned;
                all.waits.add(&phase.waits).map_err(|e| e.to_string())?;
            }
            None => all = Some(phase),
        }
    }
    all.ok_or_else(|| "no clients".into())
}

/// One connection that keeps so many commands out, seven in ten of them reads.
fn one(
    address: SocketAddr,
    target: &str,
    index: u32,
    depth: usize,
    seconds: u64,
    seed: u64,
) -> Result<Phase, String> {
    let mut client = BlockingClient::open(address, Some(target), index).map_err(|e| e.to_string())?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut sent: Vec<Option<Instant>> = vec![None; depth];
    let mut waits = Histogram::new_with_bounds(1, 60_000_000_000, 3).map_err(|e| e.to_string())?;
    let (mut count, mut turned) = (0u64, 0);
    let began = Instant::now();
    let span = Duration::from_secs(seconds);
    loop {
        let over = began.elapsed() >= span;
        for (tag, place) in sent.iter_mut().enumerate() {
            if place.is_none() && !over && client.conn.can_send() {
                let lba = rng.random_range(0..VOLUME_BLOCKS / u64::from(BLOCKS)) * u64::from(BLOCKS);
                let write = rng.random::<f64>() < 0.3;
                let data = if write { block::write(count + 1, lba, BLOCKS) } else { Vec::new() };
                let room = if write { 0 } else { BLOCKS as usize * block::SIZE };
                let cdb = scsi::read_or_write_16(write, lba, BLOCKS, 0);
                client.conn.send_command(tag as u32, 0, &cdb, room, data.into());
                *place = Some(Instant::now());
            }
        }
        if over && sent.iter().all(Option::is_none) {
            break;
        }
        client.exchange().map_err(|e| e.to_string())?;
        while let Some(came) = client.conn.next_event() {
            let InitiatorEvent::CommandCompleted { tag, status: code, .. } = came else { continue };
            if let Some(at) = sent[tag as usize].take() {
                if code == status::GOOD {
                    waits.saturating_record(at.elapsed().as_nanos() as u64);
                    count += 1;
                } else {
                    turned += 1;
                }
            }
        }
    }
    Ok(Phase { rate: count as f64 / began.elapsed().as_secs_f64(), waits, turned })
}

/// User and system time of a process, in seconds.
fn cpu_seconds(pid: u32) -> Result<f64, String> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).map_err(|e| e.to_string())?;
    // The name in brackets may hold blanks; the fields behind it do not.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let ticks = |n: usize| rest.split_whitespace().nth(n).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    Ok((ticks(11) + ticks(12)) / 100.0)
}

/// Resident memory of a process in KiB.
fn resident(pid: u32) -> Result<u64, String> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).map_err(|e| e.to_string())?;
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).ok_or_else(|| "no VmRSS".into())
}
