//! A host's membership table as it was at one time, for operators.
use mallowseam_fleet::MemberState;
use mallowseam_fleet::wire::{MemberStatus, MembershipPage};
use serde_json::{Value, json};
use std::fmt::Write;
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
        self.host = page.host.as_str().to_owned();
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
        let now_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let mut members: Vec<&MemberStatus> = self.members.iter().collect();
        members.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        let mut table = String::new();
        let _ = writeln!(
            table,
            "{:<20}{:<13}{:<10}{:<22}{:>8}{:>8}{:>9}{:>9}",
            "member", "state", "zone", "address", "list", "plans", "up s", "heard s"
        );
        for member in members {
            write_row(&mut table, member, now_ms);
        }
        let isolated = if self.isolated {
            "; hears from nobody"
        } else {
            ""
        };
        let superseded = if self.superseded {
            "; another process has its name"
        } else {
            ""
        };
        let (host, counts, digest) = (&self.host, self.state_counts(), self.digest);
        let _ = writeln!(
            table,
            "as {host} sees it: {counts}{isolated}{superseded}; view {digest:016x}"
        );
        table
    }

    /// The table as one JSON object.
    #[must_use]
    pub fn to_json(&self) -> Value {
        json!({
            "own": self.host,
            "alone": self.isolated,
            "displaced": self.superseded,
            "view": format!("{:016x}", self.digest),
            "members": self.members.iter().map(member_json).collect::<Vec<_>>(),
        })
    }

    /// Changes of members' states since an earlier snapshot of the same host, a line each.
    #[must_use]
    pub fn changes_since(&self, earlier: &MembershipSnapshot) -> Vec<String> {
        let mut changes = Vec::new();
        for member in &self.members {
            let name = &member.record.name;
            let (was, is) = (
                earlier.find(name).map_or("unknown", |m| m.state.as_str()),
                member.state.as_str(),
            );
            if was != is {
                changes.push(format!("{name}: {was} -> {is}"));
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
            let (here, there) = (self.describe(name), other.describe(name));
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
        self.find(name).map_or("unknown".to_owned(), |member| {
            let (state, record) = (member.state.as_str(), &member.record);
            format!(
                "{state} (generation {}, word {})",
                record.generation, record.incarnation
            )
        })
    }
}

fn write_row(table: &mut String, member: &MemberStatus, now_ms: u64) {
    let record = &member.record;
    let last_contact = member
        .last_contact_ms
        .map_or("-".to_owned(), |ms| format!("{:.1}", ms as f64 / 1e3));
    let _ = writeln!(
        table,
        "{:<20}{:<13}{:<10}{:<22}{:>8}{:>8}{:>9}{:>9}",
        record.name,
        member.state.as_str(),
        record.zone,
        record.address.to_string(),
        record.versions.endpoint_list,
        record.versions.plans,
        now_ms.saturating_sub(record.started_ms) / 1_000,
        last_contact
    );
}

fn member_json(member: &MemberStatus) -> Value {
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
