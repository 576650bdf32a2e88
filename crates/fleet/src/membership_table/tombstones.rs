//! Tombstones: records of members that were removed from the table, kept so that no older record adds them again.
use crate::Millis;
use crate::record::MemberRecord;
use std::collections::BTreeMap;

/// Maximum number of tombstones. Beyond it, the oldest ones are dropped.
const MAX_TOMBSTONES: usize = 4_096;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Tombstone {
    record: MemberRecord,
    since: Millis,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Tombstones {
    by_id: BTreeMap<u64, Tombstone>,
}

impl Tombstones {
    /// Returns the last record of a removed member, if it has a tombstone.
    pub fn get(&self, id: u64) -> Option<&MemberRecord> {
        self.by_id.get(&id).map(|tombstone| &tombstone.record)
    }

    pub fn insert(&mut self, id: u64, record: MemberRecord, now: Millis) {
        self.by_id.insert(id, Tombstone { record, since: now });
    }

    pub fn remove(&mut self, id: u64) {
        self.by_id.remove(&id);
    }

    /// Drops tombstones that are older than `retention`, and the oldest ones above the maximum number.
    pub fn expire(&mut self, now: Millis, retention: Millis) {
        self.by_id
            .retain(|_, tombstone| now < tombstone.since + retention);
        while self.by_id.len() > MAX_TOMBSTONES {
            let oldest = self
                .by_id
                .iter()
                .min_by_key(|(_, tombstone)| tombstone.since)
                .map(|(id, _)| *id);
            oldest.and_then(|id| self.by_id.remove(&id));
        }
    }
}
