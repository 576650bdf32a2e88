//! Cost and accuracy of the membership protocol in simulated time, by the number of hosts, compared with the protocol
//! without Lifeguard's extensions and with all-to-all heartbeats.
use super::simulation::{self, Simulation};
use mallowseam_fleet::record::Name;
use mallowseam_fleet::{MemberState, MembershipEvent, Millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Time without faults before the measurement of the cost, and duration of that measurement, in milliseconds.
const REST: Millis = 30_000;
/// Duration of the measurement of accuracy under faults, in milliseconds.
const FAULTS: Millis = 60_000;
/// Duration of the partition, in milliseconds.
const PARTITION: Millis = 60_000;
/// Maximum time to wait for convergence, in milliseconds.
const MAX_CONVERGENCE: Millis = 600_000;
/// Period within which all hosts start, in milliseconds.
const START_SPREAD: Millis = 1_000;
/// Protocol period, and interval of the inspection of tables under faults, in milliseconds.
const PERIOD: Millis = 1_000;
/// Probability that a datagram is lost, under faults.
const LOSS: f64 = 0.1;
/// Average fraction of the hosts that are stopped at one time, under faults.
const STOPPED: f64 = 0.2;
/// Maximum duration of a stop of a host under faults, in milliseconds.
const MAX_STOP: u64 = 5_000;
/// Fraction of the hosts that are killed at one instant.
const KILLED: f64 = 0.05;
/// Size of a heartbeat of the all-to-all protocol, in bytes.
const HEARTBEAT_BYTES: f64 = 100.0;
/// Heartbeat timeout of the all-to-all protocol, in periods per unit of log10 of the number of hosts.
const HEARTBEAT_TIMEOUT: f64 = 5.0;

/// A membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// SWIM with Lifeguard's extensions, as hosts run it.
    Lifeguard,
    /// SWIM without local health and without confirmations of suspicions.
    PlainSwim,
    /// All-to-all heartbeats: each host sends one to each other host every period.
    Heartbeats,
}

impl Protocol {
    /// All protocols.
    pub const ALL: [Protocol; 3] = [
        Protocol::Lifeguard,
        Protocol::PlainSwim,
        Protocol::Heartbeats,
    ];

    /// Returns the name of the protocol in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Lifeguard => "built",
            Protocol::PlainSwim => "without Lifeguard",
            Protocol::Heartbeats => "heartbeats",
        }
    }
}

/// Measurements of a protocol at one number of hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Measurements {
    /// Name of the protocol.
    #[serde(rename = "kind")]
    pub protocol: &'static str,
    /// Number of hosts.
    pub hosts: usize,
    /// Time until convergence after all hosts have started, in seconds; NaN if the fleet did not converge within ten minutes
    /// or convergence was not measured.
    pub start_s: f64,
    /// Time until convergence after some hosts were killed, in seconds; NaN as for `start_s`.
    pub kill_s: f64,
    /// Time until convergence after a partition into halves was healed, in seconds; NaN as for `start_s`.
    pub heal_s: f64,
    /// Bytes sent per second and host, without faults.
    pub bytes_s: f64,
    /// Datagrams sent per second and host, without faults.
    pub datagrams_s: f64,
    /// Number of times per hour that a running host is newly listed as unreachable by a running one, under faults.
    #[serde(rename = "false_words_h")]
    pub false_positives_h: f64,
    /// Fraction of time for which a running host is listed as unreachable by a running one, averaged over all pairs of
    /// hosts, under faults.
    #[serde(rename = "false_part")]
    pub false_positive_fraction: f64,
}

/// Frequency and duration of false positives, which are running hosts that are listed as unreachable, under faults.
struct Accuracy {
    false_positives_h: f64,
    false_positive_fraction: f64,
}

impl Accuracy {
    /// Computes the accuracy from the number of false positives and their duration in seconds, summed over all pairs of
    /// hosts.
    fn new(hosts: usize, false_positives: u64, pair_seconds: u64) -> Self {
        let seconds = FAULTS as f64 / 1e3;
        Accuracy {
            false_positives_h: false_positives as f64 * 3_600.0 / seconds,
            false_positive_fraction: pair_seconds as f64 / ((hosts * hosts) as f64 * seconds),
        }
    }
}

/// Measures a protocol at a number of hosts.
pub fn measure(protocol: Protocol, hosts: usize, seed: u64) -> Measurements {
    if protocol == Protocol::Heartbeats {
        return measure_heartbeats(hosts, seed);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xf1e1d);
    let mut fleet = Simulation::new(hosts, 3.min(hosts), 3, seed);
    fleet.config.local_health = protocol == Protocol::Lifeguard;
    fleet.config.suspicion_confirmations = protocol == Protocol::Lifeguard;

    let mut measured = Measurements {
        protocol: protocol.name(),
        hosts,
        ..Measurements::default()
    };
    measured.start_s = start_all(&mut fleet);
    fleet.record_events = false;
    (measured.bytes_s, measured.datagrams_s) = cost_at_rest(&mut fleet);
    let accuracy = accuracy_under_faults(&mut fleet, &mut rng);
    measured.false_positives_h = accuracy.false_positives_h;
    measured.false_positive_fraction = accuracy.false_positive_fraction;
    fleet.time_to_converge(MAX_CONVERGENCE);
    measured.kill_s = kill_some(&mut fleet);
    measured.heal_s = partition_and_heal(&mut fleet);
    measured
}

/// Runs a fleet until convergence and returns the time that this took, in seconds; NaN if the fleet does not converge.
fn converge_s(fleet: &mut Simulation) -> f64 {
    fleet
        .time_to_converge(MAX_CONVERGENCE)
        .map_or(f64::NAN, |millis| millis as f64 / 1e3)
}

/// Starts all hosts and returns the time until convergence, in seconds.
fn start_all(fleet: &mut Simulation) -> f64 {
    for host in 0..fleet.len() {
        fleet.run_until(fleet.now + START_SPREAD / fleet.len() as u64);
        fleet.start(host);
    }
    converge_s(fleet)
}

/// Returns the bytes and the datagrams sent per second and host, without faults.
fn cost_at_rest(fleet: &mut Simulation) -> (f64, f64) {
    // Waits until the updates that stem from the start are no longer retransmitted.
    fleet.run_until(fleet.now + REST);
    let datagrams = fleet.datagrams;
    let bytes = fleet.bytes;
    fleet.run_until(fleet.now + REST);
    let host_seconds = fleet.len() as f64 * REST as f64 / 1e3;
    (
        (fleet.bytes - bytes) as f64 / host_seconds,
        (fleet.datagrams - datagrams) as f64 / host_seconds,
    )
}

/// Kills a fraction of the hosts and returns the time until convergence, in seconds.
fn kill_some(fleet: &mut Simulation) -> f64 {
    let hosts = fleet.len();
    let killed = ((hosts as f64 * KILLED) as usize).max(1);
    (hosts - killed..hosts).for_each(|host| fleet.kill(host));
    converge_s(fleet)
}

/// Partitions the fleet into halves, heals it, and returns the time until convergence, in seconds.
fn partition_and_heal(fleet: &mut Simulation) -> f64 {
    (0..fleet.len()).for_each(|host| fleet.set_side(host, (host % 2) as u32));
    fleet.run_until(fleet.now + PARTITION);
    (0..fleet.len()).for_each(|host| fleet.set_side(host, 0));
    converge_s(fleet)
}

/// Returns the number of stops that begin in one second, so that the fraction [`STOPPED`] of the hosts is stopped on average.
fn stops_in_a_second(hosts: usize, rng: &mut Pcg64Mcg) -> usize {
    let stops = hosts as f64 * STOPPED / (MAX_STOP as f64 / 2e3);
    stops as usize + usize::from(rng.random_bool(stops.fract()))
}

/// Measures accuracy under loss of datagrams and stops of hosts.
fn accuracy_under_faults(fleet: &mut Simulation, rng: &mut Pcg64Mcg) -> Accuracy {
    let hosts = fleet.len();
    fleet.loss = LOSS;
    fleet.record_events = true;
    fleet.events.clear();
    let end = fleet.now + FAULTS;
    let mut pair_seconds = 0;
    while fleet.now < end {
        for _ in 0..stops_in_a_second(hosts, rng) {
            let duration = rng.random_range(0..MAX_STOP);
            fleet.stop(rng.random_range(0..hosts), duration);
        }
        fleet.run_until(fleet.now + PERIOD);
        pair_seconds += count_false_positive_pairs(fleet);
    }
    let is_false_positive = |event: &MembershipEvent| {
        matches!(
            event,
            MembershipEvent::MemberUpdated {
                current: MemberState::Unreachable,
                ..
            }
        )
    };
    let false_positives = fleet
        .events
        .iter()
        .filter(|observed| is_false_positive(&observed.event))
        .count();
    fleet.loss = 0.0;
    fleet.record_events = false;
    fleet.events.clear();
    Accuracy::new(hosts, false_positives as u64, pair_seconds)
}

/// Returns the number of ordered pairs of running hosts, neither of them stopped, of which the first lists the second as
/// unreachable.
fn count_false_positive_pairs(fleet: &Simulation) -> u64 {
    let active: Vec<usize> = fleet
        .running()
        .filter(|host| !fleet.is_stopped(*host))
        .collect();
    let names: BTreeSet<Name> = active.iter().map(|host| simulation::name(*host)).collect();
    let memberships = active.iter().filter_map(|host| fleet.membership(*host));
    let members = memberships.flat_map(mallowseam_fleet::Membership::members);
    let false_positives = members.filter(|(record, state)| {
        *state == MemberState::Unreachable && names.contains(&record.name)
    });
    false_positives.count() as u64
}

/// Measures all-to-all heartbeats. Accuracy is simulated under the same faults as for the other protocols; the cost is
/// calculated.
fn measure_heartbeats(hosts: usize, seed: u64) -> Measurements {
    let accuracy = heartbeat_accuracy(hosts, seed);
    let others = hosts as f64 - 1.0;
    Measurements {
        protocol: Protocol::Heartbeats.name(),
        hosts,
        start_s: f64::NAN,
        kill_s: f64::NAN,
        heal_s: f64::NAN,
        bytes_s: others * HEARTBEAT_BYTES,
        datagrams_s: others,
        false_positives_h: accuracy.false_positives_h,
        false_positive_fraction: accuracy.false_positive_fraction,
    }
}

/// Simulates the accuracy of all-to-all heartbeats under loss of datagrams and stops of hosts.
fn heartbeat_accuracy(hosts: usize, seed: u64) -> Accuracy {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let timeout = (HEARTBEAT_TIMEOUT * (hosts.max(10) as f64).log10()).ceil() as usize;
    // Period of the last heartbeat, by receiver and sender.
    let mut last_heard = vec![vec![0usize; hosts]; hosts];
    let mut unreachable = vec![vec![false; hosts]; hosts];
    let mut stopped_until = vec![0usize; hosts];
    let mut false_positives = 0;
    let mut pair_seconds = 0;
    for now in 1..=(FAULTS / PERIOD) as usize {
        for _ in 0..stops_in_a_second(hosts, &mut rng) {
            let until = now + rng.random_range(0..=(MAX_STOP / PERIOD) as usize);
            stopped_until[rng.random_range(0..hosts)] = until;
        }
        let active: Vec<usize> = (0..hosts)
            .filter(|host| stopped_until[*host] <= now)
            .collect();
        for &sender in &active {
            for receiver in (0..hosts).filter(|host| *host != sender) {
                if !rng.random_bool(LOSS) {
                    last_heard[receiver][sender] = now;
                }
            }
        }
        for &host in &active {
            for &other in active.iter().filter(|other| **other != host) {
                let is_false_positive = now - last_heard[host][other] > timeout;
                false_positives += u64::from(is_false_positive && !unreachable[host][other]);
                pair_seconds += u64::from(is_false_positive);
                unreachable[host][other] = is_false_positive;
            }
        }
    }
    Accuracy::new(hosts, false_positives, pair_seconds)
}
