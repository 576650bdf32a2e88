//! The snapshot catalog: its control socket and its messages to hosts.
use crate::harness::{Peer, PendingRequest, Transcript, assert_pinned, mask};
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

/// A host that the test simulates; it acknowledges each change.
struct Host {
    peer: Peer,
    version: u64,
}

impl Host {
    fn send(&mut self, t: &mut Transcript, line: &str) {
        t.add("host sends:", line);
        self.peer.send(line);
    }

    /// Receives and records lines until one has this prefix, and acknowledges each change.
    fn receive_until(&mut self, t: &mut Transcript, prefix: &str) -> String {
        loop {
            let line = self.peer.line();
            t.add("host receives:", &mask(&line, "catalog"));
            assert!(
                !line.is_empty(),
                "the catalog closed the connection before it sent {prefix}"
            );
            if let Some(rest) = line.strip_prefix("{\"changed\":{\"version\":") {
                self.version = rest
                    .split(',')
                    .next()
                    .and_then(|n| n.parse().ok())
                    .expect("the change has a version");
                self.send(t, &format!("{{\"seen\":{{\"version\":{}}}}}", self.version));
            }
            if line.starts_with(prefix) {
                return line;
            }
        }
    }
}

#[test]
fn control_socket_and_messages_match_the_fixture() {
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
        t.request(&control, line);
    }
    for line in [
        "clone a@none c",
        "rollback a a@none",
        "rollback none a@s",
        "snapshot none s",
        "snapshot a s/s",
    ] {
        t.request(&control, line);
    }
    let mut host = Host {
        peer: Peer::connect(setup.address),
        version: 0,
    };
    host.send(&mut t, "{\"hello\":{\"host\":\"gw0\",\"have\":null}}");
    host.receive_until(&mut t, "\"filled\"");
    host.send(&mut t, "{\"renew\":{\"sent\":12,\"seen\":1}}");
    host.receive_until(&mut t, "{\"lease\"");

    // A snapshot waits for the host to report the layer clear, and is answered once the host has seen the change.
    t.add("ask:", "snapshot a s");
    let waiting = PendingRequest::send(&control, "snapshot a s").expect("the request is sent");
    host.receive_until(&mut t, "{\"ask-clear\"");
    host.send(&mut t, "{\"clear\":{\"layer\":1024}}");
    host.receive_until(&mut t, "{\"changed\":{\"version\":3,");
    t.add_answer(&waiting.answer().expect("the program answers"));
    host.receive_until(&mut t, "{\"over\"");

    t.add("ask:", "clone a@s c");
    let waiting = PendingRequest::send(&control, "clone a@s c").expect("the request is sent");
    host.receive_until(&mut t, "{\"changed\":{\"version\":4,");
    t.add_answer(&waiting.answer().expect("the program answers"));
    t.add("ask:", "rollback a a@s");
    let waiting = PendingRequest::send(&control, "rollback a a@s").expect("the request is sent");
    host.receive_until(&mut t, "{\"changed\":{\"version\":5,");
    t.add_answer(&waiting.answer().expect("the program answers"));

    // The layer that the rollback discarded is empty, and is removed without a request.
    host.receive_until(&mut t, "{\"changed\":{\"version\":6,");

    // The host reserves slots; the first copy of an extent is accepted, and the second is rejected.
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
        t.request(&control, line);
    }
    // The layer of the snapshot is empty, and is also removed without a request.
    host.receive_until(&mut t, "{\"changed\":{\"version\":11,");
    t.request(&control, "delete c");
    host.receive_until(&mut t, "{\"changed\":{\"version\":12,");

    // The same host connects again and names the version that it has.
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
        "the catalog closes the connection after a malformed line"
    );
    t.request(&control, "stop");
    assert_eq!(process.exit_code(), Some(0));

    let mut process = setup.start();
    for line in ["list", "tree", "stop"] {
        t.request(&control, line);
    }
    assert_eq!(process.exit_code(), Some(0));
    assert_pinned("snapshot-catalog.txt", t.text());
}
