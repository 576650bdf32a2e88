//! Tests of versioned plans with real processes: a plan service and two hosts, with one stand-in node. Guards against
//! changes that are reported before all hosts apply them, and against hosts that depend on a running service.
use mallowseam_audit::block;
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Trace;
use mallowseam_control_protocol::send_request;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi_host::status::Status;
use mallowseam_stand_ins::node::Node;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// iSCSI target name of the hosts.
const TARGET: &str = "iqn.t:gateway";

/// Processes and node of one test.
struct Site {
    dir: tempfile::TempDir,
    service: Option<Child>,
    hosts: Vec<Option<Child>>,
    host_addresses: Vec<SocketAddr>,
    _node: Node,
}

impl Site {
    fn new() -> Site {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        let (pid, run) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let address = |n| {
            SocketAddr::from((
                [
                    127,
                    100 + (pid >> 8) as u8 % 60,
                    pid as u8,
                    run * 10 + 1 + n,
                ],
                3260,
            ))
        };
        let dir = tempfile::tempdir().expect("cannot create a temporary directory");
        let d = dir.path().display();
        for i in 0..2 {
            let text = format!(
                "host gw{i}\n  listen {}\n  target {TARGET}\n  control \"{d}/gw{i}.sock\"\n  node-list static\n  \
                 follow {}\n  kept-plans \"{d}/gw{i}.plans\"\n  window 32\n  connections 40\n  longest 1MiB\n  seed \
                 {i}\nfleet\n  hosts 2\n  unit 4KiB\n  mean-units 1\n  largest-units 8\n  submits 3\ntariffs\n  listen \
                 {}\n  store \"{d}/plans\"\n  control \"{d}/control.sock\"\nplan basic\n  usual 20/s\n  limit 40/s \
                 burst 8\ngroup all\n  effect idempotent\n  goal 100ms\n  hard-limit 1s\nvolume a\n  lun 0\n  plan \
                 basic\n  blocks 4096\n  block-size 512B\n  hosts 2\n  extent 0 4096 node0 at 0\n  rule any all\nnode \
                 node0\n  address {}\n  target iqn.t:node0\n",
                address(i),
                address(4),
                address(4),
                address(5),
            );
            std::fs::write(dir.path().join(format!("conf{i}")), text)
                .expect("cannot write the file");
        }
        let model = ServiceModel::warm(4, 50.0, 64);
        let node = Node::start(0, address(5), "iqn.t:node0", model, Trace::disabled(), 1)
            .expect("cannot start the stand-in node");
        let host_addresses = vec![address(0), address(1)];
        let mut site = Site {
            dir,
            service: None,
            hosts: vec![None, None],
            host_addresses,
            _node: node,
        };
        site.start_service();
        (0..2).for_each(|i| site.start_host(i));
        site.wait_for("both hosts apply version 2", |site| {
            site.plan(&["hosts"], &[])
                .1
                .contains("2 hosts; in force at all of them: 2")
        });
        site
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn start(&self, subcommand: &str, conf: usize) -> Child {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-testbed"));
        command
            .args(["host", subcommand, "--log", "error"])
            .arg(self.path(&format!("conf{conf}")));
        command
            .stdin(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start the process")
    }

    fn start_service(&mut self) {
        self.service = Some(self.start("control", 0));
        self.wait_for("the plan service answers", |site| {
            site.plan(&["show"], &[]).0
        });
    }

    fn start_host(&mut self, i: usize) {
        self.hosts[i] = Some(self.start("run", i));
        self.wait_for("a host answers", |site| {
            send_request(&site.path(&format!("gw{i}.sock")), "status").is_ok()
        });
    }

    fn kill(child: &mut Option<Child>) {
        if let Some(mut child) = child.take() {
            child.kill().expect("cannot kill the process");
            child.wait().expect("cannot wait for the process");
        }
    }

    fn wait_for(&self, condition: &str, matches: impl Fn(&Site) -> bool) {
        let began = Instant::now();
        while !matches(self) {
            assert!(
                began.elapsed() < Duration::from_secs(15),
                "timeout: {condition}"
            );
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Runs `mallowseam plan` with a subcommand. Returns whether it succeeded, and its output.
    fn plan(&self, subcommand: &[&str], rest: &[&str]) -> (bool, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mallowseam-testbed"));
        command
            .args(["host", "plan"])
            .args(subcommand)
            .arg(self.path("conf0"))
            .args(rest);
        let out = command.output().expect("cannot run the program");
        (
            out.status.success(),
            String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned(),
        )
    }

    fn set(&self, figures: &[&str], rest: &[&str]) -> (bool, String) {
        let by = ["--author", "board", "--reason", "tariff night"];
        self.plan(&["set"], &[&["basic"], figures, &by, rest].concat())
    }

    fn status(&self, host: usize) -> Status {
        let text = send_request(&self.path(&format!("gw{host}.sock")), "status")
            .expect("no status from the host");
        Status::from_json(&text).expect("invalid status")
    }

    /// Returns a host's quota of the limit of volume `a`.
    fn quota(&self, host: usize) -> f64 {
        self.status(host).volumes[0]
            .quota
            .expect("host does not follow the plan service")
    }

    /// Returns the limit of the plan `basic` that a host applies.
    fn limit(&self, host: usize) -> f64 {
        self.status(host)
            .plans
            .iter()
            .find(|p| p.name == "basic")
            .expect("host has no plan `basic`")
            .limit
    }
}

/// Writes for some seconds, at a higher rate than an even quota allows.
fn write_for(client: &mut BlockingClient, seconds: u64) {
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(seconds) {
        let cdb = scsi::read_or_write_16(true, 0, 8, 0);
        client
            .execute(0, &cdb, 0, block::write(1, 0, 8))
            .expect("no answer to the request");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.hosts.iter_mut().for_each(Site::kill);
        Site::kill(&mut self.service);
    }
}

#[test]
fn change_is_effective_at_all_hosts_when_its_author_is_answered() {
    let site = Site::new();
    let (succeeded, output) = site.set(&["limit=30", "burst=6"], &["--dry-run"]);
    assert!(
        succeeded && output.contains("would be version 3") && site.limit(0) == 40.0,
        "{output}"
    );
    let (succeeded, output) = site.set(&["limit=30", "burst=6"], &["--wait"]);
    assert!(
        succeeded && output.contains("version 3 in force at all 2 hosts"),
        "{output}"
    );
    assert_eq!((site.limit(0), site.limit(1)), (30.0, 30.0));
    let (succeeded, output) = site.set(&["limit=50"], &["--expected", "2"]);
    assert!(
        !succeeded && output.contains("version 3 stands"),
        "{output}"
    );
    let (succeeded, output) = site.set(&["limit=50", "weigth=3"], &[]);
    assert!(
        !succeeded && output.contains("`weigth=3`: expected usual, reserve, limit"),
        "{output}"
    );
    let by = ["3", "--author", "board", "--reason", "too soon", "--wait"];
    let (succeeded, output) = site.plan(&["undo"], &by);
    assert!(
        succeeded && output.contains("version 4 in force") && site.limit(1) == 40.0,
        "{output}"
    );
    assert!(
        site.plan(&["diff"], &["2", "4"])
            .1
            .contains("no difference")
    );
    assert!(
        site.plan(&["history"], &["--from", "3"])
            .1
            .contains("tariff night")
    );
    assert!(
        site.plan(&["replay"], &[])
            .1
            .contains("trail replays: 4 of 4")
    );
}

#[test]
fn quotas_of_a_limit_follow_the_demand_from_host_to_host() {
    let site = Site::new();
    let surge = |host: usize, stop: &Arc<AtomicBool>| {
        let start_client = |n: u32| {
            let (at, stop) = (site.host_addresses[host], stop.clone());
            std::thread::spawn(move || {
                let mut client = BlockingClient::open(at, Some(TARGET), n).expect("cannot log in");
                while !stop.load(Ordering::Relaxed) {
                    write_for(&mut client, 1);
                }
            })
        };
        (0..12).map(start_client).collect::<Vec<_>>()
    };
    // An even quota is 20. The busy host can lease up to three quarters of the other host's quota.
    site.wait_for("host 0 has at most an even quota", |site| {
        site.quota(0) <= 20.0
    });
    let stop = Arc::new(AtomicBool::new(false));
    let first = surge(0, &stop);
    site.wait_for("the quota moves to the busy host", |site| {
        site.quota(0) > 30.0 && site.quota(1) < 10.0
    });
    stop.store(true, Ordering::Relaxed);
    for thread in first {
        thread.join().expect("thread panicked");
    }
    // The demand moves to the other host, and the quotas follow it.
    let stop = Arc::new(AtomicBool::new(false));
    let second = surge(1, &stop);
    site.wait_for("the quota moves to the newly busy host", |site| {
        site.quota(1) > 30.0 && site.quota(0) < 10.0
    });
    stop.store(true, Ordering::Relaxed);
    for thread in second {
        thread.join().expect("thread panicked");
    }
}

#[test]
fn hosts_run_without_the_service_and_start_with_cached_plans() {
    let mut site = Site::new();
    let (succeeded, output) = site.set(&["limit=60"], &["--wait"]);
    assert!(
        succeeded && output.contains("version 3 in force"),
        "{output}"
    );
    assert_eq!((site.limit(0), site.limit(1)), (60.0, 60.0));
    Site::kill(&mut site.service);
    Site::kill(&mut site.hosts[0]);
    site.start_host(0);
    assert_eq!((site.limit(0), site.limit(1)), (60.0, 60.0));
    site.wait_for("both hosts have even quotas", |site| {
        site.quota(0) == 30.0 && site.quota(1) == 30.0
    });
    site.start_service();
    assert!(
        site.plan(&["replay"], &[])
            .1
            .contains("trail replays: 3 of 3")
    );
    // A restarted service knows the hosts that have not yet reported to it, and waits for them.
    let (succeeded, output) = site.set(&["limit=20"], &["--wait"]);
    assert!(
        succeeded && output.contains("version 4 in force at all 2 hosts"),
        "{output}"
    );
    assert_eq!((site.limit(0), site.limit(1)), (20.0, 20.0));
    // With a host down, the answer names the host and says that the version stays in effect.
    Site::kill(&mut site.hosts[1]);
    let (succeeded, output) = site.set(&["limit=25"], &["--wait"]);
    assert!(
        !succeeded
            && output.contains("version 5 stands")
            && output.contains("gw1 is silent, acts on 4"),
        "{output}"
    );
    assert!(site.plan(&["gone"], &["gw1"]).0);
    assert!(
        site.plan(&["hosts"], &[])
            .1
            .contains("1 hosts; in force at all of them: 5")
    );
    site.start_host(1);
    site.wait_for("a restarted host applies the newest version", |site| {
        site.limit(1) == 25.0
    });
}

#[test]
fn plan_in_use_cannot_be_dropped() {
    let site = Site::new();
    let by = ["--author", "board", "--reason", "tidying"];
    let (succeeded, output) = site.plan(&["drop"], &[&["basic"], &by[..]].concat());
    assert!(
        !succeeded && output.contains("volume a has this plan"),
        "{output}"
    );
    let gold = [&["gold", "limit=8", "burst=2"], &by[..]].concat();
    assert!(site.plan(&["set"], &gold).0);
    let (succeeded, output) = site.plan(&["of"], &[&["a", "gold"], &by[..], &["--wait"]].concat());
    assert!(
        succeeded && output.contains("version 4 in force"),
        "{output}"
    );
    assert!(
        site.plan(&["drop"], &[&["basic"], &by[..], &["--wait"]].concat())
            .0
    );
}
