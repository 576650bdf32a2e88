//! The view: the latest word of each member, what is doubted of it, what is still to be told on, and how two views
//! are compared in ranges.
use crate::Millis;
use crate::config::{MAX_MEMBERS, SUSPICION_CONFIRMATIONS};
use crate::record::{ActiveVersions, GossipUpdate, Lifecycle, MemberRecord, MemberState, Name, member_id};
use crate::wire::{IdRange, RangeDigest};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Words of members that are over or were forgotten: kept so that nothing old brings them back.
const MAX_TOMBSTONES: usize = 4_096;
/// Bits by which a range is split in one step.
const BITS_PER_LEVEL: u8 = 4;
pub(crate) const ROOT: IdRange = IdRange { prefix_bits: 0, prefix: 0 };

/// What changed in a view.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    MemberUpdated {
        name: Name,
        address: SocketAddr,
        versions: ActiveVersions,
        previous: Option<MemberState>,
        current: MemberState,
    },
    /// Kept for its time and given up.
    MemberForgotten { name: Name },
    /// A later process of this host's name is up at that address: this one speaks no more.
    Superseded { address: SocketAddr },
    /// Nobody is heard any more; somebody is again.
    IsolationStarted,
    /// Somebody is last_heard again.
    IsolationEnded,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Suspicion {
    None,
    /// `by`: who confirmed it. `local`: found while this host heard from nobody; not told.
    Suspect {
        since: Millis,
        by: heapless::Vec<u32, { SUSPICION_CONFIRMATIONS + 1 }>,
        local: bool,
    },
    /// Looked for at `next`, then ever more seldom.
    Unreachable {
        by: u32,
        next: Millis,
        wait: Millis,
        local: bool,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub record: MemberRecord,
    pub suspicion: Suspicion,
    /// Last heard directly; when its state last changed.
    pub last_heard: Option<Millis>,
    pub since: Millis,
}

impl Member {
    pub fn state(&self) -> MemberState {
        match (self.record.lifecycle, &self.suspicion) {
            (Lifecycle::Left, _) => MemberState::Left,
            (_, Suspicion::Suspect { .. }) => MemberState::Suspect,
            (_, Suspicion::Unreachable { .. }) => MemberState::Unreachable,
            (Lifecycle::Joining, _) => MemberState::Joining,
            (Lifecycle::Alive, _) => MemberState::Alive,
            (Lifecycle::Leaving, _) => MemberState::Leaving,
        }
    }

    /// Whether it is there as far as this host knows, and may be asked for things.
    pub fn is_reachable(&self) -> bool {
        self.suspicion == Suspicion::None && self.record.lifecycle != Lifecycle::Left
    }

    pub fn is_local_suspicion(&self) -> bool {
        matches!(
            self.suspicion,
            Suspicion::Suspect { local: true, .. } | Suspicion::Unreachable { local: true, .. }
        )
    }

    fn suspected_by(&self) -> Option<u32> {
        match &self.suspicion {
            Suspicion::Suspect { by, local: false, .. } => by.last().copied(),
            Suspicion::Unreachable { by, local: false, .. } => Some(*by),
            _ => None,
        }
    }

    pub fn update(&self) -> GossipUpdate {
        GossipUpdate { record: self.record.clone(), suspected_by: self.suspected_by() }
    }
}

/// What a word came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    Applied,
    Unchanged,
    /// This host knows a later one.
    Stale,
    /// No room.
    TableFull,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct MembershipTable {
    pub members: BTreeMap<u64, Member>,
    tombstones: BTreeMap<u64, (MemberRecord, Millis)>,
    /// Members whose word is to be told, and how often it was.
    gossip_queue: BTreeMap<u64, u32>,
}

impl MembershipTable {
    pub fn get(&self, id: u64) -> Option<&Member> {
        self.members.get(&id)
    }

    /// The last word known under a name, also of one that is over.
    pub fn last_known(&self, id: u64) -> Option<&MemberRecord> {
        self.members.get(&id).map(|m| &m.record).or_else(|| self.tombstones.get(&id).map(|g| &g.0))
    }

    fn notify_updated(
        &self,
        member: &Member,
        was: Option<MemberState>,
        tell: &mut dyn FnMut(MembershipEvent),
    ) {
        let (word, now) = (&member.record, member.state());
        tell(MembershipEvent::MemberUpdated {
            name: word.name.clone(),
            address: word.address,
            versions: word.versions,
            previous: was,
            current: now,
        });
    }

    /// A word of a member, doubted or not.
    pub fn merge(
        &mut self,
        update: &GossipUpdate,
        now: Millis,
        tell: &mut dyn FnMut(MembershipEvent),
    ) -> MergeOutcome {
        let key = member_id(&update.record.name);
        if self.tombstones.get(&key).is_some_and(|g| update.record.precedence() <= g.0.precedence()) {
            return MergeOutcome::Stale;
        }
        let Some(member) = self.members.get_mut(&key) else {
            // What is over gives a view nothing, and what was never known can't come back by it.
            if update.record.lifecycle == Lifecycle::Left {
                return MergeOutcome::Unchanged;
            }
            if self.members.len() >= MAX_MEMBERS {
                return MergeOutcome::TableFull;
            }
            let word = update.record.clone();
            let member = Member {
                record: word,
                suspicion: suspect_from(update.suspected_by, now),
                last_heard: None,
                since: now,
            };
            self.tombstones.remove(&key);
            self.notify_updated(&member, None, tell);
            self.members.insert(key, member);
            self.gossip_queue.insert(key, 0);
            return MergeOutcome::Applied;
        };
        let was = member.state();
        if update.record.precedence() < member.record.precedence() {
            return MergeOutcome::Stale;
        }
        if update.record.precedence() > member.record.precedence() {
            member.record = update.record.clone();
            member.suspicion = suspect_from(update.suspected_by, now);
        } else {
            let Some(by) = update.suspected_by else { return MergeOutcome::Unchanged };
            if member.record.lifecycle == Lifecycle::Left {
                return MergeOutcome::Unchanged;
            }
            match &mut member.suspicion {
                none @ Suspicion::None => *none = suspect_from(Some(by), now),
                Suspicion::Suspect { by: known, local, .. } => {
                    let new = !known.contains(&by) && known.push(by).is_ok();
                    if !new && !*local {
                        return MergeOutcome::Unchanged;
                    }
                    *local = false;
                }
                Suspicion::Unreachable { .. } => return MergeOutcome::Unchanged,
            }
        }
        self.updated(key, was, now, tell);
        MergeOutcome::Applied
    }

    /// A member's word or doubt changed: it is told on.
    fn updated(&mut self, key: u64, was: MemberState, now: Millis, tell: &mut dyn FnMut(MembershipEvent)) {
        let Some(member) = self.members.get_mut(&key) else { return };
        if member.state() != was {
            member.since = now;
        }
        let member = &self.members[&key];
        self.notify_updated(member, Some(was), tell);
        match member.is_local_suspicion() {
            true => drop(self.gossip_queue.remove(&key)),
            false => drop(self.gossip_queue.insert(key, 0)),
        }
    }

    /// This host has no sign of life of a member.
    pub fn suspect(
        &mut self,
        key: u64,
        by: u32,
        local: bool,
        now: Millis,
        tell: &mut dyn FnMut(MembershipEvent),
    ) {
        let Some(member) = self.members.get_mut(&key).filter(|m| m.is_reachable()) else { return };
        let was = member.state();
        member.suspicion = suspect_from(Some(by), now);
        if let Suspicion::Suspect { local: l, .. } = &mut member.suspicion {
            *l = local;
        }
        self.updated(key, was, now, tell);
    }

    /// A suspicion has stood for its time. Who was told to end is over by that.
    pub fn conclude_suspicion(
        &mut self,
        key: u64,
        wait: Millis,
        now: Millis,
        tell: &mut dyn FnMut(MembershipEvent),
    ) {
        let Some(member) = self.members.get_mut(&key) else { return };
        let was = member.state();
        let Suspicion::Suspect { by, local, .. } = &member.suspicion else { return };
        let (by, local) = (by.first().copied().unwrap_or(0), *local);
        if member.record.lifecycle == Lifecycle::Leaving && !local {
            (member.record.lifecycle, member.suspicion) = (Lifecycle::Left, Suspicion::None);
        } else {
            member.suspicion = Suspicion::Unreachable { by, next: now + wait, wait, local };
        }
        // All conclude it by themselves from the suspicion: nothing more is told.
        if let Some(member) = self.members.get_mut(&key) {
            member.since = now;
            let member = &self.members[&key];
            self.notify_updated(member, Some(was), tell);
        }
    }

    /// What this host alone suspects since it last heard anybody is not told: it may be the one that is cut off.
    pub fn keep_own_suspicions_local(&mut self, own: u32, last_heard: Millis) {
        for (key, member) in &mut self.members {
            if let Suspicion::Suspect { since, by, local } = &mut member.suspicion
                && *since >= last_heard
                && by.iter().all(|b| *b == own)
            {
                *local = true;
                self.gossip_queue.remove(key);
            }
        }
    }

    /// Doubts found while nobody was heard were about this host, not about others.
    pub fn clear_local_suspicions(&mut self, now: Millis, tell: &mut dyn FnMut(MembershipEvent)) {
        let local: Vec<u64> =
            self.members.iter().filter(|(_, m)| m.is_local_suspicion()).map(|(k, _)| *k).collect();
        for key in local {
            let Some(member) = self.members.get_mut(&key) else { continue };
            let was = member.state();
            (member.suspicion, member.since) = (Suspicion::None, now);
            let member = &self.members[&key];
            self.notify_updated(member, Some(was), tell);
        }
    }

    /// Gives up members that are over, and those that were out of reach for the time they are kept.
    pub fn remove_expired(
        &mut self,
        now: Millis,
        shown: Millis,
        keep: Millis,
        tell: &mut dyn FnMut(MembershipEvent),
    ) {
        let old = |m: &Member| match m.state() {
            MemberState::Left => now >= m.since + shown,
            MemberState::Unreachable => now >= m.since + keep,
            _ => false,
        };
        let gone: Vec<u64> = self.members.iter().filter(|(_, m)| old(m)).map(|(k, _)| *k).collect();
        for key in gone {
            let Some(member) = self.members.remove(&key) else { continue };
            self.gossip_queue.remove(&key);
            if member.record.lifecycle != Lifecycle::Left {
                tell(MembershipEvent::MemberForgotten { name: member.record.name.clone() });
            }
            self.tombstones.insert(key, (member.record, now));
        }
        self.tombstones.retain(|_, g| now < g.1 + 2 * keep);
        while self.tombstones.len() > MAX_TOMBSTONES {
            let oldest = self.tombstones.iter().min_by_key(|(_, g)| g.1).map(|(k, _)| *k);
            oldest.and_then(|k| self.tombstones.remove(&k));
        }
    }

    #[cfg(feature = "mutants")]
    pub fn forget_tombstones(&mut self) {
        self.tombstones.clear();
    }

    #[cfg(feature = "mutants")]
    pub fn drop_record(&mut self, key: u64) {
        self.members.remove(&key);
    }

    // What is told.

    pub fn queue_gossip(&mut self, key: u64) {
        self.gossip_queue.insert(key, 0);
    }

    pub fn queued_updates(&self) -> usize {
        self.gossip_queue.len()
    }

    /// What was told least so far, up to `most` times each; `take` says whether it fits in.
    pub fn take_gossip(&mut self, most: u32, mut take: impl FnMut(&GossipUpdate) -> bool) {
        self.gossip_queue.retain(|_, n| *n < most);
        let mut order: Vec<(u32, u64)> = self.gossip_queue.iter().map(|(k, n)| (*n, *k)).collect();
        order.sort_unstable();
        for (_, key) in order {
            let Some(member) = self.members.get(&key) else { continue };
            if !take(&member.update()) {
                return;
            }
            *self.gossip_queue.entry(key).or_default() += 1;
        }
    }

    // How views are compared: members that are over don't count.

    pub fn members_in(&self, range: IdRange) -> impl Iterator<Item = &Member> {
        let shift = 64 - u32::from(range.prefix_bits.min(64));
        let from = range.prefix.checked_shl(shift).unwrap_or(0);
        let last = from | u64::MAX.checked_shr(u32::from(range.prefix_bits)).unwrap_or(0);
        self.members.range(from..=last).map(|m| m.1).filter(|m| m.record.lifecycle != Lifecycle::Left)
    }

    pub fn range_digest(&self, range: IdRange) -> RangeDigest {
        let (mut sum, mut count) = (0, 0);
        for member in self.members_in(range) {
            sum ^= member.record.digest(member.suspected_by().is_some());
            count += 1;
        }
        RangeDigest { range, digest: sum, count }
    }

    pub fn child_digests(&self, range: IdRange) -> impl Iterator<Item = RangeDigest> {
        let below = move |n| IdRange {
            prefix_bits: range.prefix_bits + BITS_PER_LEVEL,
            prefix: range.prefix << BITS_PER_LEVEL | n,
        };
        (0..1 << BITS_PER_LEVEL).map(move |n| self.range_digest(below(n)))
    }
}

fn suspect_from(by: Option<u32>, now: Millis) -> Suspicion {
    let one = |by| heapless::Vec::from_iter([by]);
    by.map_or(Suspicion::None, |by| Suspicion::Suspect { since: now, by: one(by), local: false })
}
