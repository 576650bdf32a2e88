//! State machine of one member of the fleet. Each concern keeps its state in a type of its own. The handlers of events
//! are in this file and in its submodules:
//!
//! - `tick` runs timers, `receive` handles received datagrams, and `answer` replies to each kind of message.
//! - `own_name` handles other processes under this host's name.
//! - `send` sends datagrams, with the gossip that is piggybacked on them.
mod answer;
mod own_name;
mod receive;
mod send;
mod tick;

use crate::Millis;
use crate::anti_entropy::AntiEntropy;
use crate::config::MembershipConfig;
use crate::counters::Counters;
use crate::event::MembershipEvent;
use crate::failure_detector::FailureDetector;
use crate::gossip_queue::GossipQueue;
use crate::indirect_pings::IndirectPings;
use crate::isolation::Isolation;
use crate::joining::Joining;
use crate::local_member::LocalMember;
use crate::membership_table::{GossipEffect, MembershipTable, TableChange, WHOLE_TABLE};
use crate::name_ownership::NameOwnership;
use crate::record::{ActiveVersions, Lifecycle, MemberRecord, MemberState};
use crate::rng::SeededRng;
use crate::sequence::SequenceNumbers;
use crate::wire::GossipBody;
use std::net::SocketAddr;

/// Number of calls of [`Membership::tick`] in a protocol period.
const TICKS_PER_PERIOD: Millis = 10;
/// Maximum number of members that this host notifies directly when it leaves.
const MAX_LEAVE_DATAGRAMS: usize = 512;
/// Number of the lowest bits of a generation that are random, so that the generations of two processes that start
/// within the same millisecond differ.
const GENERATION_RANDOM_BITS: u32 = 12;

/// Receiver of the actions of a [`Membership`].
pub trait ActionSink {
    /// Sends a datagram, which may be lost.
    fn send(&mut self, to: SocketAddr, bytes: &[u8]);
    /// Reports an event.
    fn notify(&mut self, event: MembershipEvent);
}

/// State machine of one member. The caller calls [`tick`](Membership::tick) at the time that
/// [`next_tick`](Membership::next_tick) returns, and [`receive`](Membership::receive) for each datagram.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    /// Settings, without the seeds, which are in `joining`.
    config: MembershipConfig,
    local: LocalMember,
    table: MembershipTable,
    gossip_queue: GossipQueue,
    failure_detector: FailureDetector,
    indirect_pings: IndirectPings,
    anti_entropy: AntiEntropy,
    joining: Joining,
    isolation: Isolation,
    name_ownership: NameOwnership,
    rng: SeededRng,
    sequence_numbers: SequenceNumbers,
    last_tick: Millis,
    counters: Counters,
}

impl Membership {
    /// Creates a member that starts to join. `started_ms`: start of the process, as Unix time in milliseconds, from
    /// which the member's generation is derived.
    #[must_use]
    pub fn new(mut config: MembershipConfig, seed: u64, now: Millis, started_ms: u64) -> Self {
        let period = config.protocol_period;
        let seeds = std::mem::take(&mut config.seeds);
        let mut rng = SeededRng::new(seed);
        let random_bits = rng.below(1 << GENERATION_RANDOM_BITS);
        let generation = started_ms << GENERATION_RANDOM_BITS | random_bits;
        let local = LocalMember::new(&config, generation, started_ms);
        let first_ping = now + rng.below(period);
        let mut membership = Membership {
            table: MembershipTable::new(local.id()),
            local,
            gossip_queue: GossipQueue::default(),
            failure_detector: FailureDetector::new(&config, first_ping),
            indirect_pings: IndirectPings::new(period),
            anti_entropy: AntiEntropy::new(period, now),
            joining: Joining::new(period, seeds, now),
            isolation: Isolation::new(period),
            name_ownership: NameOwnership::new(period),
            rng,
            sequence_numbers: SequenceNumbers::default(),
            last_tick: now,
            counters: Counters::default(),
            config,
        };
        membership.store_local_record(now);
        membership
    }

    /// Returns the time at which [`tick`](Membership::tick) is to be called next.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.last_tick + (self.config.protocol_period / TICKS_PER_PERIOD).max(1)
    }

    /// Returns the counters of datagrams and refutations.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether this host is isolated: it received nothing from any other member for several protocol periods.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolation.is_isolated()
    }

    /// Returns the address of the later process under this host's name that superseded this one, or `None` if this
    /// process takes part in the protocol.
    #[must_use]
    pub fn superseded_by(&self) -> Option<SocketAddr> {
        self.name_ownership.superseded_by()
    }

    /// Returns the record that this host publishes about itself.
    #[must_use]
    pub fn own_record(&self) -> &MemberRecord {
        self.local.record()
    }

    /// Returns the records and states of all members as this host sees them, itself included, in the order of their
    /// ids.
    pub fn members(&self) -> impl Iterator<Item = (&MemberRecord, MemberState)> {
        self.table
            .members()
            .map(|member| (member.record(), member.state()))
    }

    /// Returns the digest of the whole table, which is the same at hosts whose tables are the same.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.table.range_digest(WHOLE_TABLE).digest
    }

    /// Publishes the versions of shared state that this host acts on, if they changed.
    pub fn set_active_versions(
        &mut self,
        versions: ActiveVersions,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        if versions != self.local.record().versions && !self.name_ownership.is_superseded() {
            self.local.set_versions(versions);
            self.publish(now, sink);
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.joining.set_seeds(seeds);
    }

    /// Notifies other members at once that this host is shutting down gracefully and still serves requests.
    pub fn announce_leaving(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        self.leave(Lifecycle::Leaving, now, sink);
    }

    /// Notifies other members at once that this process ends. No record of this generation may follow.
    pub fn announce_left(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        self.leave(Lifecycle::Left, now, sink);
    }

    fn leave(&mut self, lifecycle: Lifecycle, now: Millis, sink: &mut dyn ActionSink) {
        if self.name_ownership.is_superseded() || self.local.has_left() {
            return;
        }
        self.local.set_lifecycle(lifecycle);
        self.publish(now, sink);
        self.notify_members_directly(sink);
    }

    /// Sends the queued updates to reachable members at once, starting with a random one.
    fn notify_members_directly(&mut self, sink: &mut dyn ActionSink) {
        let reachable = self.table.others().filter(|member| member.is_reachable());
        let mut addresses: Vec<SocketAddr> =
            reachable.map(|member| member.record().address).collect();
        let first = self.rng.index(addresses.len());
        addresses.rotate_left(first);
        addresses.truncate(MAX_LEAVE_DATAGRAMS);
        for address in addresses {
            self.send(address, GossipBody::UpdatesOnly, sink);
        }
    }

    /// Stores this host's new record in the table, reports it if its state changed, and gossips it.
    fn publish(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        if let Some(event) = self.store_local_record(now) {
            sink.notify(event);
        }
    }

    /// Stores this host's own record in the table, and queues it for gossip. Returns the event to report, if any.
    fn store_local_record(&mut self, now: Millis) -> Option<MembershipEvent> {
        let change = self.table.replace_local(self.local.record(), now);
        self.queue_gossip(&change);
        change.event
    }

    /// Reports and gossips changes of the table.
    fn report_and_gossip(
        &mut self,
        changes: impl IntoIterator<Item = TableChange>,
        sink: &mut dyn ActionSink,
    ) {
        for change in changes {
            self.queue_gossip(&change);
            if let Some(event) = change.event {
                sink.notify(event);
            }
        }
    }

    fn queue_gossip(&mut self, change: &TableChange) {
        match change.gossip {
            GossipEffect::Enqueue => self.gossip_queue.enqueue(change.id),
            GossipEffect::Withdraw => self.gossip_queue.withdraw(change.id),
            GossipEffect::Unchanged => {}
        }
    }
}
