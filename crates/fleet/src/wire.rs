//! Datagrams. What can't be read, comes from another fleet or is of another version is dropped and counted.
use crate::config::MembershipConfig;
use crate::record::{GossipUpdate, MemberRecord, MemberState, Name, member_id};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// First byte of each datagram: the version of this format.
pub const FORMAT_VERSION: u8 = 1;
/// Words in one datagram at most, far more than fit in.
const MAX_UPDATES: usize = 32;
pub(crate) const MAX_RANGES: usize = 48;

pub type GossipUpdates = heapless::Vec<GossipUpdate, MAX_UPDATES>;

/// Part of all numbers of names: those whose first `depth` bits are these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdRange {
    pub prefix_bits: u8,
    pub prefix: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RangeDigest {
    pub range: IdRange,
    pub digest: u64,
    pub count: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "lives on the stack for one datagram; a box would allocate for each"
)]
pub enum GossipBody {
    /// Are you there? `nr` comes back.
    Ping {
        sequence: u32,
    },
    Ack {
        sequence: u32,
    },
    /// Ask that one for me: I hear nothing from it.
    PingRequest {
        sequence: u32,
        target_id: u64,
        target_address: SocketAddr,
    },
    /// What came of it.
    PingRequestResult {
        sequence: u32,
        acknowledged: bool,
    },
    /// My view in parts; send what differs.
    RangeDigests(heapless::Vec<RangeDigest, MAX_RANGES>),
    /// All that I know in these ranges, in `news`. `back`: send what you know better.
    RangeRecords {
        ranges: heapless::Vec<IdRange, MAX_RANGES>,
        reply_wanted: bool,
    },
    /// Nothing but news.
    UpdatesOnly,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipMessage {
    pub sender: MemberRecord,
    pub body: GossipBody,
    pub updates: GossipUpdates,
}

/// A member as a host's view shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub record: MemberRecord,
    pub state: MemberState,
    /// Milliseconds since it was last heard directly; none: never.
    pub last_heard_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipPage {
    pub host: Name,
    /// It hears from nobody; another one of its name took its place.
    pub isolated: bool,
    pub superseded: bool,
    /// Stands for the whole view.
    pub digest: u64,
    pub members: heapless::Vec<MemberStatus, 16>,
    /// Where to go on; none: that was all.
    pub next_id: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "lives on the stack for one datagram; a box would allocate for each"
)]
pub enum Message {
    Gossip(GossipMessage),
    /// Somebody who is no member asks for the view, from this number of a name on. An answer is no longer than this.
    Query {
        first_id: u64,
    },
    Page(MembershipPage),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    UnsupportedVersion,
    OtherFleet,
    Malformed,
}

/// The head of each datagram: version, and the fleet by the number of its name.
fn head(fleet: &str) -> [u8; 9] {
    let mut head = [FORMAT_VERSION; 9];
    head[1..].copy_from_slice(&member_id(fleet).to_le_bytes());
    head
}

/// Writes a datagram; none: it does not fit in.
pub fn encode<'a>(
    fleet: &str,
    message: &Message,
    buffer: &'a mut [u8; MAX_DATAGRAM_BYTES],
) -> Option<&'a [u8]> {
    buffer[..9].copy_from_slice(&head(fleet));
    let len = postcard::to_slice(message, &mut buffer[9..]).ok()?.len();
    Some(&buffer[..9 + len])
}

pub fn decode(fleet: &str, bytes: &[u8]) -> Result<Message, DecodeError> {
    let (found, rest) = bytes.split_at_checked(9).ok_or(DecodeError::Malformed)?;
    if found[0] != FORMAT_VERSION {
        return Err(DecodeError::UnsupportedVersion);
    }
    let message = decode_message(rest)?;
    // Whoever only looks need not know the fleet's name.
    let looks = matches!(message, Message::Query { .. }) && found[1..] == ANY;
    if found != head(fleet) && !looks {
        return Err(DecodeError::OtherFleet);
    }
    Ok(message)
}

/// What a host answered, whatever its fleet.
pub fn decode_any_fleet(bytes: &[u8]) -> Result<Message, DecodeError> {
    let (found, rest) = bytes.split_at_checked(9).ok_or(DecodeError::Malformed)?;
    if found[0] == FORMAT_VERSION { decode_message(rest) } else { Err(DecodeError::UnsupportedVersion) }
}

fn decode_message(rest: &[u8]) -> Result<Message, DecodeError> {
    // What stands behind a message is padding, of zeros.
    let (message, rest) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::Malformed)?;
    if rest.iter().any(|b| *b != 0) {
        return Err(DecodeError::Malformed);
    }
    Ok(message)
}

/// In place of a fleet's number.
const ANY: [u8; 8] = [0; 8];

/// A question for the view, padded so that a whole page may come back.
pub fn encode_query(first_id: u64) -> [u8; MAX_DATAGRAM_BYTES] {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let _ = encode("", &Message::Query { first_id }, &mut buffer);
    buffer[1..9].copy_from_slice(&ANY);
    buffer
}

impl MembershipConfig {
    pub(crate) fn encode<'a>(
        &self,
        message: &Message,
        buffer: &'a mut [u8; MAX_DATAGRAM_BYTES],
    ) -> Option<&'a [u8]> {
        encode(&self.fleet, message, buffer)
    }
}
