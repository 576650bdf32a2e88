//! Many clients at once that send large or odd requests slowly, at a host with little memory.
use crate::support::client::{Client, read_text, write_text};
use crate::support::host_process::HostProcess;
use crate::support::wait_until;
use std::fmt::Write as _;
use std::io::Write;
use std::time::{Duration, Instant};

/// Number of clients at once.
const CLIENTS: usize = 600;
/// Memory limit of the host in MiB, as in `HostProcess::new`.
const MEMORY_MIB: u64 = 32;
/// Length of the bodies in bytes: nearly the longest.
const BODY_LEN: usize = 65_000;
/// Time within which a client beside the others is answered.
const PATIENCE: Duration = Duration::from_secs(3);

fn host() -> HostProcess {
    HostProcess::with_config(1, |config, _| {
        config.replace("\"sockets\":256", "\"sockets\":1024")
    })
}

/// Sends texts in pieces to many clients at once, a round a piece, and checks after each round that the host stays within
/// its memory and answers another client.
fn send_in_rounds(host: &HostProcess, text: &str, pieces: usize) {
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| host.client()).collect();
    let piece_len = text.len().div_ceil(pieces);
    for (round, piece) in text.as_bytes().chunks(piece_len).enumerate() {
        for client in &mut clients {
            if client.socket.write_all(piece).is_err() {
                *client = host.client();
            }
        }
        let began = Instant::now();
        wait_until("another client is answered", || {
            let answer = host
                .client()
                .try_read(&format!("other{}", host.next_number()), 0);
            answer.is_some_and(|(status, _)| status == 200)
        });
        let waited = began.elapsed();
        assert!(waited < PATIENCE, "round {round}: {waited:?}");
        let kilobytes = host.memory_kb();
        assert!(
            kilobytes < MEMORY_MIB * 1024,
            "round {round}: {kilobytes} kB"
        );
    }
}

#[test]
fn clients_that_stop_half_way_through_a_large_request_stay_within_the_memory_limit() {
    let body = "x".repeat(BODY_LEN);
    let text = write_text("w", 0, &body, 1_900);
    send_in_rounds(&host(), &text[..text.len() - 1], 8);
}

#[test]
fn heads_of_very_many_short_fields_stay_within_the_memory_limit() {
    let text = read_text("r", 0, 900);
    let mut head = text[..text.len() - 2].to_owned();
    for n in 0..20_000 {
        write!(head, "{n}:\r\n").expect("writing to memory");
    }
    send_in_rounds(&host(), &head, 40);
}

#[test]
fn heads_that_end_in_very_many_short_fields_are_answered_within_the_memory_limit() {
    let text = read_text("r", 0, 900);
    let mut head = text[..text.len() - 2].to_owned();
    while head.len() < 15_000 {
        head.push_str("a:\r\n");
    }
    head.push_str("\r\n");
    send_in_rounds(&host(), &head, 4);
}
