//! Cost and accuracy of the membership protocol in simulated time, by the number of hosts, beside the protocol without
//! Lifeguard's extensions and heartbeats to all.
use super::simulation::{self, Simulation};
use mallowseam_fleet::record::Name;
use mallowseam_fleet::{MemberState, MembershipEvent, Millis};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Time at rest, before and during the measurement of the cost.
const REST: Millis = 30_000;
/// Time under faults.
const FAULTS: Millis = 60_000;
/// Length of the partition.
const PARTITION: Millis = 60_000;
/// Longest wait for convergence.
const MAX_CONVERGENCE: Millis = 600_000;
/// Hosts start within so long of one another.
const START_SPREAD: Millis = 1_000;
/// Protocol period, and the interval in which tables are inspected under faults.
const PERIOD: Millis = 1_000;
/// Under faults: probability that a datagram is lost.
const LOSS: f64 = 0.1;
/// Under faults: fraction of the hosts that are stopped at one time.
const STOPPED: f64 = 0.2;
/// Under faults: longest stop of a host.
const MAX_STOP: u64 = 5_000;
/// Fraction of the hosts that are killed at one instant.
const KILLED: f64 = 0.05;
/// Heartbeats to all: bytes of a heartbeat.
const HEARTBEAT_BYTES: f64 = 100.0;
/// Heartbeats to all: periods without one after which a host counts as unreachable, times log10 of the hosts.
const HEARTBEAT_TIMEOUT: f64 = 5.0;

/// A membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// SWIM with Lifeguard's extensions, as hosts run it.
    Lifeguard,
    /// The same without local health and without confirmations of suspicions.
    PlainSwim,
    /// Each host sends each other one a heartbeat every period.
    Heartbeats,
}

impl Protocol {
    /// All protocols.
    pub const ALL: [Protocol; 3] = [
        Protocol::Lifeguard,
        Protocol::PlainSwim,
        Protocol::Heartbeats,
    ];

    /// The protocol's name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Lifeguard => "built",
            Protocol::PlainSwim => "without Lifeguard",
            Protocol::Heartbeats => "heartbeats",
        }
    }
}

/// What was measured of a protocol at a number of hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Measurements {
    /// Name of the protocol.
    #[serde(rename = "kind")]
    pub protocol: &'static str,
    /// Number of hosts.
    pub hosts: usize,
    /// Seconds until convergence after all started at once; NaN: not within ten minutes, or not measured.
    pub start_s: f64,
    /// The same after some were killed.
    pub kill_s: f64,
    /// The same after a partition in halves was healed.
    pub heal_s: f64,
    /// Bytes a second and host, at rest.
    pub bytes_s: f64,
    /// Datagrams a second and host, at rest.
    pub datagrams_s: f64,
    /// Under faults: running hosts that a running one newly held unreachable, an hour.
    #[serde(rename = "false_words_h")]
    pub false_positives_h: f64,
    /// Under faults: the fraction of its time for which a running host was held unreachable by a running one.
    #[serde(rename = "false_part")]
    pub false_positive_fraction: f64,
}

/// How often and for how long running hosts were held unreachable under faults.
struct Accuracy {
    false_positives_h: f64,
    false_positive_fraction: f64,
}

impl Accuracy {
    /// `positives`: how often. `pair_seconds`: for how long, summed over all pairs of hosts.
    fn new(hosts: usize, positives: u64, pair_seconds: u64) -> Self {
        let seconds = FAULTS as f64 / 1e3;
        Accuracy {
            false_positives_h: positives as f64 * 3_600.0 / seconds,
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

/// Seconds until convergence; NaN where the fleet does not converge.
fn converge_s(fleet: &mut Simulation) -> f64 {
    fleet
        .time_to_converge(MAX_CONVERGENCE)
        .map_or(f64::NAN, |millis| millis as f64 / 1e3)
}

fn start_all(fleet: &mut Simulation) -> f64 {
    for host in 0..fleet.len() {
        fleet.run_until(fleet.now + START_SPREAD / fleet.len() as u64);
        fleet.start(host);
    }
    converge_s(fleet)
}

/// Bytes and datagrams a second and host.
fn cost_at_rest(fleet: &mut Simulation) -> (f64, f64) {
    // Until the updates of the start have been sent as often as they are.
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

fn kill_some(fleet: &mut Simulation) -> f64 {
    let hosts = fleet.len();
    let killed = ((hosts as f64 * KILLED) as usize).max(1);
    (hosts - killed..hosts).for_each(|host| fleet.kill(host));
    converge_s(fleet)
}

fn partition_and_heal(fleet: &mut Simulation) -> f64 {
    (0..fleet.len()).for_each(|host| fleet.set_side(host, (host % 2) as u32));
    fleet.run_until(fleet.now + PARTITION);
    (0..fleet.len()).for_each(|host| fleet.set_side(host, 0));
    converge_s(fleet)
}

/// Stops to begin in one second, so that the wanted fraction of the hosts is stopped on average.
fn stops_in_a_second(hosts: usize, rng: &mut Pcg64Mcg) -> usize {
    let stops = hosts as f64 * STOPPED / (MAX_STOP as f64 / 2e3);
    stops as usize + usize::from(rng.random_bool(stops.fract()))
}

/// Loss and stops for a while.
fn accuracy_under_faults(fleet: &mut Simulation, rng: &mut Pcg64Mcg) -> Accuracy {
    let hosts = fleet.len();
    fleet.loss = LOSS;
    fleet.record_events = true;
    fleet.events.clear();
    let end = fleet.now + FAULTS;
    let mut pair_seconds = 0;
    while fleet.now < end {
        for _ in 0..stops_in_a_second(hosts, rng) {
            let span = rng.random_range(0..MAX_STOP);
            fleet.stop(rng.random_range(0..hosts), span);
        }
        fleet.run_until(fleet.now + PERIOD);
        pair_seconds += wrongly_unreachable(fleet);
    }
    let is_positive = |event: &MembershipEvent| {
        matches!(
            event,
            MembershipEvent::MemberUpdated {
                current: MemberState::Unreachable,
                ..
            }
        )
    };
    let positives = fleet
        .events
        .iter()
        .filter(|observed| is_positive(&observed.event))
        .count();
    fleet.loss = 0.0;
    fleet.record_events = false;
    fleet.events.clear();
    Accuracy::new(hosts, positives as u64, pair_seconds)
}

/// Pairs of running hosts, neither of them stopped, of which one holds the other unreachable.
fn wrongly_unreachable(fleet: &Simulation) -> u64 {
    let awake: Vec<usize> = fleet
        .running()
        .filter(|host| !fleet.is_stopped(*host))
        .collect();
    let names: BTreeSet<Name> = awake.iter().map(|host| simulation::name(*host)).collect();
    let memberships = awake.iter().filter_map(|host| fleet.membership(*host));
    let members = memberships.flat_map(mallowseam_fleet::Membership::members);
    let wrong = members.filter(|(record, state)| {
        *state == MemberState::Unreachable && names.contains(&record.name)
    });
    wrong.count() as u64
}

/// Each host sends each other one a heartbeat every period, under the same faults. Only accuracy is simulated; the cost
/// is calculated.
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

fn heartbeat_accuracy(hosts: usize, seed: u64) -> Accuracy {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let timeout = (HEARTBEAT_TIMEOUT * (hosts.max(10) as f64).log10()).ceil() as usize;
    // By receiver and sender, in periods.
    let mut last_heard = vec![vec![0usize; hosts]; hosts];
    let mut unreachable = vec![vec![false; hosts]; hosts];
    let mut stopped_until = vec![0usize; hosts];
    let mut positives = 0;
    let mut pair_seconds = 0;
    for now in 1..=(FAULTS / PERIOD) as usize {
        for _ in 0..stops_in_a_second(hosts, &mut rng) {
            let until = now + rng.random_range(0..=(MAX_STOP / PERIOD) as usize);
            stopped_until[rng.random_range(0..hosts)] = until;
        }
        let awake: Vec<usize> = (0..hosts)
            .filter(|host| stopped_until[*host] <= now)
            .collect();
        for &sender in &awake {
            for receiver in (0..hosts).filter(|host| *host != sender) {
                if !rng.random_bool(LOSS) {
                    last_heard[receiver][sender] = now;
                }
            }
        }
        for &host in &awake {
            for &other in awake.iter().filter(|other| **other != host) {
                let is_wrong = now - last_heard[host][other] > timeout;
                positives += u64::from(is_wrong && !unreachable[host][other]);
                pair_seconds += u64::from(is_wrong);
                unreachable[host][other] = is_wrong;
            }
        }
    }
    Accuracy::new(hosts, positives, pair_seconds)
}
