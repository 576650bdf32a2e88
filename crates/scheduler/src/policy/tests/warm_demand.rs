use super::super::warm_demand::WarmDemand;
use super::assert_close;

#[test]
fn half_of_the_demand_is_assumed_to_be_accepted_initially() {
    let mut demand = WarmDemand::default();
    assert_close(demand.accepted_fraction(), 0.5);
    for _ in 0..4 {
        demand.record_sent();
    }
    assert_close(demand.accepted_fraction(), 0.75);
    for _ in 0..8 {
        demand.record_not_sent();
    }
    assert_close(demand.accepted_fraction(), 0.375);
}

#[test]
fn the_demand_counts_decay_to_the_initial_assumption() {
    let mut demand = WarmDemand::default();
    for _ in 0..100 {
        demand.record_sent();
    }
    for _ in 0..2_000 {
        demand.decay();
    }
    assert!((demand.accepted_fraction() - 0.5).abs() < 0.001);
}
