//! Commands that are split into parts, when one part decides the answer to the whole command.
use crate::site::{Site, read, write};
use mallowseam_audit::block;
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::scsi::status;
use mallowseam_stand_ins::node::NodeFault;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::time::{Duration, Instant};

/// First block of node 1, and the first of its ordering keys, which are 8 blocks each.
const FIRST_KEY: u64 = 8_000;
/// First block of the ordering key after that.
const SECOND_KEY: u64 = 8_008;

/// Makes the last blocks of node 0 idempotent to write, and the blocks of the second key more patient than those of the
/// first one.
fn with_three_groups(configuration: &str) -> String {
    configuration
        .replace(
            "  rule write post key 8",
            "  rule write blocks 7992-7999 read\n  rule write blocks 8008-8015 patient key 8\n  \
             rule write post key 8",
        )
        .replace(
            "goal 500ms\n  hard-limit 1s\n  ordered\n",
            "goal 500ms\n  hard-limit 8s\n  ordered\ngroup patient\n  effect side-effecting\n  goal 6s\n  \
             hard-limit 8s\n  ordered\n",
        )
}

/// Sends a write of 8 blocks, without waiting for the answer.
fn start_write(client: &mut BlockingClient, id: u64, lba: u64) {
    let cdb = scsi::read_or_write_16(true, lba, 8, 0);
    let data = block::write(id, lba, 8);
    let is_sent = client.conn.send_command(id as u32, 0, &cdb, 0, data.into());
    assert!(is_sent, "the command window is closed");
    client.flush().expect("cannot send to the host");
}

/// Waits for the answer to a command, and returns its status.
fn next_status(client: &mut BlockingClient) -> u8 {
    match client.next_event() {
        Ok(InitiatorEvent::CommandCompleted { status, .. }) => status,
        event => panic!("expected an answer, got {event:?}"),
    }
}

/// Writes a block, again if the write is shed: a node that was silent may get little for a moment.
fn write_until_served(client: &mut BlockingClient, id: u64, lba: u64) {
    let began = Instant::now();
    while write(client, id, lba, 1) != status::GOOD {
        assert!(
            began.elapsed() < Duration::from_secs(10),
            "the write was not served within 10 s"
        );
    }
}

/// Guards against a part that is sent after the shed reply to its command, and runs again with the client's retry: the
/// part behind one that was released already was not withdrawn.
#[test]
fn no_part_of_a_shed_command_is_sent_after_the_reply() {
    let site = Site::with(10.0, |_, configuration| with_three_groups(&configuration));
    let mut holder = site.client(1);
    site.nodes[1].inject(NodeFault::Silent(true));
    start_write(&mut holder, 10, FIRST_KEY);
    start_write(&mut holder, 11, SECOND_KEY);
    site.wait_for("both keys are in use", |s| s.nodes[1].attempts == 2);

    // The first part completes and is released; the other two wait for their keys.
    let mut client = site.client(2);
    let answer = write(&mut client, 20, FIRST_KEY - 1, 17);
    assert_eq!(
        answer,
        status::BUSY,
        "nothing that must not run twice was sent"
    );
    site.nodes[1].inject(NodeFault::Silent(false));
    assert_eq!(next_status(&mut holder), status::GOOD);
    assert_eq!(next_status(&mut holder), status::GOOD);

    // This write comes after a part that is still queued for its key.
    write_until_served(&mut holder, 12, SECOND_KEY + 7);
    assert_eq!(read(&mut holder, SECOND_KEY, 7), [Some(11); 7]);
}
