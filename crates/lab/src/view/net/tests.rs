use super::*;

fn five(seed: u64) -> Net {
    let mut net = Net::new(5, 2, 2, seed);
    (0..5).for_each(|h| net.start(h));
    assert!(net.settles(10_000).is_some(), "five start");
    net
}

#[test]
fn five_that_start_at_once_see_each_other_and_one_that_is_killed_is_out_of_reach_for_all() {
    for seed in 0..20 {
        let mut net = five(seed);
        net.kill(3);
        let took = net.settles(60_000).expect("all see it");
        assert!(took >= 5_000, "{took}");
        assert!((0..3).all(|h| net.sees(h, 3) == Some(MemberState::Unreachable)));
    }
}

#[test]
fn one_that_ends_is_seen_as_leaving_at_once_and_one_that_starts_again_as_alive() {
    for seed in 0..20 {
        let mut net = five(seed);
        net.leave(2, false);
        net.until(net.now + 50);
        assert!([0, 1, 3, 4].iter().all(|h| net.sees(*h, 2) == Some(MemberState::Leaving)), "seed {seed}");
        net.leave(2, true);
        net.until(net.now + 50);
        net.kill(2);
        assert!([0, 1, 3, 4].iter().all(|h| net.sees(*h, 2) == Some(MemberState::Left)), "seed {seed}");
        net.start(2);
        assert!(net.settles(20_000).is_some(), "seed {seed}");
    }
}

#[test]
fn two_sides_of_a_partition_find_each_other_without_seeds() {
    for seed in 0..20 {
        let mut net = five(seed);
        (0..5).for_each(|h| net.side(h, (h as u32) % 2));
        net.until(net.now + 120_000);
        assert_eq!(net.sees(0, 1), Some(MemberState::Unreachable), "seed {seed}");
        (0..5).for_each(|h| {
            net.side(h, 0);
            net.fleet_mut(h).expect("up").set_seeds(Vec::new());
        });
        assert!(net.settles(90_000).is_some(), "seed {seed}");
    }
}

#[test]
fn a_host_that_was_cut_off_does_not_say_that_all_others_were_dead() {
    for seed in 0..20 {
        let mut net = five(seed);
        net.side(4, 1);
        net.until(net.now + 60_000);
        assert!(net.fleet(4).is_some_and(Membership::is_isolated), "seed {seed}");
        net.heard.clear();
        net.side(4, 0);
        assert!(net.settles(90_000).is_some(), "seed {seed}");
        let wrong = |c: &MembershipEvent| matches!(c, MembershipEvent::MemberUpdated { name: n, current: MemberState::Suspect | MemberState::Unreachable, .. } if *n != name(4));
        let wrong: Vec<_> = net.heard.iter().filter(|(_, h, c)| *h != 4 && wrong(c)).collect();
        assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
    }
}

#[test]
fn of_two_under_one_name_the_later_one_stays_and_an_earlier_life_ahead_of_time_does_not_stand_in_the_way() {
    for seed in 0..20 {
        let mut net = Net::new(6, 2, 2, seed);
        (0..5).for_each(|h| net.start(h));
        net.until(10_000);
        net.start_as(5, 3);
        net.until(net.now + 20_000);
        assert_eq!(net.fleet(3).and_then(Membership::superseded_by), Some(address(5)), "seed {seed}");
        assert_eq!(net.fleet(5).and_then(Membership::superseded_by), None, "seed {seed}");
        let at = |h: usize| {
            net.fleet(h).and_then(|f| f.members().find(|(w, _)| w.name == name(3)).map(|(w, _)| w.address))
        };
        assert!([0, 1, 2, 4].iter().all(|h| at(*h) == Some(address(5))), "seed {seed}");
    }
}

#[test]
fn a_host_that_was_stopped_for_five_seconds_holds_nobody_for_dead_and_nobody_holds_it() {
    for seed in 0..20 {
        let mut net = five(seed);
        net.heard.clear();
        net.stop(1, 5_000);
        net.until(net.now + 30_000);
        let out = |c: &MembershipEvent| {
            matches!(c, MembershipEvent::MemberUpdated { current: MemberState::Unreachable, .. })
        };
        assert!(!net.heard.iter().any(|(_, _, c)| out(c)), "seed {seed}: {:?}", net.heard);
        assert!(net.settled(), "seed {seed}");
    }
}

#[test]
fn ways_slower_than_a_period_make_false_words_and_ways_of_less_than_half_of_it_make_none() {
    let false_words = |period| {
        let mut net = Net::new(60, 3, 3, 4);
        net.settings.protocol_period = period;
        (0..60).for_each(|h| net.start(h));
        assert!(net.settles(100 * period).is_some());
        net.heard.clear();
        net.delay = (300, 100);
        net.until(net.now + 60 * period);
        let out = |c: &MembershipEvent| {
            matches!(c, MembershipEvent::MemberUpdated { current: MemberState::Unreachable, .. })
        };
        net.heard.iter().filter(|(_, _, c)| out(c)).count()
    };
    assert_eq!(false_words(1_000), 0);
    let slow = false_words(250);
    assert!(slow > 0, "{slow}");
}
