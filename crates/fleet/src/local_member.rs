//! This host's own record, which only this host issues.
#[cfg(test)]
mod tests;

use crate::config::MembershipConfig;
use crate::record::{ActiveVersions, GossipUpdate, Lifecycle, MemberRecord, member_id};

/// This host as a member of the fleet: its id and its own record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LocalMember {
    id: u64,
    record: MemberRecord,
}

impl LocalMember {
    /// Creates a member that starts to join.
    pub fn new(config: &MembershipConfig, generation: u64, started_ms: u64) -> Self {
        LocalMember {
            id: member_id(&config.name),
            record: MemberRecord {
                name: config.name.clone(),
                generation,
                incarnation: 0,
                lifecycle: Lifecycle::Joining,
                address: config.address,
                zone: config.zone.clone(),
                versions: ActiveVersions::default(),
                started_ms,
            },
        }
    }

    pub fn id(&self) -> u64 {
        self.id
    }

    pub fn record(&self) -> &MemberRecord {
        &self.record
    }

    /// Returns the lower half of this host's id, which identifies it as the accuser in a suspicion.
    pub fn accuser(&self) -> u32 {
        self.id as u32
    }

    pub fn is_joining(&self) -> bool {
        self.record.lifecycle == Lifecycle::Joining
    }

    pub fn has_left(&self) -> bool {
        self.record.lifecycle == Lifecycle::Left
    }

    /// Issues a record with another lifecycle state.
    pub fn set_lifecycle(&mut self, lifecycle: Lifecycle) {
        self.record.lifecycle = lifecycle;
        self.advance_past(self.record.incarnation);
    }

    /// Issues a record with other versions of shared state.
    pub fn set_versions(&mut self, versions: ActiveVersions) {
        self.record.versions = versions;
        self.advance_past(self.record.incarnation);
    }

    /// Issues a record whose generation is above the generation `past`.
    pub fn raise_generation(&mut self, past: u64) {
        let next = past.saturating_add(1);
        self.record.generation = self.record.generation.max(next);
        self.advance_past(self.record.incarnation);
    }

    /// Raises the incarnation above `incarnation` and all earlier ones. Starts a new generation if there is no higher
    /// incarnation.
    fn advance_past(&mut self, incarnation: u32) {
        let highest = self.record.incarnation.max(incarnation);
        if let Some(next) = highest.checked_add(1) {
            self.record.incarnation = next;
        } else {
            self.record.generation = self.record.generation.saturating_add(1);
            self.record.incarnation = 0;
        }
    }

    /// Refutes an update about this generation if it suspects this host or contains a record that this host did not
    /// issue (SWIM, section 4.2), by issuing a newer record. Returns whether the update was refuted.
    pub fn refute(&mut self, update: &GossipUpdate) -> bool {
        let claimed = &update.record;
        let is_ahead = claimed.incarnation > self.record.incarnation
            || claimed.lifecycle == Lifecycle::Left && !self.has_left();
        let is_suspected =
            update.suspected_by.is_some() && claimed.incarnation == self.record.incarnation;
        if is_ahead || is_suspected {
            self.advance_past(claimed.incarnation);
        }
        is_ahead || is_suspected
    }
}
