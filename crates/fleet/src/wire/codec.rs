//! Encoding and decoding of datagrams.
use super::{FORMAT_VERSION, MAX_DATAGRAM_BYTES, Message};
use crate::record::{MAX_GENERATION, member_id};

/// Bytes before the message: the version of the format, and the hash of the fleet's name.
const HEAD_BYTES: usize = 9;
/// Stands for any fleet in the head of a membership query, in place of the hash of a fleet's name.
const ANY_FLEET: [u8; 8] = [0; 8];

/// Why a datagram can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram has another version of the format.
    #[error("another version of the format")]
    UnsupportedVersion,
    /// The datagram belongs to another fleet.
    #[error("a datagram of another fleet")]
    OtherFleet,
    /// The datagram is truncated or corrupt.
    #[error("a truncated or corrupt datagram")]
    Malformed,
    /// A record has a generation above [`MAX_GENERATION`].
    #[error("a record of an impossible generation")]
    ImpossibleGeneration,
}

/// A datagram whose head was read.
struct RawDatagram<'a> {
    fleet_hash: [u8; 8],
    body: &'a [u8],
}

impl<'a> RawDatagram<'a> {
    fn read(datagram: &'a [u8]) -> Result<Self, DecodeError> {
        let ([version, fleet_hash @ ..], body) = datagram
            .split_first_chunk::<HEAD_BYTES>()
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
        if has_impossible_generation(&message) {
            return Err(DecodeError::ImpossibleGeneration);
        }
        Ok(message)
    }
}

/// Whether a member's message has a record that its member could not outrank.
fn has_impossible_generation(message: &Message) -> bool {
    let Message::Gossip(gossip) = message else {
        return false;
    };
    let updates = gossip.updates.iter().map(|update| &update.record);
    let mut records = updates.chain([&gossip.sender]);
    records.any(|record| record.generation > MAX_GENERATION)
}

fn hash_of(fleet: &str) -> [u8; 8] {
    member_id(fleet).to_le_bytes()
}

/// Encodes a message into the buffer. `None`: it does not fit in.
pub fn encode<'a>(
    fleet: &str,
    message: &Message,
    buffer: &'a mut [u8; MAX_DATAGRAM_BYTES],
) -> Option<&'a [u8]> {
    encode_with_hash(hash_of(fleet), message, buffer)
}

fn encode_with_hash<'a>(
    fleet_hash: [u8; 8],
    message: &Message,
    buffer: &'a mut [u8; MAX_DATAGRAM_BYTES],
) -> Option<&'a [u8]> {
    let (head, body) = buffer.split_first_chunk_mut::<HEAD_BYTES>()?;
    let [version, hash @ ..] = head;
    *version = FORMAT_VERSION;
    *hash = fleet_hash;
    let body_bytes = postcard::to_slice(message, body).ok()?.len();
    buffer.get(..HEAD_BYTES + body_bytes)
}

/// Decodes a datagram of a fleet, or a membership query of a program that does not know the fleet's name.
///
/// # Errors
/// The datagram has another version, belongs to another fleet, or is malformed.
pub fn decode(fleet: &str, datagram: &[u8]) -> Result<Message, DecodeError> {
    let raw = RawDatagram::read(datagram)?;
    let message = raw.message()?;
    let is_open_query = matches!(message, Message::Query { .. }) && raw.fleet_hash == ANY_FLEET;
    if raw.fleet_hash != hash_of(fleet) && !is_open_query {
        return Err(DecodeError::OtherFleet);
    }
    Ok(message)
}

/// Decodes a datagram of whatever fleet.
///
/// # Errors
/// The datagram has another version or is malformed.
pub fn decode_any_fleet(datagram: &[u8]) -> Result<Message, DecodeError> {
    RawDatagram::read(datagram)?.message()
}

/// Encodes a query for the membership table of a host of any fleet, padded so that the answer may be a whole page.
#[must_use]
pub fn encode_query(first_id: u64) -> [u8; MAX_DATAGRAM_BYTES] {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    // A query is a few bytes long and always fits in.
    let _ = encode_with_hash(ANY_FLEET, &Message::Query { first_id }, &mut buffer);
    buffer
}
