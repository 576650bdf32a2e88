//! Measurements over sockets: writes while snapshots are taken, first writes after snapshots, and reads.
use super::Options;
use crate::benchmark::{BLOCKS, address, latency_histogram, send_command};
use crate::blocking_client::BlockingClient;
use crate::error::RunError;
use crate::process::{KilledOnDrop, Program};
use mallowseam_audit::block;
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Trace;
use mallowseam_control_protocol::send_request;
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::scsi::{self, status};
use mallowseam_stand_ins::node::Node;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// iSCSI target name of the host.
const TARGET: &str = "iqn.2026-12.example.lab:gateway";
/// Id of all writes during phases.
const WRITE_ID: u64 = 2;
/// Number of blocks of one extent: 128 KiB.
const EXTENT_BLOCKS: u64 = 256;
/// Number of extents of the volume.
const EXTENTS: u64 = 64;
/// Number of nodes.
const NODES: u8 = 3;
/// Time before the request and after the grant of a snapshot in which writes count as near it.
const NEAR_SNAPSHOT: Duration = Duration::from_millis(20);
/// Number in the name of the first snapshot taken under load, above those of the other snapshots.
const FIRST_LOADED_SNAPSHOT: u32 = 100_000;
/// Multiplier of the number of snapshots taken before a measurement in the number of the measurement's first snapshot.
/// It keeps the names of different measurements' snapshots distinct.
const SNAPSHOTS_PER_MEASUREMENT: u32 = 1_000;
/// Time in which a started process must answer on its control socket.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two requests to the control socket of a starting process.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Host and snapshot catalog with their nodes.
struct Site {
    dir: tempfile::TempDir,
    host_address: SocketAddr,
    // Fields are dropped, and processes ended, in this order.
    _host: KilledOnDrop,
    _catalog: KilledOnDrop,
    _nodes: Vec<Node>,
}

impl Site {
    fn start(options: &Options, program: &Program) -> Result<Site, RunError> {
        let dir = tempfile::tempdir().map_err(RunError::io("temporary directory"))?;
        let model = ServiceModel::warm(2, 50.0, 4096);
        let mut nodes = Vec::new();
        for i in 0..NODES {
            let target = node_target(i);
            let node = Node::start(
                i.into(),
                address(1 + i),
                &target,
                model.clone(),
                Trace::disabled(),
                options.seed,
            );
            nodes.push(node.map_err(RunError::io("node stand-in"))?);
        }
        let file = dir.path().join("conf");
        std::fs::write(&file, config_text(options, dir.path()))
            .map_err(RunError::io("configuration"))?;
        let catalog = KilledOnDrop::start(program, &["catalog", "--log", "warn"], &file)?;
        wait_for_answer(&dir.path().join("catalog.sock"), "list")?;
        let host = KilledOnDrop::start(program, &["run", "--log", "warn"], &file)?;
        wait_for_answer(&dir.path().join("gw.sock"), "status")?;
        Ok(Site {
            dir,
            host_address: address(101),
            _host: host,
            _catalog: catalog,
            _nodes: nodes,
        })
    }

    fn catalog_socket(&self) -> PathBuf {
        self.dir.path().join("catalog.sock")
    }
}

fn node_target(i: u8) -> String {
    format!("iqn.2026-12.example.lab:node{i}")
}

fn config_text(options: &Options, dir: &Path) -> String {
    let dir = dir.display();
    let mut text = format!(
        "host gw0\n  listen {}\n  target {TARGET}\n  control \"{dir}/gw.sock\"\n  node-list static\n  window 64\n  \
         connections 40\n  longest 1MiB\n  seed {}\nfleet\n  hosts 1\n  unit 4KiB\n  mean-units 4\n  \
         largest-units 64\n  submits 3\ncatalog\n  listen {}\n  store \"{dir}/store\"\n  control \
         \"{dir}/catalog.sock\"\n  extent {EXTENT_BLOCKS}\n  copies copy\nplan free\n  reserve 99999/s\ngroup all\n  \
         effect idempotent\n  goal 2s\n  hard-limit 4s\ngroup copy\n  effect idempotent\n  goal 1s\n  \
         hard-limit 2s\n  gain 2\nvolume a\n  lun 0\n  plan free\n  blocks {}\n  block-size 512B\n  hosts 1\n  \
         mapped\n  rule any all\n",
        address(101),
        options.seed,
        address(102),
        EXTENT_BLOCKS * EXTENTS,
    );
    for i in 0..NODES {
        writeln!(
            text,
            "node node{i}\n  address {}\n  target {}",
            address(1 + i),
            node_target(i)
        )
        .expect("writing to a string does not fail");
    }
    text
}

fn wait_for_answer(socket: &Path, request: &str) -> Result<(), RunError> {
    let began = Instant::now();
    while send_request(socket, request).is_err() {
        if began.elapsed() > START_TIMEOUT {
            return Err(RunError::ControlSocketTimeout(socket.to_owned()));
        }
        std::thread::sleep(START_POLL_INTERVAL);
    }
    Ok(())
}

fn take_snapshot(socket: &Path, number: u32) -> Result<(), RunError> {
    send_request(socket, &format!("snapshot a s{number}"))?;
    Ok(())
}

/// Completed command. Its times are relative to the start of its phase.
struct Completed {
    sent: Duration,
    latency: Duration,
    extent: u64,
}

/// Snapshot taken under load. Its times are relative to the start of its phase.
struct LoadedSnapshot {
    requested: Duration,
    granted: Duration,
}

impl LoadedSnapshot {
    fn is_near(&self, sent: Duration) -> bool {
        sent + NEAR_SNAPSHOT >= self.requested && sent <= self.granted + NEAR_SNAPSHOT
    }
}

/// Runs the measurements over sockets and returns their table.
pub(super) fn measure(options: &Options, program: &Program) -> Result<String, RunError> {
    let site = Site::start(options, program)?;
    let socket = site.catalog_socket();
    let mut client = BlockingClient::open(site.host_address, Some(TARGET), 1)?;
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    let mut out = format!(
        "on sockets: a volume of {EXTENTS} extents of {} KiB on {NODES} nodes, 4 KiB writes, {} in flight; ms\n",
        EXTENT_BLOCKS / 2,
        options.depth
    );
    let columns =
        ["commands", "median", "p99", "longest", "cuts"].map(|name| format!("{name:>10}"));
    writeln!(out, "{:<28}{}", "", columns.concat()).expect("writing to a string does not fail");
    let mut snapshots_taken = 0;
    for count in &options.snapshots {
        // Places every extent, and writes to one extent after each snapshot.
        write_each_extent(&mut client)?;
        while snapshots_taken < *count {
            take_snapshot(&socket, snapshots_taken)?;
            snapshots_taken += 1;
            write_block(&mut client, rng.random_range(0..EXTENTS) * EXTENT_BLOCKS)?;
        }
        write_each_extent(&mut client)?;
        let writes = drive(&mut client, options, true, &mut rng, Instant::now())?;
        let reads = drive(&mut client, options, false, &mut rng, Instant::now())?;
        let first_snapshot = FIRST_LOADED_SNAPSHOT + snapshots_taken * SNAPSHOTS_PER_MEASUREMENT;
        let (writes_under_snapshots, snapshots) =
            drive_with_snapshots(&mut client, options, &mut rng, &socket, first_snapshot)?;
        let split = LatenciesAroundSnapshots::split(&writes_under_snapshots, &snapshots);
        snapshots_taken += snapshots.len() as u32;
        let latencies =
            |commands: &[Completed]| commands.iter().map(|c| c.latency).collect::<Vec<_>>();
        out += &row(
            &format!("behind {count}: reads, no cuts"),
            &latencies(&reads),
            0,
        );
        out += &row("  writes, no cuts", &latencies(&writes), 0);
        out += &row(
            "  writes 20 ms around cuts",
            &split.near_snapshots,
            snapshots.len(),
        );
        out += &row(
            "  first writes after cuts",
            &split.first_writes,
            snapshots.len(),
        );
        out += &row("  other writes", &split.others, snapshots.len());
    }
    Ok(out)
}

/// Latencies of writes, by their relation to snapshots.
#[derive(Default)]
struct LatenciesAroundSnapshots {
    /// First writes to an extent after a snapshot, which copy the extent.
    first_writes: Vec<Duration>,
    /// Other writes near a snapshot.
    near_snapshots: Vec<Duration>,
    /// All other writes.
    others: Vec<Duration>,
}

impl LatenciesAroundSnapshots {
    fn split(writes: &[Completed], snapshots: &[LoadedSnapshot]) -> Self {
        let mut split = LatenciesAroundSnapshots::default();
        // Pairs of the number of snapshots requested before a write and the extent written.
        let mut written = BTreeSet::new();
        for write in writes {
            let snapshots_before = snapshots
                .iter()
                .filter(|snapshot| snapshot.requested <= write.sent)
                .count();
            if snapshots_before > 0 && written.insert((snapshots_before, write.extent)) {
                split.first_writes.push(write.latency);
            } else if snapshots
                .iter()
                .any(|snapshot| snapshot.is_near(write.sent))
            {
                split.near_snapshots.push(write.latency);
            } else {
                split.others.push(write.latency);
            }
        }
        split
    }
}

fn row(name: &str, latencies: &[Duration], snapshots: usize) -> String {
    let mut histogram = latency_histogram();
    for latency in latencies {
        histogram.saturating_record(latency.as_nanos() as u64);
    }
    let ms = |ns: u64| ns as f64 / 1e6;
    let [median, p99] = [0.5, 0.99].map(|quantile| ms(histogram.value_at_quantile(quantile)));
    let longest = ms(histogram.max());
    let commands = latencies.len();
    format!("{name:<28}{commands:>10}{median:>10.2}{p99:>10.2}{longest:>10.2}{snapshots:>10}\n")
}

/// Drives writes for one phase while another thread takes one snapshot after another.
fn drive_with_snapshots(
    client: &mut BlockingClient,
    options: &Options,
    rng: &mut Pcg64Mcg,
    socket: &Path,
    first_snapshot: u32,
) -> Result<(Vec<Completed>, Vec<LoadedSnapshot>), RunError> {
    let is_over = AtomicBool::new(false);
    let began = Instant::now();
    std::thread::scope(|scope| {
        let snapshot_thread = scope.spawn(|| -> Result<Vec<LoadedSnapshot>, RunError> {
            let mut snapshots = Vec::new();
            for number in first_snapshot.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                std::thread::sleep(Duration::from_millis(options.every));
                let requested = began.elapsed();
                take_snapshot(socket, number)?;
                snapshots.push(LoadedSnapshot {
                    requested,
                    granted: began.elapsed(),
                });
            }
            Ok(snapshots)
        });
        let completed = drive(client, options, true, rng, began);
        is_over.store(true, Ordering::Relaxed);
        let snapshots = snapshot_thread
            .join()
            .map_err(|_| RunError::ThreadPanicked("snapshot thread"))??;
        Ok((completed?, snapshots))
    })
}

fn write_each_extent(client: &mut BlockingClient) -> Result<(), RunError> {
    (0..EXTENTS).try_for_each(|extent| write_block(client, extent * EXTENT_BLOCKS))
}

fn write_block(client: &mut BlockingClient, lba: u64) -> Result<(), RunError> {
    let cdb = scsi::read_or_write_16(true, lba, BLOCKS, 0);
    let answer = client.execute(0, &cdb, 0, block::write(1, lba, BLOCKS))?;
    if answer.status == status::GOOD {
        Ok(())
    } else {
        Err(RunError::CommandFailed {
            status: answer.status,
            sense: answer.sense,
        })
    }
}

/// Command in flight.
#[derive(Clone, Copy)]
struct InFlight {
    sent: Duration,
    extent: u64,
}

/// Keeps writes or reads in flight during one phase, and returns the completed commands.
fn drive(
    client: &mut BlockingClient,
    options: &Options,
    write: bool,
    rng: &mut Pcg64Mcg,
    began: Instant,
) -> Result<Vec<Completed>, RunError> {
    // Indexed by tag.
    let mut in_flight: Vec<Option<InFlight>> = vec![None; options.depth];
    let mut completed = Vec::new();
    loop {
        let is_over = began.elapsed() >= Duration::from_secs(options.seconds);
        for (tag, slot) in in_flight.iter_mut().enumerate() {
            if slot.is_none() && !is_over && client.conn.can_send() {
                let extent = send_random(client, tag as u32, write, rng);
                let sent = began.elapsed();
                *slot = Some(InFlight { sent, extent });
            }
        }
        if is_over && in_flight.iter().all(Option::is_none) {
            return Ok(completed);
        }
        client.exchange()?;
        completed.extend(take_completed(client, &mut in_flight, began)?);
    }
}

/// Returns the commands that have completed. A status other than GOOD is an error.
fn take_completed(
    client: &mut BlockingClient,
    in_flight: &mut [Option<InFlight>],
    began: Instant,
) -> Result<Vec<Completed>, RunError> {
    let mut completed = Vec::new();
    while let Some(event) = client.conn.next_event() {
        let InitiatorEvent::CommandCompleted {
            tag, status, sense, ..
        } = event
        else {
            continue;
        };
        if status != status::GOOD {
            return Err(RunError::CommandFailed { status, sense });
        }
        if let Some(InFlight { sent, extent }) = in_flight[tag as usize].take() {
            completed.push(Completed {
                sent,
                latency: began.elapsed().saturating_sub(sent),
                extent,
            });
        }
    }
    Ok(completed)
}

/// Sends a command for random blocks, and returns the extent that contains them.
fn send_random(client: &mut BlockingClient, tag: u32, write: bool, rng: &mut Pcg64Mcg) -> u64 {
    let lba = rng.random_range(0..EXTENT_BLOCKS * EXTENTS / u64::from(BLOCKS)) * u64::from(BLOCKS);
    send_command(client, tag, lba, write.then_some(WRITE_ID));
    lba / EXTENT_BLOCKS
}
