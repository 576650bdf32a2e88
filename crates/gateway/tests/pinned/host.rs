//! A host's control socket, its messages to services, and the files that it caches for its next start.
use crate::harness::{
    Peer, Process, Transcript, addresses, assert_pinned, control, mask, mask_times, program,
    read_fixture, wait_for, wait_for_control,
};
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;

struct Setup {
    directory: tempfile::TempDir,
    endpoints: SocketAddr,
    plans: SocketAddr,
    catalog: SocketAddr,
}

impl Setup {
    fn new() -> Setup {
        let address = addresses();
        let directory = tempfile::tempdir().expect("a temporary directory can be created");
        let root = directory.path().display();
        let host = format!(
            "host gw0\n  listen {}\n  target iqn.t:gateway\n  control \"{root}/control.sock\"\n  window 32\n  \
             connections 40\n  longest 1MiB\n  seed 1\n",
            address(0)
        );
        let services = format!(
            "  node-list {}\n  kept-list \"{root}/list\"\n  follow {}\n  kept-plans \"{root}/plans\"\n",
            address(1),
            address(2)
        );
        let catalog = format!(
            "catalog\n  listen {}\n  store \"{root}/tree\"\n  extent 64\n  copies all\n",
            address(3)
        );
        let rest = format!(
            "fleet\n  hosts 2\n  unit 4KiB\n  mean-units 1\n  largest-units 8\n  submits 3\nplan basic\n  usual 20/s\n  \
             limit 40/s burst 8\n  price 2\nplan free\ngroup all\n  effect idempotent\n  goal 100ms\n  hard-limit 1s\n\
             volume a\n  lun 0\n  plan basic\n  blocks 256\n  block-size 512B\n  hosts 2\n  extent 0 256 node0 at 0\n  \
             rule any all\nvolume b\n  lun 1\n  plan free\n  blocks 256\n  block-size 512B\n  hosts 2\n  mapped\n  \
             rule any all\nnode node0\n  address {}\n  target iqn.t:node0\nnode node1\n  address {}\n  \
             target iqn.t:node1\n  zone east\n",
            address(4),
            address(5)
        );
        let alone = rest.replace("mapped", "extent 0 256 node1 at 0");
        let write = |name: &str, text: String| {
            fs::write(directory.path().join(name), text).expect("the file can be written");
        };
        write("conf", format!("{host}{services}{catalog}{rest}"));
        write("alone", format!("{host}  node-list static\n{alone}"));
        write(
            "changed",
            format!(
                "{host}  node-list static\n{}",
                alone.replace("limit 40/s", "limit 60/s")
            ),
        );
        write(
            "larger",
            format!(
                "{host}  node-list static\n{}",
                alone.replace("hosts 2\n  unit", "hosts 3\n  unit")
            ),
        );
        Setup {
            directory,
            endpoints: address(1),
            plans: address(2),
            catalog: address(3),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.directory.path().join(name)
    }

    fn control(&self) -> PathBuf {
        self.path("control.sock")
    }

    fn start(&self, conf: &str) -> Process {
        let conf = self.path(conf);
        let process = Process::start(&[
            "run",
            conf.to_str().expect("the path is UTF-8"),
            "--log",
            "error",
        ]);
        wait_for_control(&self.control());
        process
    }

    /// Masks the parts of a text that differ from run to run.
    fn mask(&self, text: &str) -> String {
        let text = text.replace(&self.directory.path().display().to_string(), "DIR");
        mask(&mask_times(&text), "up_seconds")
    }
}

/// Masks the uptime in the table that `mallowseam status` prints.
fn mask_uptime(text: &str) -> String {
    let Some((before, rest)) = text.split_once("  up ") else {
        return text.to_owned();
    };
    let (_, after) = rest.split_once(" s").expect("the uptime is in seconds");
    format!("{before}  up # s{after}")
}

/// Latency that the scheduler expects of an idle node under the fixtures' configuration, in milliseconds.
const IDLE_LATENCY_MS: f64 = 24.0;
/// Fraction of a node's mean latency that the scheduler keeps in an allocation interval without attempts.
const IDLE_DECAY: f64 = 0.9;
/// Maximum number of allocation intervals until the services have been run.
const MAX_IDLE_INTERVALS: usize = 100;

#[test]
fn control_socket_and_status_match_the_fixture() {
    let setup = Setup::new();
    let mut process = setup.start("alone");
    let socket = setup.control();
    let mut t = Transcript::default();
    let plans = |name: &str| format!("plans {}", setup.path(name).display());
    let lines = [
        "status".to_owned(),
        "walk".to_owned(),
        plans("alone"),
        plans("larger"),
        plans("missing"),
        plans("changed"),
        "status".to_owned(),
        "drain".to_owned(),
        "drain".to_owned(),
        "status".to_owned(),
        "undrain".to_owned(),
    ];
    for line in lines {
        let answer = control(&socket, &line);
        t.add("ask:", &setup.mask(&line));
        t.add_answer(&setup.mask(&answer));
    }
    let socket_text = socket.to_str().expect("the path is UTF-8");
    for arguments in [
        vec!["status", "--control", socket_text],
        vec!["drain", "--control", socket_text],
    ] {
        let output = program(&arguments).output().expect("the program runs");
        t.add("run:", arguments[0]);
        let text = String::from_utf8(output.stdout).expect("the output is UTF-8");
        t.add("", &mask_uptime(&text));
    }
    t.request(&socket, "stop");
    assert_eq!(process.exit_code(), Some(0));
    assert!(!socket.exists(), "the host removes its control socket");
    assert_pinned("host-control.txt", t.text());
}

/// Services of a host whose part the test takes, with a transcript of what they receive.
struct ScriptedServices {
    setup: Setup,
    endpoints: TcpListener,
    plans: TcpListener,
    catalog: TcpListener,
    transcript: Transcript,
}

impl ScriptedServices {
    fn new(setup: Setup) -> ScriptedServices {
        let listen =
            |address: SocketAddr| TcpListener::bind(address).expect("the address can be bound");
        ScriptedServices {
            endpoints: listen(setup.endpoints),
            plans: listen(setup.plans),
            catalog: listen(setup.catalog),
            transcript: Transcript::default(),
            setup,
        }
    }

    fn record(&mut self, label: &str, text: &str) {
        self.transcript.add(label, &self.setup.mask(text));
    }

    /// Receives a line and records it.
    fn receive(&mut self, label: &str, service: &mut Peer) -> String {
        let line = service.line();
        self.record(label, &line);
        line
    }

    fn status(&self) -> String {
        control(&self.setup.control(), "status")
    }

    fn cached_file(&self, name: &str) -> String {
        fs::read_to_string(self.setup.path(name)).expect("the host has written the file")
    }

    /// Sends a full endpoint list, which the host caches, and a change to it. Returns the open connection.
    fn run_endpoint_service(&mut self) -> Peer {
        let label = "to the endpoint service:";
        let mut service = Peer::accept(&self.endpoints);
        self.receive(label, &mut service);
        service.send("list 9 3 whole 2\nnode node0 active 5 1000\nnode node1 leaving 6 2000");
        wait_for("the full endpoint list", || {
            self.cached_file("list") != read_fixture("kept-list-before")
        });
        assert_pinned("kept-list-after", &self.cached_file("list"));
        service.send("list 9 5 changes 1\nnode node1 left 6 3000");
        self.receive(label, &mut service);
        service
    }

    /// Sends plans that contradict the configuration, plans that the host caches, and a granted quota; then a change log
    /// line that does not continue the plans. Returns the connection that the host opens after it.
    fn run_plan_service(&mut self) -> Peer {
        let label = "to the plan service:";
        let mut service = Peer::accept(&self.plans);
        self.receive(label, &mut service);
        service.send(&full_plans(8, "z"));
        self.receive(label, &mut service);
        service.send(&full_plans(9, "a"));
        self.receive(label, &mut service);
        assert_pinned("kept-plans-after", &self.cached_file("plans"));
        self.grant_quota(&mut service);
        service.send("{\"line\":{\"text\":\"none\"}}");
        assert_eq!(
            service.line(),
            "",
            "the host closes the connection after a line that does not continue the plans"
        );
        let mut service = Peer::accept(&self.plans);
        self.receive(label, &mut service);
        service
    }

    /// Asks for a report of usage and grants a quota in answer to it.
    fn grant_quota(&mut self, service: &mut Peer) {
        service.send("{\"ask\":{\"asked\":77}}");
        let report = self.receive("to the plan service:", service);
        let sent = report
            .split("\"sent\":")
            .nth(1)
            .and_then(|rest| rest.split(',').next())
            .expect("the line is a report");
        service.send(&format!(
            "{{\"granted\":{{\"sent\":{sent},\"span\":600000,\"volumes\":[[\"a\",9000]]}}}}"
        ));
        // The host's quota is a quarter of the even quota, which is never lent, and the granted quota.
        wait_for("the granted quota", || {
            self.status().contains("\"part\":16.5")
        });
    }

    /// Sends a full tree, a lease, a change and the steps of a snapshot; then a change that does not continue the tree.
    /// Returns the connection that the host opens after it.
    fn run_catalog(&mut self) -> Peer {
        let mut service = Peer::accept(&self.catalog);
        let mut renewals = Renewals::default();
        renewals.receive(self, &mut service);
        service.send(
            "{\"whole\":{\"catalog\":11,\"tree\":{\"version\":1,\"layers\":{\"1024\":{\"parent\":null,\"frozen\":false,\
             \"places\":{},\"opened\":[],\"next_number\":0,\"closed\":[]}},\"branches\":{\"b\":{\"head\":1024,\"unit\":1024,\
             \"extents\":4,\"origin\":null}},\"snapshots\":{},\"made\":1,\"units\":0}}}",
        );
        service.send("\"filled\"");
        // The granted lease lasts until the end of the test, so that the host does not renew it again.
        let renewal = renewals.receive(self, &mut service);
        let sent = renewal
            .strip_prefix("{\"renew\":{\"sent\":")
            .and_then(|rest| rest.split(',').next());
        renewals.receive(self, &mut service);
        service.send(&format!(
            "{{\"lease\":{{\"sent\":{},\"span\":600000}}}}",
            sent.expect("the line is a renewal")
        ));
        service.send(
            "{\"changed\":{\"version\":2,\"change\":{\"Numbers\":{\"layer\":1024,\"first\":0,\"count\":4}}}}",
        );
        renewals.receive(self, &mut service);
        service.send("{\"ask-clear\":{\"layer\":1024,\"branch\":\"b\"}}");
        renewals.receive(self, &mut service);
        service.send("{\"over\":{\"branch\":\"b\"}}");
        service.send("{\"changed\":{\"version\":9,\"change\":{\"Cut\":{\"branch\":\"b\"}}}}");
        assert_eq!(
            service.line(),
            "",
            "the host closes the connection after a change that does not continue the tree"
        );
        let mut service = Peer::accept(&self.catalog);
        renewals.receive(self, &mut service);
        service
    }
}

/// Filter of renewals that the catalog receives: the host repeats a renewal that is not granted in time, and only the
/// first one is recorded.
#[derive(Default)]
struct Renewals {
    was_received: bool,
}

impl Renewals {
    fn receive(&mut self, services: &mut ScriptedServices, service: &mut Peer) -> String {
        let mut line = service.line();
        while self.was_received && line.starts_with("{\"renew\"") {
            line = service.line();
        }
        self.was_received |= line.starts_with("{\"renew\"");
        services.record("to the catalog:", &line);
        line
    }
}

/// Returns the message with the full state of the plan service, which assigns plan `basic` to a volume.
fn full_plans(version: u64, volume: &str) -> String {
    format!(
        "{{\"whole\":{{\"state\":{{\"version\":{version},\"plans\":{{\"basic\":{{\"usual\":20000,\"reserve\":0,\
         \"limit\":60000,\"burst\":8000,\"weight\":1000,\"price\":2000}},\"free\":{{\"usual\":0,\"reserve\":0,\
         \"limit\":0,\"burst\":0,\"weight\":1000,\"price\":1000}}}},\"volumes\":{{\"{volume}\":\"basic\",\
         \"b\":\"free\"}}}},\"last\":\"00ff\"}}}}"
    )
}

#[test]
fn messages_to_services_and_cached_files_match_the_fixtures() {
    let mut services = ScriptedServices::new(Setup::new());
    let setup = &services.setup;
    fs::write(setup.path("list"), read_fixture("kept-list-before"))
        .expect("the file can be written");
    fs::write(setup.path("plans"), read_fixture("kept-plans-before"))
        .expect("the file can be written");
    let _process = setup.start("conf");

    // The cached files are used before any service has answered.
    services.record("status:", &services.status());
    // The connections stay open until the end of the test.
    let _connections = [
        services.run_endpoint_service(),
        services.run_plan_service(),
        services.run_catalog(),
    ];
    let status = services.status();
    assert_idle_latencies(&status);
    let status = mask(&mask(&services.setup.mask(&status), "part"), "wait_ms");
    services.transcript.add("status:", &status);
    assert_pinned("host-messages.txt", services.transcript.text());
}

/// Checks that the mean latency of both nodes is exactly that of a node after a whole number of idle allocation
/// intervals. The number itself depends on how fast the services were run.
fn assert_idle_latencies(status: &str) {
    let latencies: Vec<f64> = status
        .split("\"wait_ms\":")
        .skip(1)
        .map(|rest| rest.split(',').next().expect("a value follows"))
        .map(|value| value.parse().expect("the mean latency is a number"))
        .collect();
    let mut after_interval: f64 = 0.0;
    let is_reached = (0..MAX_IDLE_INTERVALS).any(|_| {
        after_interval = after_interval * IDLE_DECAY + IDLE_LATENCY_MS * (1.0 - IDLE_DECAY);
        let is_equal = |latency: &f64| (latency - after_interval).abs() < 1e-9;
        latencies.len() == 2 && latencies.iter().all(is_equal)
    });
    assert!(is_reached, "{latencies:?}");
}
