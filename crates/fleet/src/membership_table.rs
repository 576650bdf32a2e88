//! Membership table of one host: the newest record of each member, suspicions, and tombstones. Changes of the table are
//! returned as [`TableChange`]s, which the host reports and gossips.
mod change;
mod digests;
#[cfg(test)]
mod tests;
mod tombstones;

use crate::Millis;
use crate::config::MAX_MEMBERS;
use crate::member::{Member, UpdateOutcome};
use crate::record::{GossipUpdate, Lifecycle, MemberRecord, MemberState, Precedence, member_id};
use crate::rng::SeededRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tombstones::Tombstones;

pub(crate) use change::{GossipEffect, TableChange};
pub(crate) use digests::{IdRanges, RECORDS_PER_DATAGRAM, RangeDigests, WHOLE_TABLE};

/// Effect of an update on the table.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum MergeOutcome {
    /// The update added the member, replaced its record, or raised or confirmed a suspicion of it.
    Applied(TableChange),
    /// The update contained nothing new.
    Unchanged,
    /// The update is stale: a newer record is known.
    Stale,
    /// The update was dropped: the table has no room for another member.
    TableFull,
}

/// Members that a host knows, itself included, and tombstones of members that it removed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct MembershipTable {
    /// Id of this host, whose own record is in the table too.
    local_id: u64,
    /// Members by id.
    members: BTreeMap<u64, Member>,
    tombstones: Tombstones,
}

impl MembershipTable {
    pub fn new(local_id: u64) -> Self {
        MembershipTable {
            local_id,
            members: BTreeMap::new(),
            tombstones: Tombstones::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    pub fn get(&self, id: u64) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Returns all members, this host included, in the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members from `first_id` on in the order of their ids, with the ids.
    pub fn members_from(&self, first_id: u64) -> impl Iterator<Item = (u64, &Member)> {
        self.members
            .range(first_id..)
            .map(|(id, member)| (*id, member))
    }

    /// Returns all members except this host.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|(id, _)| **id != self.local_id)
            .map(|(_, member)| member)
    }

    /// Returns the address of a random member that is reachable and eligible, other than this host. Draws one random
    /// number, also if there is no such member.
    pub fn random_reachable(
        &self,
        rng: &mut SeededRng,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> Option<SocketAddr> {
        let candidates = || {
            self.others()
                .filter(|member| member.is_reachable() && is_eligible(member))
        };
        let index = rng.index(candidates().count());
        candidates()
            .nth(index)
            .map(|member| member.record().address)
    }

    /// Returns whether a reachable member, or this host itself, has this address.
    pub fn has_reachable_at(&self, address: SocketAddr) -> bool {
        self.members()
            .any(|member| member.is_reachable() && member.record().address == address)
    }

    /// Returns the ids of all members, this host included.
    pub fn ids(&self) -> impl Iterator<Item = u64> {
        self.members.keys().copied()
    }

    /// Returns whether the failure detector pings a member: any except this host that has not left and is not
    /// unreachable.
    pub fn is_ping_target(&self, id: u64) -> bool {
        let is_up = |member: &Member| {
            !matches!(member.state(), MemberState::Left | MemberState::Unreachable)
        };
        id != self.local_id && self.get(id).is_some_and(is_up)
    }

    /// Returns the newest known record of a member, also of one that was removed and has a tombstone.
    pub fn newest_record(&self, id: u64) -> Option<&MemberRecord> {
        self.get(id)
            .map(Member::record)
            .or_else(|| self.tombstones.get(id))
    }

    /// Replaces this host's own record. The record is gossiped in any case, and reported if its state changed.
    pub fn replace_local(&mut self, record: &MemberRecord, now: Millis) -> TableChange {
        let previous = self.get(self.local_id).map(Member::state);
        let member = Member::new(&GossipUpdate::unsuspected(record), now);
        let change = if previous == Some(member.state()) {
            TableChange::enqueued(self.local_id)
        } else {
            TableChange::updated(self.local_id, &member, previous, GossipEffect::Enqueue)
        };
        self.members.insert(self.local_id, member);
        change
    }

    /// Merges an update about a member other than this host.
    pub fn merge(&mut self, update: &GossipUpdate, now: Millis) -> MergeOutcome {
        let id = member_id(&update.record.name);
        let tombstone = self.tombstones.get(id);
        if tombstone.is_some_and(|newest| update.record.precedence() <= newest.precedence()) {
            return MergeOutcome::Stale;
        }
        let Some(member) = self.members.get_mut(&id) else {
            return self.insert(id, update, now);
        };
        let previous = member.state();
        match member.merge(update, now) {
            UpdateOutcome::Applied => MergeOutcome::Applied(applied_change(id, member, previous)),
            UpdateOutcome::Unchanged => MergeOutcome::Unchanged,
            UpdateOutcome::Stale => MergeOutcome::Stale,
        }
    }

    fn insert(&mut self, id: u64, update: &GossipUpdate, now: Millis) -> MergeOutcome {
        // A host that does not know a member need not add it after it has left: no older record can follow.
        if update.record.lifecycle == Lifecycle::Left {
            return MergeOutcome::Unchanged;
        }
        if self.members.len() >= MAX_MEMBERS {
            return MergeOutcome::TableFull;
        }
        let member = Member::new(update, now);
        let change = TableChange::updated(id, &member, None, GossipEffect::Enqueue);
        self.tombstones.remove(id);
        self.members.insert(id, member);
        MergeOutcome::Applied(change)
    }

    /// Records the time of a message from a member itself, if the message has the known record.
    pub fn record_contact(&mut self, id: u64, precedence: Precedence, now: Millis) {
        if let Some(member) = self.members.get_mut(&id) {
            member.record_contact(precedence, now);
        }
    }

    /// Raises a suspicion of a reachable member, which did not answer this host's pings. `is_local`: whether this host
    /// is isolated and does not gossip the suspicion.
    pub fn suspect(
        &mut self,
        id: u64,
        accuser: u32,
        is_local: bool,
        now: Millis,
    ) -> Option<TableChange> {
        let member = self.members.get_mut(&id)?;
        if !member.is_reachable() {
            return None;
        }
        let previous = member.state();
        member.suspect(accuser, is_local, now);
        Some(applied_change(id, member, previous))
    }

    /// Extends all pending suspicions by a pause of this process.
    pub fn extend_suspicions(&mut self, pause: Millis) {
        for member in self.members.values_mut() {
            member.extend_suspicion(pause);
        }
    }

    /// Ends suspicions that were not refuted in time. The result is not gossiped: each host derives it from the
    /// gossiped suspicion. `timeout` maps the number of confirmations of a suspicion to its timeout.
    pub fn expire_suspicions(
        &mut self,
        timeout: impl Fn(usize) -> Millis,
        first_ping: Millis,
        now: Millis,
    ) -> Vec<TableChange> {
        let is_timed_out = |member: &Member| {
            member.suspicion().is_some_and(|suspicion| {
                now >= suspicion.since() + timeout(suspicion.confirmations())
            })
        };
        let mut changes = Vec::new();
        for (id, member) in &mut self.members {
            if is_timed_out(member) {
                let previous = member.state();
                member.expire_suspicion(first_ping, now);
                changes.push(TableChange::reported(*id, member, previous));
            }
        }
        changes
    }

    /// Makes suspicions local to this host, which became isolated, if only this host raised them, after its last
    /// contact with any member. Their cause may be a fault of this host itself, so they are no longer gossiped.
    pub fn keep_own_suspicions_local(
        &mut self,
        own_accuser: u32,
        last_contact: Millis,
    ) -> Vec<TableChange> {
        self.members
            .iter_mut()
            .filter_map(|(id, member)| {
                let is_local = member.keep_suspicion_local(own_accuser, last_contact);
                is_local.then(|| TableChange::withdrawn(*id))
            })
            .collect()
    }

    /// Clears the local suspicions, once the isolation of this host is over: their cause was a fault of this host
    /// itself.
    pub fn clear_local_suspicions(&mut self, now: Millis) -> Vec<TableChange> {
        let mut changes = Vec::new();
        for (id, member) in &mut self.members {
            if member.is_locally_suspected() {
                let previous = member.state();
                member.clear_suspicion(now);
                changes.push(TableChange::reported(*id, member, previous));
            }
        }
        changes
    }

    /// Returns the first unreachable member to which a ping is due, if any. Schedules the next ping to it after twice
    /// the interval, at most `max_interval`.
    pub fn take_unreachable_to_ping(&mut self, now: Millis, max_interval: Millis) -> Option<u64> {
        self.members
            .iter_mut()
            .find_map(|(id, member)| member.take_due_ping(now, max_interval).then_some(*id))
    }

    /// Removes members that have been in the state `Left` for `left_retention`, and those that have been unreachable
    /// for `unreachable_retention`.
    pub fn remove_expired(
        &mut self,
        now: Millis,
        left_retention: Millis,
        unreachable_retention: Millis,
    ) -> Vec<TableChange> {
        let mut changes = Vec::new();
        let expired = self.members.extract_if(.., |_, member| {
            member.is_expired(left_retention, unreachable_retention, now)
        });
        for (id, member) in expired {
            let record = member.into_record();
            changes.push(if record.lifecycle == Lifecycle::Left {
                TableChange::withdrawn(id)
            } else {
                TableChange::forgotten(id, &record)
            });
            self.tombstones.insert(id, record, now);
        }
        self.tombstones.expire(now, 2 * unreachable_retention);
        changes
    }

    #[cfg(feature = "mutants")]
    pub fn forget_tombstones(&mut self) {
        self.tombstones = Tombstones::default();
    }

    #[cfg(feature = "mutants")]
    pub fn drop_record(&mut self, id: u64) {
        self.members.remove(&id);
    }
}

/// Returns the change of a member whose record or reachability changed. It is gossiped unless only this host suspects
/// the member.
fn applied_change(id: u64, member: &Member, previous: MemberState) -> TableChange {
    let gossip = if member.is_locally_suspected() {
        GossipEffect::Withdraw
    } else {
        GossipEffect::Enqueue
    };
    TableChange::updated(id, member, Some(previous), gossip)
}
