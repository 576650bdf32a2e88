//! Races between events of clients, nodes and connections. Each race is forced: a peer delays one event until the other
//! has happened, or the host is suspended until both are pending.
use crate::support::client::{Client, read_text, write_text};
use crate::support::host_process::HostProcess;
use crate::support::node::{Behavior, Node};
use crate::support::wait_until;
use socket2::SockRef;
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Returns the configuration with deadlines and connect timeouts that are longer than any test.
fn with_long_timeouts(config: &str) -> String {
    let config = config.replace("\"deadline_us\": 1000000", "\"deadline_us\": 60000000");
    let config = config.replace("\"aim_us\": 300000", "\"aim_us\": 30000000");
    config.replace(
        "\"connect_timeout_us\": 250000",
        "\"connect_timeout_us\": 60000000",
    )
}

/// Ways in which a client disconnects: a close, a half-close, a reset, and a close after an incomplete second request.
pub(crate) const DISCONNECTS: [fn(Client); 4] = [
    drop,
    |client| {
        client
            .socket
            .shutdown(Shutdown::Write)
            .expect("the connection is open");
        std::mem::forget(client);
    },
    // Dropping the socket then resets the connection.
    |client| {
        SockRef::from(&client.socket)
            .set_linger(Some(Duration::ZERO))
            .expect("the socket option can be set");
    },
    |mut client| client.send("GET /behind HTTP/1.1\r\n"),
];

#[test]
fn an_attempt_waiting_for_a_connection_is_withdrawn_when_its_client_disconnects() {
    for cancel in ["\"cancel\": true", "\"cancel\": false"] {
        let change = |config: String, _: &str| {
            with_long_timeouts(&config).replace("\"cancel\": true", cancel)
        };
        let host = HostProcess::with_nodes(vec![Node::not_accepting().with_full_backlog()], change);
        let node = &host.nodes[0];
        for (n, disconnect) in DISCONNECTS.into_iter().enumerate() {
            let mut client = host.client();
            client.send(&read_text(&format!("gone{n}"), 0, 50_000));
            wait_until("the attempt waits for a connection", || {
                node.pending_count() == 1
            });
            disconnect(client);
            wait_until("the attempt is withdrawn", || node.pending_count() == 0);
        }
        node.start_accepting();
        let mut next = host.client();
        next.send(&read_text("next", 0, 50_000));
        assert_eq!(next.answer(), Some((200, "made for next".into())));
        assert!(
            node.received().iter().all(|s| s.id == "next"),
            "the node received a request of a disconnected client"
        );
    }
}

#[test]
fn an_attempt_that_waited_for_a_connection_sends_the_remaining_timeout() {
    let host = HostProcess::with_nodes(
        vec![Node::not_accepting().with_full_backlog()],
        |config, _| with_long_timeouts(&config),
    );
    let node = &host.nodes[0];
    let mut client = host.client();
    let sent = Instant::now();
    client.send(&read_text("r", 0, 50_000));
    wait_until("the attempt waits for a connection", || {
        node.pending_count() == 1
    });
    wait_until("some time has passed", || {
        sent.elapsed() > Duration::from_millis(400)
    });
    node.start_accepting();
    assert_eq!(client.answer(), Some((200, "made for r".into())));
    let timeout = node.received()[0].timeout_ms;
    assert!(
        timeout <= 50_000 - 400 && timeout > 30_000,
        "remaining timeout of {timeout} ms, 0.4 s after a request with 50 s"
    );
}

#[test]
fn draining_withdraws_an_attempt_waiting_for_a_connection() {
    let host = HostProcess::with_nodes(
        vec![Node::not_accepting().with_full_backlog(), Node::new()],
        |config, _| with_long_timeouts(&config),
    );
    let mut client = host.client();
    client.send(&read_text("r", 0, 50_000));
    wait_until("the attempt waits for a connection", || {
        host.nodes[0].pending_count() == 1
    });
    wait_until("a watch is open", || host.endpoint_service.watchers() > 0);
    let entry = |n: usize, health: &str| host.nodes[n].entry(&format!("s-{n}"), 0, health);
    host.endpoint_service
        .publish(&format!("{},{}", entry(0, "draining"), entry(1, "ready")));
    assert_eq!(
        client.answer(),
        Some((200, "made for r".into())),
        "the other node serves it"
    );
    assert_eq!(host.nodes[0].pending_count(), 0);
}

#[test]
fn a_rejected_attempt_is_not_retried_for_a_disconnected_client() {
    let host = HostProcess::new(1);
    host.nodes[0].behave_next(Behavior::Hold);
    let busy = "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    let mut client = host.client();
    client.send(&read_text("r", 0, 900));
    wait_until("the request is at the node", || {
        host.nodes[0].received().len() == 1
    });
    host.suspend();
    drop(client);
    host.nodes[0].push(0, busy);
    host.resume();
    assert_eq!(host.client().read("next", 0).0, 200);
    host.nodes[0].release_held();
    // The host finds both events in one iteration, so a retry may have begun. It is cancelled, and no other one follows.
    wait_until("the attempt's connections are closed", || {
        host.nodes[0].closed_connections() >= 1
    });
    assert!(
        host.nodes[0]
            .received()
            .iter()
            .filter(|s| s.id == "r")
            .count()
            <= 2
    );
}

#[test]
fn nothing_is_forwarded_for_clients_that_disconnected_before_they_were_read() {
    let host = HostProcess::new(1);
    // On idle connections to the node, a request would be sent at once.
    (0..4).for_each(|n| assert_eq!(host.client().read(&format!("ahead{n}"), 0).0, 200));
    host.suspend();
    for n in 0..100 {
        let mut client = host.client();
        client.send(&read_text(&format!("gone{n}"), 0, 5_000));
        DISCONNECTS[n % DISCONNECTS.len()](client);
    }
    host.resume();
    assert_eq!(host.client().read("behind", 0).0, 200);
    let seen: Vec<String> = host.nodes[0].received().into_iter().map(|s| s.id).collect();
    assert!(seen.iter().all(|id| !id.starts_with("gone")), "{seen:?}");
}

#[test]
fn connections_to_a_suspended_host_are_not_delayed_by_a_retransmission() {
    let host = HostProcess::with_config(1, |config, _| {
        config.replace("\"sockets\":256", "\"sockets\":2048")
    });
    host.suspend();
    // The system retransmits a dropped SYN after a second at the earliest.
    let clients: Vec<_> = (0..400)
        .map(|_| {
            TcpStream::connect_timeout(&host.address(), Duration::from_millis(900))
                .expect("the connection is queued in the backlog")
        })
        .collect();
    host.resume();
    assert_eq!(host.client().read("behind", 0).0, 200);
    drop(clients);
}

/// Connects more clients than the host reads in one iteration, all accepted and read well before their timeout. Returns
/// them with the time at which the last one was read.
fn connect_many(host: &HostProcess, text_of: impl Fn(usize) -> String) -> (Vec<Client>, Instant) {
    for _ in 0..20 {
        let start = Instant::now();
        let mut clients: Vec<Client> = (0..120).map(|_| host.client()).collect();
        clients
            .iter_mut()
            .enumerate()
            .for_each(|(n, client)| client.send(&text_of(n)));
        // Clients are read in order: once the last one is served, all others have been read.
        let served = host
            .client()
            .try_read(&format!("last{}", host.next_number()), 0)
            .is_some();
        if served && start.elapsed() < Duration::from_secs(1) {
            return (clients, Instant::now());
        }
    }
    panic!("the clients are not accepted in time in 20 attempts");
}

#[test]
fn queued_requests_of_disconnected_clients_are_not_forwarded() {
    let host = HostProcess::with_config(1, |config, _| with_long_timeouts(&config));
    let node = &host.nodes[0];
    (0..40).for_each(|_| node.behave_next(Behavior::Hold));
    let mut clients: Vec<Client> = (0..20).map(|_| host.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&read_text(&format!("r{n}"), 0, 50_000));
    }
    wait_until("all requests are admitted", || {
        host.client().read("r19", 0).0 == 409
    });
    // Clients disconnect while capacity of the node is released, and the host finds both events in one iteration.
    wait_until("the host is suspended with no request partly sent", || {
        host.suspend();
        let settled = node.received().len() == node.established();
        if !settled {
            host.resume();
        }
        settled
    });
    let out: Vec<String> = node.received().iter().map(|s| s.id.clone()).collect();
    assert!(
        !out.is_empty() && out.len() < 20,
        "some requests are queued, in flight are {out:?}"
    );
    for n in (0..20).rev().filter(|n| !out.contains(&format!("r{n}"))) {
        drop(clients.remove(n));
    }
    node.release_held();
    wait_until("the node has answered", || {
        node.responses_sent() == out.len()
    });
    host.resume();
    for client in &mut clients {
        assert_eq!(client.answer().map(|a| a.0), Some(200));
    }
    let mut next = host.client();
    next.send(&read_text("next", 0, 50_000));
    assert_eq!(next.answer(), Some((200, "made for next".into())));
    let seen: Vec<String> = node
        .received()
        .into_iter()
        .map(|s| s.id)
        .filter(|id| id != "next")
        .collect();
    assert_eq!(
        seen, out,
        "the node received a request of a disconnected client"
    );
}

#[test]
fn requests_received_before_the_idle_timeout_is_checked_are_answered() {
    let host = HostProcess::with_config(1, |config, _| {
        config.replace("\"sockets\":256", "\"sockets\":2048")
    });
    let (mut clients, admitted_at) = connect_many(&host, |_| String::new());
    host.suspend();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&read_text(&format!("r{n}"), 0, 5_000));
    }
    wait_until("the idle timeout of the connections has passed", || {
        admitted_at.elapsed() > Duration::from_millis(2_100)
    });
    host.resume();
    for client in &mut clients {
        assert!(matches!(client.answer(), Some((200 | 503, _))));
    }
}

#[test]
fn an_incomplete_request_completed_before_its_timeout_is_checked_is_admitted() {
    let host = HostProcess::with_config(1, |config, _| {
        config.replace("\"sockets\":256", "\"sockets\":2048")
    });
    let text = |n: usize| read_text(&format!("r{n}"), 0, 5_000);
    let (mut clients, admitted_at) = connect_many(&host, |n| text(n)[..60].to_owned());
    host.suspend();
    clients
        .iter_mut()
        .enumerate()
        .for_each(|(n, client)| client.send(&text(n)[60..]));
    wait_until("the timeout of the incomplete requests has passed", || {
        admitted_at.elapsed() > Duration::from_millis(2_100)
    });
    host.resume();
    for client in &mut clients {
        assert!(matches!(client.answer(), Some((200 | 503, _))));
    }
}

#[test]
fn bytes_from_a_node_before_its_request_are_not_its_response() {
    let host = HostProcess::with_nodes(
        vec![Node::not_accepting().with_full_backlog()],
        |config, _| with_long_timeouts(&config),
    );
    let node = &host.nodes[0];
    node.set_greeting("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
    let mut client = host.client();
    client.send(&read_text("r", 0, 50_000));
    wait_until("the attempt waits for a connection", || {
        node.pending_count() == 1
    });
    let waiter = node.pending_connections().remove(0);
    host.suspend();
    node.start_accepting();
    // The greeting has arrived in the host's socket before the host reads it.
    wait_until("the greeting is received", || {
        node.has_unread_bytes_for(&waiter)
    });
    node.set_greeting("");
    host.resume();
    let (status, body) = client.answer().expect("the host responds");
    assert!(
        status == 200 && body == "made for r" || status == 503,
        "{status} {body}"
    );
}

#[test]
fn an_extra_response_on_an_idle_connection_is_not_taken_for_the_next_one() {
    let host = HostProcess::new(1);
    let mut client = host.client();
    for n in 0..10 {
        assert_eq!(client.read(&format!("a{n}"), 0).0, 200);
        host.suspend();
        let last = host.nodes[0]
            .received()
            .last()
            .expect("the node received a request")
            .connection;
        host.nodes[0].push(last, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
        client.send(&read_text(&format!("b{n}"), 0, 900));
        host.resume();
        assert_eq!(client.answer(), Some((200, format!("made for b{n}"))));
    }
}

#[test]
fn a_write_racing_an_idle_close_is_sent_once_on_a_new_connection() {
    let host = HostProcess::new(1);
    let mut client = host.client();
    for n in 0..10 {
        assert_eq!(client.read(&format!("a{n}"), 0).0, 200);
        host.suspend();
        host.nodes[0].close_connections();
        client.send(&write_text(&format!("b{n}"), 0, "x", 1_900));
        host.resume();
        assert_eq!(client.answer(), Some((200, format!("made for b{n}"))));
    }
    let seen = host.nodes[0].received();
    assert!((0..10).all(|n| seen.iter().filter(|s| s.id == format!("b{n}")).count() == 1));
}

/// Returns the configuration with writes that may be retried only within their cell.
fn with_keyed_writes(config: &str) -> String {
    let with_keyed_writes = "\"repeat\": \"deduplicated\", \"key_scope\": \"cell\", \"key_ttl_us\": 20000000, \"worth\": 3.0}]";
    config.replace(
        "\"repeat\": \"at_most_once\", \"worth\": 3.0}]",
        with_keyed_writes,
    )
}

#[test]
fn a_keyed_write_is_retried_in_its_scope_or_answered_at_once() {
    let nodes: Vec<Node> = (0..4).map(|_| Node::new()).collect();
    let all: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(n, node)| node.entry(&format!("s-{n}"), n as u32, "ready"))
        .collect();
    let host = HostProcess::with_nodes(nodes, |config, entry| {
        let config = config.replace("\"aim_us\": 300000", "\"aim_us\": 1500000");
        with_keyed_writes(&config).replace(&format!("[{entry}]"), &format!("[{}]", all.join(",")))
    });
    let mut client = host.client();
    for n in 0..20 {
        host.nodes
            .iter()
            .for_each(|node| node.behave_next(Behavior::Close));
        let start = Instant::now();
        let text = write_text(&format!("w{n}"), 0, "x", 1_900).replace("shard=0", "shard=-1");
        client.send(&text);
        let (status, _) = client.answer().expect("the host responds");
        let ran: Vec<usize> = (0..4)
            .flat_map(|at| {
                let seen = host.nodes[at].received();
                let count = seen.iter().filter(|s| s.id == format!("w{n}")).count();
                std::iter::repeat_n(at, count)
            })
            .collect();
        assert!(
            ran.windows(2).all(|w| w[0] == w[1]),
            "the write ran in several cells: {ran:?}"
        );
        assert!(
            status == 200 || start.elapsed() < Duration::from_millis(700),
            "{status} {:?}",
            start.elapsed()
        );
        // Unused behaviors must not apply to later writes.
        host.nodes.iter().for_each(Node::clear_behaviors);
    }
}
