//! Clients that leave with requests that the host has not read.
use crate::races::DISCONNECTS;
use crate::support::client::{Client, write_text};
use crate::support::host_process::HostProcess;
use crate::support::node::Behavior;
use crate::support::wait_until;
use std::io::Write;

/// Number of requests behind the first one.
const BEHIND: usize = 60;
/// Length of their bodies in bytes.
const BODY_LEN: usize = 1_000;
/// Lengths of the bodies of requests that fill sockets, in bytes: the host reads several of the short ones at once, and a
/// long one in pieces.
const FILLING_BODY_LENS: [usize; 2] = [BODY_LEN, 60_000];

/// Guards against requests that are forwarded for a client that has left while they were still unread in its socket.
#[test]
fn requests_behind_the_first_are_not_forwarded_after_their_client_has_left() {
    let body = "x".repeat(BODY_LEN);
    for (n, depart) in DISCONNECTS.into_iter().enumerate() {
        let host = HostProcess::new(1);
        host.nodes[0].behave_next(Behavior::Hold);
        let mut client = host.client();
        client.send(&write_text("first", 0, &body, 1_900));
        wait_until("the first request is at its node", || {
            host.nodes[0].received().len() == 1
        });
        for behind in 0..BEHIND {
            client.send(&write_text(&format!("behind{behind}"), 0, &body, 1_900));
        }
        depart(client);
        host.nodes[0].release_held();
        assert_eq!(host.client().write("other", 0, "text").0, 200);
        let ids: Vec<String> = host.nodes[0].received().into_iter().map(|r| r.id).collect();
        assert_eq!(ids, ["first", "other"], "departure {n}");
    }
}

/// Guards against the same where the host was held up, and finds the requests and their end at once.
#[test]
fn requests_in_a_row_are_not_forwarded_if_their_client_has_left_before_they_are_read() {
    let body = "x".repeat(BODY_LEN);
    for (n, depart) in DISCONNECTS.into_iter().enumerate() {
        let host = HostProcess::new(1);
        host.suspend();
        let mut client = host.client();
        for behind in 0..BEHIND {
            client.send(&write_text(&format!("gone{behind}"), 0, &body, 1_900));
        }
        depart(client);
        host.resume();
        assert_eq!(host.client().write("other", 0, "text").0, 200);
        let ids: Vec<String> = host.nodes[0].received().into_iter().map(|r| r.id).collect();
        assert_eq!(ids, ["other"], "departure {n}");
    }
}

/// Writes requests until the host's socket and the client's own take no more, so that the end of the stream cannot reach
/// the host before it reads.
fn fill_sockets(client: &mut Client, body_len: usize) {
    let body = "x".repeat(body_len);
    client
        .socket
        .set_nonblocking(true)
        .expect("the socket option can be set");
    for behind in 0.. {
        let text = write_text(&format!("behind{behind}"), 0, &body, 1_900);
        if client.socket.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Guards against requests that are forwarded although the answer to the first one was met by a reset: the end of the
/// stream lies behind more unread bytes than a socket holds, so the reset is all that shows the departure.
#[test]
fn a_departure_behind_many_unread_bytes_is_noticed_with_the_first_answer() {
    for body_len in FILLING_BODY_LENS {
        let host = HostProcess::new(1);
        host.nodes[0].behave_next(Behavior::Hold);
        let mut client = host.client();
        client.send(&write_text("first", 0, "text", 1_900));
        wait_until("the first request is at its node", || {
            host.nodes[0].received().len() == 1
        });
        fill_sockets(&mut client, body_len);
        drop(client);
        host.nodes[0].release_held();
        assert_eq!(host.client().write("other", 0, "text").0, 200);
        let ids: Vec<String> = host.nodes[0].received().into_iter().map(|r| r.id).collect();
        assert_eq!(ids, ["first", "other"], "bodies of {body_len} bytes");
    }
}
