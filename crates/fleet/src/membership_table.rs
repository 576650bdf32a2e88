//! The membership table of one host: the newest record of each member, suspicions, tombstones, and the queue of updates
//! that are still to be gossiped.
mod digests;
mod gossip_queue;
mod tombstones;

use crate::Millis;
use crate::config::MAX_MEMBERS;
use crate::event::MembershipEvent;
use crate::member::{Member, MergeOutcome, Reachability};
use crate::record::{GossipUpdate, Lifecycle, MemberRecord, MemberState, member_id};
use gossip_queue::GossipQueue;
use std::collections::BTreeMap;
use tombstones::Tombstones;

pub(crate) use digests::{CHILD_RANGES, MAX_PREFIX_BITS, WHOLE_TABLE};

/// Receives the events of a change.
pub(crate) type Notify<'a> = &'a mut dyn FnMut(MembershipEvent);

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct MembershipTable {
    /// Members by id, this host included.
    pub members: BTreeMap<u64, Member>,
    tombstones: Tombstones,
    gossip_queue: GossipQueue,
}

impl MembershipTable {
    pub fn get(&self, id: u64) -> Option<&Member> {
        self.members.get(&id)
    }

    /// The newest record known of a member, also of one that is no longer in the table.
    pub fn newest_record(&self, id: u64) -> Option<&MemberRecord> {
        self.members
            .get(&id)
            .map(|member| &member.record)
            .or_else(|| self.tombstones.get(id))
    }

    /// Merges an update.
    pub fn merge(&mut self, update: &GossipUpdate, now: Millis, notify: Notify) -> MergeOutcome {
        let id = member_id(&update.record.name);
        let tombstone = self.tombstones.get(id);
        if tombstone.is_some_and(|newest| update.record.precedence() <= newest.precedence()) {
            return MergeOutcome::Stale;
        }
        let Some(member) = self.members.get_mut(&id) else {
            return self.insert(id, update, now, notify);
        };
        let previous = member.state();
        let outcome = member.merge(update, now);
        if outcome == MergeOutcome::Applied {
            self.updated(id, previous, now, notify);
        }
        outcome
    }

    fn insert(
        &mut self,
        id: u64,
        update: &GossipUpdate,
        now: Millis,
        notify: Notify,
    ) -> MergeOutcome {
        // A member that has left is of no use to a host that never knew it, and no older record can follow.
        if update.record.lifecycle == Lifecycle::Left {
            return MergeOutcome::Unchanged;
        }
        if self.members.len() >= MAX_MEMBERS {
            return MergeOutcome::TableFull;
        }
        let reachability = Reachability::from_suspicion(update.suspected_by, now);
        let member = Member::new(update.record.clone(), reachability, now);
        self.tombstones.remove(id);
        notify(updated_event(&member, None));
        self.members.insert(id, member);
        self.gossip_queue.enqueue(id);
        MergeOutcome::Applied
    }

    /// A member's record or reachability changed: reports it, and gossips it unless only this host suspects the member.
    fn updated(&mut self, id: u64, previous: MemberState, now: Millis, notify: Notify) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if member.state() != previous {
            member.state_since = now;
        }
        notify(updated_event(member, Some(previous)));
        if member.is_locally_suspected() {
            self.gossip_queue.remove(id);
        } else {
            self.gossip_queue.enqueue(id);
        }
    }

    /// A member did not answer this host's pings. `local`: this host is isolated and keeps the suspicion to itself.
    pub fn suspect(&mut self, id: u64, accuser: u32, local: bool, now: Millis, notify: Notify) {
        let Some(member) = self
            .members
            .get_mut(&id)
            .filter(|member| member.is_reachable())
        else {
            return;
        };
        let previous = member.state();
        member.reachability = Reachability::suspected_by(accuser, local, now);
        self.updated(id, previous, now, notify);
    }

    /// A suspicion was not refuted in time: the member is unreachable, or has left if it was leaving. That is not
    /// gossiped: each host concludes it from the gossiped suspicion.
    pub fn conclude_suspicion(
        &mut self,
        id: u64,
        ping_interval: Millis,
        now: Millis,
        notify: Notify,
    ) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        let previous = member.state();
        let Reachability::Suspect {
            accusers, local, ..
        } = &member.reachability
        else {
            return;
        };
        let (accuser, local) = (accusers.first().copied().unwrap_or(0), *local);
        if member.record.lifecycle == Lifecycle::Leaving && !local {
            member.record.lifecycle = Lifecycle::Left;
            member.reachability = Reachability::Reachable;
        } else {
            let next_ping = now + ping_interval;
            member.reachability = Reachability::Unreachable {
                accuser,
                next_ping,
                ping_interval,
                local,
            };
        }
        member.state_since = now;
        notify(updated_event(member, Some(previous)));
    }

    /// This host became isolated: suspicions that it alone raised since its last contact with a member may be its own fault, and
    /// are not gossiped any further.
    pub fn keep_own_suspicions_local(&mut self, own_accuser: u32, last_contact: Millis) {
        for (id, member) in &mut self.members {
            if let Reachability::Suspect {
                since,
                accusers,
                local,
            } = &mut member.reachability
                && *since >= last_contact
                && accusers.iter().all(|accuser| *accuser == own_accuser)
            {
                *local = true;
                self.gossip_queue.remove(*id);
            }
        }
    }

    /// This host is no longer isolated: what it suspected meanwhile was its own fault.
    pub fn clear_local_suspicions(&mut self, now: Millis, notify: Notify) {
        for member in self
            .members
            .values_mut()
            .filter(|member| member.is_locally_suspected())
        {
            let previous = member.state();
            member.reachability = Reachability::Reachable;
            member.state_since = now;
            notify(updated_event(member, Some(previous)));
        }
    }

    /// Removes members that left `left_shown` ago, and those that were unreachable for the time of `retention`.
    pub fn remove_expired(
        &mut self,
        now: Millis,
        left_shown: Millis,
        retention: Millis,
        notify: Notify,
    ) {
        let is_expired = |member: &Member| match member.state() {
            MemberState::Left => now >= member.state_since + left_shown,
            MemberState::Unreachable => now >= member.state_since + retention,
            _ => false,
        };
        for (id, member) in self.members.extract_if(.., |_, member| is_expired(member)) {
            self.gossip_queue.remove(id);
            if member.record.lifecycle != Lifecycle::Left {
                notify(MembershipEvent::MemberForgotten {
                    name: member.record.name.clone(),
                });
            }
            self.tombstones.insert(id, member.record, now);
        }
        self.tombstones.expire(now, 2 * retention);
    }

    #[cfg(feature = "mutants")]
    pub fn forget_tombstones(&mut self) {
        self.tombstones = Tombstones::default();
    }

    #[cfg(feature = "mutants")]
    pub fn drop_record(&mut self, id: u64) {
        self.members.remove(&id);
    }

    /// Queues a member's record for gossip, as if it had not been sent yet.
    pub fn enqueue_gossip(&mut self, id: u64) {
        self.gossip_queue.enqueue(id);
    }

    /// Members whose updates wait to be gossiped.
    pub fn queued_gossip(&self) -> usize {
        self.gossip_queue.len()
    }

    /// Offers queued updates to `accept`, the least often sent ones first (SWIM, section 4.1), until it declines one.
    /// Each accepted update counts as sent once more; after `max_transmissions` it leaves the queue.
    pub fn take_gossip(
        &mut self,
        max_transmissions: u32,
        mut accept: impl FnMut(&GossipUpdate) -> bool,
    ) {
        for id in self.gossip_queue.least_sent_first(max_transmissions) {
            let Some(member) = self.members.get(&id) else {
                continue;
            };
            if !accept(&member.to_update()) {
                return;
            }
            self.gossip_queue.count_transmission(id);
        }
    }
}

fn updated_event(member: &Member, previous: Option<MemberState>) -> MembershipEvent {
    let MemberRecord {
        name,
        address,
        versions,
        ..
    } = &member.record;
    MembershipEvent::MemberUpdated {
        name: name.clone(),
        address: *address,
        versions: *versions,
        previous,
        current: member.state(),
    }
}
