//! Snapshot of a host's membership table, for operators.
mod json;
mod table;

use mallowseam_fleet::MemberState;
use mallowseam_fleet::wire::{MemberStatus, MembershipPage};
use serde_json::Value;
use std::time::{SystemTime, UNIX_EPOCH};

/// Member states in the order in which operators see their counts.
const COUNTED_STATES: [MemberState; 6] = [
    MemberState::Alive,
    MemberState::Joining,
    MemberState::Suspect,
    MemberState::Unreachable,
    MemberState::Leaving,
    MemberState::Left,
];

/// Name of the state of a member that is not in the table.
const UNKNOWN: &str = "unknown";

/// Snapshot of a host's membership table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipSnapshot {
    /// Name of the host.
    pub host: String,
    /// Whether the host is isolated: it receives nothing from any other member.
    pub isolated: bool,
    /// Whether a later process under the host's name superseded it.
    pub superseded: bool,
    /// Digest of the table, which is the same at hosts whose tables are the same.
    pub digest: u64,
    /// Members in the order of their ids.
    pub members: Vec<MemberStatus>,
}

impl MembershipSnapshot {
    /// Appends the members of a page, and replaces all other fields by those of the page.
    pub fn append(&mut self, page: MembershipPage) {
        self.host = page.host.to_string();
        self.isolated = page.isolated;
        self.superseded = page.superseded;
        self.digest = page.digest;
        self.members.extend(page.members);
    }

    /// Returns the number of members in each state, for operators, such as `2 alive, 1 suspect`.
    #[must_use]
    pub fn state_counts(&self) -> String {
        let mut counts = Vec::new();
        for state in COUNTED_STATES {
            let count = self
                .members
                .iter()
                .filter(|member| member.state == state)
                .count();
            if count > 0 {
                counts.push(format!("{count} {}", state.as_str()));
            }
        }
        counts.join(", ")
    }

    /// Returns the table for operators: a line for each member, in the order of their names, and a line of totals.
    #[must_use]
    pub fn to_table(&self) -> String {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        table::render(self, unix_time.as_millis() as u64)
    }

    /// Returns the table as one JSON object.
    #[must_use]
    pub fn to_json(&self) -> Value {
        json::render(self)
    }

    /// Returns the changes of members' states since an earlier snapshot of the same host, one line for each change.
    #[must_use]
    pub fn changes_since(&self, earlier: &MembershipSnapshot) -> Vec<String> {
        let mut changes = Vec::new();
        for member in &self.members {
            let name = &member.record.name;
            let state_before = earlier
                .find(name)
                .map_or(UNKNOWN, |member| member.state.as_str());
            let state_now = member.state.as_str();
            if state_before != state_now {
                changes.push(format!("{name}: {state_before} -> {state_now}"));
            }
        }
        let forgotten = earlier
            .members
            .iter()
            .filter(|member| self.find(&member.record.name).is_none());
        changes.extend(forgotten.map(|member| {
            format!(
                "{}: {} -> forgotten",
                member.record.name,
                member.state.as_str()
            )
        }));
        changes
    }

    /// Returns the differences between the tables of two hosts, one line for each member that differs.
    #[must_use]
    pub fn differences(&self, other: &MembershipSnapshot) -> Vec<String> {
        let members = self.members.iter().chain(&other.members);
        let mut names: Vec<&str> = members.map(|member| member.record.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let mut differences = Vec::new();
        for name in names {
            let own_status = self.describe(name);
            let other_status = other.describe(name);
            if own_status != other_status {
                differences.push(format!(
                    "{name}: {own_status} according to {}, {other_status} according to {}",
                    self.host, other.host
                ));
            }
        }
        differences
    }

    fn find(&self, name: &str) -> Option<&MemberStatus> {
        self.members
            .iter()
            .find(|member| member.record.name == name)
    }

    fn describe(&self, name: &str) -> String {
        let Some(member) = self.find(name) else {
            return UNKNOWN.to_owned();
        };
        format!(
            "{} (generation {}, incarnation {})",
            member.state.as_str(),
            member.record.generation,
            member.record.incarnation
        )
    }
}
