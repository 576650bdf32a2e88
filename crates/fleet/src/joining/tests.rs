//! Tests of the timeouts of joining, and of the order in which seeds are pinged.
use super::*;

fn seed(host: u8) -> SocketAddr {
    ([127, 0, 0, host], 7_000).into()
}

fn joining(seeds: u8) -> Joining {
    Joining::new(1_000, (0..seeds).map(seed).collect(), 0)
}

#[test]
fn joining_times_out_after_three_periods_without_and_twenty_periods_with_other_members() {
    let joining = joining(1);
    assert!(!joining.is_timed_out(true, 2_999));
    assert!(joining.is_timed_out(true, 3_000));
    assert!(!joining.is_timed_out(false, 19_999));
    assert!(joining.is_timed_out(false, 20_000));
}

#[test]
fn seeds_are_pinged_in_groups_of_three_while_no_member_is_known() {
    let mut joining = joining(6);
    let mut rng = SeededRng::new(1);
    let mut ping = |now| joining.take_due_seeds(true, |_| true, &mut rng, now);
    assert_eq!(ping(0), [seed(1), seed(2)]);
    assert_eq!(ping(999), [], "no ping is due");
    assert_eq!(ping(1_250), [seed(3), seed(4), seed(5)]);
    assert_eq!(ping(2_500), [seed(0), seed(1), seed(2)]);
}

#[test]
fn one_seed_that_is_no_member_is_pinged_every_sixty_periods_while_members_are_known() {
    let mut joining = joining(4);
    let mut rng = SeededRng::new(1);
    let mut ping = |now| joining.take_due_seeds(false, |address| address != seed(2), &mut rng, now);
    assert_eq!(ping(0), [seed(1)]);
    assert_eq!(ping(59_999), [], "no ping is due");
    assert_eq!(ping(75_000), [seed(3)]);
    assert_eq!(ping(150_000), [seed(0)]);
}

#[test]
fn replaced_seeds_are_pinged_from_the_second_one_on_and_no_number_is_drawn_without_seeds() {
    let mut joining = joining(0);
    let mut rng = SeededRng::new(1);
    let unused = rng.clone();
    assert_eq!(joining.take_due_seeds(true, |_| true, &mut rng, 0), []);
    assert_eq!(rng, unused);
    joining.set_seeds(vec![seed(8), seed(9)]);
    let pinged = joining.take_due_seeds(false, |_| true, &mut rng, 0);
    assert_eq!(pinged, [seed(9)]);
}
