//! Tests of how long ids of side-effecting requests are remembered, and of how many there are at most.
use mallowseam_connection_policy::executed_requests::{
    ClientKnowledge, ExecutedRequests, RETENTION,
};

/// Memory limit of the hosts, in MiB.
const MEMORY_MIB: u64 = 1;

fn id(number: u64) -> [u8; 8] {
    number.to_be_bytes()
}

/// Records ids in doubt from 0 on until no more are admitted, and returns their number.
fn fill(executed: &mut ExecutedRequests, now: u64) -> u64 {
    let mut count = 0;
    while executed.may_admit(0) {
        executed.record(now, &id(count), ClientKnowledge::InDoubt);
        count += 1;
        assert!(count < 1 << 20, "the memory has no bound");
    }
    count
}

#[test]
fn ids_in_doubt_are_kept_for_their_retention_whatever_else_is_recorded() {
    let mut executed = ExecutedRequests::new(7, MEMORY_MIB);
    executed.record(0, &id(0), ClientKnowledge::InDoubt);
    for number in 1..100_000 {
        executed.record(number % 1_000, &id(number), ClientKnowledge::Answered);
    }
    executed.forget_old(RETENTION + 1);
    assert!(executed.contains(&id(0)));
    executed.forget_old(2 * RETENTION + 2);
    assert!(!executed.contains(&id(0)));
    assert!(executed.is_empty());
}

#[test]
fn a_full_memory_admits_no_request_until_ids_have_grown_old() {
    let mut executed = ExecutedRequests::new(7, MEMORY_MIB);
    let count = fill(&mut executed, 0);
    assert!(count >= 500, "{count}");
    assert!((0..count).all(|number| executed.contains(&id(number))));
    assert!(!executed.contains(&id(count)));
    executed.forget_old(RETENTION);
    assert!(!executed.may_admit(0), "the ids are not old enough");
    executed.forget_old(2 * RETENTION);
    assert!(executed.may_admit(0));
}

#[test]
fn requests_in_flight_count_as_ids_that_will_be_remembered() {
    let mut executed = ExecutedRequests::new(7, MEMORY_MIB);
    let capacity = fill(&mut ExecutedRequests::new(7, MEMORY_MIB), 0) as usize;
    executed.record(0, &id(0), ClientKnowledge::InDoubt);
    assert!(executed.may_admit(capacity - 2));
    assert!(!executed.may_admit(capacity - 1));
}

#[test]
fn ever_new_answered_ids_are_bounded_and_never_keep_requests_out() {
    let mut executed = ExecutedRequests::new(7, MEMORY_MIB);
    let capacity = fill(&mut ExecutedRequests::new(7, MEMORY_MIB), 0) as usize;
    for number in 0..100_000 {
        executed.record(0, &id(number), ClientKnowledge::Answered);
        assert!(executed.may_admit(capacity - 1));
    }
    assert!(executed.len() <= capacity + 1, "{}", executed.len());
    assert!(executed.contains(&id(99_999)));
}
