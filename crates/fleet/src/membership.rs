//! State machine of one member of the fleet.
//!
//! - `receive`: received datagrams. `send`: datagrams to be sent, with the gossip that is piggybacked on them.
//! - `timer`: what is due by time. `failure_detection`: pings, indirect pings and suspicions.
//! - `joining`: seeds and the end of joining. `anti_entropy`: comparison of whole tables.
//! - `name_conflict`: other processes under this host's name. `query`: the table for operators.
mod anti_entropy;
mod failure_detection;
mod joining;
mod name_conflict;
mod query;
mod receive;
mod send;
mod timer;

use crate::Millis;
use crate::config::MembershipConfig;
use crate::event::MembershipEvent;
use crate::failure_detector::FailureDetector;
use crate::member::{Member, Reachability};
use crate::membership_table::{MembershipTable, WHOLE_TABLE};
use crate::record::{ActiveVersions, Lifecycle, MemberRecord, MemberState, member_id};
use crate::rng::SeededRng;
use crate::wire::{GossipBody, MAX_DATAGRAM_BYTES};
use anti_entropy::ReplyBudget;
use failure_detection::IndirectPing;
use name_conflict::NameConflict;
use std::net::SocketAddr;

/// Calls of [`Membership::tick`] in a protocol period.
const TICKS_PER_PERIOD: Millis = 10;
/// Members that are notified directly that this host leaves.
const MAX_LEAVE_DATAGRAMS: usize = 512;
/// Lowest bits of a generation that are drawn at random, so that of two processes that start within the same millisecond
/// one is the later.
const GENERATION_RANDOM_BITS: u32 = 12;

/// Takes the actions of a [`Membership`].
pub trait ActionSink {
    /// Sends a datagram. It may be lost.
    fn send(&mut self, to: SocketAddr, bytes: &[u8]);
    /// Reports an event.
    fn notify(&mut self, event: MembershipEvent);
}

/// Counters of datagrams, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Gossip messages received and decoded.
    pub received: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Datagrams dropped as malformed.
    pub malformed: u64,
    /// Datagrams dropped as another fleet's.
    pub other_fleet: u64,
    /// Datagrams dropped for their version of the format.
    pub unsupported_version: u64,
    /// Members and ping requests dropped for want of capacity.
    pub capacity_drops: u64,
    /// Suspicions of this host that it refuted.
    pub refutations: u64,
}

/// No decision depends on the counters: two states that differ in them alone are the same for an exhaustive search.
impl std::hash::Hash for Counters {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

/// State machine of one member. Needs [`tick`](Membership::tick) at the time of
/// [`next_tick`](Membership::next_tick), and [`receive`](Membership::receive) for each datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    config: MembershipConfig,
    own_record: MemberRecord,
    own_id: u64,
    table: MembershipTable,
    failure_detector: FailureDetector,
    rng: SeededRng,
    last_sequence: u32,
    indirect_pings: Vec<IndirectPing>,
    name_conflict: Option<NameConflict>,
    /// Address of the process that superseded this one; set, this host takes no more part.
    superseded_by: Option<SocketAddr>,
    last_tick: Millis,
    /// When a message of any other member was last received.
    last_contact: Option<Millis>,
    isolated: bool,
    started: Millis,
    next_anti_entropy: Millis,
    reply_budget: ReplyBudget,
    next_seed_ping: Millis,
    seed_index: usize,
    counters: Counters,
}

impl Membership {
    /// A member that starts to join. `started_ms`: Unix time in milliseconds, from which its generation is derived.
    #[must_use]
    pub fn new(config: MembershipConfig, seed: u64, now: Millis, started_ms: u64) -> Self {
        let mut rng = SeededRng::new(seed);
        let generation =
            started_ms << GENERATION_RANDOM_BITS | rng.below(1 << GENERATION_RANDOM_BITS);
        let own_record = MemberRecord {
            name: config.name.clone(),
            generation,
            incarnation: 0,
            lifecycle: Lifecycle::Joining,
            address: config.address,
            zone: config.zone.clone(),
            versions: ActiveVersions::default(),
            started_ms,
        };
        let mut membership = Membership {
            own_id: member_id(&config.name),
            own_record,
            table: MembershipTable::default(),
            failure_detector: FailureDetector::new(now + rng.below(config.protocol_period)),
            rng,
            last_sequence: 0,
            indirect_pings: Vec::new(),
            name_conflict: None,
            superseded_by: None,
            last_tick: now,
            last_contact: None,
            isolated: false,
            started: now,
            next_anti_entropy: now,
            reply_budget: ReplyBudget::new(now),
            next_seed_ping: now,
            seed_index: 0,
            counters: Counters::default(),
            config,
        };
        membership.store_own_record(now);
        membership
    }

    /// When [`tick`](Membership::tick) is to be called next.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.last_tick + (self.config.protocol_period / TICKS_PER_PERIOD).max(1)
    }

    /// Counters of datagrams.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether nothing was received from any other member for some periods.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    /// Address of the later process under this host's name; none: this host takes part.
    #[must_use]
    pub fn superseded_by(&self) -> Option<SocketAddr> {
        self.superseded_by
    }

    /// What this host publishes about itself.
    #[must_use]
    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Members as this host sees them, itself included, by id.
    pub fn members(&self) -> impl Iterator<Item = (&MemberRecord, MemberState)> {
        self.table
            .members
            .values()
            .map(|member| (&member.record, member.state()))
    }

    /// Digest of the whole table: the same at hosts whose tables are the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.table.range_digest(WHOLE_TABLE).digest
    }

    /// The host acts on other versions than before.
    pub fn set_active_versions(
        &mut self,
        versions: ActiveVersions,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        if versions != self.own_record.versions && self.superseded_by.is_none() {
            self.publish(|own| own.versions = versions, now, sink);
        }
    }

    /// Replaces the addresses of the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.config.seeds = seeds;
        self.seed_index = 0;
    }

    /// This host shuts down gracefully and still serves: notifies other members at once.
    pub fn announce_leaving(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        self.announce(Lifecycle::Leaving, now, sink);
    }

    /// This process ends: notifies other members at once. Nothing of this generation follows.
    pub fn announce_left(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        self.announce(Lifecycle::Left, now, sink);
    }

    fn announce(&mut self, lifecycle: Lifecycle, now: Millis, sink: &mut dyn ActionSink) {
        if self.superseded_by.is_some() || self.own_record.lifecycle == Lifecycle::Left {
            return;
        }
        self.publish(|own| own.lifecycle = lifecycle, now, sink);
        let others = self
            .table
            .members
            .iter()
            .filter(|(id, member)| **id != self.own_id && member.is_reachable());
        let others: Vec<SocketAddr> = others.map(|(_, member)| member.record.address).collect();
        let first = self.rng.index(others.len());
        for address in others
            .iter()
            .cycle()
            .skip(first)
            .take(others.len().min(MAX_LEAVE_DATAGRAMS))
        {
            self.send(
                *address,
                GossipBody::UpdatesOnly,
                &[],
                MAX_DATAGRAM_BYTES,
                sink,
            );
        }
    }

    /// Issues a new record of this host, with the next incarnation.
    fn publish(
        &mut self,
        change: impl FnOnce(&mut MemberRecord),
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        let previous = self.table.get(self.own_id).map(Member::state);
        change(&mut self.own_record);
        self.own_record.incarnation += 1;
        self.store_own_record(now);
        let current = self.table.get(self.own_id).map(Member::state);
        if let Some(current) = current.filter(|state| Some(*state) != previous) {
            let MemberRecord {
                name,
                address,
                versions,
                ..
            } = self.own_record.clone();
            sink.notify(MembershipEvent::MemberUpdated {
                name,
                address,
                versions,
                previous,
                current,
            });
        }
    }

    /// Puts this host's own record into the table, and queues it for gossip.
    fn store_own_record(&mut self, now: Millis) {
        let member = Member::new(self.own_record.clone(), Reachability::Reachable, now);
        self.table.members.insert(self.own_id, member);
        self.table.enqueue_gossip(self.own_id);
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// A random member that is reachable and fits the condition.
    fn random_reachable(&mut self, fits: impl Fn(&Member) -> bool) -> Option<SocketAddr> {
        let own_id = self.own_id;
        let is_candidate = |(id, member): &(&u64, &Member)| {
            **id != own_id && member.is_reachable() && fits(member)
        };
        let count = self.table.members.iter().filter(is_candidate).count();
        let index = self.rng.index(count);
        self.table
            .members
            .iter()
            .filter(is_candidate)
            .nth(index)
            .map(|(_, member)| member.record.address)
    }

    /// Milliseconds of a number of protocol periods.
    fn periods(&self, count: u64) -> Millis {
        count * self.config.protocol_period
    }
}
