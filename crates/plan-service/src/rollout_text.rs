//! The rollout of versions as text for operators.
use mallowseam_plans::Millis;
use mallowseam_plans::rollout::{Rollout, RolloutBlocker};

/// Returns the newest version, the version that is effective at all hosts, and what blocks the newest one.
pub(crate) fn describe_rollout(rollout: &Rollout, newest: u64, now: Millis) -> String {
    let count = rollout.member_count();
    let effective = rollout.effective_version(newest, now);
    let summary = format!("version {newest}; {count} hosts; in force at all of them: {effective}");
    let blockers = rollout.blockers(newest, now);
    if blockers.is_empty() {
        return summary;
    }
    format!("{summary}\nwaits: {}", describe_blockers(&blockers))
}

/// Returns what blocks the rollout of a version.
pub(crate) fn describe_blockers(blockers: &[RolloutBlocker]) -> String {
    blockers
        .iter()
        .map(describe_blocker)
        .collect::<Vec<_>>()
        .join("; ")
}

fn describe_blocker(blocker: &RolloutBlocker) -> String {
    match blocker {
        RolloutBlocker::Silent {
            host,
            accepted_version,
            ..
        } => format!("{host} is silent, acts on {accepted_version}"),
        RolloutBlocker::Behind {
            host,
            accepted_version,
        } => format!("{host} acts on {accepted_version}"),
        RolloutBlocker::Rejected { host, reason } => format!("{host} turned it down: {reason}"),
        RolloutBlocker::UnexpiredLeases { .. } => {
            "loans and leases of the older version have not expired".to_owned()
        }
    }
}
