//! A host: its control socket, what it says to services, and the files that it keeps for its next start.
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
        let directory = tempfile::tempdir().expect("a directory");
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
            fs::write(directory.path().join(name), text).expect("a file");
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
        let process = Process::start(&["run", conf.to_str().expect("text"), "--log", "error"]);
        wait_for_control(&self.control());
        process
    }

    /// A text without what differs from run to run.
    fn mask(&self, text: &str) -> String {
        let text = text.replace(&self.directory.path().display().to_string(), "DIR");
        mask(&mask_times(&text), "up_seconds")
    }
}

/// Replaces the seconds since the start in a status for people.
fn mask_uptime(text: &str) -> String {
    let Some((before, rest)) = text.split_once("  up ") else {
        return text.to_owned();
    };
    let (_, after) = rest.split_once(" s").expect("a time in seconds");
    format!("{before}  up # s{after}")
}

#[test]
fn control_socket_and_status_are_as_they_were() {
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
        t.answered(&setup.mask(&answer));
    }
    let socket_text = socket.to_str().expect("text");
    for arguments in [
        vec!["status", "--control", socket_text],
        vec!["drain", "--control", socket_text],
    ] {
        let output = program(&arguments).output().expect("the program runs");
        t.add("run:", arguments[0]);
        let text = String::from_utf8(output.stdout).expect("text");
        t.add("", &mask_uptime(&text));
    }
    t.ask(&socket, "stop");
    assert_eq!(process.exit_code(), Some(0));
    assert!(!socket.exists(), "the socket goes with its host");
    assert_pinned("host-control.txt", t.text());
}

/// A host whose services are played by the test, and what they hear.
struct PlayedServices {
    setup: Setup,
    endpoints: TcpListener,
    plans: TcpListener,
    catalog: TcpListener,
    transcript: Transcript,
}

impl PlayedServices {
    fn new(setup: Setup) -> PlayedServices {
        let listen = |address: SocketAddr| TcpListener::bind(address).expect("an address");
        PlayedServices {
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
    fn hear(&mut self, label: &str, service: &mut Peer) -> String {
        let line = service.line();
        self.record(label, &line);
        line
    }

    fn status(&self) -> String {
        control(&self.setup.control(), "status")
    }

    fn kept(&self, name: &str) -> String {
        fs::read_to_string(self.setup.path(name)).expect("a kept file")
    }

    /// A full endpoint list, which the host keeps, and a change to it. Returns the open connection.
    fn play_endpoint_service(&mut self) -> Peer {
        let label = "to the endpoint service:";
        let mut service = Peer::accept(&self.endpoints);
        self.hear(label, &mut service);
        service.send("list 9 3 whole 2\nnode node0 active 5 1000\nnode node1 leaving 6 2000");
        wait_for("the whole list", || {
            self.kept("list") != read_fixture("kept-list-before")
        });
        assert_pinned("kept-list-after", &self.kept("list"));
        service.send("list 9 5 changes 1\nnode node1 left 6 3000");
        self.hear(label, &mut service);
        service
    }

    /// Plans that the configuration contradicts, plans that the host keeps, and a granted quota; then a line that does
    /// not follow. Returns the connection that the host opens after it.
    fn play_plan_service(&mut self) -> Peer {
        let label = "to the plan service:";
        let mut service = Peer::accept(&self.plans);
        self.hear(label, &mut service);
        service.send(&full_plans(8, "z"));
        self.hear(label, &mut service);
        service.send(&full_plans(9, "a"));
        self.hear(label, &mut service);
        assert_pinned("kept-plans-after", &self.kept("plans"));
        self.grant_quota(&mut service);
        service.send("{\"line\":{\"text\":\"none\"}}");
        assert_eq!(
            service.line(),
            "",
            "a line that does not follow ends the connection"
        );
        let mut service = Peer::accept(&self.plans);
        self.hear(label, &mut service);
        service
    }

    /// Asks for a report of usage and grants a quota in answer to it.
    fn grant_quota(&mut self, service: &mut Peer) {
        service.send("{\"ask\":{\"asked\":77}}");
        let report = self.hear("to the plan service:", service);
        let sent = report
            .split("\"sent\":")
            .nth(1)
            .and_then(|rest| rest.split(',').next())
            .expect("a report");
        service.send(&format!(
            "{{\"granted\":{{\"sent\":{sent},\"span\":600000,\"volumes\":[[\"a\",9000]]}}}}"
        ));
        // A quarter of the even part, which is never lent, and what was granted.
        wait_for("the granted part", || {
            self.status().contains("\"part\":16.5")
        });
    }

    /// A full tree, a lease, changes and the end of a cut; then a change that does not follow. Returns the
    /// connection that the host opens after it.
    fn play_catalog(&mut self) -> Peer {
        let mut service = Peer::accept(&self.catalog);
        let mut renewals = Renewals::default();
        renewals.hear(self, &mut service);
        service.send(
            "{\"whole\":{\"catalog\":11,\"tree\":{\"version\":1,\"layers\":{\"1024\":{\"parent\":null,\"frozen\":false,\
             \"places\":{},\"opened\":[],\"next_number\":0,\"closed\":[]}},\"branches\":{\"b\":{\"head\":1024,\"unit\":1024,\
             \"extents\":4,\"origin\":null}},\"snapshots\":{},\"made\":1,\"units\":0}}}",
        );
        service.send("\"filled\"");
        // The lease that is granted lasts to the end of this test, so that it is not renewed again.
        let renewal = renewals.hear(self, &mut service);
        let sent = renewal
            .strip_prefix("{\"renew\":{\"sent\":")
            .and_then(|rest| rest.split(',').next());
        renewals.hear(self, &mut service);
        service.send(&format!(
            "{{\"lease\":{{\"sent\":{},\"span\":600000}}}}",
            sent.expect("a renewal")
        ));
        service.send(
            "{\"changed\":{\"version\":2,\"change\":{\"Numbers\":{\"layer\":1024,\"first\":0,\"count\":4}}}}",
        );
        renewals.hear(self, &mut service);
        service.send("{\"ask-clear\":{\"layer\":1024,\"branch\":\"b\"}}");
        renewals.hear(self, &mut service);
        service.send("{\"over\":{\"branch\":\"b\"}}");
        service.send("{\"changed\":{\"version\":9,\"change\":{\"Cut\":{\"branch\":\"b\"}}}}");
        assert_eq!(
            service.line(),
            "",
            "a change that does not follow ends the connection"
        );
        let mut service = Peer::accept(&self.catalog);
        renewals.hear(self, &mut service);
        service
    }
}

/// What the catalog hears: a renewal that is not granted in time is sent again, and only the first one counts.
#[derive(Default)]
struct Renewals {
    heard: bool,
}

impl Renewals {
    fn hear(&mut self, services: &mut PlayedServices, service: &mut Peer) -> String {
        let mut line = service.line();
        while self.heard && line.starts_with("{\"renew\"") {
            line = service.line();
        }
        self.heard |= line.starts_with("{\"renew\"");
        services.record("to the catalog:", &line);
        line
    }
}

/// The whole state of the plan service, in which a volume of this name is on plan `basic`.
fn full_plans(version: u64, volume: &str) -> String {
    format!(
        "{{\"whole\":{{\"state\":{{\"version\":{version},\"plans\":{{\"basic\":{{\"usual\":20000,\"reserve\":0,\
         \"limit\":60000,\"burst\":8000,\"weight\":1000,\"price\":2000}},\"free\":{{\"usual\":0,\"reserve\":0,\
         \"limit\":0,\"burst\":0,\"weight\":1000,\"price\":1000}}}},\"volumes\":{{\"{volume}\":\"basic\",\
         \"b\":\"free\"}}}},\"last\":\"00ff\"}}}}"
    )
}

#[test]
fn messages_to_services_and_kept_files_are_as_they_were() {
    let mut services = PlayedServices::new(Setup::new());
    let setup = &services.setup;
    fs::write(setup.path("list"), read_fixture("kept-list-before")).expect("a file");
    fs::write(setup.path("plans"), read_fixture("kept-plans-before")).expect("a file");
    let _process = setup.start("conf");

    // What was kept counts before any service has answered.
    services.record("status:", &services.status());
    // The connections stay open to the end of the test.
    let _connections = [
        services.play_endpoint_service(),
        services.play_plan_service(),
        services.play_catalog(),
    ];
    let status = mask(&services.setup.mask(&services.status()), "part");
    services.transcript.add("status:", &status);
    assert_pinned("host-messages.txt", services.transcript.text());
}
