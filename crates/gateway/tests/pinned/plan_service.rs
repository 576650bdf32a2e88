//! The plan service: its control socket and its messages to hosts.
use crate::harness::{Peer, PendingRequest, Transcript, assert_pinned, mask_times, wait_for};
use crate::service_setup::ServiceSetup;
use std::net::SocketAddr;
use std::path::PathBuf;

fn setup() -> ServiceSetup {
    ServiceSetup::new("control", |address, root| {
        format!(
            "fleet\n  hosts 2\n  unit 4KiB\n  mean-units 1\n  largest-units 8\n  submits 3\ntariffs\n  \
             listen {address}\n  store \"{root}/plans\"\n  control \"{root}/control.sock\"\nplan basic\n  \
             usual 20/s\n  limit 40/s burst 8\ngroup all\n  effect idempotent\n  goal 100ms\n  hard-limit 1s\n\
             volume a\n  lun 0\n  plan basic\n  blocks 4096\n  block-size 512B\n  hosts 2\n  \
             extent 0 4096 node0 at 0\n  rule any all\n"
        )
    })
}

/// A host that the test simulates; its messages are recorded in the transcript.
struct Host {
    name: &'static str,
    peer: Peer,
}

impl Host {
    fn connect(name: &'static str, address: SocketAddr) -> Host {
        Host {
            name,
            peer: Peer::connect(address),
        }
    }

    fn send(&mut self, transcript: &mut Transcript, line: &str) {
        transcript.add(&format!("{} sends:", self.name), &mask_times(line));
        self.peer.send(line);
    }

    /// Receives the next line other than the request for a report, which the service repeats periodically.
    fn receive(&mut self, transcript: &mut Transcript) -> String {
        loop {
            let line = self.peer.line();
            if !line.starts_with("{\"ask\"") {
                transcript.add(&format!("{} receives:", self.name), &mask_times(&line));
                return line;
            }
        }
    }

    /// Receives the next request for a report, and returns its time.
    fn report_request(&mut self, transcript: &mut Transcript) -> u64 {
        let line = self.peer.line();
        transcript.add(&format!("{} receives:", self.name), &mask_times(&line));
        let number = line
            .strip_prefix("{\"ask\":{\"asked\":")
            .and_then(|rest| rest.strip_suffix("}}"));
        number
            .and_then(|digits| digits.parse().ok())
            .expect("the line is a request for a report")
    }
}

/// Way in which an operator's change is requested.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    /// The change is checked, but not made.
    DryRun,
    /// The change is made and answered at once.
    Apply,
    /// The change is made and answered once it is in effect at all hosts.
    Wait,
}

/// Returns the request for a change, on condition that the newest version is the expected one.
fn set(change: &str, expected: Option<u64>, mode: Mode) -> String {
    let expected = expected.map_or("null".to_owned(), |version| version.to_string());
    let dry = mode == Mode::DryRun;
    let wait = mode == Mode::Wait;
    format!(
        "{{\"set\":{{\"change\":{change},\"expected\":{expected},\"author\":\"a\",\"reason\":\"b\",\"dry\":{dry},\
         \"wait\":{wait}}}}}"
    )
}

/// Returns the change that sets a plan with a rate limit.
fn plan(name: &str, limit: u64) -> String {
    format!(
        "{{\"Plan\":{{\"name\":\"{name}\",\"figures\":{{\"usual\":1,\"reserve\":2,\"limit\":{limit},\"burst\":4,\
         \"weight\":5,\"price\":6}}}}}}"
    )
}

/// Returns a host's report of the quotas that it lends and borrows.
fn report(asked: u64, sent: u64, volumes: &str) -> String {
    format!(
        "{{\"report\":{{\"asked\":{asked},\"sent\":{sent},\"version\":3,\"volumes\":[{volumes}]}}}}"
    )
}

/// The service under test, with the transcript of its control socket and its hosts.
struct Dialogue {
    control: PathBuf,
    address: SocketAddr,
    transcript: Transcript,
}

impl Dialogue {
    fn request(&mut self, line: &str) {
        self.transcript.request(&self.control, line);
    }

    fn request_each(&mut self, lines: &[&str]) {
        for line in lines {
            self.request(line);
        }
    }

    /// Requests the hosts' versions until the answer contains this text, and records that answer.
    fn request_hosts_until(&mut self, expected: &str) {
        let line = "\"hosts\"";
        wait_for(expected, || {
            crate::harness::control(&self.control, line).contains(expected)
        });
        self.request(line);
    }

    /// Connects a host without any version, which receives the full state; also returns the hash at the state's end.
    fn connect_first_host(&mut self) -> (Host, String) {
        let t = &mut self.transcript;
        let mut host = Host::connect("gw0", self.address);
        host.send(
            t,
            "{\"hello\":{\"host\":\"gw0\",\"version\":0,\"last\":\"\"}}",
        );
        let whole = host.receive(t);
        self.request_hosts_until("1 hosts");
        host.send(&mut self.transcript, "{\"acts-on\":{\"version\":2}}");
        self.request_hosts_until("all of them: 2");
        let last = whole
            .split("\"last\":\"")
            .nth(1)
            .and_then(|rest| rest.split('"').next())
            .expect("the state has a hash");
        (host, last.to_owned())
    }

    /// Requests changes that are only checked, rejected and made; the host first rejects the change that is made, then
    /// applies it.
    fn change_plans(&mut self, host: &mut Host) {
        self.request(&set(&plan("gold", 30), Some(2), Mode::DryRun));
        self.request(&set(&plan("gold", 30), Some(1), Mode::Apply));
        self.request(&set(&plan("two words", 30), Some(2), Mode::Apply));
        for change in [
            "{\"PlanGone\":{\"name\":\"basic\"}}",
            "{\"PlanGone\":{\"name\":\"none\"}}",
            "{\"VolumeGone\":{\"name\":\"none\"}}",
            "{\"Volume\":{\"name\":\"a\",\"plan\":\"basic\"}}",
        ] {
            self.request(&set(change, None, Mode::Apply));
        }
        self.request(&set(&plan("gold", 30), Some(2), Mode::Apply));
        host.receive(&mut self.transcript);
        self.request("\"hosts\"");
        host.send(
            &mut self.transcript,
            "{\"against\":{\"version\":3,\"why\":\"no such node\"}}",
        );
        self.request_hosts_until("turned it down");
        host.send(&mut self.transcript, "{\"acts-on\":{\"version\":3}}");
        self.request_hosts_until("all of them: 3");
    }

    /// Connects a host with the first two versions, which receives only the third.
    fn connect_second_host(&mut self, last: &str) -> Host {
        let mut host = Host::connect("gw1", self.address);
        let t = &mut self.transcript;
        host.send(
            t,
            &format!("{{\"hello\":{{\"host\":\"gw1\",\"version\":2,\"last\":\"{last}\"}}}}"),
        );
        host.receive(t);
        host.send(t, "{\"acts-on\":{\"version\":3}}");
        self.request_hosts_until("2 hosts; in force at all of them: 3");
        host
    }

    /// Lends a quota of the first host to the second. The part that the second may still use is not granted to the first
    /// again.
    fn lend_quota(&mut self, one: &mut Host, two: &mut Host) {
        let t = &mut self.transcript;
        let asked = one.report_request(t);
        one.send(t, &report(asked, 7, "[\"a\",15000,0],[\"none\",1,1]"));
        let asked = two.report_request(t);
        two.send(t, &report(asked, 8, "[\"a\",0,9000]"));
        let granted = two.receive(t);
        assert!(granted.contains("\"sent\":8,\"span\":1500"), "{granted}");
        let asked = one.report_request(t);
        one.send(t, &report(asked, 9, "[\"a\",0,8000]"));
        one.receive(t);
    }

    /// Requests a change with `wait`, which is answered once the version is in effect at both hosts.
    fn wait_for_rollout(&mut self, one: &mut Host, two: &mut Host) {
        let line = set(
            "{\"Volume\":{\"name\":\"b\",\"plan\":\"gold\"}}",
            None,
            Mode::Wait,
        );
        let t = &mut self.transcript;
        t.add("ask:", &line);
        let waiting = PendingRequest::send(&self.control, &line).expect("the request is sent");
        for host in [one, two] {
            host.receive(t);
            host.send(t, "{\"acts-on\":{\"version\":4}}");
        }
        t.add_answer(&waiting.answer().expect("the program answers"));
    }

    fn undo_and_query_history(&mut self) {
        self.request_each(&[
            "{\"undo\":{\"version\":4,\"author\":\"a\",\"reason\":\"b\",\"dry\":false,\"wait\":false}}",
            "{\"undo\":{\"version\":99,\"author\":\"a\",\"reason\":\"b\",\"dry\":false,\"wait\":false}}",
            "{\"diff\":{\"one\":1,\"other\":5}}",
            "{\"diff\":{\"one\":5,\"other\":5}}",
            "{\"show\":{\"version\":4}}",
            "{\"show\":{\"version\":99}}",
            "{\"history\":{\"from\":3,\"most\":2}}",
            "{\"gone\":{\"host\":\"gw0\"}}",
            "{\"gone\":{\"host\":\"none\"}}",
            "\"replay\"",
        ]);
    }

    /// Checks that a connection whose first line is malformed, or not a hello, is closed.
    fn check_that_invalid_hosts_are_rejected(&mut self) {
        for line in ["{\"acts-on\":{\"version\":3}}", "hello"] {
            let mut stranger = Host::connect("stranger", self.address);
            stranger.send(&mut self.transcript, line);
            assert_eq!(stranger.receive(&mut self.transcript), "");
        }
    }
}

#[test]
fn control_socket_and_messages_match_the_fixture() {
    let setup = setup();
    let mut process = setup.start();
    let mut dialogue = Dialogue {
        control: setup.control(),
        address: setup.address,
        transcript: Transcript::default(),
    };
    dialogue.request_each(&[
        "status",
        "{\"walk\":{}}",
        "{\"show\":{\"version\":null}}",
        "\"hosts\"",
        "\"replay\"",
    ]);
    let (mut one, last) = dialogue.connect_first_host();
    dialogue.change_plans(&mut one);
    let mut two = dialogue.connect_second_host(&last);
    dialogue.lend_quota(&mut one, &mut two);
    dialogue.wait_for_rollout(&mut one, &mut two);
    dialogue.undo_and_query_history();
    dialogue.check_that_invalid_hosts_are_rejected();
    dialogue.request("stop");
    assert_eq!(process.exit_code(), Some(0));

    // The restarted service reads plans and known hosts from its store.
    let mut process = setup.start();
    dialogue.request_each(&[
        "{\"show\":{\"version\":null}}",
        "\"hosts\"",
        "\"replay\"",
        "stop",
    ]);
    assert_eq!(process.exit_code(), Some(0));
    assert_pinned("plan-service.txt", dialogue.transcript.text());
}
