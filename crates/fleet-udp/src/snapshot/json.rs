//! JSON rendering of the membership table. The names of the fields are an interface for operators' tools.
use super::MembershipSnapshot;
use mallowseam_fleet::wire::MemberStatus;
use serde_json::{Value, json};

/// Returns the table as one JSON object.
pub(super) fn render(snapshot: &MembershipSnapshot) -> Value {
    json!({
        "own": snapshot.host,
        "alone": snapshot.isolated,
        "displaced": snapshot.superseded,
        "view": format!("{:016x}", snapshot.digest),
        "members": snapshot.members.iter().map(member).collect::<Vec<_>>(),
    })
}

fn member(member: &MemberStatus) -> Value {
    let record = &member.record;
    json!({
        "name": record.name.as_str(),
        "state": member.state.as_str(),
        "zone": record.zone.as_str(),
        "address": record.address,
        "generation": record.generation,
        "incarnation": record.incarnation,
        "list": record.versions.endpoint_list,
        "plans": record.versions.plans,
        "started": record.started_ms,
        "heard_ms": member.last_contact_ms,
    })
}
