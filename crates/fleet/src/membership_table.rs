//! The membership table of one host: the newest record of each member, suspicions, and tombstones. Changes come out as
//! [`TableChange`]s, which the host reports and gossips.
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

/// What an update did to the table.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum MergeOutcome {
    /// The member was added, its record replaced, or a suspicion of it raised or confirmed.
    Applied(TableChange),
    /// Nothing that is known changed.
    Unchanged,
    /// A newer record is known.
    Stale,
    /// The table has no room for another member.
    TableFull,
}

/// Members that a host knows, itself included, and tombstones of those that it removed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct MembershipTable {
    /// Id of this host, whose own member is in the table too.
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

    /// All members, this host included, by id.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Members from an id on, with their ids.
    pub fn members_from(&self, first_id: u64) -> impl Iterator<Item = (u64, &Member)> {
        self.members
            .range(first_id..)
            .map(|(id, member)| (*id, member))
    }

    /// All members but this host itself.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.members
            .iter()
            .filter(|(id, _)| **id != self.local_id)
            .map(|(_, member)| member)
    }

    /// A random member other than this host that is reachable and fits the condition. Draws one random number, also
    /// where no member fits.
    pub fn random_reachable(
        &self,
        rng: &mut SeededRng,
        fits: impl Fn(&Member) -> bool,
    ) -> Option<SocketAddr> {
        let candidates = || {
            self.others()
                .filter(|member| member.is_reachable() && fits(member))
        };
        let index = rng.index(candidates().count());
        candidates()
            .nth(index)
            .map(|member| member.record().address)
    }

    /// Whether a reachable member, or this host itself, has an address.
    pub fn has_reachable_at(&self, address: SocketAddr) -> bool {
        self.members()
            .any(|member| member.is_reachable() && member.record().address == address)
    }

    /// Ids of all members, this host included.
    pub fn ids(&self) -> impl Iterator<Item = u64> {
        self.members.keys().copied()
    }

    /// Whether the failure detector pings a member: any other one that has not left and is not unreachable.
    pub fn is_ping_target(&self, id: u64) -> bool {
        let is_up = |member: &Member| {
            !matches!(member.state(), MemberState::Left | MemberState::Unreachable)
        };
        id != self.local_id && self.get(id).is_some_and(is_up)
    }

    /// The newest record known of a member, also of one that is no longer in the table.
    pub fn newest_record(&self, id: u64) -> Option<&MemberRecord> {
        self.get(id)
            .map(Member::record)
            .or_else(|| self.tombstones.get(id))
    }

    /// Replaces this host's own record, which is gossiped in any case and reported where its state changed.
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

    /// Merges an update.
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
            UpdateOutcome::Applied => MergeOutcome::Applied(applied(id, member, previous)),
            UpdateOutcome::Unchanged => MergeOutcome::Unchanged,
            UpdateOutcome::Stale => MergeOutcome::Stale,
        }
    }

    fn insert(&mut self, id: u64, update: &GossipUpdate, now: Millis) -> MergeOutcome {
        // A member that has left is of no use to a host that never knew it, and no older record can follow.
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

    /// A message with this record was received from the member itself.
    pub fn record_contact(&mut self, id: u64, precedence: Precedence, now: Millis) {
        if let Some(member) = self.members.get_mut(&id) {
            member.record_contact(precedence, now);
        }
    }

    /// A member did not answer this host's pings. `is_local`: this host is isolated and keeps the suspicion to itself.
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
        Some(applied(id, member, previous))
    }

    /// This host was stopped for `gap`: all suspicions last longer by that.
    pub fn extend_suspicions(&mut self, gap: Millis) {
        for member in self.members.values_mut() {
            member.extend_suspicion(gap);
        }
    }

    /// Concludes suspicions that were not refuted in time. That is not gossiped: each host concludes it from the
    /// gossiped suspicion. `timeout`: of a suspicion, by the number of its confirmations.
    pub fn conclude_suspicions(
        &mut self,
        timeout: impl Fn(usize) -> Millis,
        first_ping: Millis,
        now: Millis,
    ) -> Vec<TableChange> {
        let is_over = |member: &Member| {
            member
                .suspicion()
                .is_some_and(|s| now >= s.since() + timeout(s.confirmations()))
        };
        let mut changes = Vec::new();
        for (id, member) in &mut self.members {
            if is_over(member) {
                let previous = member.state();
                member.conclude_suspicion(first_ping, now);
                changes.push(TableChange::reported(*id, member, previous));
            }
        }
        changes
    }

    /// This host became isolated: suspicions that it alone raised since its last contact with any member may be its own
    /// fault, and are not gossiped any further.
    pub fn keep_own_suspicions_local(
        &mut self,
        own_accuser: u32,
        last_contact: Millis,
    ) -> Vec<TableChange> {
        self.members
            .iter_mut()
            .filter_map(|(id, member)| {
                let is_kept = member.keep_suspicion_local(own_accuser, last_contact);
                is_kept.then(|| TableChange::withdrawn(*id))
            })
            .collect()
    }

    /// This host is no longer isolated: what it suspected meanwhile was its own fault.
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

    /// The first unreachable member that is to be pinged now; its next ping is due after twice the interval, at most
    /// `longest`.
    pub fn take_unreachable_to_ping(&mut self, now: Millis, longest: Millis) -> Option<u64> {
        self.members
            .iter_mut()
            .find_map(|(id, member)| member.take_due_ping(now, longest).then_some(*id))
    }

    /// Removes members that left `left_shown` ago, and those that were unreachable for the time of `retention`.
    pub fn remove_expired(
        &mut self,
        now: Millis,
        left_shown: Millis,
        retention: Millis,
    ) -> Vec<TableChange> {
        let mut changes = Vec::new();
        let expired = self.members.extract_if(.., |_, member| {
            member.is_expired(left_shown, retention, now)
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
        self.tombstones.expire(now, 2 * retention);
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

/// A member's record or reachability changed. It is gossiped unless only this host suspects the member.
fn applied(id: u64, member: &Member, previous: MemberState) -> TableChange {
    let gossip = if member.is_locally_suspected() {
        GossipEffect::Withdraw
    } else {
        GossipEffect::Enqueue
    };
    TableChange::updated(id, member, Some(previous), gossip)
}
