//! Snapshots and clones through real processes: a catalog, two hosts, three stand-in nodes.
use mallowseam_gateway::send_request;
use mallowseam_iscsi::scsi::{self, Sense, status};
use mallowseam_lab::block;
use mallowseam_lab::blocking_client::{Answer, BlockingClient};
use mallowseam_lab::node::{Model, Node, NodeFault};
use mallowseam_lab::trace::Trace;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

const TARGET: &str = "iqn.t:gateway";
const EXTENT: u64 = 32;

struct Rig {
    dir: tempfile::TempDir,
    catalog: Option<Child>,
    hosts: Vec<Child>,
    at: Vec<SocketAddr>,
    nodes: Vec<Node>,
    nodes_at: Vec<SocketAddr>,
    deaths: u32,
}

impl Rig {
    fn new() -> Rig {
        Rig::with(2, None)
    }

    /// So many hosts; the catalog aborts at this step.
    fn with(hosts: usize, die_at: Option<u64>) -> Rig {
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let (pid, run) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let (last, port) = ((run % 20 * 10 + 10) as u8, 3260 + run / 20);
        let address = |n| SocketAddr::from(([127, 180 + (pid >> 8) as u8 % 30, pid as u8, last + n], port));
        let model = Model::quick(4, 50.0, 64);
        let node = |n: u8| {
            let target = format!("iqn.t:node{n}");
            Node::start(n.into(), address(n), &target, model.clone(), Trace::disabled(), 1).expect("a node")
        };
        let dir = tempfile::tempdir().expect("a directory");
        let at = vec![address(5), address(6)];
        for (i, host) in at.iter().enumerate() {
            let d = dir.path().display();
            let mut text = format!(
                "host gw{i}\n  listen {host}\n  target {TARGET}\n  control \"{d}/gw{i}.sock\"\n  \
                 node-list static\n  window 32\n  connections 40\n  longest 1MiB\n  seed {i}\nfleet\n  hosts 2\n  \
                 unit 4KiB\n  mean-units 2\n  largest-units 8\n  submits 3\n  come-back 500ms\n  \
                 order-rest 200ms\ncatalog\n  listen {}\n  store \"{d}/store\"\n  control \"{d}/catalog.sock\"\n  \
                 extent {EXTENT}\n  copies copy\nplan free\n  reserve 9999/s\ngroup read\n  effect idempotent\n  \
                 goal 2s\n  hard-limit 4s\n  gain 3\ngroup post\n  effect side-effecting\n  goal 2s\n  \
                 hard-limit 3s\n  gain 2\n  ordered\ngroup copy\n  effect idempotent\n  goal 1s\n  \
                 hard-limit 2s\n  gain 2\nvolume a\n  lun 0\n  plan free\n  blocks 512\n  block-size 512B\n  \
                 hosts 2\n  mapped\n  rule read read\n  rule write post key 8\n",
                address(4)
            );
            for n in 0..3 {
                text += &format!("node node{n}\n  address {}\n  target iqn.t:node{n}\n", address(n));
            }
            if die_at.is_some() {
                // Space is given back after the longest hard limit.
                text = text
                    .replace("hard-limit 4s", "hard-limit 2100ms")
                    .replace("hard-limit 3s", "hard-limit 2100ms");
            }
            std::fs::write(dir.path().join(format!("conf{i}")), text).expect("a file");
        }
        let nodes = (0..3).map(node).collect();
        let nodes_at = (0..3).map(address).collect();
        let mut rig = Rig { dir, catalog: None, hosts: Vec::new(), at, nodes, nodes_at, deaths: 0 };
        rig.catalog_dying(die_at);
        for i in 0..hosts {
            rig.hosts.push(rig.start(&["run", "--log", "error"], i, &format!("gw{i}.sock"), "status"));
        }
        rig
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn start(&self, what: &[&str], conf: usize, sock: &str, asked: &str) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-lab"));
        command.arg("host").args(what).arg(self.path(&format!("conf{conf}")));
        let child = command.stdin(Stdio::null()).stderr(Stdio::null()).spawn().expect("a process");
        let began = Instant::now();
        let mut child = child;
        while send_request(&self.path(sock), asked).is_err() {
            if !matches!(child.try_wait(), Ok(None)) && what.iter().any(|w| w.starts_with("--die-at")) {
                break;
            }
            assert!(began.elapsed() < Duration::from_secs(10), "{what:?} does not start");
            std::thread::sleep(Duration::from_millis(10));
        }
        child
    }

    fn start_catalog(&mut self) {
        self.catalog_dying(None);
    }

    fn catalog_dying(&mut self, at: Option<u64>) {
        let at = at.map(|n| format!("--die-at={n}")).unwrap_or("--log=error".into());
        self.catalog = Some(self.start(&["catalog", &at], 0, "catalog.sock", "list"));
    }

    /// Whether the catalog has died; if so it is started again.
    fn revive(&mut self) -> bool {
        let died = self.catalog.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
        if died {
            self.deaths += 1;
            self.start_catalog();
        }
        died
    }

    fn kill_catalog(&mut self) {
        let mut child = self.catalog.take().expect("it runs");
        child.kill().expect("a child");
        child.wait().expect("a child");
    }

    fn tell(&self, line: &str) -> Result<String, String> {
        send_request(&self.path("catalog.sock"), line).map_err(|e| e.to_string())
    }

    /// Takes a snapshot, or makes a clone; its LUN.
    fn unit(&self, line: &str) -> u32 {
        let told = self.tell(line).expect(line);
        told.rsplit(' ').next().and_then(|n| n.parse().ok()).expect("a LUN")
    }

    /// What the catalog lists, which is started again if it has died.
    fn list(&mut self) -> String {
        let began = Instant::now();
        loop {
            self.revive();
            match self.tell("list") {
                Ok(list) => return list,
                Err(why) => assert!(began.elapsed() < Duration::from_secs(5), "{why}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Extent locations of the catalog's tree; none while it does not answer.
    fn places(&self) -> usize {
        let Ok(text) = self.tell("tree") else { return 0 };
        let tree: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        let layers = tree["layers"].as_object().expect("layers");
        layers.values().map(|l| l["places"].as_object().map_or(0, |p| p.len())).sum()
    }

    fn client(&self, host: usize) -> BlockingClient {
        BlockingClient::open(self.at[host], Some(TARGET), host as u32).expect("a login")
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for child in self.hosts.iter_mut().chain(&mut self.catalog) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn write(client: &mut BlockingClient, lun: u32, id: u64, lba: u64, blocks: u32) -> Answer {
    client
        .execute(lun, &scsi::read_or_write_16(true, lba, blocks, 0), 0, block::write(id, lba, blocks))
        .expect("an answer")
}

fn put(client: &mut BlockingClient, lun: u32, id: u64, lba: u64, blocks: u32) {
    let answer = write(client, lun, id, lba, blocks);
    assert_eq!(answer.status, status::GOOD, "{:?}", answer.sense);
}

/// Which write each block shows.
fn show(client: &mut BlockingClient, lun: u32, lba: u64, blocks: u32) -> Vec<u64> {
    let room = blocks as usize * 512;
    let answer =
        client.execute(lun, &scsi::read_or_write_16(false, lba, blocks, 0), room, vec![]).expect("an answer");
    assert_eq!(answer.status, status::GOOD, "{:?}", answer.sense);
    let shown = answer.data.chunks(512).enumerate();
    shown.map(|(i, b)| block::read(b, lba + i as u64).expect("a whole write")).collect()
}

#[test]
fn a_snapshot_keeps_what_stood_there_and_a_clone_goes_its_own_way() {
    let rig = Rig::new();
    let (mut one, mut two) = (rig.client(0), rig.client(1));
    assert_eq!(show(&mut one, 0, 0, 64), [0; 64]);
    put(&mut one, 0, 1, 28, 8);
    assert_eq!(show(&mut two, 0, 26, 12), [0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 0, 0]);
    let march = rig.unit("snapshot a march");
    put(&mut two, 0, 2, 32, 8);
    assert_eq!(show(&mut one, 0, 28, 12), [1, 1, 1, 1, 2, 2, 2, 2, 2, 2, 2, 2]);
    let clone = rig.unit("clone a@march c");
    put(&mut one, clone, 3, 24, 8);
    for client in [&mut one, &mut two] {
        assert_eq!(show(client, march, 26, 12), [0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 0, 0]);
        assert_eq!(show(client, clone, 24, 12), [3, 3, 3, 3, 3, 3, 3, 3, 1, 1, 1, 1]);
        assert_eq!(show(client, 0, 24, 8), [0, 0, 0, 0, 1, 1, 1, 1]);
    }
    let refused = write(&mut one, march, 4, 0, 8);
    assert_eq!(refused.sense, Some(Sense::WRITE_PROTECTED));
    assert_eq!(rig.tell("diff a a@march").expect("told"), "32-63");
    assert_eq!(rig.tell("rollback a a@march").expect("told"), "a shows a@march");
    assert_eq!(show(&mut two, 0, 26, 12), [0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 0, 0]);
}

#[test]
fn whoever_writes_through_whichever_host_every_read_shows_the_last_write_through_all_cuts() {
    let rig = Rig::new();
    let mut clients = [rig.client(0), rig.client(1)];
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut stands = vec![0; 512];
    let mut kept: Vec<(u32, Vec<u64>)> = Vec::new();
    for id in 1..=400 {
        let client = &mut clients[rng.random_range(0..2)];
        let lba = rng.random_range(0..60) * 8;
        if rng.random_range(0..40) == 0 {
            let unit = rig.unit(&format!("snapshot a s{id}"));
            kept.push((unit, stands.clone()));
        }
        put(client, 0, id, lba, 8);
        stands[lba as usize..lba as usize + 8].fill(id);
        let lba = rng.random_range(0..60) * 8;
        let client = &mut clients[rng.random_range(0..2)];
        assert_eq!(show(client, 0, lba, 8), stands[lba as usize..lba as usize + 8], "before write {id}");
    }
    assert!(kept.len() > 3, "{} snapshots", kept.len());
    for (unit, stood) in kept {
        assert_eq!(show(&mut clients[0], unit, 0, 512), stood, "LUN {unit}");
    }
}

#[test]
fn a_silent_node_fails_the_snapshot_by_name_and_a_later_one_holds_it_all() {
    let rig = Rig::new();
    let mut client = rig.client(0);
    for extent in 0..8 {
        put(&mut client, 0, extent + 1, extent * EXTENT, 8);
    }
    let tree: serde_json::Value = serde_json::from_str(&rig.tell("tree").expect("told")).expect("JSON");
    let node = tree["layers"]["1024"]["places"]["0"]["node"].as_u64().expect("a place") as usize;
    rig.nodes[node].inject(NodeFault::Silent(true));
    let failed = rig.tell("snapshot a march").expect_err("a node is silent");
    assert!(failed.contains(&format!("not closed in time by node{node}")), "{failed}");
    assert!(!rig.tell("list").expect("told").contains("march"));
    rig.nodes[node].inject(NodeFault::Silent(false));
    let march = rig.unit("snapshot a march");
    for extent in 0..8 {
        assert_eq!(show(&mut client, march, extent * EXTENT, 8), [extent + 1; 8]);
        put(&mut client, 0, 100, extent * EXTENT, 8);
        assert_eq!(show(&mut client, march, extent * EXTENT, 8), [extent + 1; 8]);
    }
}

#[test]
fn a_catalog_that_is_killed_is_not_missed_and_knows_all_it_has_granted() {
    let mut rig = Rig::new();
    let mut client = rig.client(0);
    put(&mut client, 0, 1, 0, 8);
    let march = rig.unit("snapshot a march");
    put(&mut client, 0, 2, 0, 8);
    rig.kill_catalog();
    put(&mut client, 0, 3, 0, 8);
    assert_eq!(show(&mut client, 0, 0, 8), [3; 8]);
    rig.start_catalog();
    assert!(rig.tell("list").expect("told").contains("a@march"));
    assert_eq!(show(&mut client, march, 0, 8), [1; 8]);
    // A first write waits until hosts that the new catalog cannot know have lost their leases.
    let april = rig.unit("snapshot a april");
    loop {
        let answer = write(&mut client, 0, 4, 0, 8);
        if answer.status == status::GOOD {
            break;
        }
        assert_eq!(answer.status, status::BUSY);
    }
    assert_eq!((show(&mut client, april, 0, 8), show(&mut client, 0, 0, 8)), (vec![3; 8], vec![4; 8]));
}

#[test]
fn a_host_that_is_killed_holds_up_nobody_for_longer_than_its_lease() {
    let mut rig = Rig::new();
    let (mut one, mut two) = (rig.client(0), rig.client(1));
    put(&mut two, 0, 1, 0, 8);
    put(&mut one, 0, 2, 64, 8);
    rig.unit("snapshot a march");
    rig.hosts[0].kill().expect("a child");
    rig.hosts[0].wait().expect("a child");
    let began = Instant::now();
    while write(&mut two, 0, 3, 0, 8).status != status::GOOD {
        assert!(began.elapsed() < Duration::from_secs(6), "{:?}", began.elapsed());
    }
    assert_eq!(show(&mut two, 0, 0, 8), [3; 8]);
}

#[test]
fn deleted_snapshots_and_clones_give_their_space_back() {
    let rig = Rig::new();
    let mut client = rig.client(0);
    for round in 0..3 {
        for extent in 0..4 {
            put(&mut client, 0, 10 * round + extent + 1, extent * EXTENT, 8);
        }
        rig.unit(&format!("snapshot a s{round}"));
    }
    put(&mut client, 0, 99, 0, 8);
    let clone = rig.unit("clone a@s1 c");
    put(&mut client, clone, 50, 0, 8);
    assert_eq!(rig.places(), 14);
    for name in ["a@s0", "a@s1", "c", "a@s2"] {
        rig.tell(&format!("delete {name}")).expect(name);
    }
    let began = Instant::now();
    // What the volume shows: four extents, of which one has been written since.
    while rig.places() != 4 {
        assert!(began.elapsed() < Duration::from_secs(20), "{} places", rig.places());
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(show(&mut client, 0, 0, 8), [99; 8]);
    assert_eq!(show(&mut client, 0, 32, 8), [22; 8]);
}

impl Rig {
    /// Runs the program with the first host's configuration; its exit code and what it printed.
    fn run(&self, what: &[&str], rest: &[&str]) -> (i32, String) {
        let conf = self.path("conf0").display().to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-lab"));
        let output = command.arg("host").args(what).arg(conf).args(rest).output().expect("a run");
        let text = [output.stdout, output.stderr].concat();
        (output.status.code().unwrap_or(-1), String::from_utf8_lossy(&text).into_owned())
    }
}

#[test]
fn an_export_that_broke_off_goes_on_and_an_import_shows_just_that() {
    let rig = Rig::new();
    let mut client = rig.client(0);
    for extent in 0..10 {
        put(&mut client, 0, extent + 1, extent * EXTENT + 8, 8);
    }
    rig.unit("snapshot a march");
    put(&mut client, 0, 50, 8, 8);
    let to = rig.path("march.ms");
    let file = to.display().to_string();
    let export = |name: &str| rig.run(&["snapshot", "export"], &[name, &file]);
    let (code, text) = export("a@march");
    assert!(code == 0 && text.contains("10 extents written"), "{text}");
    let whole = std::fs::read(&to).expect("a file");
    assert!(export("a@march").1.contains("whole already"));
    for cut in [whole.len() - 1, whole.len() / 2, 70] {
        std::fs::write(&to, &whole[..cut]).expect("a file");
        let (code, text) = export("a@march");
        assert!(code == 0, "cut at {cut}: {text}");
        assert!(std::fs::read(&to).expect("a file") == whole, "cut at {cut}");
    }
    rig.unit("snapshot a april");
    let (code, text) = export("a@april");
    assert!(code == 1 && text.contains("holds `a@march`"), "{text}");

    let clone = rig.unit("clone a@april c");
    put(&mut client, clone, 60, 480, 8);
    let import = || rig.run(&["snapshot", "import"], &[&file, "c"]);
    let (code, text) = import();
    // Extent 0 was written again since, and the last one never before.
    assert!(code == 0 && text.contains("2 extents written"), "{text}");
    assert!(import().1.contains("0 extents written"));
    assert_eq!(show(&mut client, clone, 8, 8), [1; 8]);
    assert_eq!(show(&mut client, clone, 480, 8), [0; 8]);
    assert_eq!(show(&mut client, 0, 8, 8), [50; 8]);
    let mut bad = whole.clone();
    bad[whole.len() / 2] ^= 1;
    std::fs::write(&to, bad).expect("a file");
    let (code, text) = import();
    assert!(code == 1 && text.contains("expected data that fits its hash"), "{text}");
}

#[test]
fn verify_counts_every_reference_and_gives_back_what_has_none() {
    let mut rig = Rig::new();
    let mut client = rig.client(0);
    for extent in 0..6 {
        put(&mut client, 0, extent + 1, extent * EXTENT, 8);
    }
    rig.unit("snapshot a march");
    put(&mut client, 0, 50, 0, 8);
    let (code, text) = rig.run(&["verify"], &[]);
    assert!(code == 1 && !text.contains("places"), "the catalog runs: {text}");
    rig.kill_catalog();
    let (code, text) = rig.run(&["verify"], &[]);
    assert!(code == 0 && text.contains("places 7, of which hold data 7; leaked 0; faults 0"), "{text}");
    // What a host that died halfway through a copy leaves behind.
    let node = rig.nodes_at[1];
    let mut straight = BlockingClient::open(node, Some("iqn.t:node1"), 9).expect("a login");
    let cdb = scsi::read_or_write_16(true, 900 * EXTENT, 8, 0);
    assert_eq!(straight.execute(1025, &cdb, 0, vec![7; 4096]).expect("an answer").status, status::GOOD);
    let (code, text) = rig.run(&["verify"], &[]);
    assert!(code == 1 && text.contains("leaked: layer 1025, place 900 at node1"), "{text}");
    assert_eq!(rig.run(&["verify", "--mend"], &[]).0, 0);
    let (code, text) = rig.run(&["verify"], &[]);
    assert!(code == 0 && text.contains("leaked 0"), "{text}");
}

#[test]
fn a_full_node_takes_no_copies_and_no_write_is_lost_by_it() {
    let rig = Rig::new();
    let mut client = rig.client(0);
    for extent in 0..6 {
        put(&mut client, 0, extent + 1, extent * EXTENT, 8);
    }
    rig.unit("snapshot a march");
    rig.nodes[2].inject(NodeFault::Full(true));
    for extent in 0..12 {
        let began = Instant::now();
        while write(&mut client, 0, extent + 50, extent * EXTENT, 8).status != status::GOOD {
            assert!(began.elapsed() < Duration::from_secs(10), "extent {extent}");
        }
    }
    for extent in 0..12 {
        assert_eq!(show(&mut client, 0, extent * EXTENT, 8), [extent + 50; 8]);
    }
    let tree: serde_json::Value = serde_json::from_str(&rig.tell("tree").expect("told")).expect("JSON");
    let placed = tree["layers"]["1025"]["places"].as_object().expect("places").clone();
    assert_eq!(placed.len(), 12);
    assert!(placed.values().all(|p| p["node"] != 2), "{placed:?}");
}

#[test]
fn a_snapshot_of_a_clone_of_a_clone_shows_its_own_line_only() {
    let rig = Rig::new();
    let mut client = rig.client(1);
    put(&mut client, 0, 1, 0, 8);
    rig.unit("snapshot a s");
    let one = rig.unit("clone a@s one");
    put(&mut client, one, 2, 8, 8);
    rig.unit("snapshot one s");
    let two = rig.unit("clone one@s two");
    put(&mut client, two, 3, 16, 8);
    let kept = rig.unit("snapshot two s");
    for (lun, id) in [(0, 4), (one, 5), (two, 6)] {
        put(&mut client, lun, id, 0, 8);
    }
    let firsts = |client: &mut BlockingClient, lun| -> Vec<u64> {
        show(client, lun, 0, 24).into_iter().step_by(8).collect()
    };
    assert_eq!(firsts(&mut client, kept), [1, 2, 3]);
    assert_eq!(firsts(&mut client, two), [6, 2, 3]);
    assert_eq!(firsts(&mut client, one), [5, 2, 0]);
    assert_eq!(firsts(&mut client, 0), [4, 0, 0]);
    assert!(rig.tell("delete one").expect_err("in use").contains("one@s"));
}

#[test]
fn a_write_across_extents_is_whole_in_every_snapshot_or_not_in_it() {
    let rig = Rig::new();
    let over = std::sync::atomic::AtomicBool::new(false);
    let mut kept: Vec<(u32, [(u64, u64); 2])> = Vec::new();
    // Of each area the last write acknowledged, and the last one begun.
    let stands: [[std::sync::atomic::AtomicU64; 2]; 2] = Default::default();
    let order = Ordering::SeqCst;
    std::thread::scope(|scope| {
        for (area, [acked, begun]) in stands.iter().enumerate() {
            let (at, over) = (rig.at[area], &over);
            scope.spawn(move || {
                let mut client = BlockingClient::open(at, Some(TARGET), 20 + area as u32).expect("a login");
                let mut id = 0;
                while !over.load(order) {
                    id += 2;
                    let mine = id + area as u64;
                    begun.store(mine, order);
                    // Four extents at a time, two of them in part.
                    if write(&mut client, 0, mine, area as u64 * 256 + 16, 96).status == status::GOOD {
                        acked.store(mine, order);
                    }
                }
            });
        }
        for n in 0..25 {
            std::thread::sleep(Duration::from_millis(20));
            let before = [0, 1].map(|a: usize| stands[a][0].load(order));
            match rig.tell(&format!("snapshot a s{n}")) {
                Ok(told) => {
                    let unit = told.rsplit(' ').next().and_then(|u| u.parse().ok()).expect("a LUN");
                    let after = [0, 1].map(|a: usize| stands[a][1].load(order));
                    kept.push((unit, [(before[0], after[0]), (before[1], after[1])]));
                }
                Err(why) => assert!(why.contains("no snapshot was made"), "{why}"),
            }
        }
        over.store(true, order);
    });
    assert!(kept.len() > 15, "{} of 25", kept.len());
    let mut client = rig.client(0);
    let mut differ = std::collections::BTreeSet::new();
    for (unit, areas) in kept {
        for (area, (before, after)) in areas.into_iter().enumerate() {
            let shown = show(&mut client, unit, area as u64 * 256 + 16, 96);
            assert!(shown.iter().all(|id| *id == shown[0]), "LUN {unit}: {shown:?}");
            assert!((before..=after).contains(&shown[0]), "LUN {unit}: {} in {before}..={after}", shown[0]);
            differ.insert(shown[0]);
        }
    }
    assert!(differ.len() > 20, "{} different writes were caught", differ.len());
}

/// One volume's day with a catalog that aborts at a step: what was granted and acknowledged stands at the end,
/// whatever the operator had to ask again. False: that step was never reached.
fn a_day_with_a_death_at(step: u64) -> bool {
    let mut rig = Rig::with(1, Some(step));
    rig.revive();
    let mut client = rig.client(0);
    let mut stands = [0u64; 64];
    let mut id = 0;
    let mut write_at =
        |rig: &mut Rig, client: &mut BlockingClient, lun: u32, stands: &mut [u64; 64], lba: u64| {
            id += 1;
            let began = Instant::now();
            // Shed while the catalog is away: nothing was sent, and it is safe to try again.
            while write(client, lun, id, lba, 8).status != status::GOOD {
                assert!(began.elapsed() < Duration::from_secs(20), "step {step}: write {id} never ends");
                rig.revive();
            }
            stands[lba as usize..lba as usize + 8].fill(id);
        };
    // What an operator does whose command came to nothing: looks whether it is there, and asks again.
    let told = |rig: &mut Rig, line: &str, there: &str, not: bool| loop {
        match rig.tell(line) {
            Ok(_) => break,
            Err(why) => {
                let refused = why.contains("in use") || why.contains("no such");
                let lost = ["reset", "whole", "refused", "pipe"].iter().any(|how| why.contains(how));
                assert!(refused || lost, "step {step}: {why}");
                if rig.list().contains(there) != not {
                    break;
                }
            }
        }
    };
    let lun = |rig: &mut Rig, name: &str| {
        let list = rig.list();
        let line = list.lines().find(|l| l.starts_with(&format!("{name} "))).expect("listed");
        line.split("LUN ").nth(1).and_then(|l| l.split(' ').next()?.parse::<u32>().ok()).expect("a LUN")
    };
    for lba in [0, 28, 40] {
        write_at(&mut rig, &mut client, 0, &mut stands, lba);
    }
    told(&mut rig, "snapshot a m1", "a@m1", false);
    let first = stands;
    for lba in [8, 32] {
        write_at(&mut rig, &mut client, 0, &mut stands, lba);
    }
    told(&mut rig, "clone a@m1 c", "c  LUN", false);
    told(&mut rig, "snapshot a m2", "a@m2", false);
    let second = stands;
    write_at(&mut rig, &mut client, 0, &mut stands, 0);
    rig.revive();
    let mut cloned = first;
    let clone = lun(&mut rig, "c");
    // A host may still have to hear of the clone.
    while show_or_none(&mut client, clone).is_none() {
        rig.revive();
    }
    write_at(&mut rig, &mut client, clone, &mut cloned, 28);
    told(&mut rig, "delete a@m2", "a@m2", true);
    rig.revive();
    let (m1, none) = (lun(&mut rig, "a@m1"), !rig.list().contains("a@m2"));
    assert!(none, "step {step}: deleted");
    for (unit, wanted) in [(0, stands), (m1, first), (clone, cloned)] {
        let mut shown = show_or_none(&mut client, unit);
        while shown.is_none() {
            rig.revive();
            shown = show_or_none(&mut client, unit);
        }
        assert_eq!(shown.as_deref(), Some(&wanted[..]), "step {step}: LUN {unit}");
    }
    assert_ne!(second, first);
    // Of the deleted snapshot, the volume still shows one extent and not the other.
    let began = Instant::now();
    while rig.places() != 6 {
        assert!(began.elapsed() < Duration::from_secs(30), "step {step}: {} places", rig.places());
        std::thread::sleep(Duration::from_millis(20));
        rig.revive();
    }
    rig.kill_catalog();
    let (code, text) = rig.run(&["verify"], &[]);
    assert!(
        text.contains("places 6, of which hold data 6; leaked 0; faults 0") && code == 0,
        "{step}: {text}"
    );
    rig.deaths > 0
}

fn show_or_none(client: &mut BlockingClient, lun: u32) -> Option<Vec<u64>> {
    let answer =
        client.execute(lun, &scsi::read_or_write_16(false, 0, 64, 0), 64 * 512, vec![]).expect("an answer");
    let whole = |(i, b): (usize, &[u8])| block::read(b, i as u64).expect("a whole write");
    (answer.status == status::GOOD).then(|| answer.data.chunks(512).enumerate().map(whole).collect())
}

#[test]
fn a_catalog_that_dies_at_any_step_of_a_day_loses_nothing_and_leaks_nothing() {
    let next = std::sync::atomic::AtomicU64::new(1);
    let reached = std::sync::atomic::AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..32 {
            scope.spawn(|| {
                loop {
                    let step = next.fetch_add(1, Ordering::Relaxed);
                    if !a_day_with_a_death_at(step) {
                        return;
                    }
                    reached.fetch_max(step, Ordering::Relaxed);
                }
            });
        }
    });
    assert!(reached.load(Ordering::Relaxed) > 30, "{reached:?} steps");
}
