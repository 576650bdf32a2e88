//! Accusers of a suspicion, and when it stays this host's own.
use super::*;

const OWN: u32 = 1;

#[test]
fn each_accuser_confirms_once_and_three_confirmations_count() {
    let mut suspicion = Suspicion::raised_by(OWN, false, 0);
    assert!(!suspicion.confirm(OWN));
    assert!(suspicion.confirm(2));
    assert!(!suspicion.confirm(2));
    assert!(suspicion.confirm(3) && suspicion.confirm(4));
    assert!(!suspicion.confirm(5), "there is room for three");
    assert_eq!(suspicion.confirmations(), 3);
    assert_eq!(suspicion.first_accuser(), OWN);
    assert_eq!(suspicion.latest_accuser(), 4);
}

#[test]
fn only_a_suspicion_of_this_host_alone_since_its_last_contact_is_kept_local() {
    let kept = |accuser, confirming: Option<u32>, last_contact| {
        let mut suspicion = Suspicion::raised_by(accuser, false, 100);
        confirming.map(|other| suspicion.confirm(other));
        let is_kept = suspicion.keep_local(OWN, last_contact);
        assert_eq!(suspicion.is_local(), is_kept);
        is_kept
    };
    assert!(kept(OWN, None, 100));
    assert!(!kept(OWN, None, 101));
    assert!(!kept(2, None, 100));
    assert!(!kept(OWN, Some(2), 100));
}

#[test]
fn a_local_suspicion_that_others_gossip_is_local_no_longer() {
    let mut suspicion = Suspicion::raised_by(OWN, true, 0);
    assert!(
        suspicion.confirm(OWN),
        "it changes, though nobody else confirms it"
    );
    assert!(!suspicion.is_local());
}
