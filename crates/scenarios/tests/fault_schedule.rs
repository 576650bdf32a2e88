//! Scripts drawn from a seed. A seed could draw a script that does not parse, or a kind of fault could never occur.
use mallowseam_scenarios::{fault_schedule, fleet};

#[test]
fn each_seed_draws_a_valid_script_and_every_kind_of_fault_occurs() {
    let scripts: Vec<String> = (0..20)
        .map(|seed| fault_schedule::random_script(40, seed))
        .collect();
    assert!(
        scripts
            .iter()
            .all(|text| fleet::parse("storm", text).is_ok()),
        "{}",
        scripts[0]
    );
    assert!(scripts.windows(2).all(|pair| pair[0] != pair[1]));
    for fault in [
        "kill", "term", "stall", "silent", "one-way", "loss 10%", "slow", "zone",
    ] {
        assert!(scripts.iter().any(|text| text.contains(fault)), "{fault}");
    }
}
