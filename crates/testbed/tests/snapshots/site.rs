//! Snapshot catalog with hosts and stand-in nodes.
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

/// iSCSI target name of the hosts.
pub(crate) const TARGET: &str = "iqn.t:gateway";

/// Number of blocks of an extent.
pub(crate) const EXTENT: u64 = 32;

/// Processes and nodes of one test.
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

    /// Starts `hosts` hosts, and a catalog that aborts at step `crash_at`, if there is one.
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
            .expect("cannot start the stand-in node")
        };
        let dir = tempfile::tempdir().expect("cannot create a temporary directory");
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
                .expect("writing to a string does not fail");
            }
            if crash_at.is_some() {
                // Space is reclaimed after the longest deadline, which is shortened here.
                text = text
                    .replace("hard-limit 4s", "hard-limit 2100ms")
                    .replace("hard-limit 3s", "hard-limit 2100ms");
            }
            std::fs::write(dir.path().join(format!("conf{i}")), text)
                .expect("cannot write the file");
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

    /// Starts a process with a subcommand, and waits until it answers a request on its control socket, or has ended if
    /// it is to abort.
    pub(crate) fn start(&self, args: &[&str], conf: usize, socket: &str, request: &str) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-testbed"));
        command
            .arg("host")
            .args(args)
            .arg(self.path(&format!("conf{conf}")));
        let child = command
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start the process");
        let began = Instant::now();
        let mut child = child;
        while send_request(&self.path(socket), request).is_err() {
            if !matches!(child.try_wait(), Ok(None))
                && args.iter().any(|w| w.starts_with("--die-at"))
            {
                break;
            }
            assert!(
                began.elapsed() < Duration::from_secs(10),
                "{args:?} did not answer within 10 s"
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

    /// Starts the catalog again if it has crashed. Returns whether it had.
    pub(crate) fn restart_crashed(&mut self) -> bool {
        let crashed = self
            .catalog
            .as_mut()
            .is_some_and(|c| !matches!(c.try_wait(), Ok(None)));
        if crashed {
            self.crashes += 1;
            self.start_catalog();
        }
        crashed
    }

    pub(crate) fn kill_catalog(&mut self) {
        let mut child = self.catalog.take().expect("process is not running");
        child.kill().expect("cannot kill the process");
        child.wait().expect("cannot wait for the process");
    }

    pub(crate) fn request(&self, line: &str) -> Result<String, String> {
        send_request(&self.path("catalog.sock"), line).map_err(|e| e.to_string())
    }

    /// Takes a snapshot or makes a clone, and returns its LUN.
    pub(crate) fn request_lun(&self, line: &str) -> u32 {
        let answer = self.request(line).expect(line);
        answer
            .rsplit(' ')
            .next()
            .and_then(|n| n.parse().ok())
            .expect("no logical unit number in the answer")
    }

    /// Returns the catalog's list. If the catalog has crashed, it is started again.
    pub(crate) fn list(&mut self) -> String {
        let began = Instant::now();
        loop {
            self.restart_crashed();
            match self.request("list") {
                Ok(list) => return list,
                Err(error) => assert!(began.elapsed() < Duration::from_secs(5), "{error}"),
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns the number of extent locations in the catalog's tree, or 0 while the catalog does not answer.
    pub(crate) fn location_count(&self) -> usize {
        let Ok(text) = self.request("tree") else {
            return 0;
        };
        let tree: serde_json::Value = serde_json::from_str(&text).expect("invalid JSON");
        let layers = tree["layers"].as_object().expect("tree has no layers");
        layers
            .values()
            .map(|l| l["places"].as_object().map_or(0, serde_json::Map::len))
            .sum()
    }

    pub(crate) fn client(&self, host: usize) -> BlockingClient {
        BlockingClient::open(self.host_addresses[host], Some(TARGET), host as u32)
            .expect("cannot log in")
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
        .expect("no answer to the request")
}

pub(crate) fn write_good(client: &mut BlockingClient, lun: u32, id: u64, lba: u64, blocks: u32) {
    let answer = write(client, lun, id, lba, blocks);
    assert_eq!(answer.status, status::GOOD, "{:?}", answer.sense);
}

/// Reads blocks, and returns the id of the write that each of them shows.
pub(crate) fn read_ids(client: &mut BlockingClient, lun: u32, lba: u64, blocks: u32) -> Vec<u64> {
    let read_len = blocks as usize * 512;
    let answer = client
        .execute(
            lun,
            &scsi::read_or_write_16(false, lba, blocks, 0),
            read_len,
            vec![],
        )
        .expect("no answer to the request");
    assert_eq!(answer.status, status::GOOD, "{:?}", answer.sense);
    let shown = answer.data.chunks(512).enumerate();
    shown
        .map(|(i, b)| block::read(b, lba + i as u64).expect("block is corrupt"))
        .collect()
}

impl Site {
    /// Runs a subcommand with the first host's configuration, and returns its exit code and output.
    pub(crate) fn run(&self, subcommand: &[&str], rest: &[&str]) -> (i32, String) {
        let conf = self.path("conf0").display().to_string();
        let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-testbed"));
        let output = command
            .arg("host")
            .args(subcommand)
            .arg(conf)
            .args(rest)
            .output()
            .expect("cannot run the program");
        let text = [output.stdout, output.stderr].concat();
        (
            output.status.code().unwrap_or(-1),
            String::from_utf8_lossy(&text).into_owned(),
        )
    }
}
