//! Clients that leave with commands that the host has not read.
use crate::site::{Site, read};
use mallowseam_audit::block;
use mallowseam_iscsi::scsi;
use mallowseam_testbed::blocking_client::BlockingClient;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use socket2::SockRef;
use std::time::{Duration, Instant};

/// First block of node 1.
const FIRST_BLOCK: u64 = 8_000;
/// Number of writes, each to an ordering key of its own.
const WRITES: u64 = 60;
/// Number of blocks of an ordering key.
const KEY_BLOCKS: u64 = 8;

/// Ways in which a client leaves: it closes its connection, or resets it.
const DEPARTURES: [fn(BlockingClient); 2] = [drop, |client| {
    SockRef::from(&client.socket)
        .set_linger(Some(Duration::ZERO))
        .expect("cannot set the socket option");
}];

fn signal(site: &Site, signal: Signal) {
    kill(Pid::from_raw(site.host.id() as i32), signal).expect("cannot signal the host");
}

/// Suspends the host, so that it finds all that happens meanwhile at once.
fn suspend(site: &Site) {
    signal(site, Signal::SIGSTOP);
    let path = format!("/proc/{}/stat", site.host.id());
    let began = Instant::now();
    loop {
        let stat = std::fs::read_to_string(&path).expect("the process exists");
        let state = stat.rsplit(')').next().unwrap_or_default();
        if state.trim_start().starts_with('T') {
            return;
        }
        assert!(
            began.elapsed() < Duration::from_secs(10),
            "the host is not suspended"
        );
        std::thread::yield_now();
    }
}

/// Guards against writes that are sent on after their client has left, while they were still unread in its socket.
#[test]
fn writes_are_not_sent_if_their_client_has_left_before_they_are_read() {
    for (n, depart) in DEPARTURES.into_iter().enumerate() {
        let site = Site::new(10.0);
        let mut leaving = site.client(1);
        suspend(&site);
        for write in 0..WRITES {
            let lba = FIRST_BLOCK + write * KEY_BLOCKS;
            let cdb = scsi::read_or_write_16(true, lba, KEY_BLOCKS as u32, 0);
            let data = block::write(write + 1, lba, KEY_BLOCKS as u32);
            let tag = write as u32;
            assert!(leaving.conn.send_command(tag, 0, &cdb, 0, data.into()));
        }
        leaving.flush().expect("cannot send to the host");
        depart(leaving);
        signal(&site, Signal::SIGCONT);
        site.wait_for("the host has noticed the departure", |s| s.connections == 0);
        site.wait_for("nothing is in flight", |s| s.in_flight == 0);
        assert_eq!(site.status().nodes[1].attempts, 0, "departure {n}");
        let mut other = site.client(2);
        let blocks = (WRITES * KEY_BLOCKS) as u32;
        let shown = read(&mut other, FIRST_BLOCK, blocks);
        assert!(shown.iter().all(|id| *id == Some(0)), "departure {n}");
    }
}
