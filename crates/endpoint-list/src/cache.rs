//! Cache text of the known endpoints, which a host stores for its next start.
use crate::endpoint::Endpoint;
use crate::wire::{ProtocolError, parse_endpoint, write_endpoint};

/// Last line of a cache. Shows that the text is complete, since a truncated number would be read as another number.
const END: &str = "end";

/// Returns the cache text of endpoints.
pub(crate) fn write<'a>(endpoints: impl ExactSizeIterator<Item = &'a Endpoint>) -> String {
    let mut out = format!("kept {}\n", endpoints.len());
    for endpoint in endpoints {
        write_endpoint(&mut out, endpoint);
    }
    out.push_str(END);
    out.push('\n');
    out
}

/// Reads the endpoints from a cache text.
///
/// # Errors
///
/// Returns an error if the text is truncated or otherwise not a text that [`write()`] returns.
pub(crate) fn read(text: &str) -> Result<Vec<Endpoint>, ProtocolError> {
    let mut lines = text.lines();
    let head = lines.next().and_then(|line| line.strip_prefix("kept "));
    let count: usize = head
        .and_then(|count| count.parse().ok())
        .ok_or(ProtocolError::new(1, "kept COUNT"))?;
    let mut lines: Vec<&str> = lines.collect();
    if lines.pop() != Some(END) || lines.len() != count || !text.ends_with('\n') {
        return Err(ProtocolError::new(
            lines.len() as u64 + 1,
            "as many nodes as the head says, then end",
        ));
    }
    let numbered = (2..).zip(lines);
    numbered
        .map(|(number, line)| parse_endpoint(line.trim_end_matches('\r'), number))
        .collect()
}
