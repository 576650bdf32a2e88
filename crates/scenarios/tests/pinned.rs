//! Pinned results of the scripts. A test that fails means that a value, a random draw or the text of a diagnostic has
//! changed.
use mallowseam_audit::service_model::ServiceModel;
use mallowseam_scenarios::rehearsal::{Scenario, parse};
use mallowseam_scenarios::{builtin, fault_schedule};
use mallowseam_test_support::Digest;
use std::fmt::Write;

fn pinned(name: &str, text: &str, expected: u64) {
    let found = Digest::of_text(text);
    assert_eq!(found, format!("{expected:016x}"), "{name}:\n{text}");
}

fn model_text(model: &ServiceModel) -> String {
    format!(
        "{} {} {} {} {} {} {} {} {}",
        model.cores,
        model.unit_work,
        model.unit_bytes,
        model.queue,
        model.initial_speed,
        model.warm_up,
        model.overload_factor,
        model.overload_window,
        model.tolerated_units
    )
}

const EVERY_FAULT: &str = "day 9s
hosts 3
nodes 6 cores 2 work 3ms queue 20
cold 25% 6s 2 2s 8
clients 40 rate 5/s posts 35%
list-lag 800ms
kept-list no
digests
catalog 32 copy
tariffs every 1s
at 1s node any0 silent for 1s
at 1s node 1 still for 1s
at 1s node 2 deaf for 1s
at 1s node any slow 4 for 1s
at 1s node any1 errors 20% for 1s
at 1s node any2 loses 30% for 1s
at 1s node 3 crash for 1s
at 1s node 4 reset
at 1s node 5 drain for 1s
at 2s host 0 kill for 1s
at 2s host any1 term for 1s
at 2s host 2 stall for 1s
at 2s host 1 drain
at 3s client any0 drop
at 3s client 1 stall for 1s
at 3s client 2 deaf for 1s
at 3s client 3 again
at 4s half-logins 3
at 4s garbage 4
at 4s surge basic 3 for 1s
at 4s load 0.5 for 1s
at 5s snapshot a one
at 5s clone a@one two
at 5s catalog kill for 1s
at 6s control kill for 1s
at 6s list lag 2s for 1s
at 6s list away for 1s
at 6s list backwards
site
fleet
    hosts 3
";

fn scenario_text(scenario: &Scenario) -> String {
    let mut out = format!(
        "{} {} {} {} {} {} {} {} {} {} {:?} {:?}\n{}\n",
        scenario.duration,
        scenario.hosts,
        scenario.nodes,
        scenario.clients,
        scenario.command_rate,
        scenario.write_fraction,
        scenario.list_lag,
        scenario.cached_list,
        scenario.digests,
        model_text(&scenario.model),
        scenario.catalog.as_ref().map(|c| (c.extent, &c.copy_class)),
        scenario.plan_change_interval,
        scenario.config_sections
    );
    for event in &scenario.events {
        writeln!(out, "{} {:?}", event.at, event.fault).expect("writing to a string succeeds");
    }
    out
}

#[test]
fn parsed_scripts_and_diagnostics_are_unchanged() {
    let scripts = [
        (
            "bad-day",
            builtin::rehearsal("bad-day").expect("a script"),
            0xdab0_02b6_01ac_bf97,
        ),
        (
            "month-end",
            builtin::rehearsal("month-end").expect("a script"),
            0x4933_23c1_a2c1_4729,
        ),
        (
            "tariff-night",
            builtin::rehearsal("tariff-night").expect("a script"),
            0x19ba_2266_42e8_7508,
        ),
        (
            "demo",
            builtin::rehearsal("demo").expect("a script"),
            0xa172_84d9_b284_ed68,
        ),
        (
            "short",
            builtin::rehearsal("short").expect("a script"),
            0xb765_a4a8_b0c5_ce29,
        ),
        ("due-date", builtin::DUE_DATE, 0x934a_317b_96a5_d735),
        ("every fault", EVERY_FAULT, 0x982f_4ca2_a802_b4fb),
    ];
    for (name, text, expected) in scripts {
        pinned(
            name,
            &scenario_text(&parse(name, text).expect("a valid script")),
            expected,
        );
    }
    let mistakes = EVERY_FAULT
        .replace(" for 1s", "")
        .replace("any0", "anyone")
        .replace("day 9s", "dey 9s");
    pinned(
        "mistakes",
        &parse("mistakes", &mistakes)
            .expect_err("mistakes")
            .to_string(),
        0xa7b2_ca97_22db_5839,
    );
}

#[test]
fn drawn_fault_schedules_are_unchanged() {
    let mut digest = Digest::default();
    for hosts in [3, 10, 40, 300] {
        (0..20).for_each(|seed| {
            digest.add_bytes(fault_schedule::random_script(hosts, seed).as_bytes());
        });
    }
    assert_eq!(format!("{:016x}", digest.value()), "dec4785db152f611");
}
