//! The control service of plans: its control socket, and what it says to hosts.
use crate::harness::{Peer, Question, Transcript, assert_pinned, mask_times, wait_for};
use crate::service_setup::ServiceSetup;
use std::net::SocketAddr;
use std::path::Path;

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

/// Asks until the answer has this in it, and records it then.
fn ask_until(transcript: &mut Transcript, path: &Path, line: &str, has: &str) {
    wait_for(has, || crate::harness::control(path, line).contains(has));
    transcript.ask(path, line);
}

#[test]
fn control_socket_and_messages_are_as_they_were() {
    let setup = setup();
    let mut process = setup.start();
    let control = setup.control();
    let mut t = Transcript::default();
    for line in [
        "status",
        "{\"walk\":{}}",
        "{\"show\":{\"version\":null}}",
        "\"hosts\"",
        "\"replay\"",
    ] {
        t.ask(&control, line);
    }
    let mut one = Host::connect("gw0", setup.address);
    one.send(
        &mut t,
        "{\"hello\":{\"host\":\"gw0\",\"version\":0,\"last\":\"\"}}",
    );
    let whole = one.receive(&mut t);
    ask_until(&mut t, &control, "\"hosts\"", "1 hosts");
    one.send(&mut t, "{\"acts-on\":{\"version\":2}}");
    ask_until(&mut t, &control, "\"hosts\"", "all of them: 2");

    let set = |change: &str, expected: &str, dry: bool, wait: bool| {
        format!(
            "{{\"set\":{{\"change\":{change},\"expected\":{expected},\"author\":\"a\",\"reason\":\"b\",\"dry\":{dry},\
             \"wait\":{wait}}}}}"
        )
    };
    let plan = |name: &str, limit: u64| {
        format!(
            "{{\"Plan\":{{\"name\":\"{name}\",\"figures\":{{\"usual\":1,\"reserve\":2,\"limit\":{limit},\"burst\":4,\
             \"weight\":5,\"price\":6}}}}}}"
        )
    };
    t.ask(&control, &set(&plan("gold", 30), "2", true, false));
    t.ask(&control, &set(&plan("gold", 30), "1", false, false));
    t.ask(&control, &set(&plan("two words", 30), "2", false, false));
    t.ask(
        &control,
        &set("{\"PlanGone\":{\"name\":\"basic\"}}", "null", false, false),
    );
    t.ask(
        &control,
        &set("{\"PlanGone\":{\"name\":\"none\"}}", "null", false, false),
    );
    t.ask(
        &control,
        &set("{\"VolumeGone\":{\"name\":\"none\"}}", "null", false, false),
    );
    t.ask(
        &control,
        &set(
            "{\"Volume\":{\"name\":\"a\",\"plan\":\"basic\"}}",
            "null",
            false,
            false,
        ),
    );
    t.ask(&control, &set(&plan("gold", 30), "2", false, false));
    one.receive(&mut t);
    t.ask(&control, "\"hosts\"");
    one.send(
        &mut t,
        "{\"against\":{\"version\":3,\"why\":\"no such node\"}}",
    );
    ask_until(&mut t, &control, "\"hosts\"", "turned it down");
    one.send(&mut t, "{\"acts-on\":{\"version\":3}}");
    ask_until(&mut t, &control, "\"hosts\"", "all of them: 3");

    // A host that holds the first two versions is sent the third alone.
    let mut two = Host::connect("gw1", setup.address);
    let last = whole
        .split("\"last\":\"")
        .nth(1)
        .and_then(|rest| rest.split('"').next())
        .expect("a hash");
    two.send(
        &mut t,
        &format!("{{\"hello\":{{\"host\":\"gw1\",\"version\":2,\"last\":\"{last}\"}}}}"),
    );
    two.receive(&mut t);
    two.send(&mut t, "{\"acts-on\":{\"version\":3}}");
    ask_until(
        &mut t,
        &control,
        "\"hosts\"",
        "2 hosts; in force at all of them: 3",
    );

    // What the first lends is granted to the second.
    let asked = one.asked(&mut t);
    one.send(&mut t, &format!("{{\"report\":{{\"asked\":{asked},\"sent\":7,\"version\":3,\"volumes\":[[\"a\",15000,0],[\"none\",1,1]]}}}}"));
    let asked = two.asked(&mut t);
    two.send(
        &mut t,
        &format!(
            "{{\"report\":{{\"asked\":{asked},\"sent\":8,\"version\":3,\"volumes\":[[\"a\",0,9000]]}}}}"
        ),
    );
    let granted = two.receive(&mut t);
    assert!(granted.contains("\"sent\":8,\"span\":1500"), "{granted}");
    // What the second may still use of it is not granted to the first.
    let asked = one.asked(&mut t);
    let report = format!(
        "{{\"report\":{{\"asked\":{asked},\"sent\":9,\"version\":3,\"volumes\":[[\"a\",0,8000]]}}}}"
    );
    one.send(&mut t, &report);
    one.receive(&mut t);

    // An operator who waits is answered once both act on the version.
    let line = set(
        "{\"Volume\":{\"name\":\"b\",\"plan\":\"gold\"}}",
        "null",
        false,
        true,
    );
    t.add("ask:", &line);
    let waiting = Question::ask(&control, &line).expect("a connection");
    for host in [&mut one, &mut two] {
        host.receive(&mut t);
        host.send(&mut t, "{\"acts-on\":{\"version\":4}}");
    }
    t.answered(&waiting.answer().expect("an answer"));
    t.ask(
        &control,
        "{\"undo\":{\"version\":4,\"author\":\"a\",\"reason\":\"b\",\"dry\":false,\"wait\":false}}",
    );
    t.ask(
        &control,
        "{\"undo\":{\"version\":99,\"author\":\"a\",\"reason\":\"b\",\"dry\":false,\"wait\":false}}",
    );
    for line in [
        "{\"diff\":{\"one\":1,\"other\":5}}",
        "{\"diff\":{\"one\":5,\"other\":5}}",
        "{\"show\":{\"version\":4}}",
        "{\"show\":{\"version\":99}}",
        "{\"history\":{\"from\":3,\"most\":2}}",
        "{\"gone\":{\"host\":\"gw0\"}}",
        "{\"gone\":{\"host\":\"none\"}}",
        "\"replay\"",
    ] {
        t.ask(&control, line);
    }

    // A connection that does not open with hello, or says nothing that can be read, is closed.
    for line in ["{\"acts-on\":{\"version\":3}}", "hello"] {
        let mut stranger = Host::connect("stranger", setup.address);
        stranger.send(&mut t, line);
        assert_eq!(stranger.receive(&mut t), "");
    }
    t.ask(&control, "stop");
    assert_eq!(process.exit_code(), Some(0));

    // The store is read back, with the hosts that were known.
    let mut process = setup.start();
    for line in [
        "{\"show\":{\"version\":null}}",
        "\"hosts\"",
        "\"replay\"",
        "stop",
    ] {
        t.ask(&control, line);
    }
    assert_eq!(process.exit_code(), Some(0));
    assert_pinned("plan-service.txt", t.text());
}
