use super::super::idempotency::{Location, may_have_run};
use crate::interface::{AttemptResult, DeduplicationScope, Idempotency};

const FIRST: Location = Location { shard: 1, zone: 2 };

fn keyed(scope: DeduplicationScope) -> Idempotency {
    Idempotency::IdempotentByKey {
        scope,
        window: 1_000,
    }
}

#[test]
fn a_key_is_relied_on_until_a_margin_before_nodes_forget_it() {
    let idempotency = keyed(DeduplicationScope::All);
    let allowed = |now| idempotency.allows_repeat_at(now, FIRST, 0, Some(FIRST));
    assert!(allowed(939));
    assert!(!allowed(940));
}

#[test]
fn a_key_is_relied_on_within_its_scope_only() {
    let other_shard = Location { shard: 9, ..FIRST };
    let other_zone = Location { zone: 9, ..FIRST };
    let allowed = |scope, node| keyed(scope).allows_repeat_at(0, node, 0, Some(FIRST));
    assert!(allowed(DeduplicationScope::Zone, other_shard));
    assert!(!allowed(DeduplicationScope::Zone, other_zone));
    assert!(allowed(DeduplicationScope::Shard, other_zone));
    assert!(!allowed(DeduplicationScope::Shard, other_shard));
}

#[test]
fn nothing_is_repeated_within_a_scope_whose_first_node_is_forgotten() {
    let idempotency = keyed(DeduplicationScope::Shard);
    assert!(!idempotency.allows_repeat_at(0, FIRST, 0, None));
}

#[test]
fn an_attempt_that_was_rejected_or_never_sent_has_not_run() {
    let results = [
        (AttemptResult::Rejected, false),
        (AttemptResult::ConnectFailed, false),
        (AttemptResult::NotSent, false),
        (AttemptResult::Error, true),
        (AttemptResult::TimedOut, true),
        (AttemptResult::ConnectionReset, true),
        (AttemptResult::Cancelled, true),
    ];
    for (result, expected) in results {
        assert_eq!(may_have_run(result), expected, "{result:?}");
    }
}
