//! Log lines of a host's life, with their fields. One test, as signals go to the whole process.
mod support;

use nix::sys::signal::{Signal, raise};
use std::io::Write;
use support::{accept, config, host_with_node, listen, read_message, read_request};

#[test]
fn a_host_tells_of_its_start_its_calls_its_figures_its_reloads_and_its_end() {
    let (host, node, discovery) = host_with_node();
    let address = discovery.local_addr().expect("bound");

    let line = host.log.line("host starts");
    assert_eq!(line.level, "INFO");
    let (listens, calls) = (host.address.to_string(), address.to_string());
    let fields = [
        ("host", "n0"),
        ("listen", &*listens),
        ("discovery", &*calls),
        ("clients", "162"),
        ("nodes", "70"),
        ("cores", "1.0"),
        ("idle_close_ms", "30000"),
        ("connect_within_ms", "250"),
        ("memory_mb", "16"),
        ("known", "1"),
        ("list_pushed", "false"),
        ("ask_within_ms", "10000"),
    ];
    let told: Vec<(&str, &str)> = line.fields.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
    assert_eq!(told, fields);

    assert!(host.answer(&read_request("r-1")).ends_with("\r\n\r\ndata"));
    assert!(host.answer(&read_request("r-2").replace("gold", "lead")).ends_with("no such plan"));

    // A call that is refused, then one that is up and stays silent.
    let mut call = accept(&discovery);
    read_message(&mut call);
    call.write_all(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n").expect("open");
    let line = host.log.line("the list service failed");
    assert_eq!(line.level, "WARN");
    assert_eq!(
        line.fields,
        [("why", "answered 404"), ("address", &*calls)].map(|(n, v)| (n.to_owned(), v.to_owned()))
    );
    let _silent = accept(&discovery);
    let line = host.log.line("the list service says nothing");
    assert_eq!((&*line.level, line.names(), line.field("address")), ("WARN", vec!["address"], &*calls));

    // The figures come every 5 s, which is what this test waits for.
    let line = host.log.line("host");
    assert_eq!(line.level, "INFO");
    assert_eq!(
        line.names(),
        ["clients", "silent", "idle", "bytes", "counts", "bios", "in_hand", "lines", "kept_ms", "names"]
    );
    assert_eq!(line.field("kept_ms"), "15000");
    assert_eq!(line.field("counts"), "Counts { accepted: 2, turned_off: 0, unreadable: 0, wrong: 1 }");
    assert_eq!(
        line.field("bios"),
        "Counts { taken: 1, ended: 1, shed: 0, failed: 0, left: 0, never_sent: 0, asked_ready: 0 }"
    );
    let line = host.log.line("node");
    assert_eq!(line.level, "INFO");
    assert_eq!(
        line.names(),
        [
            "node",
            "open",
            "window",
            "out",
            "held",
            "wait_ms",
            "slowest_ms",
            "failures",
            "lines",
            "submits",
            "opened",
            "written",
            "answered",
            "spoilt"
        ]
    );
    let figures = ["node", "submits", "opened", "written", "answered", "spoilt"];
    assert_eq!(figures.map(|name| line.field(name)), ["0", "1", "1", "1", "1", "0"]);

    host.write_config("{}");
    raise(Signal::SIGHUP).expect("a signal");
    let line = host.log.line("the configuration is not taken");
    assert_eq!((&*line.level, line.names()), ("ERROR", vec!["why"]));
    assert!(line.field("why").contains("listen: expected address:port"), "{line:?}");

    let other = listen();
    let moved = other.local_addr().expect("bound");
    let text = config(host.address, moved, None).replace("\"n0\"", "\"n1\"").replace("gold", "lead");
    host.write_config(&text);
    raise(Signal::SIGHUP).expect("a signal");
    let line = host.log.line("the configuration is taken");
    assert_eq!((&*line.level, line.names()), ("INFO", vec!["discovery", "moved"]));
    assert_eq!((line.field("discovery"), line.field("moved")), (&*moved.to_string(), "true"));
    for warning in [
        "another name or address to listen on needs a new start",
        "other I/O groups or plans need a new start",
        "settings beside the plans' figures have changed, and need a new start",
    ] {
        let line = host.log.line(warning);
        assert_eq!((&*line.level, line.names()), ("WARN", vec![]));
    }

    raise(Signal::SIGINT).expect("a signal");
    let line = host.log.line("told to end");
    assert_eq!((&*line.level, line.names()), ("INFO", vec!["clients", "in_hand"]));
    assert_eq!((line.field("clients"), line.field("in_hand")), ("0", "0"));
    assert_eq!(host.thread.join().expect("no panic"), Ok(()));
    let last = host.log.lines().pop().expect("some");
    assert_eq!((&*last.level, &*last.message, last.names()), ("INFO", "host ends", vec![]));
    assert_eq!(node.requests().len(), 1);
}
