use super::super::ordering_keys::OrderingKeys;
use super::RecordingHost;
use crate::interface::{AttemptResult, BioId, KeyId, SchedulerConfig};

const KEY: KeyId = KeyId(3);

fn keys() -> OrderingKeys {
    OrderingKeys::new(&SchedulerConfig {
        ordering_cooldown: 500,
        ..SchedulerConfig::default()
    })
}

#[test]
fn only_the_first_block_io_of_a_key_may_be_sent() {
    let mut keys = keys();
    keys.join(KEY, BioId(1), true);
    keys.join(KEY, BioId(2), true);
    assert!(keys.is_first_in_order(0, KEY, BioId(1), false));
    assert!(!keys.is_first_in_order(0, KEY, BioId(2), false));
    keys.leave(&mut RecordingHost::default(), 0, KEY, BioId(1));
    assert!(keys.is_first_in_order(0, KEY, BioId(2), false));
}

#[test]
fn an_attempt_that_was_cut_off_blocks_the_key_for_all_but_its_own_retry() {
    let mut keys = keys();
    keys.join(KEY, BioId(1), true);
    assert_eq!(keys.on_attempt_finished(0, KEY, AttemptResult::Error), None);
    let end = keys.on_attempt_finished(0, KEY, AttemptResult::TimedOut);
    assert_eq!(end, Some(501));
    assert!(keys.is_first_in_order(500, KEY, BioId(1), true));
    assert!(!keys.is_first_in_order(500, KEY, BioId(1), false));
    assert!(keys.is_first_in_order(501, KEY, BioId(1), false));
}

#[test]
fn a_key_is_released_once_after_its_last_user_and_its_cooldown() {
    let mut keys = keys();
    let mut host = RecordingHost::default();
    keys.join(KEY, BioId(1), true);
    keys.on_attempt_finished(0, KEY, AttemptResult::Cancelled);
    keys.leave(&mut host, 10, KEY, BioId(1));
    keys.end_cooldowns(&mut host, 500);
    assert_eq!(host.released_keys, []);
    keys.end_cooldowns(&mut host, 501);
    keys.end_cooldowns(&mut host, 502);
    assert_eq!(host.released_keys, [KEY]);
}
