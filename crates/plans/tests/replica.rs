//! Tests of a host's replica of the plans: versions, quotas, and connection attempts.
use mallowseam_plans::change_log::ChangeLog;
use mallowseam_plans::host_quota::{CLOCK_SKEW_MARGIN, LOAN_DURATION};
use mallowseam_plans::messages::{HostMessage, ServiceMessage, VolumeLease, VolumeReport};
use mallowseam_plans::replica::{HostedVolume, PlanReplica, ReplicaAction};
use mallowseam_plans::state::{Change, Plan};
use mallowseam_plans::{MilliUnits, Millis};

/// Time after the start at which quota that the host lent before can no longer be in use.
const NOW: Millis = LOAN_DURATION + CLOCK_SKEW_MARGIN;

fn change_limit(limit: MilliUnits) -> Change {
    Change::SetPlan {
        name: "basic".into(),
        plan: Plan {
            rate_limit: limit,
            burst_units: 10,
            ..Plan::default()
        },
    }
}

/// Appends a change to the service's log. Returns the message that is sent to hosts.
fn append(log: &mut ChangeLog, change: Change) -> ServiceMessage {
    let text = log
        .propose(log.state.version, "a", "b", 0, change)
        .expect("the change is valid");
    log.append(&text).expect("the entry follows the log");
    ServiceMessage::LogEntry { text }
}

/// Returns the service's log at version 2, with a limit of 900 for one volume of three hosts, and the replica of a host
/// that accepted this version.
fn service_and_replica() -> (ChangeLog, PlanReplica) {
    let mut log = ChangeLog::default();
    append(&mut log, change_limit(900));
    append(
        &mut log,
        Change::AssignPlan {
            volume: "water".into(),
            plan: "basic".into(),
        },
    );
    let volume = HostedVolume {
        name: "water".to_owned(),
        host_count: 3,
    };
    let mut replica = PlanReplica::new("h", vec![volume], None, 0);
    let snapshot = ServiceMessage::Snapshot {
        state: Box::new(log.state.clone()),
        last_hash: log.last_hash().to_owned(),
    };
    assert!(matches!(
        replica.receive(snapshot, &[], NOW),
        ReplicaAction::ApplyPending
    ));
    assert_eq!(
        replica.accept_pending(NOW),
        Some(HostMessage::Accepted { version: 2 })
    );
    (log, replica)
}

fn quotas(replica: &PlanReplica, now: Millis) -> Vec<MilliUnits> {
    replica.available_quotas(now).flatten().collect()
}

#[test]
fn a_version_takes_effect_once_the_host_has_accepted_it() {
    let (mut log, mut replica) = service_and_replica();
    assert_eq!(quotas(&replica, NOW), [300]);
    let entry = append(&mut log, change_limit(600));
    assert!(matches!(
        replica.receive(entry, &[], NOW),
        ReplicaAction::ApplyPending
    ));
    assert_eq!(quotas(&replica, NOW), [300]);
    replica.accept_pending(NOW);
    assert_eq!(
        (quotas(&replica, NOW), replica.state()),
        (vec![200], &log.state)
    );
}

#[test]
fn a_rejected_version_is_superseded_by_a_later_one() {
    let (mut log, mut replica) = service_and_replica();
    replica.receive(append(&mut log, change_limit(600)), &[], NOW);
    let rejected = HostMessage::Rejected {
        version: 3,
        reason: "no".into(),
    };
    assert_eq!(replica.reject_pending("no".into()), Some(rejected));
    assert_eq!(quotas(&replica, NOW), [300]);
    replica.receive(append(&mut log, change_limit(750)), &[], NOW);
    assert_eq!(
        replica.accept_pending(NOW),
        Some(HostMessage::Accepted { version: 4 })
    );
    assert_eq!(quotas(&replica, NOW), [250]);
}

#[test]
fn an_entry_that_does_not_follow_requests_a_snapshot_and_changes_nothing() {
    let (mut log, mut replica) = service_and_replica();
    append(&mut log, change_limit(600));
    let after_a_gap = append(&mut log, change_limit(500));
    assert!(matches!(
        replica.receive(after_a_gap, &[], NOW),
        ReplicaAction::Disconnect(_)
    ));
    assert_eq!(quotas(&replica, NOW), [300]);
    let HostMessage::Hello { last_hash, .. } = replica.hello() else {
        panic!("a connection must open with a hello message")
    };
    assert!(last_hash.is_empty());
}

/// Polls the replica and returns its reports.
fn poll(replica: &mut PlanReplica, demand: &[MilliUnits], now: Millis) -> Vec<VolumeReport> {
    match replica.receive(ServiceMessage::QuotaPoll { polled_at: 7 }, demand, now) {
        ReplicaAction::Send(HostMessage::QuotaReport { volumes, .. }) => volumes,
        other => panic!("expected a quota report, got {other:?}"),
    }
}

#[test]
fn lent_quota_is_unavailable_before_the_report_is_sent() {
    let (_, mut replica) = service_and_replica();
    let report = |lent, requested| VolumeReport {
        volume: "water".to_owned(),
        lent,
        requested,
    };
    assert_eq!(poll(&mut replica, &[], NOW + 100), [report(225, 0)]);
    assert_eq!(quotas(&replica, NOW + 100), [75]);
    assert_eq!(poll(&mut replica, &[800], NOW + 200), [report(0, 500)]);
    let leases = ServiceMessage::QuotaLeases {
        requested_at: NOW + 200,
        duration: 1_500,
        volumes: vec![VolumeLease {
            volume: "water".into(),
            amount: 400,
        }],
    };
    replica.receive(leases, &[800], NOW + 300);
    assert_eq!(quotas(&replica, NOW + 300), [475]);
}

#[test]
fn connection_attempts_back_off_and_differ_by_jitter() {
    let attempts = |jitter| -> Vec<Millis> {
        let mut replica = PlanReplica::new("h", Vec::new(), None, 0);
        (0..30_000)
            .filter(|now| replica.should_connect(*now, jitter))
            .collect()
    };
    let (without_jitter, with_jitter) = (attempts(0), attempts(1_000));
    assert!(
        (10..30).contains(&without_jitter.len()),
        "{without_jitter:?}"
    );
    assert_ne!(without_jitter.last(), with_jitter.last());
}
