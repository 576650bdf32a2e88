//! The watch of the endpoint list, also with races between two events: a scripted service delays one event until the
//! other has happened.
use crate::support::client::{read_text, write_text};
use crate::support::host_process::HostProcess;
use crate::support::node::Node;
use crate::support::scripted_endpoint_service::{HEAD, ScriptedEndpointService, chunk, line};
use crate::support::wait_until;
use nix::sys::signal::Signal;
use std::time::{Duration, Instant};

/// Starts a host that watches this service. Its cached list contains all nodes, each with the shard of its index.
fn host(
    service: &ScriptedEndpointService,
    nodes: usize,
    change: impl Fn(String) -> String,
) -> HostProcess {
    let nodes: Vec<Node> = (0..nodes).map(|_| Node::new()).collect();
    let all = entries(&nodes, "ready");
    HostProcess::with_nodes(nodes, |config, entry| {
        change(with_service(&config, service).replace(&format!("[{entry}]"), &format!("[{all}]")))
    })
}

/// Starts a host and a service with an open watch, on which the service has sent all nodes as version 50.
fn watched_host(nodes: usize) -> (ScriptedEndpointService, HostProcess) {
    let service = ScriptedEndpointService::new();
    let host = host(&service, nodes, |config| config);
    service.send(0, HEAD);
    service.send_line(0, 50, true, &entries(&host.nodes, "ready"));
    (service, host)
}

/// Returns the configuration with another endpoint list service.
fn with_service(config: &str, service: &ScriptedEndpointService) -> String {
    let from = config
        .find("\"discovery\":\"")
        .expect("the configuration has the field")
        + "\"discovery\":\"".len();
    let to = from
        + config[from..]
            .find('"')
            .expect("the value has a closing quote");
    format!("{}{}{}", &config[..from], service.address, &config[to..])
}

fn entry(nodes: &[Node], at: usize, health: &str) -> String {
    nodes[at].entry(&format!("s-{at}"), at as u32, health)
}

fn entries(nodes: &[Node], health: &str) -> String {
    (0..nodes.len())
        .map(|at| entry(nodes, at, health))
        .collect::<Vec<_>>()
        .join(",")
}

/// Waits until a node's drain is obeyed. No other node has its shard, so that all reads of the shard are shed then.
fn assert_drained(host: &HostProcess, at: usize) {
    let mut client = host.client();
    let mut read = || {
        client
            .read(&format!("d{}", host.next_number()), at as u32)
            .0
    };
    wait_until("reads of the drained node's shard are shed", || {
        read() == 503
    });
    let before = host.nodes[at].received().len();
    assert!(
        (0..20).all(|_| read() == 503),
        "a read was not shed after the drain"
    );
    assert_eq!(host.nodes[at].received().len(), before);
}

/// Answers a request with the drain of a node, and waits until the drain is obeyed. If the test is so slow that the host
/// replaces the request by another one, that one gets the same answer.
fn publish_drain(host: &HostProcess, service: &ScriptedEndpointService, request: usize, at: usize) {
    let mut next = request;
    service.wait_for_request(request);
    wait_until("reads of the drained node's shard are shed", || {
        while next < service.requests() {
            service.send(next, HEAD);
            service.send_line(next, 51, false, &entry(&host.nodes, at, "draining"));
            next += 1;
        }
        // Each read uses a connection of its own, since the host closes a connection that is silent for 2 s.
        let id = format!("t{}", host.next_number());
        host.client().read(&id, at as u32).0 == 503
    });
    assert_drained(host, at);
}

/// Waits until all nodes serve reads.
fn wait_until_served(host: &HostProcess) {
    let mut client = host.client();
    for at in 0..host.nodes.len() {
        wait_until("the node serves", || {
            client
                .read(&format!("s{}", host.next_number()), at as u32)
                .0
                == 200
        });
    }
}

#[test]
fn a_new_service_is_asked_for_a_full_snapshot() {
    let (old, new) = (
        ScriptedEndpointService::new(),
        ScriptedEndpointService::new(),
    );
    let host = host(&old, 2, |config| config);
    old.send(0, HEAD);
    old.send_line(0, 50, true, &entries(&host.nodes, "ready"));
    // The old service's last line races the reload; its version means nothing to the new service.
    host.write_config(&with_service(&host.config(&host.endpoint_service), &new));
    host.signal(Signal::SIGHUP);
    old.send_line(0, 51, false, &entry(&host.nodes, 1, "ready"));
    assert!(
        !new.wait_for_request(0).contains("since"),
        "{}",
        new.wait_for_request(0)
    );
    new.send(0, HEAD);
    new.send_line(0, 5, true, &entries(&host.nodes, "ready"));
    new.send_line(0, 6, false, &entry(&host.nodes, 0, "draining"));
    assert_drained(&host, 0);
    wait_until("the old watch is closed", || old.open_requests() == 0);
}

#[test]
fn the_end_of_the_old_watch_does_not_delay_the_new_service() {
    let (old, new) = (
        ScriptedEndpointService::new(),
        ScriptedEndpointService::new(),
    );
    // With 300 hosts, requests are spread over the time that the rule on drains allows, 4 s here.
    let many = |config: String| {
        let config = config.replace("\"balancers\": 1", "\"balancers\": 300");
        config.replace("\"ask_within_us\": 10000000", "\"ask_within_us\": 5000000")
    };
    for seed in ["1", "2", "3"] {
        let host = host(&old, 1, |config| {
            many(config).replace("8c1f30d27a5be964", seed)
        });
        let first = old.requests();
        old.send(first, HEAD);
        old.send_line(first, 50, true, &entries(&host.nodes, "ready"));
        host.write_config(&many(with_service(
            &host.config(&host.endpoint_service),
            &new,
        )));
        let before = new.requests();
        host.signal(Signal::SIGHUP);
        let signalled = Instant::now();
        old.close(first);
        new.wait_for_request(before);
        assert!(
            signalled.elapsed() < Duration::from_millis(2_500),
            "seed {seed}: {:?}",
            signalled.elapsed()
        );
    }
}

#[test]
fn failed_polls_are_retried_in_time_after_the_service_returns() {
    let service = ScriptedEndpointService::new();
    let host = host(&service, 1, |config| {
        config.replace("\"balancers\": 1", "\"balancers\": 300")
    });
    service.send(0, HEAD);
    service.send_line(0, 50, true, &entries(&host.nodes, "ready"));
    service.close(0);
    // The service is busy or unreachable. A host whose request fails just before it returns must retry early enough.
    for request in 1..=2 {
        let from = Instant::now();
        service.wait_for_request(request);
        assert!(
            from.elapsed() < Duration::from_millis(4_800),
            "request {request}: {:?}",
            from.elapsed()
        );
        service.send(request, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    }
    service.wait_for_request(3);
    publish_drain(&host, &service, 3, 0);
}

#[test]
fn a_service_with_a_lower_version_is_asked_for_a_full_snapshot() {
    let (service, host) = watched_host(2);
    wait_until_served(&host);
    service.close(0);
    // The service has restarted and counts from 5; it has nothing newer than version 50.
    assert!(
        service.wait_for_request(1).contains("since=50"),
        "{}",
        service.wait_for_request(1)
    );
    service.send(1, HEAD);
    service.send_line(1, 5, false, "");
    assert!(
        !service.wait_for_request(2).contains("since"),
        "{}",
        service.wait_for_request(2)
    );
    service.send(2, HEAD);
    service.send_line(
        2,
        5,
        true,
        &format!(
            "{},{}",
            entry(&host.nodes, 0, "draining"),
            entry(&host.nodes, 1, "ready")
        ),
    );
    assert_drained(&host, 0);
}

#[test]
fn a_repeated_old_change_is_ignored() {
    let (service, host) = watched_host(2);
    service.send_line(0, 51, false, &entry(&host.nodes, 0, "draining"));
    assert_drained(&host, 0);
    service.send_line(0, 51, false, &entry(&host.nodes, 0, "ready"));
    service.send_line(0, 52, false, &entry(&host.nodes, 1, "draining"));
    assert_drained(&host, 1);
    assert_drained(&host, 0);
    assert_eq!((service.requests(), service.open_requests()), (1, 1));
}

#[test]
fn a_watch_answered_with_a_content_length_is_reopened() {
    let service = ScriptedEndpointService::new();
    let host = host(&service, 2, |config| config);
    let list = line(50, true, &entries(&host.nodes, "ready"));
    service.send(
        0,
        &format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        ),
    );
    assert!(service.wait_for_request(1).contains("since=50"));
    publish_drain(&host, &service, 1, 0);
}

#[test]
fn an_unterminated_line_does_not_count_as_a_heartbeat() {
    let (service, host) = watched_host(2);
    // The host keeps receiving bytes, but never a complete line.
    wait_until("the watch is reopened", || {
        service.send(0, &chunk(" "));
        service.requests() > 1
    });
    publish_drain(&host, &service, 1, 0);
}

#[test]
fn a_silent_watch_is_replaced_without_a_gap() {
    let (service, host) = watched_host(2);
    // The service accepts requests and answers none. Each request but the first is sent while another one is open.
    wait_until("the host has sent several requests", || {
        assert!(
            service.open_requests() > 0,
            "no request is open after {} requests",
            service.requests()
        );
        service.requests() > 3
    });
    assert!(
        service.open_requests() <= 2,
        "{} requests are open at once",
        service.open_requests()
    );
    // The last request becomes the watch once it is answered.
    publish_drain(&host, &service, service.requests() - 1, 0);
    wait_until("one request is open", || service.open_requests() == 1);
}

#[test]
fn a_silent_watch_counts_until_the_next_one_answers() {
    let (service, host) = watched_host(2);
    // After the head of its response, a request may take longer for its first line than this test lasts.
    service.send(1, HEAD);
    service.send_line(0, 51, false, &entry(&host.nodes, 0, "draining"));
    assert_drained(&host, 0);
    service.send_line(1, 52, false, &entry(&host.nodes, 1, "draining"));
    wait_until("the silent watch is closed", || {
        service.open_requests() == 1
    });
    assert_drained(&host, 1);
    assert_eq!(service.requests(), 2);
}

#[test]
fn a_drain_in_a_line_with_an_invalid_entry_is_obeyed() {
    let (service, host) = watched_host(2);
    wait_until_served(&host);
    let drain = entry(&host.nodes, 0, "draining");
    let invalid = entry(&host.nodes, 1, "ready").replace("\"block\":1", "\"block\":\"none\"");
    service.send_line(0, 51, false, &format!("{drain},{invalid}"));
    assert_drained(&host, 0);
    // Nothing else of the line is applied: the changes since 50 are requested again.
    assert!(
        service.wait_for_request(1).contains("since=50"),
        "{}",
        service.wait_for_request(1)
    );
}

#[test]
fn an_indented_list_in_chunks_is_parsed() {
    let service = ScriptedEndpointService::new();
    let host = host(&service, 2, |config| config);
    let indented = |text: &str| text.replace(',', ",\n    ").replace('{', "{\n  ");
    service.send(0, HEAD);
    let whole = indented(&line(50, true, &entries(&host.nodes, "ready")));
    service.send(0, &chunk(&whole[..whole.len() / 2]));
    service.send(0, &chunk(&whole[whole.len() / 2..]));
    service.send(0, &chunk("\n"));
    service.send(
        0,
        &chunk(&indented(&line(
            51,
            false,
            &entry(&host.nodes, 0, "draining"),
        ))),
    );
    assert_drained(&host, 0);
    assert_eq!((service.requests(), service.open_requests()), (1, 1));
}

#[test]
fn a_truncated_line_changes_nothing_and_is_requested_again() {
    let (service, host) = watched_host(2);
    let drain = line(51, false, &entry(&host.nodes, 0, "draining"));
    service.send(0, &chunk(&drain[..drain.len() / 2]));
    service.close(0);
    assert!(service.wait_for_request(1).contains("since=50"));
    wait_until_served(&host);
    service.send(1, HEAD);
    service.send(1, &chunk(&drain));
    assert_drained(&host, 0);
}

#[test]
fn a_last_line_read_together_with_the_end_of_its_watch_is_applied() {
    let (service, host) = watched_host(2);
    wait_until_served(&host);
    host.suspend();
    service.send_line(0, 51, false, &entry(&host.nodes, 0, "draining"));
    service.close(0);
    host.resume();
    assert!(
        service.wait_for_request(1).contains("since=51"),
        "{}",
        service.wait_for_request(1)
    );
    assert_drained(&host, 0);
}

#[test]
fn a_drain_missed_between_watches_is_obeyed_with_the_next_one() {
    let (service, host) = watched_host(2);
    wait_until_served(&host);
    service.close(0);
    service.wait_for_request(1);
    publish_drain(&host, &service, 1, 0);
}

#[test]
fn a_received_drain_is_applied_before_requests_received_with_it() {
    let service = ScriptedEndpointService::new();
    let host = host(&service, 2, |config| {
        config.replace("\"sockets\":256", "\"sockets\":2048")
    });
    service.send(0, HEAD);
    service.send_line(0, 50, true, &entries(&host.nodes, "ready"));
    wait_until_served(&host);
    // There are more clients than the host reads in one iteration, and the line of the list is received last.
    let connect = |n| {
        let mut client = host.client();
        assert!(client.try_read(&format!("a{n}"), 1).is_some());
        client
    };
    let mut clients: Vec<_> = (0..700).map(connect).collect();
    host.suspend();
    let before = host.nodes[0].received().len();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&read_text(&format!("c{n}"), 0, 900));
    }
    service.send_line(0, 51, false, &entry(&host.nodes, 0, "draining"));
    host.resume();
    for client in &mut clients {
        assert_eq!(client.answer().map(|a| a.0), Some(503));
    }
    assert_eq!(
        host.nodes[0].received().len(),
        before,
        "no request is sent to the draining node"
    );
}

#[test]
fn a_node_replaced_at_its_address_is_used_under_its_new_name() {
    let (service, host) = watched_host(1);
    wait_until_served(&host);
    let (gone, new) = (
        entry(&host.nodes, 0, "gone"),
        host.nodes[0].entry("s-9", 0, "ready"),
    );
    host.suspend();
    host.nodes[0].close_connections();
    service.send_line(0, 51, false, &format!("{gone},{new}"));
    let mut client = host.client();
    client.send(&write_text("w", 0, "x", 1_900));
    host.resume();
    assert_eq!(client.answer(), Some((200, "made for w".into())));
    assert_eq!(
        host.nodes[0]
            .received()
            .iter()
            .filter(|s| s.id == "w")
            .count(),
        1
    );
}
