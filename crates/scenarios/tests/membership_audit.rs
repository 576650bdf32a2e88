//! Membership audit on constructed samples. The audit could miss a kind of fault, or report one in a converged fleet.
use mallowseam_audit::fleet::record::{Event, Observation, Termination};
use mallowseam_audit::membership::{MembershipSample, SampledMember};
use mallowseam_audit::membership::{MembershipVerdict, check};
use mallowseam_fleet::MemberState;
use mallowseam_scenarios::fleet;

const SECOND: u64 = 1_000_000;
/// First lines of each script. The protocol period is 100 ms, so the bounds are 7.5 s for rediscovery, 3.5 s for the
/// detection of a kill and 12 s for convergence.
const HEAD: &str = "day 60s\nhosts 3 known now\nzones 2\nview period 100ms seeds 1\nnodes 1 cores 1 work 5ms queue 32\n\
    lines 64 1ms\ncold 25% 3s 4 1s 60 3s\nclients rate 1/s\nlist takes 10ms patience 1s lag 0ms\n";

fn sample(at: u64, host: u32, states: [MemberState; 3]) -> MembershipSample {
    let members = (0..3)
        .map(|n| SampledMember {
            host: n,
            state: states[n as usize],
            generation: 7,
        })
        .collect();
    let digest = states.iter().fold(0, |digest, s| {
        10 * digest + u64::from(*s == MemberState::Unreachable)
    });
    MembershipSample {
        requested_at: at * SECOND,
        host,
        digest,
        members,
    }
}

const ALIVE: [MemberState; 3] = [MemberState::Alive; 3];
const LOST: [MemberState; 3] = [
    MemberState::Alive,
    MemberState::Alive,
    MemberState::Unreachable,
];

/// Returns the verdict on a run in which each of three hosts reports the states that `observed` returns, once a second.
/// The third host ends as `ends` says, if it does.
fn verdict_of(
    script: &str,
    ends: Option<(u64, Termination)>,
    observed: impl Fn(u64, u32) -> [MemberState; 3],
) -> MembershipVerdict {
    let mut record: Vec<Observation> = (0..3)
        .map(|host| Observation {
            at: 0,
            event: Event::HostStarted { host },
        })
        .collect();
    if let Some((at, by)) = ends {
        record.push(Observation {
            at: at * SECOND,
            event: Event::HostStopped { host: 2, by },
        });
    }
    let runs = |at: u64, host: u32| host < 2 || ends.is_none_or(|e| at < e.0);
    let reports = (1..60)
        .flat_map(|at| (0..3).map(move |host| (at, host)))
        .filter(|(at, host)| runs(*at, *host));
    let samples: Vec<MembershipSample> = reports
        .map(|(at, host)| sample(at, host, observed(at, host)))
        .collect();
    let scenario = fleet::parse("script", &format!("{HEAD}{script}")).expect("a valid script");
    let run = scenario.membership_run();
    check(&run, &record, &samples)
}

/// Returns the numbers of converged and of running hosts.
fn converged(verdict: &MembershipVerdict) -> (usize, usize) {
    (verdict.converged_hosts, verdict.running_hosts)
}

#[test]
fn a_converged_fleet_has_no_faults() {
    let verdict = verdict_of("", None, |_, _| ALIVE);
    assert_eq!(
        (
            verdict.evidence(),
            converged(&verdict),
            verdict.convergence_seconds
        ),
        (vec![], (3, 3), 0.0)
    );
    let killed = verdict_of(
        "at 20s host 2 kill for 99s\n",
        Some((20, Termination::Killed)),
        |at, _| {
            if at < 22 { ALIVE } else { LOST }
        },
    );
    assert_eq!((killed.evidence(), converged(&killed)), (vec![], (2, 2)));
    assert!(
        (0.9..=2.1).contains(&killed.convergence_seconds),
        "{:?}",
        killed.convergence_seconds
    );
}

#[test]
fn each_kind_of_fault_in_the_tables_is_found() {
    let never = verdict_of("", None, |_, host| if host == 1 { LOST } else { ALIVE });
    assert_eq!(converged(&never), (2, 3));
    let late = verdict_of("at 5s host 2 stall for 1s\n", None, |at, host| {
        if host == 1 && at < 40 { LOST } else { ALIVE }
    });
    assert!(
        late.convergence_seconds > late.convergence_bound_seconds && converged(&late) == (3, 3),
        "{late}"
    );
    assert!(
        (24.0..=28.0).contains(&late.false_unreachable_seconds),
        "a running host was held unreachable: {late}"
    );
    let excused = |script: &str| {
        verdict_of(script, None, |at, host| {
            if host == 1 && at < 40 { LOST } else { ALIVE }
        })
        .false_unreachable_seconds
    };
    assert_eq!(
        excused("at 1s link host1 host2 one-way silent for 35s\n"),
        0.0,
        "the observer does not reach the host"
    );
    assert_eq!(
        excused("at 1s host 2 stall for 35s\n"),
        0.0,
        "the host is stopped"
    );
    assert_eq!(
        excused("at 1s link host1 host2 slow 60ms for 35s\n"),
        0.0,
        "the link is slower than half a period"
    );
    assert!(excused("at 1s link host1 host2 slow 40ms for 35s\n") > 20.0);
    let undetected = verdict_of(
        "at 20s host 2 kill for 99s\n",
        Some((20, Termination::Killed)),
        |at, host| {
            if at < 22 || host == 1 && at < 30 {
                ALIVE
            } else {
                LOST
            }
        },
    );
    assert_eq!(
        (
            undetected.undetected_kills.len(),
            undetected.resurrections.len()
        ),
        (1, 0),
        "{undetected}"
    );
    let left = [MemberState::Alive, MemberState::Alive, MemberState::Left];
    let resurrected = verdict_of(
        "at 20s host 2 term for 99s\n",
        Some((20, Termination::Exited(0))),
        |at, _| {
            if at < 20 {
                ALIVE
            } else if at == 30 {
                LOST
            } else {
                left
            }
        },
    );
    assert_eq!(resurrected.resurrections.len(), 2, "{resurrected}");
}
