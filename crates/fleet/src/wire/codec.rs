//! Encoding and decoding of datagrams.
use super::{FORMAT_VERSION, MAX_DATAGRAM_BYTES, Message};
use crate::record::member_id;

/// Bytes before the message: the version of the format, and the hash of the fleet's name.
const HEAD_BYTES: usize = 9;
/// Stands for any fleet in the head of a membership query.
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
}

fn head(fleet: &str) -> [u8; HEAD_BYTES] {
    let mut head = [FORMAT_VERSION; HEAD_BYTES];
    head[1..].copy_from_slice(&member_id(fleet).to_le_bytes());
    head
}

/// Encodes a message into the buffer. `None`: it does not fit in.
pub fn encode<'a>(
    fleet: &str,
    message: &Message,
    buffer: &'a mut [u8; MAX_DATAGRAM_BYTES],
) -> Option<&'a [u8]> {
    buffer[..HEAD_BYTES].copy_from_slice(&head(fleet));
    let len = postcard::to_slice(message, &mut buffer[HEAD_BYTES..])
        .ok()?
        .len();
    Some(&buffer[..HEAD_BYTES + len])
}

/// Decodes a datagram of a fleet, or a membership query of a program that does not know the fleet's name.
///
/// # Errors
/// The datagram has another version, belongs to another fleet, or is malformed.
pub fn decode(fleet: &str, datagram: &[u8]) -> Result<Message, DecodeError> {
    let (found, body) = datagram
        .split_at_checked(HEAD_BYTES)
        .ok_or(DecodeError::Malformed)?;
    if found[0] != FORMAT_VERSION {
        return Err(DecodeError::UnsupportedVersion);
    }
    let message = decode_message(body)?;
    let is_open_query = matches!(message, Message::Query { .. }) && found[1..] == ANY_FLEET;
    if found != head(fleet) && !is_open_query {
        return Err(DecodeError::OtherFleet);
    }
    Ok(message)
}

/// Decodes a datagram of whatever fleet.
///
/// # Errors
/// The datagram has another version or is malformed.
pub fn decode_any_fleet(datagram: &[u8]) -> Result<Message, DecodeError> {
    let (found, body) = datagram
        .split_at_checked(HEAD_BYTES)
        .ok_or(DecodeError::Malformed)?;
    if found[0] != FORMAT_VERSION {
        return Err(DecodeError::UnsupportedVersion);
    }
    decode_message(body)
}

fn decode_message(body: &[u8]) -> Result<Message, DecodeError> {
    let (message, padding) = postcard::take_from_bytes(body).map_err(|_| DecodeError::Malformed)?;
    if padding.iter().any(|byte| *byte != 0) {
        return Err(DecodeError::Malformed);
    }
    Ok(message)
}

/// Encodes a query for the membership table of a host of any fleet, padded so that the answer may be a whole page.
#[must_use]
pub fn encode_query(first_id: u64) -> [u8; MAX_DATAGRAM_BYTES] {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let _ = encode("", &Message::Query { first_id }, &mut buffer);
    buffer[1..HEAD_BYTES].copy_from_slice(&ANY_FLEET);
    buffer
}
