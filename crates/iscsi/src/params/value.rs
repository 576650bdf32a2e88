//! Parsing and formatting of the values of operational parameters (section 6.1).
use thiserror::Error;

/// Valid values of the keys that are lengths in bytes (sections 13.12 to 13.14).
const LENGTH_RANGE: std::ops::RangeInclusive<usize> = 512..=0xff_ffff;

/// Values that are valid for a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ExpectedValue {
    /// `Yes` or `No`.
    #[error("expected Yes or No")]
    Boolean,
    /// Length in bytes, in decimal or hexadecimal notation.
    #[error("expected {} to {}", LENGTH_RANGE.start(), LENGTH_RANGE.end())]
    Length,
    /// Number from 0 up to and including the one that the variant holds.
    #[error("expected 0 to {0}")]
    UpTo(u16),
    /// Supported digest: `CRC32C` or `None`.
    #[error("expected CRC32C or None")]
    Digest,
}

pub(super) fn parse_boolean(value: &str) -> Result<bool, ExpectedValue> {
    match value {
        "Yes" => Ok(true),
        "No" => Ok(false),
        _ => Err(ExpectedValue::Boolean),
    }
}

pub(super) fn parse_length(value: &str) -> Result<usize, ExpectedValue> {
    let length = match value
        .strip_prefix("0x")
        .or_else(|| value.strip_prefix("0X"))
    {
        Some(digits) => usize::from_str_radix(digits, 16),
        None => value.parse(),
    };
    length
        .ok()
        .filter(|length| LENGTH_RANGE.contains(length))
        .ok_or(ExpectedValue::Length)
}

pub(super) fn parse_number(value: &str, max: u16) -> Result<u16, ExpectedValue> {
    value
        .parse()
        .ok()
        .filter(|number| *number <= max)
        .ok_or(ExpectedValue::UpTo(max))
}

/// Parses the digest that a target has selected; returns whether it is CRC32C.
pub(super) fn parse_digest(value: &str) -> Result<bool, ExpectedValue> {
    match value {
        "CRC32C" => Ok(true),
        "None" => Ok(false),
        _ => Err(ExpectedValue::Digest),
    }
}

/// Selects from an initiator's list of digests, which is in its order of preference. Returns whether CRC32C is
/// selected: it is if the list has it and the target proposes it, the initiator prefers it, or the list does not
/// have `None`.
pub(super) fn select_digest(proposed: bool, list: &str) -> Result<bool, ExpectedValue> {
    let has_crc = list.split(',').any(|name| name == "CRC32C");
    let has_none = list.split(',').any(|name| name == "None");
    let prefers_crc = list.split(',').next() == Some("CRC32C");
    let selected = has_crc && (proposed || prefers_crc || !has_none);
    if selected || has_none {
        Ok(selected)
    } else {
        Err(ExpectedValue::Digest)
    }
}

pub(super) fn boolean_text(value: bool) -> String {
    if value { "Yes" } else { "No" }.to_owned()
}

pub(super) fn digest_text(enabled: bool) -> String {
    if enabled { "CRC32C" } else { "None" }.to_owned()
}
