//! Encoding and decoding of datagrams.
use super::{FORMAT_VERSION, MAX_DATAGRAM_BYTES, Message};
use crate::record::{MAX_GENERATION, member_id};

/// Size of the header, in bytes: the format version (1 byte) and the hash of the fleet's name (8 bytes).
const HEADER_BYTES: usize = 9;
/// Header field of a membership query to a host of any fleet, in place of the hash of a fleet's name.
const ANY_FLEET: [u8; 8] = [0; 8];

/// Reason why a datagram cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram has another format version than [`FORMAT_VERSION`].
    #[error("format version of the datagram is not supported")]
    UnsupportedVersion,
    /// The datagram belongs to another fleet.
    #[error("datagram belongs to another fleet")]
    OtherFleet,
    /// The datagram is truncated or corrupt.
    #[error("datagram is truncated or corrupt")]
    Malformed,
    /// A record in the datagram has a generation above [`MAX_GENERATION`].
    #[error("datagram contains a record whose generation is above the maximum")]
    GenerationTooHigh,
}

/// Datagram whose header was read, and whose message is still encoded.
struct RawDatagram<'a> {
    fleet_hash: [u8; 8],
    body: &'a [u8],
}

impl<'a> RawDatagram<'a> {
    fn read(datagram: &'a [u8]) -> Result<Self, DecodeError> {
        let ([version, fleet_hash @ ..], body) = datagram
            .split_first_chunk::<HEADER_BYTES>()
            .ok_or(DecodeError::Malformed)?;
        if *version != FORMAT_VERSION {
            return Err(DecodeError::UnsupportedVersion);
        }
        Ok(RawDatagram {
            fleet_hash: *fleet_hash,
            body,
        })
    }

    fn message(&self) -> Result<Message, DecodeError> {
        let (message, padding) =
            postcard::take_from_bytes(self.body).map_err(|_| DecodeError::Malformed)?;
        if padding.iter().any(|byte| *byte != 0) {
            return Err(DecodeError::Malformed);
        }
        if has_generation_above_maximum(&message) {
            return Err(DecodeError::GenerationTooHigh);
        }
        Ok(message)
    }
}

/// Returns whether a message contains a record whose generation is so high that its member could not outrank it.
fn has_generation_above_maximum(message: &Message) -> bool {
    let Message::Gossip(gossip) = message else {
        return false;
    };
    let updates = gossip.updates.iter().map(|update| &update.record);
    let mut records = updates.chain([&gossip.sender]);
    records.any(|record| record.generation > MAX_GENERATION)
}

fn hash_fleet_name(fleet: &str) -> [u8; 8] {
    member_id(fleet).to_le_bytes()
}

/// Encodes a message into the buffer. Returns `None` if it does not fit.
pub fn encode<'a>(
    fleet: &str,
    message: &Message,
    buffer: &'a mut [u8; MAX_DATAGRAM_BYTES],
) -> Option<&'a [u8]> {
    encode_with_hash(hash_fleet_name(fleet), message, buffer)
}

fn encode_with_hash<'a>(
    fleet_hash: [u8; 8],
    message: &Message,
    buffer: &'a mut [u8; MAX_DATAGRAM_BYTES],
) -> Option<&'a [u8]> {
    let (header, body) = buffer.split_first_chunk_mut::<HEADER_BYTES>()?;
    let [version, hash @ ..] = header;
    *version = FORMAT_VERSION;
    *hash = fleet_hash;
    let body_bytes = postcard::to_slice(message, body).ok()?.len();
    buffer.get(..HEADER_BYTES + body_bytes)
}

/// Decodes a datagram of a fleet, or a membership query from a program that does not know the fleet's name.
///
/// # Errors
/// The datagram has another format version, belongs to another fleet, or is malformed.
pub fn decode(fleet: &str, datagram: &[u8]) -> Result<Message, DecodeError> {
    let raw = RawDatagram::read(datagram)?;
    let message = raw.message()?;
    let is_any_fleet_query =
        matches!(message, Message::Query { .. }) && raw.fleet_hash == ANY_FLEET;
    if raw.fleet_hash != hash_fleet_name(fleet) && !is_any_fleet_query {
        return Err(DecodeError::OtherFleet);
    }
    Ok(message)
}

/// Decodes a datagram of any fleet.
///
/// # Errors
/// The datagram has another format version or is malformed.
pub fn decode_any_fleet(datagram: &[u8]) -> Result<Message, DecodeError> {
    RawDatagram::read(datagram)?.message()
}

/// Encodes a query for the membership table of a host of any fleet. The query is padded to the maximum size of a
/// datagram, since the answer is no longer than the query.
#[must_use]
pub fn encode_query(first_id: u64) -> [u8; MAX_DATAGRAM_BYTES] {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    // The encoding cannot fail: a query is a few bytes long.
    let _ = encode_with_hash(ANY_FLEET, &Message::Query { first_id }, &mut buffer);
    buffer
}
