//! A host's membership table as it was at one time, for operators.
mod json;
mod table;

use mallowseam_fleet::MemberState;
use mallowseam_fleet::wire::{MemberStatus, MembershipPage};
use serde_json::Value;
use std::time::{SystemTime, UNIX_EPOCH};

/// States in the order in which they are counted.
const COUNTED_STATES: [MemberState; 6] = [
    MemberState::Alive,
    MemberState::Joining,
    MemberState::Suspect,
    MemberState::Unreachable,
    MemberState::Leaving,
    MemberState::Left,
];

/// Stands for the state of a member that is not in the table.
const UNKNOWN: &str = "unknown";

/// A host's membership table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipSnapshot {
    /// Name of the host.
    pub host: String,
    /// Whether the host receives nothing from any other member.
    pub isolated: bool,
    /// Whether a later process under the host's name superseded it.
    pub superseded: bool,
    /// Digest of the table: the same at hosts whose tables are the same.
    pub digest: u64,
    /// Members by id.
    pub members: Vec<MemberStatus>,
}

impl MembershipSnapshot {
    /// Appends the members of a page; all else is as the page has it.
    pub fn append(&mut self, page: MembershipPage) {
        self.host = page.host.to_string();
        self.isolated = page.isolated;
        self.superseded = page.superseded;
        self.digest = page.digest;
        self.members.extend(page.members);
    }

    /// How many members are in each state, for operators: `2 alive, 1 suspect`.
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

    /// The table for operators: a line for each member by name, and a line of totals.
    #[must_use]
    pub fn to_table(&self) -> String {
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        table::render(self, unix_time.as_millis() as u64)
    }

    /// The table as one JSON object.
    #[must_use]
    pub fn to_json(&self) -> Value {
        json::render(self)
    }

    /// Changes of members' states since an earlier snapshot of the same host, a line each.
    #[must_use]
    pub fn changes_since(&self, earlier: &MembershipSnapshot) -> Vec<String> {
        let mut changes = Vec::new();
        for member in &self.members {
            let name = &member.record.name;
            let state_before = earlier.find(name).map_or(UNKNOWN, |m| m.state.as_str());
            let state_now = member.state.as_str();
            if state_before != state_now {
                changes.push(format!("{name}: {state_before} -> {state_now}"));
            }
        }
        let forgotten = earlier
            .members
            .iter()
            .filter(|member| self.find(&member.record.name).is_none());
        changes.extend(
            forgotten.map(|m| format!("{}: {} -> forgotten", m.record.name, m.state.as_str())),
        );
        changes
    }

    /// Differences between the tables of two hosts, a line for each member.
    #[must_use]
    pub fn differences(&self, other: &MembershipSnapshot) -> Vec<String> {
        let members = self.members.iter().chain(&other.members);
        let mut names: Vec<&str> = members.map(|member| member.record.name.as_str()).collect();
        names.sort_unstable();
        names.dedup();
        let mut differences = Vec::new();
        for name in names {
            let here = self.describe(name);
            let there = other.describe(name);
            if here != there {
                differences.push(format!(
                    "{name}: {} has it {here}, {} has it {there}",
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
            "{} (generation {}, word {})",
            member.state.as_str(),
            member.record.generation,
            member.record.incarnation
        )
    }
}
