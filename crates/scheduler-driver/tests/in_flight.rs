//! A block I/O in flight, from its arrival until its release. A client would get two answers, or the outcome of an old
//! attempt would count for a later one, if the state of the block I/O were wrong.
use mallowseam_scheduler::interface::BioId;
use mallowseam_scheduler_driver::{InFlight, InFlightTable};

const NODE_A: u32 = 7;
const NODE_B: u32 = 9;

type Table = InFlightTable<&'static str, u32>;

fn entry(table: &mut Table, io: BioId) -> &mut InFlight<&'static str, u32> {
    table.get_mut(io).expect("the block I/O is in flight")
}

#[test]
fn a_block_io_is_answered_once() {
    let mut table = Table::default();
    let io = table.insert("a");
    assert!(!entry(&mut table, io).is_answered());
    assert!(entry(&mut table, io).mark_answered());
    assert!(!entry(&mut table, io).mark_answered());
    assert!(entry(&mut table, io).is_answered());
}

#[test]
fn only_the_latest_attempt_is_found_by_its_number() {
    let mut table = Table::default();
    let io = table.insert("a");
    let io = entry(&mut table, io);
    assert_eq!(io.attempt_numbered(0), None);
    assert_eq!(io.count_attempt(), 1);
    io.set_attempt(NODE_A);
    assert_eq!(io.attempt_numbered(0), Some(&NODE_A));
    assert_eq!(io.take_attempt(), Some(NODE_A));
    assert_eq!(io.attempt_numbered(0), None);
    assert_eq!(io.count_attempt(), 2);
    io.set_attempt(NODE_B);
    assert_eq!(io.attempt_numbered(0), None);
    assert_eq!(io.attempt_numbered(1), Some(&NODE_B));
    assert_eq!((io.attempts(), io.attempt()), (2, Some(&NODE_B)));
}

#[test]
fn a_withdrawn_block_io_can_be_reset_while_its_client_still_waits() {
    let mut table = Table::default();
    let io = table.insert("a");
    let io = entry(&mut table, io);
    io.count_attempt();
    io.mark_withdrawn();
    assert!(io.is_withdrawn() && !io.is_answered());
    io.reset();
    assert!(!io.is_withdrawn() && !io.is_answered());
    assert_eq!((io.attempts(), io.data), (0, "a"));
}

#[test]
fn the_id_that_was_released_last_is_the_next_to_be_assigned() {
    let mut table = Table::default();
    let ids = ["a", "b", "c"].map(|data| table.insert(data));
    assert_eq!(ids, [0, 1, 2].map(BioId));
    table.release(ids[0]);
    let released = table.release(ids[1]).expect("the block I/O is in flight");
    assert_eq!(released.data, "b");
    assert!(table.release(ids[1]).is_none());
    assert_eq!(table.next_id(), ids[1]);
    assert_eq!(table.insert("d"), ids[1]);
    assert_eq!(table.ids(), [1, 2].map(BioId));
    let data: Vec<&str> = table.iter().map(|(_, io)| io.data).collect();
    assert_eq!((table.len(), data), (2, vec!["d", "c"]));
}
