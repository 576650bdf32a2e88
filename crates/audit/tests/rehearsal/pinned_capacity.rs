//! Pinned capacity of nodes in slow start. Stand-ins and the audit share it, so a change affects both.
use crate::site::service_model;
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_test_support::Digest;
use std::fmt::Write;

#[test]
fn capacity_of_a_node_in_slow_start_is_unchanged() {
    let mut out = String::new();
    for model in [service_model(), ServiceModel::warm(8, 50.0, 64)] {
        let ServiceModel {
            cores,
            unit_work,
            unit_bytes,
            queue,
            initial_speed,
            warm_up,
            overload_factor,
            overload_window,
            tolerated_units,
        } = model;
        writeln!(
            out,
            "{cores} {unit_work} {unit_bytes} {queue} {initial_speed} {warm_up} {overload_factor} {overload_window} \
             {tolerated_units}"
        )
        .expect("writing to a string succeeds");
        for age in (0..5_000_000).step_by(12_345) {
            writeln!(
                out,
                "{:x} {:x}",
                model.speed_fraction(age).to_bits(),
                model.overload_units(age).to_bits()
            )
            .expect("writing to a string succeeds");
        }
    }
    let mut digest = Digest::default();
    digest.add_bytes(out.as_bytes());
    assert_eq!(
        digest.value(),
        0xfe30_b396_54e7_44bc,
        "the text begins with\n{}",
        &out[..out.len().min(600)]
    );
}
