//! Handling of node responses: valid, corrupt, late and missing ones.
use crate::support::client::{read_text, write_text};
use crate::support::host_process::HostProcess;
use crate::support::node::Behavior;
use crate::support::{numbered_body, wait_until};
use std::time::{Duration, Instant};
/// Maximum time for which a connection is not reused after a response: 2 ms, and the rounding of the host's clock.
const MAX_REUSE_DELAY: Duration = Duration::from_micros(2_500);

/// Number of reads, and of writes: enough to last several times `MAX_REUSE_DELAY` on a fast machine.
const PAIRS: usize = 100;

/// Start and end times of consecutive requests.
#[derive(Default)]
struct RequestTimes(Vec<(Instant, Instant)>);

impl RequestTimes {
    fn record<T>(&mut self, request: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let answer = request();
        self.0.push((began, Instant::now()));
        answer
    }

    /// Returns the maximum number of connections that these requests need. When a request begins, only connections
    /// whose response was received within `MAX_REUSE_DELAY` before it cannot be reused; one more connection is enough.
    fn max_connections(&self) -> usize {
        let unavailable = |began: Instant| {
            let earlier = self.0.iter().filter(|(_, ended)| *ended <= began);
            earlier
                .filter(|(_, ended)| began - *ended < MAX_REUSE_DELAY)
                .count()
        };
        let max_unavailable = self.0.iter().map(|(began, _)| unavailable(*began)).max();
        max_unavailable.map_or(0, |unavailable| unavailable + 1)
    }
}

#[test]
fn reads_and_writes_are_answered_unchanged() {
    let host = HostProcess::new(1);
    let mut client = host.client();
    let mut times = RequestTimes::default();
    for n in 0..PAIRS {
        let id = format!("r{n}");
        let answer = times.record(|| client.read(&id, 0));
        assert_eq!(answer, (200, format!("made for {id}")));
        let id = format!("w{n}");
        let answer = times.record(|| client.write(&id, 0, "posted"));
        assert_eq!(answer, (200, format!("made for {id}")));
    }
    let seen = host.nodes[0].received();
    assert_eq!(seen.len(), 2 * PAIRS);
    assert!(
        seen.iter()
            .all(|s| s.target.starts_with("/look/") || s.body == "posted")
    );
    // Connections are reused, except shortly after a response.
    let connections = host.nodes[0].connections();
    let max = times.max_connections();
    assert!(
        connections <= max,
        "{connections} connections, although {max} are enough"
    );
}

#[test]
fn corrupt_responses_are_not_forwarded_and_writes_not_retried() {
    let corrupt = [
        "\u{1}\u{2}noise\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nbody",
        "HTTP/9.9 200 OK\r\nContent-Length: 4\r\n\r\nbody",
    ];
    let endless = format!(
        "HTTP/1.1 200 OK\r\n{}",
        "X-Pad: 0123456789\r\n".repeat(1_000)
    );
    let many = "HTTP/1.1 100 Continue\r\n\r\n".repeat(50);
    let host = HostProcess::new(1);
    let mut client = host.client();
    for (n, text) in corrupt
        .iter()
        .copied()
        .chain([&*endless, &*many])
        .enumerate()
    {
        host.nodes[0].behave_next(Behavior::Raw(text.to_owned()));
        let (status, body) = client.write(&format!("w{n}"), 0, "x");
        assert_eq!((status, &*body), (500, ""), "{text:.60}");
        host.nodes[0].behave_next(Behavior::Raw(text.to_owned()));
        let id = format!("r{n}");
        let (status, body) = client.read(&id, 0);
        assert!(
            status == 200 && body == format!("made for {id}") || status == 503,
            "{status} {text:.60}"
        );
    }
    let writes = host.nodes[0]
        .received()
        .iter()
        .filter(|s| s.target.starts_with("/book/"))
        .count();
    assert_eq!(
        writes,
        corrupt.len() + 2,
        "each write reached the node once"
    );
}

#[test]
fn a_response_with_trailing_bytes_is_used_but_its_connection_is_not_reused() {
    let host = HostProcess::new(1);
    let mut client = host.client();
    for (n, tail) in ["noise", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"]
        .iter()
        .enumerate()
    {
        host.nodes[0].behave_next(Behavior::AnswerBetween(String::new(), (*tail).to_owned()));
        assert_eq!(
            client.read(&format!("a{n}"), 0),
            (200, format!("made for a{n}"))
        );
        assert_eq!(
            client.read(&format!("b{n}"), 0),
            (200, format!("made for b{n}"))
        );
    }
    let ahead = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    host.nodes[0].behave_next(Behavior::AnswerBetween(ahead.to_owned(), String::new()));
    assert_eq!(client.read("c", 0), (200, "made for c".into()));
    let seen = host.nodes[0].received();
    let on = |id: &str| {
        seen.iter()
            .find(|s| s.id == id)
            .expect("the node received the request")
            .connection
    };
    assert!(on("a0") != on("b0") && on("a1") != on("b1"));
}

#[test]
fn long_responses_reach_slow_clients_complete_and_release_their_memory() {
    let host = HostProcess::new(1);
    let long = numbered_body(50_000);
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{long}",
        long.len()
    );
    // The responses add up to far more than the host may buffer.
    for n in 0..60 {
        let mut client = host.client();
        host.nodes[0].behave_next(Behavior::Raw(text.clone()));
        client.send(&read_text(&format!("r{n}"), 0, 900));
        wait_until("the request is at the node", || {
            host.nodes[0].received().len() == n + 1
        });
        assert!(client.answer() == Some((200, long.clone())), "answer {n}");
    }
}

#[test]
fn a_connection_closed_by_the_node_fails_a_write_and_a_refused_one_sheds_it() {
    let mut host = HostProcess::new(1);
    let mut client = host.client();
    host.nodes[0].behave_next(Behavior::Close);
    assert_eq!(client.write("w", 0, "x").0, 500, "the write may have run");
    assert_eq!(host.nodes[0].received().len(), 1);
    host.nodes[0].stop();
    wait_until("the write is shed", || {
        client.write(&format!("w{}", host.next_number()), 0, "x").0 == 503
    });
}

#[test]
fn a_write_that_the_node_did_not_run_is_retried() {
    let host = HostProcess::new(1);
    let mut client = host.client();
    let busy = "HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
    host.nodes[0].behave_next(Behavior::Raw(busy.into()));
    assert_eq!(client.write("w", 0, "x"), (200, "made for w".into()));
    assert_eq!(
        host.nodes[0]
            .received()
            .iter()
            .filter(|s| s.id == "w")
            .count(),
        2
    );
}

#[test]
fn a_write_to_a_silent_node_fails_before_the_client_times_out() {
    let host = HostProcess::new(1);
    let mut client = host.client();
    host.nodes[0].behave_next(Behavior::StaySilent);
    let start = Instant::now();
    let (status, _) = client.write_within("w", 0, "x", 400);
    assert_eq!(status, 500);
    assert!(
        start.elapsed() < Duration::from_millis(450),
        "{:?}",
        start.elapsed()
    );
    wait_until(
        "the host abandons the attempt by closing its connection",
        || host.nodes[0].closed_connections() == 1,
    );
}

#[test]
fn hopeless_requests_are_answered_at_once_with_retry_after() {
    let host = HostProcess::new(1);
    let (mut lost, mut client) = (host.client(), host.client());
    lost.send(&write_text("lost", 7, "x", 9_000));
    assert_eq!(
        lost.answer(),
        Some((503, String::new())),
        "no node holds its shard"
    );
    assert_eq!(lost.retry_after, Some(0.1));
    let start = Instant::now();
    host.nodes[0].behave_next(Behavior::Raw(
        "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".into(),
    ));
    assert_eq!(
        client.write_within("w", 0, "x", 9_000).0,
        500,
        "the write may have run, and must not run again"
    );
    // The write's latency objective is 300 ms and its deadline 2 s; its client waits for 9 s.
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
    assert!(host.nodes[0].received().iter().all(|s| s.id == "w"));
}

#[test]
fn a_disconnected_client_cancels_its_attempt() {
    let host = HostProcess::new(1);
    host.nodes[0].behave_next(Behavior::StaySilent);
    let mut client = host.client();
    client.send(&read_text("gone", 0, 900));
    wait_until("the request is at the node", || {
        host.nodes[0].received().len() == 1
    });
    drop(client);
    wait_until("the attempt's connection is closed", || {
        host.nodes[0].closed_connections() == 1
    });
    assert_eq!(host.client().read("next", 0).0, 200);
}
