//! Malformed, oversized, duplicate and pipelined requests of clients, and connections that stay silent.
use crate::support::client::{Client, read_text, write_text};
use crate::support::host_process::HostProcess;
use crate::support::node::Behavior;
use crate::support::wait_until;
use std::io::Write;
use std::time::{Duration, Instant};
#[test]
fn clients_that_do_not_read_long_responses_do_not_exhaust_memory() {
    let host = HostProcess::new(1);
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n{}",
        "x".repeat(900_000)
    );
    let mut clients = Vec::new();
    for n in 0..40 {
        let mut client = host.client();
        host.nodes[0].behave_next(Behavior::Raw(text.clone()));
        client.send(&read_text(&format!("r{n}"), 0, 900));
        wait_until("the request is at the node", || {
            host.nodes[0].received().len() == n + 1
        });
        clients.push(client);
    }
    wait_until("the host keeps serving", || {
        host.client()
            .read(&format!("ok{}", host.next_number()), 0)
            .0
            == 200
    });
    assert!(host.memory_kb() < 32 * 1024, "{} kB", host.memory_kb());
}

#[test]
fn malformed_requests_reach_no_node_and_disturb_no_other_client() {
    let host = HostProcess::new(1);
    let good = write_text("g", 0, "x", 400);
    let put = |from: &str, to: &str| good.replace(from, to);
    let bad = [
        "\u{0}\u{1}\u{2}\u{3}\r\n\r\n".to_owned(),
        "GET / HTTP/1.1\r\n\r\n".to_owned(),
        format!("GET /{} HTTP/1.1\r\n", "a".repeat(20_000)),
        put("Content-Length: 1", "Content-Length: -1"),
        put(
            "Content-Length: 1",
            "Content-Length: 1\r\nContent-Length: 1",
        ),
        put(
            "Content-Length: 1",
            "Content-Length: 1\r\nTransfer-Encoding: chunked",
        ),
        put("Content-Length: 1", "Content-Length: 62914560"),
        put(
            "Content-Length: 1",
            "Content-Length: 99999999999999999999999999",
        ),
        put("Content-Length: 1\r\n", ""),
        put("X-Priority-Class: book", "X-Priority-Class: nope"),
        put("X-Priority-Class: book", "X-Priority-Class: look"),
        put("PUT /book", "PUT /nope"),
        put("PUT /book", "DELETE /book"),
        put("X-Qos-Policy: gold", "X-Qos-Policy: lead"),
        put("X-Timeout-Ms: 400", "X-Timeout-Ms: soon"),
        put("X-Timeout-Ms: 400", "X-Timeout-Ms: 0"),
        put("X-Request-ID: g\r\n", ""),
        put("units=1", "units=many"),
    ];
    for text in &bad {
        let mut client = host.client();
        let start = Instant::now();
        client.send(text);
        let status = client.answer().map(|a| a.0);
        assert!(
            status.is_none_or(|s| (400..600).contains(&s)),
            "status {status:?} for {text:.80}"
        );
        assert!(start.elapsed() < Duration::from_secs(3), "{text:.80}");
        assert_eq!(
            host.client()
                .write(&format!("ok{}", host.next_number()), 0, "x")
                .0,
            200
        );
    }
    assert!(
        host.nodes[0]
            .received()
            .iter()
            .all(|s| s.id.starts_with("ok"))
    );
}

#[test]
fn an_oversized_body_is_rejected_at_its_header_with_a_readable_error() {
    let host = HostProcess::new(1);
    let mut client = host.client();
    client.send(
        &write_text("g", 0, "x", 400).replace("Content-Length: 1", "Content-Length: 62914560"),
    );
    let block = vec![b'x'; 64 * 1024];
    for _ in 0..960 {
        if client.socket.write_all(&block).is_err() {
            break;
        }
    }
    assert!(client.answer().is_none_or(|a| a.0 == 413));
    assert_eq!(host.client().read("ok", 0).0, 200);
}

#[test]
fn incomplete_requests_and_silent_connections_time_out() {
    let host = HostProcess::new(1);
    let (mut half, mut silent) = (host.client(), host.client());
    let start = Instant::now();
    half.send("PUT /book/00000003b4d6");
    assert_eq!(half.answer().map(|a| a.0), Some(408));
    assert_eq!(silent.answer(), None);
    assert!(start.elapsed() < Duration::from_secs(3));
}

#[test]
fn a_duplicate_request_id_is_rejected_and_the_first_request_completes() {
    let host = HostProcess::new(1);
    host.nodes[0].behave_next(Behavior::Hold);
    let (mut first, mut second) = (host.client(), host.client());
    first.send(&write_text("same", 0, "x", 900));
    wait_until("the request is at the node", || {
        host.nodes[0].received().len() == 1
    });
    assert_eq!(second.write("same", 0, "x").0, 409);
    host.nodes[0].release_held();
    assert_eq!(first.answer(), Some((200, "made for same".into())));
    assert_eq!(host.nodes[0].received().len(), 1);
}

#[test]
fn silent_connections_do_not_lock_out_other_clients() {
    let host = HostProcess::new(1);
    let mut usual = host.client();
    assert_eq!(usual.read("before", 0).0, 200);
    let mut clients: Vec<Client> = (0..400).map(|_| host.client()).collect();
    for n in 0..20 {
        clients.extend((0..40).map(|_| host.client()));
        assert_eq!(
            host.client().read(&format!("new{n}"), 0).0,
            200,
            "behind forty silent connections"
        );
        assert_eq!(usual.read(&format!("kept{n}"), 0).0, 200);
    }
    assert!(host.descriptors() <= 256, "{}", host.descriptors());
    drop(clients);
}

#[test]
fn idle_connections_do_not_lock_out_other_clients() {
    let host = HostProcess::new(1);
    let mut clients = Vec::new();
    for n in 0..400 {
        let mut client = host.client();
        assert_eq!(client.read(&format!("once{n}"), 0).0, 200);
        clients.push(client);
    }
    assert!(host.descriptors() <= 256, "{}", host.descriptors());
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let host = HostProcess::new(1);
    let mut client = host.client();
    let all: String = (0..300)
        .map(|n| read_text(&format!("p{n}"), 0, 900))
        .collect();
    client.send(&all);
    for n in 0..300 {
        let (status, body) = client.answer().expect("the host responds to each request");
        assert!(
            status == 503 || body == format!("made for p{n}"),
            "{n}: {status}"
        );
    }
}
