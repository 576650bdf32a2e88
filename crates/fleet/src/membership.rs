//! A host's part in the view of its fleet.
mod anti_entropy;
mod receive;
mod timer;

use crate::Millis;
use crate::config::MembershipConfig;
use crate::failure_detector::FailureDetector;
use crate::membership_table::{Member, MembershipEvent, MembershipTable, MergeOutcome, ROOT, Suspicion};
use crate::record::{ActiveVersions, GossipUpdate, Lifecycle, MemberRecord, MemberState, member_id};
use crate::rng::SeededRng;
use crate::wire::{
    self, DecodeError, GossipBody, GossipMessage, GossipUpdates, IdRange, MAX_DATAGRAM_BYTES, MAX_RANGES,
    MemberStatus, MembershipPage, Message,
};
use std::net::SocketAddr;

/// Ticks to a period.
const TICKS_PER_PERIOD: Millis = 10;
/// Others asked to ask a member that says nothing.
const INDIRECT_PING_MEMBERS: usize = 3;
/// Questions that are asked for others at one time; further ones are dropped.
const MAX_INDIRECT_PINGS: usize = 64;
/// Periods without a word from anybody after which a host takes itself for cut off.
const ISOLATION_PERIODS: u64 = 4;
/// Periods between two comparisons of views, and of one that joins: parts of one.
const ANTI_ENTROPY_PERIODS: u64 = 10;
const ANTI_ENTROPY_PER_PERIOD_JOINING: u64 = 5;
/// Comparisons answered in one period, and datagrams to one of them, at most.
const MAX_DIGEST_REPLIES: u32 = 16;
const MAX_REPLY_DATAGRAMS: usize = 4;
/// Members that are told news a period beside those asked, where more waits than two datagrams hold.
const EXTRA_GOSSIP_TARGETS: usize = 3;
/// Members in a range that are told and not compared any further.
const RECORDS_PER_DATAGRAM: usize = 8;
/// Periods after which a host counts itself as joined, though its view is not yet another one's.
const JOIN_TIMEOUT_PERIODS: u64 = 20;
/// Periods after which a host whose seeds say nothing takes itself for the first.
const FIRST_MEMBER_PERIODS: u64 = 3;
/// Periods until a member out of reach is first looked for, and the longest between two looks.
const UNREACHABLE_PING_FIRST_PERIODS: u64 = 2;
const UNREACHABLE_PING_MAX_PERIODS: u64 = 60;
/// Periods between two looks at a seed that is no member here: so sides that have forgotten each other meet again.
const SEED_PERIODS: u64 = 60;
/// Periods for which one that is over is shown.
const LEFT_SHOWN_PERIODS: u64 = 120;
/// Members told directly of this one's end.
const MAX_LEAVE_DATAGRAMS: usize = 512;
/// Times that a rival under this host's name is asked whether it lives, a period each.
const NAME_CONFLICT_PINGS: u32 = 3;
/// A first word to a stranger is at least so long, and so is each question: so long may the answer of one be to whom
/// the asker is a stranger. A word takes 130 bytes at most, and an answer holds two.
const MIN_FIRST_PING_BYTES: usize = 512;
const MIN_PING_BYTES: usize = 288;

/// What carries a host's datagrams and hears of changes.
pub trait ActionSink {
    fn send(&mut self, to: SocketAddr, bytes: &[u8]);
    fn notify(&mut self, change: MembershipEvent);
}

/// What came in and went out, for figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub received: u64,
    pub sent: u64,
    pub bytes_sent: u64,
    /// Dropped: not to be read, of another fleet, of another version of the format.
    pub malformed: u64,
    pub other_fleet: u64,
    pub unsupported_version: u64,
    /// No room for one more member, or for one more question of others.
    pub capacity_drops: u64,
    /// Times that this host said it lives after all.
    pub refutations: u64,
}

/// Nothing goes by them: two parts that differ in them alone are the same to a search.
impl std::hash::Hash for Counters {
    fn hash<H: std::hash::Hasher>(&self, _: &mut H) {}
}

/// A question asked for another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IndirectPing {
    nr: u32,
    asker: SocketAddr,
    asked: u32,
    until: Millis,
}

/// Another process under this host's name that started later, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NameConflict {
    record: MemberRecord,
    asked: u32,
    next: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Membership {
    config: MembershipConfig,
    me: MemberRecord,
    key: u64,
    table: MembershipTable,
    probe: FailureDetector,
    rng: SeededRng,
    nr: u32,
    indirect_pings: Vec<IndirectPing>,
    name_conflict: Option<NameConflict>,
    superseded_by: Option<SocketAddr>,
    /// Last tick; last word from anybody; whether nobody is heard.
    ticked: Millis,
    last_heard: Option<Millis>,
    isolated: bool,
    began: Millis,
    compare_at: Millis,
    answers: (Millis, u32),
    seed_at: Millis,
    seed: usize,
    counters: Counters,
}

impl Membership {
    /// `started`: Unix time in milliseconds, of which the generation is made.
    pub fn new(config: MembershipConfig, seed: u64, now: Millis, started: u64) -> Self {
        let mut rng = SeededRng::new(seed);
        // Of two that start within one millisecond, one is the later.
        let generation = started << 12 | rng.below(1 << 12);
        let me = MemberRecord {
            name: config.name.clone(),
            generation,
            incarnation: 0,
            lifecycle: Lifecycle::Joining,
            address: config.address,
            zone: config.zone.clone(),
            versions: ActiveVersions::default(),
            started_ms: started,
        };
        let mut fleet = Membership {
            key: member_id(&config.name),
            me,
            table: MembershipTable::default(),
            probe: FailureDetector::new(now + rng.below(config.protocol_period)),
            rng,
            nr: 0,
            indirect_pings: Vec::new(),
            name_conflict: None,
            superseded_by: None,
            ticked: now,
            last_heard: None,
            isolated: false,
            began: now,
            compare_at: now,
            answers: (now, 0),
            seed_at: now,
            seed: 0,
            counters: Counters::default(),
            config,
        };
        fleet.enter(now);
        fleet
    }

    /// This host's own word, as it stands in the view.
    fn enter(&mut self, now: Millis) {
        let (word, doubt) = (self.me.clone(), Suspicion::None);
        self.table
            .members
            .insert(self.key, Member { record: word, suspicion: doubt, last_heard: None, since: now });
        self.table.queue_gossip(self.key);
    }

    /// This host says something new of itself.
    fn say(&mut self, change: impl FnOnce(&mut MemberRecord), now: Millis, out: &mut dyn ActionSink) {
        let was = self.table.get(self.key).map(Member::state);
        change(&mut self.me);
        self.me.incarnation += 1;
        self.enter(now);
        let state = self.table.get(self.key).map(Member::state);
        if let Some(now) = state.filter(|s| Some(*s) != was) {
            let MemberRecord { name, address, versions, .. } = self.me.clone();
            out.notify(MembershipEvent::MemberUpdated {
                name,
                address,
                versions,
                previous: was,
                current: now,
            });
        }
    }

    // What whoever runs it asks.

    /// When to call `tick` next.
    pub fn next_tick(&self) -> Millis {
        self.ticked + (self.config.protocol_period / TICKS_PER_PERIOD).max(1)
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    pub fn is_isolated(&self) -> bool {
        self.isolated
    }

    pub fn superseded_by(&self) -> Option<SocketAddr> {
        self.superseded_by
    }

    pub fn own_record(&self) -> &MemberRecord {
        &self.me
    }

    /// Members as this host sees them, itself among them, by the numbers of their names.
    pub fn members(&self) -> impl Iterator<Item = (&MemberRecord, MemberState)> {
        self.table.members.values().map(|m| (&m.record, m.state()))
    }

    /// Stands for the whole view: the same at hosts that have heard the same.
    pub fn digest(&self) -> u64 {
        self.table.range_digest(ROOT).digest
    }

    /// What this host acts on changed.
    pub fn set_active_versions(&mut self, facts: ActiveVersions, now: Millis, out: &mut dyn ActionSink) {
        if facts != self.me.versions && self.superseded_by.is_none() {
            self.say(|me| me.versions = facts, now, out);
        }
    }

    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.config.seeds = seeds;
        self.seed = 0;
    }

    /// This host shuts down gracefully and still serves: other members are told at once.
    pub fn announce_leaving(&mut self, now: Millis, out: &mut dyn ActionSink) {
        self.leave(Lifecycle::Leaving, now, out);
    }

    /// This process ends: other members are told at once, and nothing of this generation follows.
    pub fn announce_left(&mut self, now: Millis, out: &mut dyn ActionSink) {
        self.leave(Lifecycle::Left, now, out);
    }

    fn leave(&mut self, lifecycle: Lifecycle, now: Millis, out: &mut dyn ActionSink) {
        if self.superseded_by.is_some() || self.me.lifecycle == Lifecycle::Left {
            return;
        }
        self.say(|me| me.lifecycle = lifecycle, now, out);
        let others =
            self.table.members.values().filter(|m| m.is_reachable() && m.record.name != self.me.name);
        let others: Vec<SocketAddr> = others.map(|m| m.record.address).collect();
        let (from, most) =
            (self.rng.below(others.len() as u64) as usize, others.len().min(MAX_LEAVE_DATAGRAMS));
        for n in 0..most {
            self.send(
                others[(from + n) % others.len()],
                GossipBody::UpdatesOnly,
                &[],
                MAX_DATAGRAM_BYTES,
                out,
            );
        }
    }

    // Datagrams.

    fn send(
        &mut self,
        to: SocketAddr,
        body: GossipBody,
        first: &[GossipUpdate],
        most: usize,
        out: &mut dyn ActionSink,
    ) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        let least = if matches!(body, GossipBody::Ping { .. }) { MIN_PING_BYTES } else { 0 };
        let mut packet = GossipMessage { sender: self.me.clone(), body, updates: GossipUpdates::new() };
        let message = Message::Gossip(packet.clone());
        // One that would be longer than it may be is none.
        let Some(mut len) = self.config.encode(&message, &mut buffer).map(<[u8]>::len).filter(|l| *l <= most)
        else {
            return;
        };
        let news = &mut packet.updates;
        let mut take = |told: &GossipUpdate| {
            let size = postcard::to_slice(told, &mut [0; MAX_DATAGRAM_BYTES])
                .map_or(MAX_DATAGRAM_BYTES, |t| t.len());
            // What is told of its receiver or of this host stands elsewhere in the datagram.
            if len + size > most || news.iter().any(|n| n.record.name == told.record.name) {
                return len + size <= most;
            }
            len += size;
            news.push(told.clone()).is_ok()
        };
        for told in first {
            take(told);
        }
        self.table.take_gossip(self.config.max_transmissions(self.table.members.len()), take);
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        if let Some(len) = self.config.encode(&Message::Gossip(packet), &mut buffer).map(<[u8]>::len) {
            self.put(to, &buffer, len.max(least), out);
        }
    }

    /// Puts a datagram out; what stands behind the message is zeros.
    fn put(
        &mut self,
        to: SocketAddr,
        buffer: &[u8; MAX_DATAGRAM_BYTES],
        len: usize,
        out: &mut dyn ActionSink,
    ) {
        self.counters.sent += 1;
        self.counters.bytes_sent += len as u64;
        out.send(to, &buffer[..len]);
    }

    /// A first word to an address of which no member is known: padded, so that the answer may be as long.
    fn hail(&mut self, to: SocketAddr, out: &mut dyn ActionSink) {
        let body = GossipBody::Ping { sequence: self.next_nr() };
        let packet = GossipMessage { sender: self.me.clone(), body, updates: GossipUpdates::new() };
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        if let Some(len) = self.config.encode(&Message::Gossip(packet), &mut buffer).map(<[u8]>::len) {
            self.put(to, &buffer, len.max(MIN_FIRST_PING_BYTES), out);
        }
    }

    fn next_nr(&mut self) -> u32 {
        self.nr = self.nr.wrapping_add(1);
        self.nr
    }
}
