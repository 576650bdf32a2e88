//! Anti-entropy: two members compare digests of their tables and exchange the records in ranges that differ.
use super::{ActionSink, Membership};
use crate::Millis;
use crate::member::Member;
use crate::membership_table::{CHILD_RANGES, MAX_PREFIX_BITS, WHOLE_TABLE};
use crate::record::{GossipUpdate, Lifecycle};
use crate::wire::{
    GossipBody, GossipUpdates, IdRange, MAX_DATAGRAM_BYTES, MAX_RANGES, RangeDigest,
};
use std::net::SocketAddr;

/// Periods between two comparisons that a host starts.
const ANTI_ENTROPY_PERIODS: u64 = 10;
/// Comparisons that a joining host starts in one period.
const JOINING_COMPARISONS_PER_PERIOD: u64 = 5;
/// Comparisons answered in one period at most.
const MAX_REPLIES_PER_PERIOD: u32 = 16;
/// Datagrams of records in one answer at most.
const MAX_REPLY_DATAGRAMS: usize = 4;
/// Records in one datagram of an answer. Ranges with no more members are exchanged rather than split.
const RECORDS_PER_DATAGRAM: usize = 8;

type Digests = heapless::Vec<RangeDigest, MAX_RANGES>;
type Ranges = heapless::Vec<IdRange, MAX_RANGES>;

/// Limits the comparisons that are answered in a period.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ReplyBudget {
    since: Millis,
    replies: u32,
}

impl ReplyBudget {
    pub fn new(now: Millis) -> Self {
        ReplyBudget {
            since: now,
            replies: 0,
        }
    }

    /// Begins a new period once the last one is over.
    fn renew(&mut self, now: Millis, period: Millis) {
        if now >= self.since + period {
            *self = ReplyBudget::new(now);
        }
    }

    fn is_spent(&self) -> bool {
        self.replies >= MAX_REPLIES_PER_PERIOD
    }
}

impl Membership {
    /// Starts a comparison with a random member when one is due.
    pub(super) fn start_anti_entropy(&mut self, now: Millis, sink: &mut dyn ActionSink) {
        if now < self.next_anti_entropy {
            return;
        }
        let interval = match self.own_record.lifecycle {
            Lifecycle::Joining => self.config.protocol_period / JOINING_COMPARISONS_PER_PERIOD,
            _ => self.periods(ANTI_ENTROPY_PERIODS),
        };
        self.next_anti_entropy = now + interval + self.rng.below(interval / 4);
        if let Some(address) = self.random_reachable(|_| true) {
            let digests = Digests::from_iter([self.table.range_digest(WHOLE_TABLE)]);
            self.send(
                address,
                GossipBody::RangeDigests(digests),
                &[],
                MAX_DATAGRAM_BYTES,
                sink,
            );
        }
    }

    /// Answers another member's digests: with digests of smaller ranges where many members differ, with records where
    /// few do, and with no digest at all where the tables are equal.
    pub(super) fn compare_digests(
        &mut self,
        from: SocketAddr,
        is_known: bool,
        digests: &Digests,
        now: Millis,
        sink: &mut dyn ActionSink,
    ) {
        if digests.is_empty() {
            if self.own_record.lifecycle == Lifecycle::Joining {
                self.publish(|own| own.lifecycle = Lifecycle::Alive, now, sink);
            }
            return;
        }
        self.reply_budget.renew(now, self.config.protocol_period);
        // An unknown sender is known by its next comparison, since its record was merged.
        if !is_known || self.reply_budget.is_spent() {
            return;
        }
        self.reply_budget.replies += 1;
        let (split, exchanged) = self.differing_ranges(digests);
        if !split.is_empty() || exchanged.is_empty() {
            self.send(
                from,
                GossipBody::RangeDigests(split),
                &[],
                MAX_DATAGRAM_BYTES,
                sink,
            );
        }
        if !exchanged.is_empty() {
            let members = exchanged
                .iter()
                .flat_map(|range| self.table.members_in(*range));
            let updates: Vec<GossipUpdate> = members.map(Member::to_update).collect();
            let body = GossipBody::RangeRecords {
                ranges: exchanged,
                reply_wanted: true,
            };
            self.send_records(from, body, &updates, sink);
        }
    }

    /// Ranges in which the two tables differ: digests of the children of those to be split, and those whose records are
    /// to be exchanged.
    fn differing_ranges(&self, digests: &Digests) -> (Digests, Ranges) {
        let (mut split, mut exchanged) = (Digests::new(), Ranges::new());
        for theirs in digests
            .iter()
            .filter(|theirs| theirs.range.prefix_bits <= MAX_PREFIX_BITS)
        {
            let own = self.table.range_digest(theirs.range);
            if own == *theirs {
                continue;
            }
            let is_small = own.count.min(theirs.count) as usize <= RECORDS_PER_DATAGRAM;
            if is_small || theirs.range.prefix_bits == MAX_PREFIX_BITS {
                let _ = exchanged.push(theirs.range);
            } else if split.len() + CHILD_RANGES <= MAX_RANGES {
                split.extend(self.table.child_digests(theirs.range));
            }
        }
        (split, exchanged)
    }

    /// Sends records in as many datagrams as one answer may take, the first one with `body`. The rest is sent
    /// after the next comparison.
    fn send_records(
        &mut self,
        to: SocketAddr,
        body: GossipBody,
        updates: &[GossipUpdate],
        sink: &mut dyn ActionSink,
    ) {
        let mut body = Some(body);
        let mut rest = updates;
        for _ in 0..MAX_REPLY_DATAGRAMS {
            if rest.is_empty() && body.is_none() {
                return;
            }
            let (page, further) = rest.split_at(rest.len().min(RECORDS_PER_DATAGRAM));
            let body = body.take().unwrap_or(GossipBody::UpdatesOnly);
            self.send(to, body, page, MAX_DATAGRAM_BYTES, sink);
            rest = further;
        }
    }

    /// Sends the records in some ranges that are newer than those of the other member.
    pub(super) fn send_newer_records(
        &mut self,
        to: SocketAddr,
        ranges: &Ranges,
        theirs: &GossipUpdates,
        sink: &mut dyn ActionSink,
    ) {
        let is_known_to_them = |own: &GossipUpdate| {
            theirs.iter().any(|other| {
                other.record.name == own.record.name
                    && other.record.precedence() >= own.record.precedence()
                    && other.suspected_by.is_some() >= own.suspected_by.is_some()
            })
        };
        let ranges = ranges
            .iter()
            .filter(|range| range.prefix_bits <= MAX_PREFIX_BITS);
        let own = ranges
            .flat_map(|range| self.table.members_in(*range))
            .map(Member::to_update);
        let newer: Vec<GossipUpdate> = own
            .filter(|update| !is_known_to_them(update))
            .take(MAX_REPLY_DATAGRAMS * RECORDS_PER_DATAGRAM)
            .collect();
        if !newer.is_empty() {
            self.send_records(to, GossipBody::UpdatesOnly, &newer, sink);
        }
    }
}
