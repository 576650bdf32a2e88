//! Parsing and formatting of the `key=value` pairs in login and text PDUs (section 6.1).
use thiserror::Error;

/// Maximum length of a key name, in bytes (section 6.1).
const MAX_KEY_LEN: usize = 63;
/// Maximum length of a value, in bytes, unless the definition of its key says otherwise (section 6.1).
const MAX_VALUE_LEN: usize = 255;
/// Maximum number of pairs in one text; the standard defines some thirty keys.
const MAX_PAIRS: usize = 64;

/// Error in a data segment that should be a list of `key=value` pairs.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TextError {
    /// A pair is not valid UTF-8.
    #[error("key=value pair is not UTF-8")]
    NotUtf8,
    /// A pair has no `=`. Holds the pair.
    #[error("invalid text pair \"{0:.40}\": expected key=value")]
    MissingEqualsSign(String),
    /// A key name is empty, too long or contains a character that is not allowed. Holds the name.
    #[error("invalid key name \"{0:.40}\": expected 1 to {max} letters, digits or characters of .-+@_/", max = MAX_KEY_LEN)]
    InvalidKey(String),
    /// A value is too long. Holds the key of the value.
    #[error("value of key {0} is too long: expected up to {max} bytes", max = MAX_VALUE_LEN)]
    ValueTooLong(String),
    /// A key occurs twice. Holds the key.
    #[error("duplicate key {0}")]
    DuplicateKey(String),
    /// The data segment has more pairs than any negotiation needs.
    #[error("too many key=value pairs: expected at most {max}", max = MAX_PAIRS)]
    TooManyPairs,
}

/// Splits a data segment into pairs of key and value.
pub(crate) fn parse_pairs(data: &[u8]) -> Result<Vec<(&str, &str)>, TextError> {
    let mut pairs: Vec<(&str, &str)> = Vec::new();
    for bytes in data
        .split(|byte| *byte == 0)
        .filter(|bytes| !bytes.is_empty())
    {
        let (key, value) = parse_pair(bytes)?;
        if pairs.iter().any(|pair| pair.0 == key) {
            return Err(TextError::DuplicateKey(key.to_owned()));
        }
        if pairs.len() == MAX_PAIRS {
            return Err(TextError::TooManyPairs);
        }
        pairs.push((key, value));
    }
    Ok(pairs)
}

fn parse_pair(bytes: &[u8]) -> Result<(&str, &str), TextError> {
    let text = std::str::from_utf8(bytes).map_err(|_| TextError::NotUtf8)?;
    let (key, value) = text
        .split_once('=')
        .ok_or_else(|| TextError::MissingEqualsSign(text.to_owned()))?;
    if key.is_empty() || key.len() > MAX_KEY_LEN || !key.bytes().all(is_key_byte) {
        return Err(TextError::InvalidKey(key.to_owned()));
    }
    if value.len() > MAX_VALUE_LEN {
        return Err(TextError::ValueTooLong(key.to_owned()));
    }
    Ok((key, value))
}

fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b".-+@_/".contains(&byte)
}

/// Appends a `key=value` pair and its terminating NUL.
pub(crate) fn push_pair(out: &mut Vec<u8>, key: &str, value: &str) {
    out.extend_from_slice(key.as_bytes());
    out.push(b'=');
    out.extend_from_slice(value.as_bytes());
    out.push(0);
}
