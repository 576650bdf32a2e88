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
    let line = host.log.line("discovery watch failed");
    assert_eq!(line.level, "WARN");
    assert_eq!(
        line.fields,
        [("error", "answered 404"), ("address", &*calls)].map(|(n, v)| (n.to_owned(), v.to_owned()))
    );
    let _silent = accept(&discovery);
    let line = host.log.line("discovery watch is silent");
    assert_eq!((&*line.level, line.names(), line.field("address")), ("WARN", vec!["address"], &*calls));

    // The figures come every 5 s, which is what this test waits for.
    let line = host.log.line("host status");
    assert_eq!(line.level, "INFO");
    assert_eq!(
        line.names(),
        [
            "clients",
            "silent",
            "idle",
            "bytes",
            "connections",
            "ios",
            "in_flight",
            "node_connections",
            "keep_alive_ms",
            "interned"
        ]
    );
    assert_eq!(line.field("keep_alive_ms"), "15000");
    assert_eq!(
        line.field("connections"),
        "ClientCounters { accepted: 2, rejected: 0, malformed: 0, invalid: 1 }"
    );
    assert_eq!(
        line.field("ios"),
        "IoCounters { admitted: 1, completed: 1, shed: 0, failed: 0, disconnected: 0, unsent_attempts: 0, readiness_checks: 0 }"
    );
    let line = host.log.line("node status");
    assert_eq!(line.level, "INFO");
    assert_eq!(
        line.names(),
        [
            "node",
            "open",
            "window",
            "in_flight",
            "queued",
            "latency_ms",
            "slowest_ms",
            "failures",
            "connections",
            "attempts",
            "connections_opened",
            "requests_written",
            "responses",
            "corrupt_responses"
        ]
    );
    let figures =
        ["node", "attempts", "connections_opened", "requests_written", "responses", "corrupt_responses"];
    assert_eq!(figures.map(|name| line.field(name)), ["0", "1", "1", "1", "1", "0"]);

    host.write_config("{}");
    raise(Signal::SIGHUP).expect("a signal");
    let line = host.log.line("configuration rejected");
    assert_eq!((&*line.level, line.names()), ("ERROR", vec!["error"]));
    assert!(line.field("error").contains("listen: expected address:port"), "{line:?}");

    let other = listen();
    let moved = other.local_addr().expect("bound");
    let text = config(host.address, moved, None).replace("\"n0\"", "\"n1\"").replace("gold", "lead");
    host.write_config(&text);
    raise(Signal::SIGHUP).expect("a signal");
    let line = host.log.line("configuration reloaded");
    assert_eq!((&*line.level, line.names()), ("INFO", vec!["discovery", "moved"]));
    assert_eq!((line.field("discovery"), line.field("moved")), (&*moved.to_string(), "true"));
    for warning in [
        "another name or address to listen on needs a restart",
        "other I/O classes or plans need a restart",
        "settings beside the plans' figures have changed, and need a restart",
    ] {
        let line = host.log.line(warning);
        assert_eq!((&*line.level, line.names()), ("WARN", vec![]));
    }

    raise(Signal::SIGINT).expect("a signal");
    let line = host.log.line("graceful shutdown begins");
    assert_eq!((&*line.level, line.names()), ("INFO", vec!["clients", "in_flight"]));
    assert_eq!((line.field("clients"), line.field("in_flight")), ("0", "0"));
    assert_eq!(host.thread.join().expect("no panic"), Ok(()));
    let last = host.log.lines().pop().expect("some");
    assert_eq!((&*last.level, &*last.message, last.names()), ("INFO", "host stopped", vec![]));
    assert_eq!(node.requests().len(), 1);
}
