//! Benchmark that compares clients of a node with clients that reach the same node through a host, in alternate phases.
mod clients;
mod process_figures;
mod report;

use crate::error::RunError;
use crate::process::{KilledOnDrop, Program};
pub(crate) use clients::{BLOCKS, latency_histogram, send_command};
use clients::{Phase, Target};
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Trace;
use mallowseam_stand_ins::node::Node;
use report::Measurements;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};

const VOLUME_BLOCKS: u64 = 1 << 16;
/// iSCSI target name of the host.
const GATEWAY_TARGET: &str = "iqn.2026-12.example.lab:gateway";
/// iSCSI target name of the node.
const NODE_TARGET: &str = "iqn.2026-12.example.lab:node0";
const PORT: u16 = 3260;
/// Index of the first idle client, above those of the clients of phases.
const FIRST_IDLE_CLIENT: u32 = 1000;
/// Time in which a started host must accept connections.
const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts to connect to a starting host.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Options of the benchmark.
#[derive(clap::Args, Clone, Debug)]
pub struct Options {
    /// Duration of each phase in seconds
    #[arg(long, default_value_t = 2)]
    seconds: u64,
    /// Number of rounds, each with phases directly at the node and through the host
    #[arg(long, default_value_t = 3)]
    rounds: u32,
    /// Connections in phases that measure the rate
    #[arg(long, default_value_t = 2)]
    connections: u32,
    /// Commands in flight on each connection in phases that measure the rate
    #[arg(long, default_value_t = 16)]
    depth: usize,
    /// Number of idle connections whose memory is measured
    #[arg(long, default_value_t = 1000)]
    idle: u32,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs the comparison and returns its table.
///
/// # Errors
/// A process or stand-in cannot be started, or a session fails.
pub fn run(options: &Options, program: &Program) -> Result<String, RunError> {
    let dir = tempfile::tempdir().map_err(RunError::io("temporary directory"))?;
    let node_address = address(1);
    let host_address = address(101);
    let model = ServiceModel::warm(64, 0.0, 4096);
    let node = Node::start(
        0,
        node_address,
        NODE_TARGET,
        model,
        Trace::disabled(),
        options.seed,
    )
    .map_err(RunError::io("node stand-in"))?;
    let host = start_host(options, program, dir.path(), node_address, host_address)?;
    let direct = Target {
        address: node_address,
        name: NODE_TARGET,
    };
    let through_host = Target {
        address: host_address,
        name: GATEWAY_TARGET,
    };
    let mut measurements = Measurements::default();
    // Warms the host up: its concurrency windows grow to the load before the first measurement.
    clients::phase(through_host, options, options.connections, options.depth, 1)?;
    for _ in 0..options.rounds {
        measure_round(options, &host, direct, through_host, &mut measurements)?;
    }
    measure_idle_memory(options, &host, through_host, &mut measurements)?;
    drop(node);
    Ok(measurements.table(options))
}

/// Returns a loopback address that only this process uses.
pub(crate) fn address(last: u8) -> SocketAddr {
    let n = std::process::id();
    SocketAddr::from(([127, 16 + (n >> 8) as u8 % 200, n as u8, last], PORT))
}

fn start_host(
    options: &Options,
    program: &Program,
    dir: &Path,
    node: SocketAddr,
    host: SocketAddr,
) -> Result<KilledOnDrop, RunError> {
    let file = dir.join("gw0.conf");
    std::fs::write(&file, config_text(node, host, options))
        .map_err(RunError::io("configuration"))?;
    let process = KilledOnDrop::start(program, &["run", "--log", "warn"], &file)?;
    let began = Instant::now();
    while TcpStream::connect(host).is_err() {
        if began.elapsed() > START_TIMEOUT {
            return Err(RunError::HostNotListening);
        }
        std::thread::sleep(START_POLL_INTERVAL);
    }
    Ok(process)
}

/// Measures phases with one command in flight and with many, each directly at the node and through the host.
fn measure_round(
    options: &Options,
    host: &KilledOnDrop,
    direct: Target,
    through_host: Target,
    measurements: &mut Measurements,
) -> Result<(), RunError> {
    let single = |target| clients::phase(target, options, 1, 1, options.seconds);
    let many = |target| {
        clients::phase(
            target,
            options,
            options.connections,
            options.depth,
            options.seconds,
        )
    };
    measurements
        .single
        .push(single(direct)?, single(through_host)?);
    let direct: Phase = many(direct)?;
    let cpu_before = process_figures::cpu_seconds(host.id())?;
    let through_host = many(through_host)?;
    measurements.host_cpu_seconds += process_figures::cpu_seconds(host.id())? - cpu_before;
    measurements.host_commands += through_host.rate * options.seconds as f64;
    measurements.many.push(direct, through_host);
    Ok(())
}

fn measure_idle_memory(
    options: &Options,
    host: &KilledOnDrop,
    target: Target,
    measurements: &mut Measurements,
) -> Result<(), RunError> {
    measurements.memory_kib = process_figures::resident_kib(host.id())?;
    let mut idle = Vec::new();
    for i in 0..options.idle {
        idle.push(target.connect(FIRST_IDLE_CLIENT + i)?);
    }
    measurements.memory_with_idle_kib = process_figures::resident_kib(host.id())?;
    Ok(())
}

fn config_text(node: SocketAddr, host: SocketAddr, options: &Options) -> String {
    format!(
        "host gw0\n    listen {host}\n    target {GATEWAY_TARGET}\n    node-list static\n    window 64\n    \
         connections {}\n    longest 1MiB\n    seed {}\nfleet\n    hosts 1\n    unit 4KiB\n    mean-units 1\n    \
         largest-units 1\n    submits 3\nplan free\n    usual 1000/s\n    reserve 1000/s\ngroup all\n    \
         effect idempotent\n    goal 200ms\n    hard-limit 2s\nvolume bench\n    lun 0\n    plan free\n    \
         blocks {VOLUME_BLOCKS}\n    block-size 512B\n    hosts 1\n    extent 0 {VOLUME_BLOCKS} node0 at 0\n    \
         rule any all\nnode node0\n    address {node}\n    target {NODE_TARGET}\n",
        options.idle + 100,
        options.seed
    )
}

/// Returns the median of the values, or 0 without values.
pub(crate) fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
