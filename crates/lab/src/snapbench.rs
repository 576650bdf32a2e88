//! What snapshots cost: writes round cuts, first writes and reads behind few and many snapshots on sockets, and
//! the catalog at sizes that need no sockets.
use crate::bench::{Running, median};
use crate::block;
use crate::blocking_client::BlockingClient;
use crate::node::{Model, Node};
use crate::rehearse::Program;
use crate::trace::Trace;
use hdrhistogram::Histogram;
use mallowseam_cow::messages::{ToHost, full_tree_messages};
use mallowseam_cow::tree::{Change, Location};
use mallowseam_cow::tree_replica::TreeReplica;
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::scsi::{self, status};
use mallowseam_snapshot_catalog::Catalog;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const TARGET: &str = "iqn.2026-12.example.lab:gateway";
/// Blocks of one write (4 KiB), of one extent (128 KiB), and extents of the volume on sockets.
const BLOCKS: u32 = 8;
const EXTENT: u64 = 256;
const EXTENTS: u64 = 64;
const NODES: u8 = 3;
/// A volume of 1 TiB in extents of 1 MiB.
const TERA: u32 = 1 << 20;

#[derive(clap::Args, Clone, Debug)]
pub struct Options {
    /// Snapshots behind which the volume stands, one measurement for each
    #[arg(long, value_delimiter = ',', default_value = "1,10,1000")]
    snapshots: Vec<u32>,
    /// Seconds of each phase
    #[arg(long, default_value_t = 3)]
    seconds: u64,
    /// Milliseconds between two cuts
    #[arg(long, default_value_t = 300)]
    every: u64,
    /// Writes under way at once
    #[arg(long, default_value_t = 4)]
    depth: usize,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Runs both parts; their tables. Errors: what could not be started or came back wrong.
pub fn run(options: &Options, program: &Program) -> Result<String, String> {
    let mut out = String::new();
    sockets(options, program, &mut out)?;
    for snapshots in &options.snapshots {
        sparse(*snapshots, &mut out)?;
    }
    million(&mut out)?;
    Ok(out)
}

struct Rig {
    dir: tempfile::TempDir,
    host_at: SocketAddr,
    // Ended in this order.
    _host: Running,
    _catalog: Running,
    _nodes: Vec<Node>,
}

impl Rig {
    fn start(options: &Options, program: &Program) -> Result<Rig, String> {
        let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
        let n = std::process::id();
        let address = |last| SocketAddr::from(([127, 16 + (n >> 8) as u8 % 200, n as u8, last], 3260));
        let model = Model::quick(2, 50.0, 4096);
        let mut nodes = Vec::new();
        let d = dir.path().display();
        let mut text = format!(
            "host gw0\n  listen {}\n  target {TARGET}\n  control \"{d}/gw.sock\"\n  node-list static\n  window 64\n  \
             connections 40\n  longest 1MiB\n  seed {}\nfleet\n  hosts 1\n  unit 4KiB\n  mean-units 4\n  \
             largest-units 64\n  submits 3\ncatalog\n  listen {}\n  store \"{d}/store\"\n  control \
             \"{d}/catalog.sock\"\n  extent {EXTENT}\n  copies copy\nplan free\n  reserve 99999/s\ngroup all\n  \
             effect idempotent\n  goal 2s\n  hard-limit 4s\ngroup copy\n  effect idempotent\n  goal 1s\n  \
             hard-limit 2s\n  gain 2\nvolume a\n  lun 0\n  plan free\n  blocks {}\n  block-size 512B\n  hosts 1\n  \
             mapped\n  rule any all\n",
            address(101),
            options.seed,
            address(102),
            EXTENT * EXTENTS,
        );
        for i in 0..NODES {
            let target = format!("iqn.2026-12.example.lab:node{i}");
            let at = address(1 + i);
            let node = Node::start(i.into(), at, &target, model.clone(), Trace::off(), options.seed);
            nodes.push(node.map_err(|e| e.to_string())?);
            text += &format!("node node{i}\n  address {at}\n  target {target}\n");
        }
        let file = dir.path().join("conf");
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        let catalog = Running::start(program, &["catalog", "--log", "warn"], &file)?;
        up(&dir.path().join("catalog.sock"), "list")?;
        let host = Running::start(program, &["run", "--log", "warn"], &file)?;
        up(&dir.path().join("gw.sock"), "status")?;
        Ok(Rig { dir, host_at: address(101), _catalog: catalog, _host: host, _nodes: nodes })
    }

    fn control(&self) -> PathBuf {
        self.dir.path().join("catalog.sock")
    }
}

fn up(control: &Path, asked: &str) -> Result<(), String> {
    let began = Instant::now();
    while mallowseam_gateway::send_request(control, asked).is_err() {
        if began.elapsed() > Duration::from_secs(10) {
            return Err(format!("{} does not answer", control.display()));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

fn snapshot(control: &Path, name: u32) -> Result<(), String> {
    mallowseam_gateway::send_request(control, &format!("snapshot a s{name}"))
        .map(drop)
        .map_err(|e| e.to_string())
}

/// One command as it went: sent and ended after the start, where.
struct Gone {
    sent: Duration,
    wait: Duration,
    extent: u64,
}

fn sockets(options: &Options, program: &Program, out: &mut String) -> Result<(), String> {
    let rig = Rig::start(options, program)?;
    let control = rig.control();
    let mut client = BlockingClient::open(rig.host_at, Some(TARGET), 1).map_err(|e| e.to_string())?;
    let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
    writeln!(
        out,
        "on sockets: a volume of {EXTENTS} extents of {} KiB on {NODES} nodes, 4 KiB writes, {} under way; ms",
        EXTENT / 2,
        options.depth
    )
    .expect("memory");
    writeln!(out, "{:<28}{:>10}{:>10}{:>10}{:>10}{:>10}", "", "commands", "median", "p99", "longest", "cuts")
        .expect("memory");
    let mut taken = 0;
    for wanted in &options.snapshots {
        // Every extent has its place, and between two snapshots one of them is written.
        for extent in 0..EXTENTS {
            one(&mut client, extent * EXTENT)?;
        }
        while taken < *wanted {
            snapshot(&control, taken)?;
            taken += 1;
            one(&mut client, rng.random_range(0..EXTENTS) * EXTENT)?;
        }
        for extent in 0..EXTENTS {
            one(&mut client, extent * EXTENT)?;
        }
        let stop = AtomicBool::new(true);
        let cuts = Mutex::new(Vec::new());
        let still = drive(&mut client, options, true, &mut rng, &Instant::now())?;
        let reads = drive(&mut client, options, false, &mut rng, &Instant::now())?;
        stop.store(false, Ordering::Relaxed);
        let began = Instant::now();
        let cut = std::thread::scope(|scope| -> Result<Vec<Gone>, String> {
            let cutter = scope.spawn(|| -> Result<(), String> {
                let mut name = 100_000 + taken * 1_000;
                while !stop.load(Ordering::Relaxed) {
                    std::thread::sleep(Duration::from_millis(options.every));
                    let asked = began.elapsed();
                    snapshot(&control, name)?;
                    cuts.lock().expect("no panic").push((asked, began.elapsed()));
                    name += 1;
                }
                Ok(())
            });
            let gone = drive(&mut client, options, true, &mut rng, &began);
            stop.store(true, Ordering::Relaxed);
            cutter.join().map_err(|_| "the cutter failed")??;
            gone
        })?;
        let cuts = cuts.into_inner().expect("no panic");
        let mut seen = BTreeSet::new();
        let (mut first, mut round, mut rest) = (Vec::new(), Vec::new(), Vec::new());
        for gone in &cut {
            let before = cuts.iter().filter(|c| c.0 <= gone.sent).count();
            let near = |c: &(Duration, Duration)| {
                gone.sent + Duration::from_millis(20) >= c.0 && gone.sent <= c.1 + Duration::from_millis(20)
            };
            if before > 0 && seen.insert((before, gone.extent)) {
                first.push(gone.wait);
            } else if cuts.iter().any(near) {
                round.push(gone.wait);
            } else {
                rest.push(gone.wait);
            }
        }
        taken += cuts.len() as u32;
        let mut line = |what: &str, waits: &[Duration], cuts: usize| {
            let mut h = Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3).expect("sound bounds");
            waits.iter().for_each(|w| h.saturating_record(w.as_nanos() as u64));
            let ms = |v: u64| v as f64 / 1e6;
            let [median, p99] = [0.5, 0.99].map(|q| ms(h.value_at_quantile(q)));
            let longest = ms(h.max());
            writeln!(out, "{what:<28}{:>10}{median:>10.2}{p99:>10.2}{longest:>10.2}{cuts:>10}", waits.len())
                .expect("memory");
        };
        let waits = |gone: &[Gone]| gone.iter().map(|g| g.wait).collect::<Vec<_>>();
        line(&format!("behind {wanted}: reads, no cuts"), &waits(&reads), 0);
        line("  writes, no cuts", &waits(&still), 0);
        line("  writes 20 ms round cuts", &round, cuts.len());
        line("  first writes after cuts", &first, cuts.len());
        line("  other writes", &rest, cuts.len());
    }
    Ok(())
}

fn one(client: &mut BlockingClient, lba: u64) -> Result<(), String> {
    let answer = client
        .execute(0, &scsi::read_or_write_16(true, lba, BLOCKS, 0), 0, block::write(1, lba, BLOCKS))
        .map_err(|e| e.to_string())?;
    if answer.status == status::GOOD { Ok(()) } else { Err(format!("a write came back {:?}", answer.sense)) }
}

/// Keeps so many writes, or reads, under way for the seconds of a phase.
fn drive(
    client: &mut BlockingClient,
    options: &Options,
    write: bool,
    rng: &mut Pcg64Mcg,
    began: &Instant,
) -> Result<Vec<Gone>, String> {
    let mut out: Vec<Option<(Duration, u64)>> = vec![None; options.depth];
    let mut gone = Vec::new();
    loop {
        let over = began.elapsed() >= Duration::from_secs(options.seconds);
        for (tag, place) in out.iter_mut().enumerate() {
            if place.is_none() && !over && client.conn.can_send() {
                let lba = rng.random_range(0..EXTENT * EXTENTS / u64::from(BLOCKS)) * u64::from(BLOCKS);
                let (data, room) = if write {
                    (block::write(2, lba, BLOCKS), 0)
                } else {
                    (Vec::new(), BLOCKS as usize * block::SIZE)
                };
                client.conn.send_command(
                    tag as u32,
                    0,
                    &scsi::read_or_write_16(write, lba, BLOCKS, 0),
                    room,
                    data.into(),
                );
                *place = Some((began.elapsed(), lba / EXTENT));
            }
        }
        if over && out.iter().all(Option::is_none) {
            return Ok(gone);
        }
        client.exchange().map_err(|e| e.to_string())?;
        while let Some(came) = client.conn.next_event() {
            let InitiatorEvent::CommandCompleted { tag, status: code, .. } = came else { continue };
            if code != status::GOOD {
                return Err("a command was turned away".into());
            }
            if let Some((sent, extent)) = out[tag as usize].take() {
                gone.push(Gone { sent, wait: began.elapsed().saturating_sub(sent), extent });
            }
        }
    }
}

fn store(dir: &Path) -> Result<Catalog, String> {
    Catalog::open(&dir.join("store")).map_err(|e| e.to_string())
}

fn make(catalog: &mut Catalog, change: Change) -> Result<(), String> {
    catalog.stage(change).map(drop).map_err(|r| r.to_string())
}

fn place(catalog: &mut Catalog, extent: u32) -> Result<(), String> {
    let layer = catalog.tree().branches["a"].head;
    let slot = catalog.tree().layers[&layer].next_slot;
    make(catalog, Change::SlotsAllocated { layer, first: slot, count: 1 })?;
    let location = Location { node: extent % 6, slot };
    make(catalog, Change::ExtentPlaced { layer, extent, location })?;
    make(catalog, Change::ExtentWritable { layer, extent })
}

fn cut(catalog: &mut Catalog, name: u32) -> Result<(), String> {
    let layer = catalog.tree().branches["a"].head;
    make(catalog, Change::HeadFrozen { branch: "a".into() })?;
    for (layer, node) in catalog.tree().pending_closes().collect::<Vec<_>>() {
        make(catalog, Change::LayerClosed { layer, node })?;
    }
    make(catalog, Change::SnapshotCreated { branch: "a".into(), name: format!("s{name}"), layer })
}

fn keep(catalog: &mut Catalog) -> Result<(), String> {
    catalog.commit().map(drop).map_err(|e| e.to_string())
}

/// A volume of 1 TiB of which a thousand extents are written, and a hundred again after each snapshot.
fn sparse(snapshots: u32, out: &mut String) -> Result<(), String> {
    let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
    let mut catalog = store(dir.path())?;
    make(&mut catalog, Change::BranchCreated { branch: "a".into(), extent_count: TERA })?;
    (0..1_000).try_for_each(|e| place(&mut catalog, e * 1_000))?;
    for s in 0..snapshots {
        cut(&mut catalog, s)?;
        (0..100).try_for_each(|e| place(&mut catalog, (e * 10 + s % 10) * 1_000))?;
    }
    keep(&mut catalog)?;
    let (mut cuts, mut firsts) = (Vec::new(), Vec::new());
    for s in 0..20 {
        let began = Instant::now();
        cut(&mut catalog, 1_000_000 + s)?;
        keep(&mut catalog)?;
        cuts.push(began.elapsed().as_secs_f64() * 1e3);
        let began = Instant::now();
        place(&mut catalog, s * 1_000)?;
        keep(&mut catalog)?;
        firsts.push(began.elapsed().as_secs_f64() * 1e3);
    }
    let held: usize = catalog.tree().layers.values().map(|l| l.locations.len()).sum();
    let bytes = std::fs::metadata(dir.path().join("store")).map_err(|e| e.to_string())?.len();
    drop(catalog);
    let began = Instant::now();
    let catalog = store(dir.path())?;
    let opened = began.elapsed().as_secs_f64() * 1e3;
    writeln!(
        out,
        "catalog, 1 TiB sparse, {snapshots} snapshots: {held} places, {} KiB, opened in {opened:.1} ms; kept on disk: a \
         cut in {:.2} ms, a first write in {:.2} ms (medians of 20)",
        bytes / 1024,
        median(cuts.into_iter()),
        median(firsts.into_iter())
    )
    .expect("memory");
    drop(catalog);
    Ok(())
}

/// A volume of 1 TiB written whole: what the catalog takes, and what a host takes that reads it anew.
fn million(out: &mut String) -> Result<(), String> {
    let dir = tempfile::tempdir().map_err(|e| e.to_string())?;
    let mut catalog = store(dir.path())?;
    make(&mut catalog, Change::BranchCreated { branch: "a".into(), extent_count: TERA })?;
    for e in 0..TERA {
        place(&mut catalog, e)?;
        if e % 65_536 == 65_535 {
            keep(&mut catalog)?;
        }
    }
    keep(&mut catalog)?;
    let bytes = std::fs::metadata(dir.path().join("store")).map_err(|e| e.to_string())?.len();
    drop(catalog);
    let span = |began: Instant| began.elapsed().as_secs_f64() * 1e3;
    let began = Instant::now();
    let mut catalog = store(dir.path())?;
    let opened = span(began);
    let began = Instant::now();
    cut(&mut catalog, 0)?;
    keep(&mut catalog)?;
    let cut_in = span(began);
    let lines: Vec<String> = full_tree_messages(1, catalog.tree())
        .map(|w| serde_json::to_string(&w).expect("words are plain"))
        .collect();
    let (mut cache, began, mut longest) = (TreeReplica::default(), Instant::now(), 0.0f64);
    for line in &lines {
        let at = Instant::now();
        match serde_json::from_str(line).map_err(|e| e.to_string())? {
            ToHost::FullTree { catalog_id, tree } => cache.begin_full_tree(catalog_id, *tree),
            ToHost::Locations { layer, locations } => drop(cache.add_locations(layer, &locations)),
            _ => drop(cache.finish_full_tree()),
        }
        longest = longest.max(span(at));
    }
    let read = span(began);
    let began = Instant::now();
    make(&mut catalog, Change::SnapshotDeleted { snapshot: "a@s0".into() })?;
    keep(&mut catalog)?;
    writeln!(
        out,
        "catalog, 1 TiB written whole ({TERA} places): {} MiB, opened in {opened:.0} ms; a cut kept in {cut_in:.2} ms, a \
         snapshot deleted in {:.2} ms; a host reads it anew in {read:.0} ms, {:.2} ms at most at once, {} MiB on the wire",
        bytes >> 20,
        span(began),
        longest,
        lines.iter().map(String::len).sum::<usize>() >> 20
    )
    .expect("memory");
    Ok(())
}
