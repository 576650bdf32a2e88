//! Log lines of a host from its start to its end, with their fields. Operators and scripts rely on these lines. There
//! is only one test, because signals are sent to the whole process.
mod support;

use nix::sys::signal::{Signal, raise};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use support::{Host, accept, config, host_with_node, listen, read_message, read_request};

#[test]
fn a_host_logs_its_start_failed_watches_status_reloads_and_end() {
    let (host, node, discovery) = host_with_node();
    let service = discovery.local_addr().expect("bound");
    expect_start(&host, service);

    assert!(
        host.response_to(&read_request("r-1"))
            .ends_with("\r\n\r\ndata")
    );
    assert!(
        host.response_to(&read_request("r-2").replace("gold", "lead"))
            .ends_with("no such plan")
    );

    let _silent = expect_failed_watches(&host, &discovery);
    // The status is logged every 5 s, so this test takes that long.
    expect_host_status(&host);
    expect_node_status(&host);
    expect_rejected_reload(&host);
    let _moved = expect_reload(&host);
    expect_end(host);
    assert_eq!(node.requests().len(), 1);
}

fn expect_start(host: &Host, service: SocketAddr) {
    let line = host.log.line("host started");
    assert_eq!(line.level, "INFO");
    let (listen, discovery) = (host.address.to_string(), service.to_string());
    let expected = [
        ("host", "n0"),
        ("listen", &*listen),
        ("discovery", &*discovery),
        ("client_connections", "162"),
        ("node_connections", "70"),
        ("cores", "1.0"),
        ("idle_timeout_ms", "30000"),
        ("connect_timeout_ms", "250"),
        ("memory_mb", "16"),
        ("cached_endpoints", "1"),
        ("endpoints_pushed", "false"),
        ("max_poll_delay_ms", "10000"),
    ];
    let logged: Vec<(&str, &str)> = line
        .fields
        .iter()
        .map(|(n, v)| (n.as_str(), v.as_str()))
        .collect();
    assert_eq!(logged, expected);
}

/// The service answers the first watch with 404, and leaves the next one silent. Returns the silent one.
fn expect_failed_watches(host: &Host, discovery: &TcpListener) -> TcpStream {
    let service = discovery.local_addr().expect("bound").to_string();
    let mut refused = accept(discovery);
    read_message(&mut refused);
    refused
        .write_all(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
        .expect("open");
    let line = host.log.line("discovery watch failed");
    assert_eq!(line.level, "WARN");
    let expected = [
        (
            "error",
            "discovery service responded with HTTP status 404; expected 200",
        ),
        ("address", &*service),
    ];
    assert_eq!(
        line.fields,
        expected.map(|(n, v)| (n.to_owned(), v.to_owned()))
    );
    let silent = accept(discovery);
    let line = host.log.line("discovery watch is silent");
    assert_eq!(
        (&*line.level, line.names(), line.field("address")),
        ("WARN", vec!["address"], &*service)
    );
    silent
}

fn expect_host_status(host: &Host) {
    let line = host.log.line("host status");
    assert_eq!(line.level, "INFO");
    let names = [
        "clients",
        "silent",
        "idle",
        "bytes",
        "connections",
        "closed",
        "ios",
        "in_flight",
        "node_connections",
        "keep_alive_ms",
        "interned",
        "executed_ids",
    ];
    assert_eq!(line.names(), names);
    assert_eq!(line.field("keep_alive_ms"), "15000");
    let clients = "ClientCounters { accepted: 2, rejected: 0, malformed: 0, invalid: 1 }";
    assert_eq!(line.field("connections"), clients);
    let closed = "CloseCounters { disconnected: 2, idle: 0, shutdown: 0, evicted: 0, finished: 0, \
                  unread_response: 0, late_request: 0, malformed: 0, memory: 0 }";
    assert_eq!(line.field("closed"), closed);
    let ios = "IoCounters { admitted: 1, completed: 1, shed: 0, failed: 0, disconnected: 0, \
               unsent_attempts: 0, readiness_checks: 0 }";
    assert_eq!(line.field("ios"), ios);
}

fn expect_node_status(host: &Host) {
    let line = host.log.line("node status");
    assert_eq!(line.level, "INFO");
    let names = [
        "node",
        "active",
        "concurrency_window",
        "in_flight",
        "queued",
        "mean_latency_ms",
        "slowest_ms",
        "consecutive_failures",
        "connections",
        "attempts",
        "connections_opened",
        "requests_written",
        "responses",
        "corrupt_responses",
    ];
    assert_eq!(line.names(), names);
    let counters = [
        "node",
        "attempts",
        "connections_opened",
        "requests_written",
        "responses",
        "corrupt_responses",
    ];
    assert_eq!(
        counters.map(|name| line.field(name)),
        ["0", "1", "1", "1", "1", "0"]
    );
}

fn expect_rejected_reload(host: &Host) {
    host.write_config("{}");
    raise(Signal::SIGHUP).expect("cannot raise the signal");
    let line = host.log.line("configuration rejected");
    assert_eq!((&*line.level, line.names()), ("ERROR", vec!["error"]));
    assert!(
        line.field("error")
            .contains("listen: expected address:port"),
        "{line:?}"
    );
}

/// Reloads a configuration with another discovery service, another host name and another plan. Returns the listener of
/// the new service.
fn expect_reload(host: &Host) -> TcpListener {
    let discovery = listen();
    let new_service = discovery.local_addr().expect("bound");
    let text = config(host.address, new_service, None)
        .replace("\"n0\"", "\"n1\"")
        .replace("gold", "lead");
    host.write_config(&text);
    raise(Signal::SIGHUP).expect("cannot raise the signal");
    let line = host.log.line("configuration reloaded");
    assert_eq!(
        (&*line.level, line.names()),
        ("INFO", vec!["discovery", "moved"])
    );
    assert_eq!(
        (line.field("discovery"), line.field("moved")),
        (&*new_service.to_string(), "true")
    );
    let warnings = [
        "another name or address to listen on needs a restart",
        "other I/O classes or plans need a restart",
        "settings beside the plans' figures have changed, and need a restart",
    ];
    for warning in warnings {
        let line = host.log.line(warning);
        assert_eq!((&*line.level, line.names()), ("WARN", vec![]));
    }
    discovery
}

fn expect_end(host: Host) {
    raise(Signal::SIGINT).expect("cannot raise the signal");
    let line = host.log.line("graceful shutdown begins");
    assert_eq!(
        (&*line.level, line.names()),
        ("INFO", vec!["clients", "in_flight"])
    );
    assert_eq!((line.field("clients"), line.field("in_flight")), ("0", "0"));
    assert_eq!(
        host.thread.join().expect("the host's thread panicked"),
        Ok(())
    );
    let last = host.log.lines().pop().expect("the host has logged nothing");
    assert_eq!(
        (&*last.level, &*last.message, last.names()),
        ("INFO", "host stopped", vec![])
    );
}
