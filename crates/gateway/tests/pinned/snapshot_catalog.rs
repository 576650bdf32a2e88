//! The snapshot catalog service: its control socket, and what it says to hosts.
use crate::harness::{Peer, Question, Transcript, assert_pinned, mask};
use crate::service_setup::ServiceSetup;

fn setup() -> ServiceSetup {
    ServiceSetup::new("catalog", |address, root| {
        format!(
            "fleet\n  hosts 1\n  unit 4KiB\n  mean-units 1\n  largest-units 8\n  submits 3\ncatalog\n  \
             listen {address}\n  store \"{root}/tree\"\n  control \"{root}/control.sock\"\n  extent 64\n  \
             copies all\nplan basic\ngroup all\n  effect idempotent\n  goal 100ms\n  hard-limit 1s\nvolume a\n  \
             lun 0\n  plan basic\n  blocks 256\n  block-size 512B\n  hosts 1\n  mapped\n  rule any all\n"
        )
    })
}

/// A host as the catalog sees it: it says of each change that it has seen it.
struct Host {
    peer: Peer,
    version: u64,
}

impl Host {
    fn send(&mut self, t: &mut Transcript, line: &str) {
        t.add("host sends:", line);
        self.peer.send(line);
    }

    /// Records what comes until a line begins so, and says of each change that it has been seen.
    fn receive_until(&mut self, t: &mut Transcript, begin: &str) -> String {
        loop {
            let line = self.peer.line();
            t.add("host receives:", &mask(&line, "catalog"));
            assert!(!line.is_empty(), "closed before {begin}");
            if let Some(rest) = line.strip_prefix("{\"changed\":{\"version\":") {
                self.version = rest
                    .split(',')
                    .next()
                    .and_then(|n| n.parse().ok())
                    .expect("a version");
                self.send(t, &format!("{{\"seen\":{{\"version\":{}}}}}", self.version));
            }
            if line.starts_with(begin) {
                return line;
            }
        }
    }
}

#[test]
fn control_socket_and_messages_are_as_they_were() {
    let setup = setup();
    let mut process = setup.start();
    let control = setup.control();
    let mut t = Transcript::default();
    for line in [
        "list",
        "tree",
        "status",
        "diff a none",
        "delete a",
        "delete none",
        "delete a@none",
    ] {
        t.ask(&control, line);
    }
    for line in [
        "clone a@none c",
        "rollback a a@none",
        "rollback none a@s",
        "snapshot none s",
        "snapshot a s/s",
    ] {
        t.ask(&control, line);
    }
    let mut host = Host {
        peer: Peer::connect(setup.address),
        version: 0,
    };
    host.send(&mut t, "{\"hello\":{\"host\":\"gw0\",\"have\":null}}");
    host.receive_until(&mut t, "\"filled\"");
    host.send(&mut t, "{\"renew\":{\"sent\":12,\"seen\":1}}");
    host.receive_until(&mut t, "{\"lease\"");

    // A snapshot waits until the host is clear of the layer, and is told once the host has seen it.
    t.add("ask:", "snapshot a s");
    let waiting = Question::ask(&control, "snapshot a s").expect("a connection");
    host.receive_until(&mut t, "{\"ask-clear\"");
    host.send(&mut t, "{\"clear\":{\"layer\":1024}}");
    host.receive_until(&mut t, "{\"changed\":{\"version\":3,");
    t.answered(&waiting.answer().expect("an answer"));
    host.receive_until(&mut t, "{\"over\"");

    t.add("ask:", "clone a@s c");
    let waiting = Question::ask(&control, "clone a@s c").expect("a connection");
    host.receive_until(&mut t, "{\"changed\":{\"version\":4,");
    t.answered(&waiting.answer().expect("an answer"));
    t.add("ask:", "rollback a a@s");
    let waiting = Question::ask(&control, "rollback a a@s").expect("a connection");
    host.receive_until(&mut t, "{\"changed\":{\"version\":5,");
    t.answered(&waiting.answer().expect("an answer"));

    // The layer that the rollback gave up is empty, and goes by itself.
    host.receive_until(&mut t, "{\"changed\":{\"version\":6,");

    // Numbers, a first copy of an extent, and one that comes second.
    host.send(&mut t, "{\"numbers\":{\"layer\":1026,\"count\":8}}");
    host.receive_until(&mut t, "{\"numbers\"");
    let place = |number: u32| {
        format!(
            "{{\"placed\":{{\"layer\":1026,\"extent\":2,\"place\":{{\"node\":0,\"number\":{number}}}}}}}"
        )
    };
    host.send(&mut t, &place(3));
    host.receive_until(&mut t, "{\"changed\":{\"version\":9,");
    host.send(&mut t, &place(4));
    host.receive_until(&mut t, "{\"not-placed\"");
    host.send(&mut t, "{\"leave\":{\"layer\":1026}}");
    host.receive_until(&mut t, "{\"leave\"");
    host.send(&mut t, "{\"leave\":{\"layer\":9999}}");
    host.receive_until(&mut t, "{\"leave\"");
    for line in [
        "list",
        "tree",
        "diff a a@s",
        "diff c a@s",
        "snapshot a s",
        "clone a@s a",
        "delete a@s",
    ] {
        t.ask(&control, line);
    }
    // The layer of the snapshot is empty, and goes by itself as well.
    host.receive_until(&mut t, "{\"changed\":{\"version\":11,");
    t.ask(&control, "delete c");
    host.receive_until(&mut t, "{\"changed\":{\"version\":12,");

    // The same host comes back with what it holds.
    drop(host);
    let mut host = Host {
        peer: Peer::connect(setup.address),
        version: 0,
    };
    host.send(&mut t, "{\"hello\":{\"host\":\"gw0\",\"have\":[0,1]}}");
    host.receive_until(&mut t, "\"filled\"");
    let mut stranger = Peer::connect(setup.address);
    stranger.send("hello");
    assert_eq!(
        stranger.line(),
        "",
        "what cannot be read ends the connection"
    );
    t.ask(&control, "stop");
    assert_eq!(process.exit_code(), Some(0));

    let mut process = setup.start();
    for line in ["list", "tree", "stop"] {
        t.ask(&control, line);
    }
    assert_eq!(process.exit_code(), Some(0));
    assert_pinned("snapshot-catalog.txt", t.text());
}
