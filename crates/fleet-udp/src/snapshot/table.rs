//! Text rendering of the membership table, in columns.
use super::MembershipSnapshot;
use mallowseam_fleet::wire::MemberStatus;

/// Returns the table as text. `now_ms`: current Unix time in milliseconds, from which the uptime of members is
/// computed.
pub(super) fn render(snapshot: &MembershipSnapshot, now_ms: u64) -> String {
    let mut members: Vec<&MemberStatus> = snapshot.members.iter().collect();
    members.sort_by(|a, b| a.record.name.cmp(&b.record.name));
    let mut table = header();
    for member in members {
        table.push_str(&row(member, now_ms));
    }
    table.push_str(&totals(snapshot));
    table
}

fn header() -> String {
    format!(
        "{:<20}{:<13}{:<10}{:<22}{:>8}{:>8}{:>9}{:>9}\n",
        "member", "state", "zone", "address", "list", "plans", "up s", "heard s"
    )
}

fn row(member: &MemberStatus, now_ms: u64) -> String {
    let record = &member.record;
    let seconds_up = now_ms.saturating_sub(record.started_ms) / 1_000;
    let last_contact = member
        .last_contact_ms
        .map_or("-".to_owned(), |ms| format!("{:.1}", ms as f64 / 1e3));
    format!(
        "{:<20}{:<13}{:<10}{:<22}{:>8}{:>8}{:>9}{:>9}\n",
        record.name,
        member.state.as_str(),
        record.zone,
        record.address.to_string(),
        record.versions.endpoint_list,
        record.versions.plans,
        seconds_up,
        last_contact
    )
}

fn totals(snapshot: &MembershipSnapshot) -> String {
    let isolated = if snapshot.isolated {
        "; hears from nobody"
    } else {
        ""
    };
    let superseded = if snapshot.superseded {
        "; another process has its name"
    } else {
        ""
    };
    format!(
        "as {} sees it: {}{isolated}{superseded}; view {:016x}\n",
        snapshot.host,
        snapshot.state_counts(),
        snapshot.digest
    )
}
