use super::super::usual_rate::UsualRate;
use super::assert_close;

#[test]
fn an_interval_weighs_more_while_the_host_is_young() {
    let mut rate = UsualRate::default();
    rate.record_sent(2_000.0);
    rate.end_interval(true, 1_000);
    assert_close(rate.get(), 2.0);
    rate.record_sent(4_000.0);
    rate.end_interval(true, 1_000_000);
    assert_close(rate.get(), 2.02);
}

#[test]
fn an_interval_in_which_the_node_was_unhealthy_does_not_count() {
    let mut rate = UsualRate::default();
    rate.record_sent(2_000.0);
    rate.end_interval(false, 1_000);
    rate.end_interval(true, 1_000);
    assert_close(rate.get(), 0.0);
    rate.raise_to(1.5);
    rate.raise_to(0.5);
    assert_close(rate.get(), 1.5);
}
