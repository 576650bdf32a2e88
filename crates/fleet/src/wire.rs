//! Datagrams of the membership protocol.
//!
//! A datagram is a head of nine bytes, a message in postcard's format, and padding of zeros. Postcard goes by order:
//! variants and fields may be renamed, never reordered. Datagrams that can't be decoded, that belong to another fleet or
//! that have another version of the format are dropped and counted by the receiver.
mod codec;

use crate::record::{GossipUpdate, MemberRecord, MemberState, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub use codec::{DecodeError, decode, decode_any_fleet, encode, encode_query};

/// Largest datagram, in bytes: fits the smallest MTU of IPv6 (1,280 bytes) with its headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// First byte of each datagram: the version of this format.
pub const FORMAT_VERSION: u8 = 1;
/// Updates in one datagram at most; its size ends them earlier.
const MAX_UPDATES: usize = 32;
/// Ranges in one datagram at most.
pub(crate) const MAX_RANGES: usize = 48;
/// Members on one page of a membership query at most.
const MAX_PAGE_MEMBERS: usize = 16;

/// Gossip updates of one datagram.
pub type GossipUpdates = heapless::Vec<GossipUpdate, MAX_UPDATES>;

/// All member ids whose first `prefix_bits` bits are `prefix`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdRange {
    /// Length of the prefix in bits; 0: all ids.
    pub prefix_bits: u8,
    /// The prefix, in the lowest bits.
    pub prefix: u64,
}

/// Digest of all members in a range of ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeDigest {
    /// The range.
    pub range: IdRange,
    /// Exclusive or of the digests of all members in the range.
    pub digest: u64,
    /// Number of members in the range.
    pub count: u32,
}

/// What a gossip message is for, besides the updates that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "lives on the stack for one datagram; a box would allocate for each"
)]
pub enum GossipBody {
    /// Asks whether the receiver is alive (SWIM, section 3.1).
    Ping {
        /// Number by which the sender recognizes the answer.
        sequence: u32,
    },
    /// Answers a ping.
    Ack {
        /// The ping's sequence number.
        sequence: u32,
    },
    /// Asks the receiver to ping a third member (SWIM's ping-req).
    PingRequest {
        /// Number by which the sender recognizes the result.
        sequence: u32,
        /// Id of the member to ping.
        target_id: u64,
        /// Address of that member.
        target_address: SocketAddr,
    },
    /// Result of a ping request.
    PingRequestResult {
        /// The request's sequence number.
        sequence: u32,
        /// Whether the target answered.
        acknowledged: bool,
    },
    /// Digests of the sender's table; the receiver sends back where its own differ. None at all: the tables are equal.
    RangeDigests(heapless::Vec<RangeDigest, MAX_RANGES>),
    /// The updates hold what the sender knows of the members in these ranges.
    RangeRecords {
        /// The ranges.
        ranges: heapless::Vec<IdRange, MAX_RANGES>,
        /// Whether the receiver sends back its newer records in these ranges.
        reply_wanted: bool,
    },
    /// Nothing but the updates.
    UpdatesOnly,
}

/// A message between two members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's own record.
    pub sender: MemberRecord,
    /// What the message is for.
    pub body: GossipBody,
    /// Updates that are piggybacked on the message (SWIM, section 4.1).
    pub updates: GossipUpdates,
}

/// A member as a host's membership table shows it to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The newest record known.
    pub record: MemberRecord,
    /// State of the member as the host sees it.
    pub state: MemberState,
    /// Milliseconds since the host last received a message from the member itself; none: never.
    pub last_contact_ms: Option<u64>,
}

/// A page of a host's membership table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipPage {
    /// Name of the host.
    pub host: Name,
    /// Whether the host receives nothing from any other member.
    pub isolated: bool,
    /// Whether a later process under the host's name superseded it.
    pub superseded: bool,
    /// Digest of the whole table.
    pub digest: u64,
    /// Members on this page, by id.
    pub members: heapless::Vec<MemberStatus, MAX_PAGE_MEMBERS>,
    /// First id of the next page; none: this is the last page.
    pub next_id: Option<u64>,
}

/// A datagram's content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "lives on the stack for one datagram; a box would allocate for each"
)]
pub enum Message {
    /// A message of another member.
    Gossip(GossipMessage),
    /// A query for the membership table by a program that is no member. The answer is no longer than the query, so that a
    /// forged sender address amplifies nothing.
    Query {
        /// Lowest member id of the wanted page.
        first_id: u64,
    },
    /// Answers a query.
    Page(MembershipPage),
}
