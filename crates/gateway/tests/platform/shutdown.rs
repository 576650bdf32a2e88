//! Shutdown of a host by an operator (SIGINT) and by the platform (SIGTERM), also with races between events.
use crate::support::client::{Client, read_text, write_text};
use crate::support::host_process::HostProcess;
use crate::support::node::{Behavior, Node};
use crate::support::{numbered_body, wait_until};
use nix::sys::signal::Signal;
use std::time::{Duration, Instant};

/// Earliest time after SIGTERM at which the platform may kill the host, as it counts deadlines as 3 s at most.
const KILL: Duration = Duration::from_millis(3_700);

/// Returns the configuration with deadlines and latency objectives far longer than what the platform counts.
fn with_long_deadlines(config: &str) -> String {
    let config = config.replace("\"deadline_us\": 2000000", "\"deadline_us\": 30000000");
    let config = config.replace("\"deadline_us\": 1000000", "\"deadline_us\": 30000000");
    config.replace("\"aim_us\": 300000", "\"aim_us\": 20000000")
}

#[test]
fn in_flight_and_queued_requests_are_answered_between_sigterm_and_the_kill() {
    let mut host = HostProcess::with_config(1, |config, _| with_long_deadlines(&config));
    (0..40).for_each(|_| host.nodes[0].behave_next(Behavior::StaySilent));
    let mut out = host.client();
    out.send(&write_text("w", 0, "x", 25_000));
    wait_until("the request is at the node", || {
        host.nodes[0].received().len() == 1
    });
    let mut held: Vec<Client> = (0..12).map(|_| host.client()).collect();
    for (n, client) in held.iter_mut().enumerate() {
        client.send(&read_text(&format!("r{n}"), 0, 25_000));
    }
    // The last of them is admitted once another request with its id is rejected.
    wait_until("all requests are admitted", || {
        host.client().read("r11", 0).0 == 409
    });
    host.signal(Signal::SIGTERM);
    let signalled = Instant::now();
    assert_eq!(
        out.answer(),
        Some((500, String::new())),
        "the write may have run"
    );
    for client in &mut held {
        assert!(matches!(client.answer(), Some((500 | 503, _))));
    }
    assert!(signalled.elapsed() < KILL, "{:?}", signalled.elapsed());
    drop((out, held));
    assert_eq!(host.exit_code(), Some(0));
    assert!(signalled.elapsed() < KILL, "{:?}", signalled.elapsed());
}

#[test]
fn requests_received_before_connections_close_are_answered() {
    let mut host = HostProcess::with_config(1, |config, _| {
        config.replace("\"sockets\":256", "\"sockets\":2048")
    });
    let mut idle: Vec<Client> = (0..100).map(|_| host.client()).collect();
    for (n, client) in idle.iter_mut().enumerate() {
        assert_eq!(client.read(&format!("a{n}"), 0).0, 200);
    }
    host.signal(Signal::SIGINT);
    let signalled = Instant::now();
    assert_eq!(host.client().read("on", 0).0, 200);
    host.suspend();
    // Requests are sent on old and new connections after the time for which the host accepts connections.
    wait_until("the host would close the connections", || {
        signalled.elapsed() > Duration::from_millis(800)
    });
    let mut new: Vec<Client> = (0..100).map(|_| host.client()).collect();
    for (n, client) in idle.iter_mut().chain(&mut new).enumerate() {
        client.send(&read_text(&format!("b{n}"), 0, 5_000));
    }
    host.resume();
    for client in idle.iter_mut().chain(&mut new) {
        assert!(matches!(client.answer(), Some((200 | 503, _))));
        assert!(
            client.closes,
            "the response announces the end of the connection"
        );
    }
    drop((idle, new));
    assert_eq!(host.exit_code(), Some(0));
}

#[test]
fn repeated_signals_do_not_change_the_shutdown() {
    let mut host = HostProcess::new(1);
    host.nodes[0].behave_next(Behavior::Hold);
    let mut client = host.client();
    client.send(&write_text("w", 0, "x", 1_900));
    wait_until("the request is at the node", || {
        host.nodes[0].received().len() == 1
    });
    host.suspend();
    for signal in [
        Signal::SIGTERM,
        Signal::SIGHUP,
        Signal::SIGTERM,
        Signal::SIGINT,
    ] {
        host.signal(signal);
    }
    host.resume();
    assert_eq!(host.client().read("on", 0).0, 200);
    host.nodes[0].release_held();
    assert_eq!(client.answer(), Some((200, "made for w".into())));
    drop(client);
    assert_eq!(host.exit_code(), Some(0));
}

#[test]
fn a_host_without_an_endpoint_list_shuts_down() {
    let mut host = HostProcess::start(vec![Node::new()], |config, entry| {
        config.replace(&format!("[{entry}]"), "[]")
    });
    wait_until("the host listens", || {
        std::net::TcpStream::connect(host.address()).is_ok()
    });
    host.signal(Signal::SIGTERM);
    assert_eq!(host.exit_code(), Some(0));
}

#[test]
fn a_slow_reader_gets_its_response_complete_during_shutdown() {
    let mut host = HostProcess::new(1);
    let long = numbered_body(100_000);
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{long}",
        long.len()
    );
    host.nodes[0].behave_next(Behavior::Raw(text));
    let mut client = host.client();
    client.send(&read_text("r", 0, 900));
    wait_until("the request is at the node", || {
        host.nodes[0].received().len() == 1
    });
    host.signal(Signal::SIGINT);
    let signalled = Instant::now();
    wait_until("the host has begun to close connections", || {
        signalled.elapsed() > Duration::from_millis(900)
    });
    assert!(
        client.answer() == Some((200, long)),
        "the complete response"
    );
    drop(client);
    assert_eq!(host.exit_code(), Some(0));
}

#[test]
fn operator_shutdown_answers_admitted_requests_and_accepts_new_ones_for_a_while() {
    let mut host = HostProcess::new(1);
    host.nodes[0].behave_next(Behavior::Hold);
    let mut client = host.client();
    client.send(&write_text("w", 0, "x", 1_900));
    wait_until("the request is at the node", || {
        host.nodes[0].received().len() == 1
    });
    host.signal(nix::sys::signal::Signal::SIGINT);
    let mut late = host.client();
    host.nodes[0].behave_next(Behavior::AnswerBetween(String::new(), String::new()));
    assert_eq!(
        late.read("late", 0),
        (200, "made for late".into()),
        "new connections are still accepted"
    );
    assert_eq!(late.answer(), None, "idle connections end after a while");
    host.nodes[0].release_held();
    assert_eq!(
        client.answer(),
        Some((200, "made for w".into())),
        "an admitted request is answered"
    );
    assert!(
        client.closes,
        "the response announces the end of the connection"
    );
    drop((client, late));
    assert_eq!(host.exit_code(), Some(0));
}

#[test]
fn platform_shutdown_keeps_serving_and_answers_everything_before_the_kill() {
    // With deadlines of 2 s at most, the platform kills the host 2.7 s after SIGTERM at the earliest.
    let mut host = HostProcess::new(2);
    let mut client = host.client();
    assert_eq!(client.read("r", 0).0, 200);
    let mut long = host.client();
    host.signal(nix::sys::signal::Signal::SIGTERM);
    let signalled = Instant::now();
    let after = |ms: u64| signalled.elapsed() > Duration::from_millis(ms);
    wait_until("an operator's shutdown would have ended long ago", || {
        assert_eq!(
            client.read(&format!("r{}", host.next_number()), 0).0,
            200,
            "the host keeps serving"
        );
        after(1_500)
    });
    host.nodes[0].behave_next(Behavior::StaySilent);
    host.nodes[1].behave_next(Behavior::StaySilent);
    long.send(&write_text("w", 0, "x", 1_900));
    assert_eq!(
        long.answer(),
        Some((500, String::new())),
        "the node stays silent until after the kill"
    );
    assert!(!after(2_700), "{:?}", signalled.elapsed());
    wait_until("idle connections end", || {
        client
            .try_read(&format!("s{}", host.next_number()), 0)
            .is_none()
    });
    drop((client, long));
    assert_eq!(host.exit_code(), Some(0));
    assert!(!after(2_700), "{:?}", signalled.elapsed());
}

#[test]
fn connections_in_use_end_with_a_response_that_says_so() {
    // Each client sends a request every 200 ms: the end of a connection between two requests could race the next one.
    let mut host = HostProcess::new(1);
    let mut clients: Vec<Client> = (0..8).map(|_| host.client()).collect();
    host.signal(Signal::SIGTERM);
    let mut served = 0;
    while clients.iter().any(|client| !client.closes) {
        for client in clients.iter_mut().filter(|client| !client.closes) {
            let sent = Instant::now();
            assert!(
                client.try_read(&format!("r{served}"), 0).is_some(),
                "the connection was closed between two requests, after {served} responses"
            );
            served += 1;
            wait_until("the next client's request is due", || {
                sent.elapsed() > Duration::from_millis(25)
            });
        }
    }
    assert!(
        served > 40,
        "only {served} requests were served before the connections ended"
    );
    drop(clients);
    assert_eq!(host.exit_code(), Some(0));
}

#[test]
fn operator_shutdown_ends_once_in_flight_requests_are_answered() {
    let mut host = HostProcess::new(1);
    let mut client = host.client();
    assert_eq!(client.read("r", 0).0, 200);
    host.signal(nix::sys::signal::Signal::SIGINT);
    let signalled = Instant::now();
    assert_eq!(host.exit_code(), Some(0));
    assert!(
        signalled.elapsed() < Duration::from_secs(2),
        "{:?}",
        signalled.elapsed()
    );
}
