//! Reads and writes through a host: transfers across nodes, deadlines, retries and flow control.
use crate::site::{Site, read, write};
use mallowseam_audit::block;
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::scsi::Sense;
use mallowseam_iscsi::scsi::status;
use mallowseam_stand_ins::node::NodeFault;
use std::time::Duration;
use std::time::Instant;

#[test]
fn writes_across_nodes_keys_and_bursts_read_back() {
    let site = Site::new(10.0);
    let mut client = site.client(1);
    // 512 KiB across the boundary of two nodes, which takes immediate data, unsolicited data and R2Ts.
    assert_eq!(write(&mut client, 5, 7_500, 1_024), status::GOOD);
    assert_eq!(write(&mut client, 6, 7_997, 6), status::GOOD);
    let shown = read(&mut client, 7_400, 1_200);
    for (i, id) in shown.iter().enumerate() {
        let lba = 7_400 + i as u64;
        let expected = match lba {
            7_997..8_003 => 6,
            7_500..8_524 => 5,
            _ => 0,
        };
        assert_eq!(*id, Some(expected), "block {lba}");
    }
}

#[test]
fn write_at_a_silent_node_fails_before_its_deadline_and_other_nodes_serve() {
    let site = Site::new(10.0);
    let mut client = site.client(1);
    assert_eq!(write(&mut client, 1, 0, 8), status::GOOD);
    site.nodes[0].inject(NodeFault::Silent(true));
    let began = Instant::now();
    let cdb = scsi::read_or_write_16(true, 0, 8, 0);
    let answer = client
        .execute(0, &cdb, 0, block::write(2, 0, 8))
        .expect("no answer to the request");
    assert_eq!(
        (answer.status, answer.sense),
        (status::CHECK_CONDITION, Some(Sense::COMMUNICATION_TIMEOUT))
    );
    assert!(
        began.elapsed() < Duration::from_millis(1_250),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(read(&mut client, 9_000, 4), [Some(0); 4]);
    let status = site.status();
    assert_eq!(
        status.nodes[0].attempts, 2,
        "the side-effecting write was sent more than once"
    );
}

#[test]
fn read_is_retried_after_a_connection_reset() {
    let site = Site::new(100_000.0);
    let mut client = site.client(1);
    client.conn.send_command(
        1,
        0,
        &scsi::read_or_write_16(false, 0, 8, 0),
        4096,
        vec![].into(),
    );
    client.flush().expect("cannot send to the host");
    site.wait_for("the read is at the node", |s| {
        s.nodes[0].attempts == 1 && s.nodes[0].connected
    });
    site.nodes[0].inject(NodeFault::Reset);
    let Ok(InitiatorEvent::CommandCompleted { status: code, .. }) = client.next_event() else {
        panic!("no answer to the read")
    };
    assert_eq!(code, status::GOOD);
    assert_eq!(site.status().nodes[0].reset, 1);
}

#[test]
fn client_that_stops_reading_delays_no_other_and_loses_nothing() {
    let site = Site::new(10.0);
    let mut stalled = site.client(1);
    let mut other = site.client(2);
    for tag in 0..48 {
        assert!(stalled.conn.send_command(
            tag,
            0,
            &scsi::read_or_write_16(false, 0, 2048, 0),
            1 << 20,
            vec![].into()
        ));
    }
    stalled.flush().expect("cannot send to the host");
    let full = site.wait_for("buffers of the stalled client fill", |s| {
        s.buffer_bytes > 8 << 20
    });
    // A connection buffers at most its command window of reads of the maximum length.
    assert!(full.buffer_bytes < 80 << 20, "{}", full.buffer_bytes);
    for _ in 0..50 {
        assert_eq!(read(&mut other, 9_000, 8), [Some(0); 8]);
    }
    let mut completed = 0;
    while completed < 48 {
        if let InitiatorEvent::CommandCompleted {
            status: code, data, ..
        } = stalled.next_event().expect("no answer to the request")
        {
            assert_eq!((code, data.len()), (status::GOOD, 1 << 20));
            completed += 1;
        }
    }
    site.wait_for("buffers are released", |s| s.buffer_bytes < 1 << 20);
}
