//! The known endpoints as text, which a host caches for its next start.
use crate::endpoint::Endpoint;
use crate::wire::{ProtocolError, parse_endpoint, write_endpoint};

/// The last line. A truncated number would be read as another number: this line shows that nothing is missing.
const END: &str = "end";

/// Writes endpoints as the text of a cache.
pub(crate) fn write<'a>(endpoints: impl ExactSizeIterator<Item = &'a Endpoint>) -> String {
    let mut out = format!("kept {}\n", endpoints.len());
    for endpoint in endpoints {
        write_endpoint(&mut out, endpoint);
    }
    out.push_str(END);
    out.push('\n');
    out
}

/// Reads the text of a cache.
///
/// # Errors
///
/// The text is truncated or otherwise not as it was written.
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
