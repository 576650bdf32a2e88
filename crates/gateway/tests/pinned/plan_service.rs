//! The control service of plans: its control socket, and what it says to hosts.
use crate::harness::{Peer, Question, Transcript, assert_pinned, mask_times, wait_for};
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

/// A host as the service sees it, with what it hears in the transcript.
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

    /// The next line that is not the question that the service repeats on its own clock.
    fn receive(&mut self, transcript: &mut Transcript) -> String {
        loop {
            let line = self.peer.line();
            if !line.starts_with("{\"ask\"") {
                transcript.add(&format!("{} receives:", self.name), &mask_times(&line));
                return line;
            }
        }
    }

    /// The next question of the service; its time.
    fn asked(&mut self, transcript: &mut Transcript) -> u64 {
        let line = self.peer.line();
        transcript.add(&format!("{} receives:", self.name), &mask_times(&line));
        let number = line
            .strip_prefix("{\"ask\":{\"asked\":")
            .and_then(|rest| rest.strip_suffix("}}"));
        number
            .and_then(|digits| digits.parse().ok())
            .expect("a question")
    }
}

/// What an operator's change does besides being checked.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    /// It is not made.
    DryRun,
    /// It is made, and answered at once.
    Apply,
    /// It is made, and answered once all hosts act on it.
    Wait,
}

/// An operator's change, if the newest version is the expected one.
fn set(change: &str, expected: Option<u64>, mode: Mode) -> String {
    let expected = expected.map_or("null".to_owned(), |version| version.to_string());
    let dry = mode == Mode::DryRun;
    let wait = mode == Mode::Wait;
    format!(
        "{{\"set\":{{\"change\":{change},\"expected\":{expected},\"author\":\"a\",\"reason\":\"b\",\"dry\":{dry},\
         \"wait\":{wait}}}}}"
    )
}

/// The change that sets a plan with a limit.
fn plan(name: &str, limit: u64) -> String {
    format!(
        "{{\"Plan\":{{\"name\":\"{name}\",\"figures\":{{\"usual\":1,\"reserve\":2,\"limit\":{limit},\"burst\":4,\
         \"weight\":5,\"price\":6}}}}}}"
    )
}

/// A host's report of what it lends and borrows of its quotas, in answer to a question of the service.
fn report(asked: u64, sent: u64, volumes: &str) -> String {
    format!(
        "{{\"report\":{{\"asked\":{asked},\"sent\":{sent},\"version\":3,\"volumes\":[{volumes}]}}}}"
    )
}

/// The control socket of the service, and what was said to it and to its hosts.
struct Dialogue {
    control: PathBuf,
    address: SocketAddr,
    transcript: Transcript,
}

impl Dialogue {
    fn ask(&mut self, line: &str) {
        self.transcript.ask(&self.control, line);
    }

    fn ask_each(&mut self, lines: &[&str]) {
        for line in lines {
            self.ask(line);
        }
    }

    /// Asks for the hosts until the answer contains this, and records it then.
    fn ask_hosts_until(&mut self, expected: &str) {
        let line = "\"hosts\"";
        wait_for(expected, || {
            crate::harness::control(&self.control, line).contains(expected)
        });
        self.ask(line);
    }

    /// A host without any version is sent the whole state; also returns the hash that it ends with.
    fn first_host_joins(&mut self) -> (Host, String) {
        let t = &mut self.transcript;
        let mut host = Host::connect("gw0", self.address);
        host.send(
            t,
            "{\"hello\":{\"host\":\"gw0\",\"version\":0,\"last\":\"\"}}",
        );
        let whole = host.receive(t);
        self.ask_hosts_until("1 hosts");
        host.send(&mut self.transcript, "{\"acts-on\":{\"version\":2}}");
        self.ask_hosts_until("all of them: 2");
        let last = whole
            .split("\"last\":\"")
            .nth(1)
            .and_then(|rest| rest.split('"').next())
            .expect("a hash");
        (host, last.to_owned())
    }

    /// Changes that are tried, rejected and made; the host rejects the one that is made, then acts on it.
    fn change_plans(&mut self, host: &mut Host) {
        self.ask(&set(&plan("gold", 30), Some(2), Mode::DryRun));
        self.ask(&set(&plan("gold", 30), Some(1), Mode::Apply));
        self.ask(&set(&plan("two words", 30), Some(2), Mode::Apply));
        for change in [
            "{\"PlanGone\":{\"name\":\"basic\"}}",
            "{\"PlanGone\":{\"name\":\"none\"}}",
            "{\"VolumeGone\":{\"name\":\"none\"}}",
            "{\"Volume\":{\"name\":\"a\",\"plan\":\"basic\"}}",
        ] {
            self.ask(&set(change, None, Mode::Apply));
        }
        self.ask(&set(&plan("gold", 30), Some(2), Mode::Apply));
        host.receive(&mut self.transcript);
        self.ask("\"hosts\"");
        host.send(
            &mut self.transcript,
            "{\"against\":{\"version\":3,\"why\":\"no such node\"}}",
        );
        self.ask_hosts_until("turned it down");
        host.send(&mut self.transcript, "{\"acts-on\":{\"version\":3}}");
        self.ask_hosts_until("all of them: 3");
    }

    /// A host that holds the first two versions is sent the third alone.
    fn second_host_joins(&mut self, last: &str) -> Host {
        let mut host = Host::connect("gw1", self.address);
        let t = &mut self.transcript;
        host.send(
            t,
            &format!("{{\"hello\":{{\"host\":\"gw1\",\"version\":2,\"last\":\"{last}\"}}}}"),
        );
        host.receive(t);
        host.send(t, "{\"acts-on\":{\"version\":3}}");
        self.ask_hosts_until("2 hosts; in force at all of them: 3");
        host
    }

    /// What the first host lends is granted to the second, and what the second may still use of it is not granted to
    /// the first.
    fn lend_quota(&mut self, one: &mut Host, two: &mut Host) {
        let t = &mut self.transcript;
        let asked = one.asked(t);
        one.send(t, &report(asked, 7, "[\"a\",15000,0],[\"none\",1,1]"));
        let asked = two.asked(t);
        two.send(t, &report(asked, 8, "[\"a\",0,9000]"));
        let granted = two.receive(t);
        assert!(granted.contains("\"sent\":8,\"span\":1500"), "{granted}");
        let asked = one.asked(t);
        one.send(t, &report(asked, 9, "[\"a\",0,8000]"));
        one.receive(t);
    }

    /// An operator who waits is answered once both hosts act on the version.
    fn wait_for_rollout(&mut self, one: &mut Host, two: &mut Host) {
        let line = set(
            "{\"Volume\":{\"name\":\"b\",\"plan\":\"gold\"}}",
            None,
            Mode::Wait,
        );
        let t = &mut self.transcript;
        t.add("ask:", &line);
        let waiting = Question::ask(&self.control, &line).expect("a connection");
        for host in [one, two] {
            host.receive(t);
            host.send(t, "{\"acts-on\":{\"version\":4}}");
        }
        t.answered(&waiting.answer().expect("an answer"));
    }

    fn undo_and_look_back(&mut self) {
        self.ask_each(&[
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

    /// A connection that does not open with hello, or says nothing that can be read, is closed.
    fn strangers_are_rejected(&mut self) {
        for line in ["{\"acts-on\":{\"version\":3}}", "hello"] {
            let mut stranger = Host::connect("stranger", self.address);
            stranger.send(&mut self.transcript, line);
            assert_eq!(stranger.receive(&mut self.transcript), "");
        }
    }
}

#[test]
fn control_socket_and_messages_are_as_they_were() {
    let setup = setup();
    let mut process = setup.start();
    let mut dialogue = Dialogue {
        control: setup.control(),
        address: setup.address,
        transcript: Transcript::default(),
    };
    dialogue.ask_each(&[
        "status",
        "{\"walk\":{}}",
        "{\"show\":{\"version\":null}}",
        "\"hosts\"",
        "\"replay\"",
    ]);
    let (mut one, last) = dialogue.first_host_joins();
    dialogue.change_plans(&mut one);
    let mut two = dialogue.second_host_joins(&last);
    dialogue.lend_quota(&mut one, &mut two);
    dialogue.wait_for_rollout(&mut one, &mut two);
    dialogue.undo_and_look_back();
    dialogue.strangers_are_rejected();
    dialogue.ask("stop");
    assert_eq!(process.exit_code(), Some(0));

    // The store is read back, with the hosts that were known.
    let mut process = setup.start();
    dialogue.ask_each(&[
        "{\"show\":{\"version\":null}}",
        "\"hosts\"",
        "\"replay\"",
        "stop",
    ]);
    assert_eq!(process.exit_code(), Some(0));
    assert_pinned("plan-service.txt", dialogue.transcript.text());
}
