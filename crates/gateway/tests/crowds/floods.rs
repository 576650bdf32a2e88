//! One client that sends small or unsound requests as fast as it can, beside another client.
use crate::support::client::Client;
use crate::support::host_process::HostProcess;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Duration of a flood.
const FLOOD: Duration = Duration::from_secs(1);
/// Held during a flood: one at a time, so that floods do not load the machine for other tests.
static ONE_FLOOD: Mutex<()> = Mutex::new(());
/// Number of requests that a client sends at once.
const BATCH: u64 = 200;
/// Time within which the other client is answered.
const PATIENCE: Duration = Duration::from_millis(500);
/// Memory limit of the host in MiB.
const MEMORY_MIB: u64 = 32;

/// Returns the text of a request with ever new names.
fn named_text(class: &str, method: &str, number: u64) -> String {
    format!(
        "{method} /{class}/{number:016x}/{number:016x} HTTP/1.1\r\nHost: s\r\nX-Request-ID: flood{number}\r\n\
         X-Priority-Class: {class}\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: 900\r\nContent-Length: 0\r\n\
         X-Placement: units=1,shard=0,hosts=1\r\n\r\n"
    )
}

/// Sends batches of requests until it is stopped, on one connection for as long as it stays open. Answers are read and
/// dropped.
fn flood(address: SocketAddr, stop: &AtomicBool, text_of: impl Fn(u64) -> String) {
    static NUMBERS: AtomicU64 = AtomicU64::new(0);
    while !stop.load(Ordering::Relaxed) {
        let Some(mut client) = Client::connect(address) else {
            continue;
        };
        client
            .socket
            .set_nonblocking(true)
            .expect("the socket option can be set");
        while !stop.load(Ordering::Relaxed) {
            let first = NUMBERS.fetch_add(BATCH, Ordering::Relaxed);
            let batch: String = (first..first + BATCH).map(&text_of).collect();
            if !send_batch(&mut client, batch.as_bytes(), stop) {
                break;
            }
        }
    }
}

/// Sends a batch and reads what comes back meanwhile. Returns whether the connection is still open.
fn send_batch(client: &mut Client, mut batch: &[u8], stop: &AtomicBool) -> bool {
    let mut answers = [0; 16_384];
    while !batch.is_empty() && !stop.load(Ordering::Relaxed) {
        match client.socket.write(batch) {
            Ok(written) => batch = &batch[written..],
            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::yield_now(),
            Err(_) => return false,
        }
        match client.socket.read(&mut answers) {
            Ok(0) => return false,
            Err(e) if e.kind() != ErrorKind::WouldBlock => return false,
            _ => {}
        }
    }
    true
}

/// Floods a host, and checks that another client is answered in time and that the host stays within its memory.
fn serve_beside(text_of: impl Fn(u64) -> String + Send + 'static) {
    let host = HostProcess::new(1);
    let _held = ONE_FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let (address, stop) = (host.address(), &stop);
        scope.spawn(move || flood(address, stop, text_of));
        let result = std::panic::catch_unwind(|| check_other_client(&host));
        stop.store(true, Ordering::Relaxed);
        if let Err(failure) = result {
            std::panic::resume_unwind(failure);
        }
    });
}

fn check_other_client(host: &HostProcess) {
    let began = Instant::now();
    let (mut answered, mut slowest) = (0, Duration::ZERO);
    while began.elapsed() < FLOOD {
        let asked = Instant::now();
        let answer = host
            .client()
            .try_read(&format!("other{}", host.next_number()), 0);
        slowest = slowest.max(asked.elapsed());
        assert_eq!(
            answer.map(|(status, _)| status),
            Some(200),
            "after {answered}"
        );
        answered += 1;
    }
    let kilobytes = host.memory_kb();
    assert!(slowest < PATIENCE, "{slowest:?}");
    assert!(kilobytes < MEMORY_MIB * 1024, "{kilobytes} kB");
}

#[test]
fn a_client_is_served_beside_one_that_sends_garbage() {
    serve_beside(|_| "BREW\r\n\r\n".into());
}

#[test]
fn a_client_is_served_beside_one_that_sends_requests_for_unknown_paths() {
    serve_beside(|number| format!("GET /{number} HTTP/1.1\r\nHost: s\r\n\r\n"));
}

#[test]
fn a_client_is_served_beside_one_that_reads_under_ever_new_names() {
    serve_beside(|number| named_text("look", "GET", number));
}

#[test]
fn a_client_is_served_beside_one_that_writes_under_ever_new_names() {
    serve_beside(|number| named_text("book", "PUT", number));
}

#[test]
fn a_client_is_served_beside_one_that_asks_whether_the_host_is_ready() {
    serve_beside(|_| "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n".into());
}
