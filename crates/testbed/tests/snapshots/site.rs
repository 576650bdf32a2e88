//! A snapshot catalog with hosts and nodes.
use mallowseam_audit::block;
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Trace;
use mallowseam_control_protocol::send_request;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::scsi::status;
use mallowseam_stand_ins::node::Node;
use mallowseam_testbed::blocking_client::Answer;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

pub(crate) const TARGET: &str = "iqn.t:gateway";

pub(crate) const EXTENT: u64 = 32;

pub(crate) struct Site {
    pub(crate) dir: tempfile::TempDir,
    pub(crate) catalog: Option<Child>,
    pub(crate) hosts: Vec<Child>,
    pub(crate) host_addresses: Vec<SocketAddr>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) node_addresses: Vec<SocketAddr>,
    pub(crate) crashes: u32,
}

impl Site {
    pub(crate) fn new() -> Site {
        Site::with(2, None)
    }

    /// Starts this many hosts and a catalog that aborts at a step.
    pub(crate) fn with(hosts: usize, crash_at: Option<u64>) -> Site {
        static NEXT: AtomicU16 = AtomicU16::new(0);
        let (pid, run) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let (last, port) = ((run % 20 * 10 + 10) as u8, 3260 + run / 20);
        let address = |n| {
            SocketAddr::from((
                [127, 180 + (pid >> 8) as u8 % 30, pid as u8, last + n],
                port,
            ))
        };
        let model = ServiceModel::warm(4, 50.0, 64);
        let node = |n: u8| {
            let target = format!("iqn.t:node{n}");
            Node::start(
                n.into(),
                address(n),
                &target,
                model.clone(),
                Trace::disabled(),
                1,
            )
            .expect("a node")
        };
        let dir = tempfile::tempdir().expect("a directory");
        let host_addresses = vec![address(5), address(6)];
        for (i, host) in host_addresses.iter().enumerate() {
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
                writeln!(
                    text,
                    "node node{n}\n  address {}\n  target iqn.t:node{n}",
                    address(n)
                )
                .expect("writing to memory");
            }
            if crash_at.is_some() {
                // Space is reclaimed after the longest deadline.
                text = text
                    .replace("hard-limit 4s", "hard-limit 2100ms")
                    .replace("hard-limit 3s", "hard-limit 2100ms");
            }
            std::fs::write(dir.path().join(format!("conf{i}")), text).expect("a file");
        }
        let nodes = (0..3).map(node).collect();
        let node_addresses = (0..3).map(address).collect();
        let mut site = Site {
            dir,
            catalog: None,
            hosts: Vec::new(),
            host_addresses,
            nodes,
            node_addresses,
            crashes: 0,
        };
        site.start_catalog_crashing(crash_at);
        for i in 0..hosts {
            site.hosts.push(site.start(
                &["run", "--log", "error"],
                i,
                &format!("gw{i}.sock"),
                "status",
            ));
        }
        site
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    pub(crate) fn start(&self, what: &[&str], conf: usize, sock: &str, asked: &str) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-testbed"));
        command
            .arg("host")
            .args(what)
            .arg(self.path(&format!("conf{conf}")));
        let child = command
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("a process");
        let began = Instant::now();
        let mut child = child;
        while send_request(&self.path(sock), asked).is_err() {
            if !matches!(child.try_wait(), Ok(None))
                && what.iter().any(|w| w.starts_with("--die-at"))
            {
                break;
            }
            assert!(
                began.elapsed() < Duration::from_secs(10),
                "{what:?} does not start"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
        child
    }

    pub(crate) fn start_catalog(&mut self) {
        self.start_catalog_crashing(None);
    }

    pub(crate) fn start_catalog_crashing(&mut self, at: Option<u64>) {
        let at = at.map_or("--log=error".into(), |n| format!("--die-at={n}"));
        self.catalog = Some(self.start(&["catalog", &at], 0, "catalog.sock", "list"));
    }

    /// Starts the catalog again if it has crashed; whether it had.
    pub(crate) fn restart_crashed(&mut self) -> bool {
        let died = self
            .catalog
            .as_mut()
            .is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
        if died {
            self.crashes += 1;
            self.start_catalog();
        }
        died
    }

    pub(crate) fn kill_catalog(&mut self) {
        let mut child = self.catalog.take().expect("it runs");
        child.kill().expect("a child");
        child.wait().expect("a child");
    }

    pub(crate) fn request(&self, line: &str) -> Result<String, String> {
        send_request(&self.path("catalog.sock"), line).map_err(|e| e.to_string())
    }

    /// Takes a snapshot, or makes a clone; its LUN.
    pub(crate) fn request_lun(&self, line: &str) -> u32 {
        let told = self.request(line).expect(line);
        told.rsplit(' ')
            .next()
            .and_then(|n| n.parse().ok())
            .expect("a LUN")
    }

    /// The list of the catalog, which is started again if it has crashed.
    pub(crate) fn list(&mut self) -> String {
        let began = Instant::now();
        loop {
            self.restart_crashed();
            match self.request("list") {
                Ok(list) => return list,
                Err(why) => assert!(began.elapsed() < Duration::from_secs(5), "{why}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Extent locations of the catalog's tree; none while it does not answer.
    pub(crate) fn location_count(&self) -> usize {
        let Ok(text) = self.request("tree") else {
            return 0;
        };
        let tree: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        let layers = tree["layers"].as_object().expect("layers");
        layers
            .values()
            .map(|l| l["places"].as_object().map_or(0, serde_json::Map::len))
            .sum()
    }

    pub(crate) fn client(&self, host: usize) -> BlockingClient {
        BlockingClient::open(self.host_addresses[host], Some(TARGET), host as u32).expect("a login")
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.hosts.iter_mut().chain(&mut self.catalog) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

pub(crate) fn write(
    client: &mut BlockingClient,
    lun: u32,
    id: u64,
    lba: u64,
    blocks: u32,
) -> Answer {
    client
        .execute(
            lun,
            &scsi::read_or_write_16(true, lba, blocks, 0),
            0,
            block::write(id, lba, blocks),
        )
        .expect("an answer")
}

pub(crate) fn write_good(client: &mut BlockingClient, lun: u32, id: u64, lba: u64, blocks: u32) {
    let answer = write(client, lun, id, lba, blocks);
    assert_eq!(answer.status, status::GOOD, "{:?}", answer.sense);
}

/// Per block the id of the write it shows.
pub(crate) fn read_ids(client: &mut BlockingClient, lun: u32, lba: u64, blocks: u32) -> Vec<u64> {
    let room = blocks as usize * 512;
    let answer = client
        .execute(
            lun,
            &scsi::read_or_write_16(false, lba, blocks, 0),
            room,
            vec![],
        )
        .expect("an answer");
    assert_eq!(answer.status, status::GOOD, "{:?}", answer.sense);
    let shown = answer.data.chunks(512).enumerate();
    shown
        .map(|(i, b)| block::read(b, lba + i as u64).expect("a whole write"))
        .collect()
}

impl Site {
    /// Runs the program with the first host's configuration; its exit code and what it printed.
    pub(crate) fn run(&self, what: &[&str], rest: &[&str]) -> (i32, String) {
        let conf = self.path("conf0").display().to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-testbed"));
        let output = command
            .arg("host")
            .args(what)
            .arg(conf)
            .args(rest)
            .output()
            .expect("a run");
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code().unwrap_or(-1),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }
}
