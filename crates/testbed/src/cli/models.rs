//! Subcommand `model`: fleets in simulated time.
use super::{ColdStartOptions, CommandResult, Finding, MembershipModelOptions};
use mallowseam_audit::membership::convergence_periods;
use mallowseam_models::cold_start::{self as cold_start_model, ColdStartCase, ColdStartOutcome};
use mallowseam_models::membership::files::{self, ProtocolMeasurements};
use mallowseam_models::membership::measurements::{self, Measurements, Protocol};
use mallowseam_testbed::fleet::peers::NOTIFICATION_DEADLINE;

const MICROS_PER_MS: u64 = 1_000;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Simulated time after which a case ends, in microseconds.
const MAX_SIMULATED_TIME: u64 = 3_600_000_000;
/// Maximum rate at which a host may send membership traffic in a fleet without changes, in bytes per second.
const MAX_MEMBERSHIP_BYTES_PER_SECOND: f64 = 2_000.0;
/// Maximum simulated time that the discovery service may need for all queued polls, in microseconds.
const MAX_QUEUE_TIME: u64 = 1_000_000;

pub(super) fn cold_start(options: &ColdStartOptions) -> CommandResult {
    println!(
        "simulated, seed {}, {takes} ms a call, down for {} s; bound: 1.5 * hosts * {takes} ms",
        options.seed,
        options.down,
        takes = options.takes
    );
    println!(
        "{:>7}{:>10}{:>8}{:>14}{:>9}{:>11}{:>11}{:>9}{:>11}",
        "hosts",
        "calls",
        "a host",
        "most waiting",
        "away",
        "95 % s",
        "last s",
        "bound s",
        "within 6 s"
    );
    let mut passed = true;
    for &hosts in &options.hosts {
        passed &= cold_start_of(hosts, options)?;
    }
    Ok(Finding::from(passed))
}

fn cold_start_of(
    hosts: u32,
    options: &ColdStartOptions,
) -> Result<bool, Box<dyn std::error::Error>> {
    let service_time = options.takes * MICROS_PER_MS;
    let case = ColdStartCase {
        hosts,
        service_time,
        advertised_service_time: None,
        down_until: options.down * MICROS_PER_SECOND,
        already_running: false,
    };
    let run = |advertised_service_time| {
        let case = ColdStartCase {
            advertised_service_time,
            ..case
        };
        cold_start_model::run(case, options.seed, MAX_SIMULATED_TIME)
    };
    let paced = run(Some(service_time));
    let unadvertised = run(None);
    let unpaced = run(Some(0));
    for (name, outcome) in [
        ("told", &paced),
        ("untold", &unadvertised),
        ("before", &unpaced),
    ] {
        print_cold_start(name, case, outcome);
    }
    if let Some(out) = &options.out {
        let cases = [
            ("paced", &paced),
            ("untold", &unadvertised),
            ("before", &unpaced),
        ];
        cold_start_model::write(out, &format!("cold-start-{hosts}"), &cases)?;
    }
    let all_have_a_list = paced.list_delays.len() == hosts as usize;
    Ok(all_have_a_list && paced.max_queued as u64 * service_time <= MAX_QUEUE_TIME)
}

/// Prints the table row of one case.
fn print_cold_start(name: &str, case: ColdStartCase, outcome: &ColdStartOutcome) {
    let hosts = case.hosts;
    let bound = 1.5 * f64::from(hosts) * case.service_time as f64 / 1e6;
    let seconds = |fraction| {
        outcome
            .list_delay_within(fraction)
            .map_or(f64::NAN, |at| at as f64 / 1e6)
    };
    println!(
        "{hosts:>7}{:>10}{:>8.2}{:>14}{:>9}{:>11.2}{:>11.2}{bound:>9.2}{:>11}  {name}",
        outcome.polls,
        outcome.polls as f64 / f64::from(hosts),
        outcome.max_queued,
        outcome.rejected,
        seconds(0.95),
        seconds(1.0),
        outcome.hosts_with_list_by(NOTIFICATION_DEADLINE)
    );
}

pub(super) fn membership(options: &MembershipModelOptions) -> CommandResult {
    println!(
        "simulated, seed {}, periods of 1 s; T(N) = 100 + 20 log10 N periods",
        options.seed
    );
    println!(
        "{:>7}{:>9}{:>9}{:>9}{:>8}{:>10}{:>8}{:>13}{:>13}",
        "hosts", "start s", "kill s", "heal s", "T(N)", "bytes/s", "dgr/s", "false/h", "false part"
    );
    let protocols: &[Protocol] = if options.built {
        &[Protocol::Lifeguard]
    } else {
        &[
            Protocol::Lifeguard,
            Protocol::PlainSwim,
            Protocol::Heartbeats,
        ]
    };
    let mut passed = true;
    let mut all_measurements: Vec<ProtocolMeasurements> = Vec::new();
    for &hosts in &options.hosts {
        for &protocol in protocols {
            let measured = measurements::measure(protocol, hosts, options.seed);
            passed &= print_membership(protocol, hosts, &measured);
            all_measurements.push(ProtocolMeasurements {
                protocol,
                measurements: measured,
            });
        }
    }
    if let Some(dir) = &options.out {
        files::write(dir, &all_measurements, |hosts| {
            convergence_periods(hosts as u32)
        })?;
    }
    Ok(Finding::from(passed))
}

/// Prints the table row of one protocol and number of hosts. Returns false if the row is that of the protocol as built
/// and exceeds a bound.
fn print_membership(protocol: Protocol, hosts: usize, m: &Measurements) -> bool {
    let bound = convergence_periods(hosts as u32);
    println!(
        "{hosts:>7}{:>9.1}{:>9.1}{:>9.1}{bound:>8.0}{:>10.0}{:>8.1}{:>13.0}{:>13.6}  {}",
        m.start_s,
        m.kill_s,
        m.heal_s,
        m.bytes_s,
        m.datagrams_s,
        m.false_positives_h,
        m.false_positive_fraction,
        protocol.name()
    );
    let converges = [m.start_s, m.kill_s, m.heal_s]
        .iter()
        .all(|seconds| *seconds <= bound);
    protocol != Protocol::Lifeguard || converges && m.bytes_s <= MAX_MEMBERSHIP_BYTES_PER_SECOND
}
