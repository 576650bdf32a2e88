//! One client that sends small or unsound PDUs as fast as it can, beside another client.
use crate::memory::memory_mib;
use crate::site::{Site, TARGET, read};
use mallowseam_iscsi::scsi;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Duration of a flood.
const FLOOD: Duration = Duration::from_secs(1);
/// Held during a flood: one at a time, so that floods do not load the machine for other tests.
static ONE_FLOOD: Mutex<()> = Mutex::new(());
/// Time within which the other client is answered.
const PATIENCE: Duration = Duration::from_millis(500);
/// Resident memory of the host in MiB, at the most.
const MEMORY_MIB: u64 = 40;
/// Length of the header of a PDU, in bytes.
const HEADER_LEN: usize = 48;
/// Number of PDUs that a client sends at once.
const BATCH: usize = 500;

/// Returns a NOP-Out that asks for an answer, for immediate delivery.
fn ping() -> [u8; HEADER_LEN] {
    let mut pdu = [0; HEADER_LEN];
    (pdu[0], pdu[1], pdu[19]) = (0x40, 0x80, 9);
    pdu[20..24].fill(0xff);
    pdu
}

/// Returns a PDU of an opcode that no initiator sends.
fn unknown() -> [u8; HEADER_LEN] {
    let mut pdu = [0; HEADER_LEN];
    (pdu[0], pdu[1]) = (0x1c, 0x80);
    pdu
}

/// Writes bytes to a socket over and over until it fails or the flood stops. What comes back is read and dropped.
fn pour(socket: &mut TcpStream, bytes: &[u8], stop: &AtomicBool) {
    socket
        .set_nonblocking(true)
        .expect("cannot set the socket option");
    let mut answers = vec![0; 1 << 16];
    while !stop.load(Ordering::Relaxed) {
        let mut rest = bytes;
        while !rest.is_empty() && !stop.load(Ordering::Relaxed) {
            match socket.write(rest) {
                Ok(written) => rest = &rest[written..],
                Err(e) if e.kind() == ErrorKind::WouldBlock => thread::yield_now(),
                Err(_) => return,
            }
            match socket.read(&mut answers) {
                Ok(0) => return,
                Err(e) if e.kind() != ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    }
}

/// Logs in and sends a PDU over and over; logs in again when the host closes the connection.
fn flood_with(address: SocketAddr, stop: &AtomicBool, pdu: [u8; HEADER_LEN]) {
    while !stop.load(Ordering::Relaxed) {
        if let Ok(mut client) = BlockingClient::open(address, Some(TARGET), 7) {
            pour(&mut client.socket, &pdu.repeat(BATCH), stop);
        }
    }
}

/// Runs a flood beside another client, and checks that this one is answered in time and that the host's memory is bounded.
fn serve_beside(flood: impl FnOnce(SocketAddr, &AtomicBool) + Send) {
    let site = Site::new(10.0);
    let _held = ONE_FLOOD.lock().unwrap_or_else(PoisonError::into_inner);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let (address, stop) = (site.address, &stop);
        scope.spawn(move || flood(address, stop));
        let check = std::panic::AssertUnwindSafe(|| check_other_client(&site));
        let result = std::panic::catch_unwind(check);
        stop.store(true, Ordering::Relaxed);
        if let Err(failure) = result {
            std::panic::resume_unwind(failure);
        }
    });
}

fn check_other_client(site: &Site) {
    let began = Instant::now();
    let mut client = site.client(1);
    let (mut answered, mut slowest) = (0, Duration::ZERO);
    while began.elapsed() < FLOOD {
        let asked = Instant::now();
        assert_eq!(
            read(&mut client, 9_000, 8),
            [Some(0); 8],
            "after {answered}"
        );
        slowest = slowest.max(asked.elapsed());
        answered += 1;
    }
    let resident = memory_mib(site);
    assert!(slowest < PATIENCE, "{slowest:?}");
    assert!(resident < MEMORY_MIB, "{resident} MiB");
}

#[test]
fn a_client_is_served_beside_one_that_sends_pings() {
    serve_beside(|address, stop| flood_with(address, stop, ping()));
}

#[test]
fn a_client_is_served_beside_one_that_sends_unknown_pdus() {
    serve_beside(|address, stop| flood_with(address, stop, unknown()));
}

#[test]
fn a_client_is_served_beside_one_that_sends_garbage() {
    serve_beside(|address, stop| {
        while !stop.load(Ordering::Relaxed) {
            if let Ok(mut socket) = TcpStream::connect(address) {
                pour(&mut socket, &[0xa5; 4_096], stop);
            }
        }
    });
}

#[test]
fn a_client_is_served_beside_one_that_logs_in_under_ever_new_names() {
    serve_beside(|address, stop| {
        let mut kept = Vec::new();
        for number in 1_000.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            kept.extend(BlockingClient::open(address, Some(TARGET), number).ok());
            kept.drain(..kept.len().saturating_sub(20));
        }
    });
}

#[test]
fn a_client_is_served_beside_one_that_reads_one_block_as_fast_as_it_can() {
    serve_beside(|address, stop| {
        let mut client = BlockingClient::open(address, Some(TARGET), 7).expect("cannot log in");
        let cdb = scsi::read_or_write_16(false, 0, 1, 0);
        let mut tag = 0;
        while !stop.load(Ordering::Relaxed) {
            while client.conn.send_command(tag, 0, &cdb, 512, vec![].into()) {
                tag += 1;
            }
            client.next_event().expect("no answer to a read");
        }
    });
}
