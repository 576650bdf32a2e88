//! Host process with two stand-in nodes.
use mallowseam_audit::block;
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Trace;
use mallowseam_control_protocol::send_request;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::scsi::status;
use mallowseam_iscsi_host::status::Status;
use mallowseam_stand_ins::node::Node;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// iSCSI target name of the host.
pub(crate) const TARGET: &str = "iqn.t:gateway";

/// Number of blocks of the volume `a`.
pub(crate) const BLOCKS: u64 = 16384;

/// Host process, nodes and files of one test.
pub(crate) struct Site {
    pub(crate) dir: tempfile::TempDir,
    pub(crate) host: Child,
    pub(crate) address: SocketAddr,
    pub(crate) nodes: Vec<Node>,
}

/// Returns a command that runs the gateway of the program built with these tests.
pub(crate) fn mallowseam(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-testbed"));
    command.arg("host").args(args).stdin(Stdio::null());
    command
}

impl Site {
    /// Starts a host and two nodes, each with about half of volume `a`. `unit_work` is the nodes' work for a unit, in
    /// microseconds.
    pub(crate) fn new(unit_work: f64) -> Site {
        Site::with(unit_work, |_, conf| conf)
    }

    /// Starts a host and two nodes like [`Site::new`], with a configuration that `change` derives from the default one
    /// and the site's directory.
    pub(crate) fn with(
        unit_work: f64,
        change: impl Fn(&std::path::Path, String) -> String,
    ) -> Site {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let (pid, run) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let address = |n| {
            SocketAddr::from((
                [127, 220 + (pid >> 8) as u8 % 30, pid as u8, run * 4 + n],
                3260,
            ))
        };
        let model = ServiceModel::warm(8, unit_work, 64);
        let node = |n: u8| {
            let target = format!("iqn.t:node{n}");
            Node::start(
                n.into(),
                address(1 + n),
                &target,
                model.clone(),
                Trace::disabled(),
                1,
            )
            .expect("cannot start the stand-in node")
        };
        let dir = tempfile::tempdir().expect("cannot create a temporary directory");
        let text = format!(
            "host gw0\n  listen {}\n  target {TARGET}\n  control \"{}\"\n  node-list static\n  window 64\n  \
             connections 40\n  longest 1MiB\n  seed 1\nfleet\n  hosts 1\n  unit 4KiB\n  mean-units 2\n  \
             largest-units 256\n  submits 3\n  come-back 500ms\n  order-rest 200ms\nplan free\n  reserve 9999/s\n\
             group read\n  effect idempotent\n  goal 1s\n  hard-limit 8s\ngroup post\n  \
             effect side-effecting\n  goal 500ms\n  hard-limit 1s\n  ordered\nvolume a\n  lun 0\n  plan free\n  \
             blocks {BLOCKS}\n  block-size 512B\n  hosts 1\n  extent 0 8000 node0 at 100\n  \
             extent 8000 8384 node1 at 0\n  rule read read\n  rule write post key 8\nvolume b\n  lun 7\n  \
             plan free\n  blocks 64\n  block-size 512B\n  hosts 1\n  extent 0 64 node1 at 9000\n  \
             rule any read\nnode node0\n  address {}\n  target iqn.t:node0\nnode node1\n  address {}\n  \
             target iqn.t:node1\n",
            address(0),
            dir.path().join("sock").display(),
            address(1),
            address(2)
        );
        std::fs::write(dir.path().join("conf"), change(dir.path(), text))
            .expect("cannot write the file");
        let host = start(&dir);
        Site {
            address: address(0),
            host,
            nodes: vec![node(0), node(1)],
            dir,
        }
    }

    pub(crate) fn control(&self) -> std::path::PathBuf {
        self.dir.path().join("sock")
    }

    pub(crate) fn status(&self) -> Status {
        Status::from_json(
            &send_request(&self.control(), "status").expect("no status from the host"),
        )
        .expect("invalid status")
    }

    pub(crate) fn client(&self, n: u32) -> BlockingClient {
        BlockingClient::open(self.address, Some(TARGET), n).expect("cannot log in")
    }

    /// Polls the host's status until it matches, because the host may handle other sockets later than the control
    /// socket.
    pub(crate) fn wait_for(&self, condition: &str, matches: impl Fn(&Status) -> bool) -> Status {
        let began = Instant::now();
        loop {
            let status = self.status();
            if matches(&status) {
                return status;
            }
            assert!(
                began.elapsed() < Duration::from_secs(10),
                "timeout: {condition}: {status:?}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    pub(crate) fn wait_for_exit(&mut self) -> std::process::ExitStatus {
        let began = Instant::now();
        loop {
            if let Some(status) = self.host.try_wait().expect("cannot wait for the process") {
                return status;
            }
            assert!(
                began.elapsed() < Duration::from_secs(15),
                "host did not exit within 15 s"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = self.host.kill();
        let _ = self.host.wait();
    }
}

/// Starts a host on the configuration in a directory, and waits until it answers.
pub(crate) fn start(dir: &tempfile::TempDir) -> Child {
    let file = dir.path().join("conf").display().to_string();
    let child = mallowseam(&["run", "--log", "error", &file])
        .stderr(Stdio::null())
        .spawn()
        .expect("cannot start the host");
    let began = Instant::now();
    while send_request(&dir.path().join("sock"), "status").is_err() {
        assert!(
            began.elapsed() < Duration::from_secs(10),
            "host did not answer within 10 s"
        );
        std::thread::sleep(Duration::from_millis(10));
    }
    child
}

/// Writes blocks with an id, and returns the SCSI status.
pub(crate) fn write(client: &mut BlockingClient, id: u64, lba: u64, blocks: u32) -> u8 {
    let cdb = scsi::read_or_write_16(true, lba, blocks, 0);
    client
        .execute(0, &cdb, 0, block::write(id, lba, blocks))
        .expect("no answer to the request")
        .status
}

/// Reads blocks, and returns the id of the write that each of them shows.
pub(crate) fn read(client: &mut BlockingClient, lba: u64, blocks: u32) -> Vec<Option<u64>> {
    let read_len = blocks as usize * 512;
    let answer = client
        .execute(
            0,
            &scsi::read_or_write_16(false, lba, blocks, 0),
            read_len,
            vec![],
        )
        .expect("no answer to the request");
    assert_eq!(answer.status, status::GOOD);
    let shown = answer.data.chunks(512).enumerate();
    shown.map(|(i, b)| block::read(b, lba + i as u64)).collect()
}
