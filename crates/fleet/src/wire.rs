//! Datagrams of the membership protocol.
//!
//! A datagram consists of a header of nine bytes, a message in postcard's format, and padding of zeros. Postcard
//! encodes variants and fields by their order: they may be renamed, but never reordered. The receiver drops and counts
//! datagrams that cannot be decoded, belong to another fleet, or have another format version.
mod codec;

use crate::record::{GossipUpdate, MemberRecord, MemberState, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub use codec::{DecodeError, decode, decode_any_fleet, encode, encode_query};

/// Maximum size of a datagram, in bytes. With its headers it fits into the minimum MTU of IPv6, 1,280 bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Version of the datagram format, which is the first byte of each datagram.
pub const FORMAT_VERSION: u8 = 1;
/// Maximum number of updates in one datagram. The maximum size of a datagram allows fewer.
const MAX_UPDATES: usize = 32;
/// Maximum number of ranges in one datagram.
pub(crate) const MAX_RANGES: usize = 48;
/// Maximum number of members on one page of a membership table.
const MAX_PAGE_MEMBERS: usize = 16;

/// Gossip updates of one datagram.
pub type GossipUpdates = heapless::Vec<GossipUpdate, MAX_UPDATES>;

/// Range of all member ids whose first `prefix_bits` bits are `prefix`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdRange {
    /// Length of the prefix, in bits. 0 for the range of all ids.
    pub prefix_bits: u8,
    /// Prefix of the ids, in the lowest bits of this value.
    pub prefix: u64,
}

/// Digest of all members in a range of ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeDigest {
    /// Range of member ids that the digest covers.
    pub range: IdRange,
    /// Exclusive or of the record digests of all members in the range.
    pub digest: u64,
    /// Number of members in the range.
    pub count: u32,
}

/// Purpose of a gossip message, in addition to the updates that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "lives on the stack for one datagram; a box would allocate for each"
)]
pub enum GossipBody {
    /// Asks whether the receiver is alive (SWIM, section 3.1).
    Ping {
        /// Sequence number by which the sender recognizes the ack.
        sequence: u32,
    },
    /// Answers a ping.
    Ack {
        /// Sequence number of the ping.
        sequence: u32,
    },
    /// Asks the receiver to ping a third member (SWIM's ping-req).
    PingRequest {
        /// Sequence number by which the sender recognizes the result.
        sequence: u32,
        /// Id of the member to ping.
        target_id: u64,
        /// Address of the member to ping.
        target_address: SocketAddr,
    },
    /// Reports the result of a ping request.
    PingRequestResult {
        /// Sequence number of the ping request.
        sequence: u32,
        /// Whether the member to ping answered.
        acknowledged: bool,
    },
    /// Contains digests of the sender's table. The receiver replies with the ranges in which its own digests differ. No
    /// digests at all mean that the tables are equal.
    RangeDigests(heapless::Vec<RangeDigest, MAX_RANGES>),
    /// States that the updates contain what the sender knows about the members in some ranges.
    RangeRecords {
        /// Ranges of member ids that the updates cover.
        ranges: heapless::Vec<IdRange, MAX_RANGES>,
        /// Whether the receiver replies with its newer records in these ranges.
        reply_wanted: bool,
    },
    /// Carries only updates.
    UpdatesOnly,
}

/// Message from one member to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Own record of the sender.
    pub sender: MemberRecord,
    /// Purpose of the message.
    pub body: GossipBody,
    /// Updates that are piggybacked on the message (SWIM, section 4.1).
    pub updates: GossipUpdates,
}

/// Member as a host's membership table shows it to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Newest record of the member that the host knows.
    pub record: MemberRecord,
    /// State of the member as the host sees it.
    pub state: MemberState,
    /// Milliseconds since the host last received a message from the member itself. `None` if it never did.
    pub last_contact_ms: Option<u64>,
}

/// Page of a host's membership table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipPage {
    /// Name of the host whose table this is.
    pub host: Name,
    /// Whether the host receives nothing from any other member.
    pub isolated: bool,
    /// Whether a later process under the host's name superseded it.
    pub superseded: bool,
    /// Digest of the whole table.
    pub digest: u64,
    /// Members on this page, in the order of their ids.
    pub members: heapless::Vec<MemberStatus, MAX_PAGE_MEMBERS>,
    /// First id of the next page. `None` if this is the last page.
    pub next_id: Option<u64>,
}

/// Content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "lives on the stack for one datagram; a box would allocate for each"
)]
pub enum Message {
    /// Message from another member.
    Gossip(GossipMessage),
    /// Query for the membership table by a program that is no member. The answer is no longer than the query, so that a
    /// query with a forged sender address causes no amplification.
    Query {
        /// Lowest member id of the requested page.
        first_id: u64,
    },
    /// Answer to a query: a page of the membership table.
    Page(MembershipPage),
}
