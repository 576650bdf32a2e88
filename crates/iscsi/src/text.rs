//! Keys and values of login and text PDUs (RFC 7143, section 6.1).
use std::fmt;

/// Longest key name and longest value in bytes (sections 6.1 and 6.2: names 63, values 255 unless said).
const KEY_MOST: usize = 63;
const VALUE_MOST: usize = 255;
/// Most pairs in one negotiation: the standard has some thirty keys.
const PAIRS_MOST: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TextError(pub String);

impl fmt::Display for TextError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Splits a data segment into its pairs. Errors: no `=`, a name or value that is too long or not text, a key
/// that comes twice, too many pairs.
pub fn pairs(data: &[u8]) -> Result<Vec<(&str, &str)>, TextError> {
    let mut found: Vec<(&str, &str)> = Vec::new();
    for part in data.split(|b| *b == 0).filter(|p| !p.is_empty()) {
        let text = std::str::from_utf8(part).map_err(|_| TextError("a pair that is not UTF-8".into()))?;
        let (key, value) =
            text.split_once('=').ok_or_else(|| TextError(format!("{text:.40}: expected key=value")))?;
        let name = |b: u8| b.is_ascii_alphanumeric() || b".-+@_/".contains(&b);
        if key.is_empty() || key.len() > KEY_MOST || !key.bytes().all(name) {
            return Err(TextError(format!("{key:.40}: expected a key name of up to {KEY_MOST} letters")));
        }
        if value.len() > VALUE_MOST {
            return Err(TextError(format!("{key}: expected a value of up to {VALUE_MOST} bytes")));
        }
        if found.iter().any(|f| f.0 == key) {
            return Err(TextError(format!("{key}: expected once, came twice")));
        }
        if found.len() == PAIRS_MOST {
            return Err(TextError(format!("expected at most {PAIRS_MOST} pairs")));
        }
        found.push((key, value));
    }
    Ok(found)
}

pub fn put(out: &mut Vec<u8>, key: &str, value: &str) {
    out.extend_from_slice(key.as_bytes());
    out.push(b'=');
    out.extend_from_slice(value.as_bytes());
    out.push(0);
}
