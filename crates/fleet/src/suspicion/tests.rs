//! Tests of the accusers of a suspicion, and of when a suspicion is local to this host.
use super::*;

const OWN: u32 = 1;

#[test]
fn each_accuser_confirms_once_and_three_confirmations_count() {
    let mut suspicion = Suspicion::raised_by(OWN, false, 0);
    assert!(!suspicion.confirm(OWN));
    assert!(suspicion.confirm(2));
    assert!(!suspicion.confirm(2));
    assert!(suspicion.confirm(3) && suspicion.confirm(4));
    assert!(!suspicion.confirm(5), "only three confirmations count");
    assert_eq!(suspicion.confirmations(), 3);
    assert_eq!(suspicion.first_accuser(), OWN);
    assert_eq!(suspicion.latest_accuser(), 4);
}

#[test]
fn only_an_unconfirmed_suspicion_raised_by_this_host_after_its_last_contact_becomes_local() {
    let becomes_local = |accuser, confirming: Option<u32>, last_contact| {
        let mut suspicion = Suspicion::raised_by(accuser, false, 100);
        confirming.map(|other| suspicion.confirm(other));
        let is_local = suspicion.keep_local(OWN, last_contact);
        assert_eq!(suspicion.is_local(), is_local);
        is_local
    };
    assert!(becomes_local(OWN, None, 100));
    assert!(!becomes_local(OWN, None, 101));
    assert!(!becomes_local(2, None, 100));
    assert!(!becomes_local(OWN, Some(2), 100));
}

#[test]
fn a_local_suspicion_that_another_member_gossips_is_no_longer_local() {
    let mut suspicion = Suspicion::raised_by(OWN, true, 0);
    assert!(
        suspicion.confirm(OWN),
        "the suspicion is no longer local, though no other accuser confirms it"
    );
    assert!(!suspicion.is_local());
}
