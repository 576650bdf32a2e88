//! Many clients that send parts of large writes and stop, at a host with little memory.
use crate::memory::memory_mib;
use crate::site::{Site, read};
use mallowseam_iscsi::scsi;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::io::Write;

/// Number of clients; the host admits 40 connections.
const CLIENTS: u32 = 36;
/// Number of writes that each client begins.
const WRITES: u32 = 60;
/// Number of blocks of a write, 1 MiB.
const BLOCKS: u32 = 2_048;
/// Memory that the host may take for the data of clients, in MiB.
const CLIENT_MEMORY_MIB: u64 = 16;
/// Resident memory of the host that is not data of clients, in MiB, at the most.
const OTHER_MEMORY_MIB: u64 = 24;

fn with_little_memory(configuration: &str) -> String {
    configuration.replacen(
        "  longest 1MiB\n",
        &format!("  longest 1MiB\n  memory {CLIENT_MEMORY_MIB}MiB\n"),
        1,
    )
}

/// Sends the first bytes of many writes: as many as go without a request of the host, and no more.
fn begin_writes(client: &mut BlockingClient) {
    for tag in 0..WRITES {
        let cdb = scsi::read_or_write_16(true, 0, BLOCKS, 0);
        let data = vec![1; BLOCKS as usize * 512];
        let is_sent = client.conn.send_command(tag, 0, &cdb, 0, data.into());
        assert!(is_sent, "the command window is closed");
    }
    // The host may close the connection meanwhile.
    let _ = client.socket.write_all(client.conn.send_buffer().unsent());
}

/// Guards against a process that passes its memory limit because clients stop half way through large writes: the data
/// received so far had no bound over all connections.
#[test]
fn clients_that_stop_half_way_through_large_writes_stay_within_the_memory() {
    let site = Site::with(10.0, |_, configuration| with_little_memory(&configuration));
    let mut clients = Vec::new();
    for number in 1..=CLIENTS {
        let mut client = site.client(number);
        begin_writes(&mut client);
        clients.push(client);
        let resident = memory_mib(&site);
        let limit = CLIENT_MEMORY_MIB + OTHER_MEMORY_MIB;
        assert!(resident < limit, "after client {number}: {resident} MiB");
    }
    let mut other = site.client(100);
    assert_eq!(read(&mut other, 9_000, 8), [Some(0); 8]);
    assert!(site.status().connections < CLIENTS as usize);
}

/// Guards against large commands that are refused though there is room for each of them in turn.
#[test]
fn large_reads_are_served_with_little_memory() {
    let site = Site::with(10.0, |_, configuration| with_little_memory(&configuration));
    let mut client = site.client(1);
    for _ in 0..24 {
        let shown = read(&mut client, 0, BLOCKS);
        assert!(shown.iter().all(|id| *id == Some(0)));
    }
}
