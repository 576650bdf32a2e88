//! `model`: fleets in simulated time.
use super::{ColdStartOptions, CommandResult, Finding, MembershipModelOptions};
use mallowseam_audit::membership::convergence_periods;
use mallowseam_models::cold_start::{self as cold_start_model, ColdStartCase};
use mallowseam_models::membership::files::{self, ProtocolMeasurements};
use mallowseam_models::membership::measurements::{self, Measurements, Protocol};
use mallowseam_testbed::fleet::peers::NOTIFICATION_DEADLINE;

/// Simulated time in microseconds after which a case ends.
const MAX_SIMULATED: u64 = 3_600_000_000;
/// Bytes a second and host that the membership protocol may send at rest.
const MAX_MEMBERSHIP_BYTES: f64 = 2_000.0;
/// Simulated time in microseconds that requests in the list service's queue may take.
const MAX_QUEUED: u64 = 1_000_000;

pub(super) fn cold_start(options: &ColdStartOptions) -> CommandResult {
    let (takes, down, seed) = (options.takes, options.down, options.seed);
    println!(
        "simulated, seed {seed}, {takes} ms a call, down for {down} s; bound: 1.5 * hosts * {takes} ms"
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
    let (takes, down) = (options.takes * 1_000, options.down * 1_000_000);
    let case = ColdStartCase {
        hosts,
        service_time: takes,
        advertised_service_time: None,
        down_until: down,
        already_running: false,
    };
    let run = |case| cold_start_model::run(case, options.seed, MAX_SIMULATED);
    let paced = run(ColdStartCase {
        advertised_service_time: Some(takes),
        ..case
    });
    let untold = run(case);
    let before = run(ColdStartCase {
        advertised_service_time: Some(0),
        ..case
    });
    let bound = 1.5 * f64::from(hosts) * takes as f64 / 1e6;
    for (name, result) in [("told", &paced), ("untold", &untold), ("before", &before)] {
        let seconds = |part| {
            result
                .list_delay_within(part)
                .map_or(f64::NAN, |at| at as f64 / 1e6)
        };
        println!(
            "{hosts:>7}{:>10}{:>8.2}{:>14}{:>9}{:>11.2}{:>11.2}{bound:>9.2}{:>11}  {name}",
            result.polls,
            result.polls as f64 / f64::from(hosts),
            result.max_queued,
            result.rejected,
            seconds(0.95),
            seconds(1.0),
            result.hosts_with_list_by(NOTIFICATION_DEADLINE)
        );
    }
    if let Some(out) = &options.out {
        let cases = [("paced", &paced), ("untold", &untold), ("before", &before)];
        cold_start_model::write(out, &format!("cold-start-{hosts}"), &cases)?;
    }
    Ok(paced.list_delays.len() == hosts as usize && paced.max_queued as u64 * takes <= MAX_QUEUED)
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
    let mut all: Vec<ProtocolMeasurements> = Vec::new();
    for &hosts in &options.hosts {
        for &protocol in protocols {
            let measured = measurements::measure(protocol, hosts, options.seed);
            passed &= print_membership(protocol, hosts, &measured);
            all.push(ProtocolMeasurements {
                protocol,
                measurements: measured,
            });
        }
    }
    if let Some(dir) = &options.out {
        files::write(dir, &all, |hosts| convergence_periods(hosts as u32))?;
    }
    Ok(Finding::from(passed))
}

/// Prints one row; whether the protocol as built stays within its bounds.
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
    let settled = [m.start_s, m.kill_s, m.heal_s]
        .iter()
        .all(|seconds| *seconds <= bound);
    protocol != Protocol::Lifeguard || settled && m.bytes_s <= MAX_MEMBERSHIP_BYTES
}
