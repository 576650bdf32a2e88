//! Writing and parsing of the protocol's lines.
use crate::endpoint::{Endpoint, EndpointState, ListVersion, UpdateKind};
use std::fmt::Write;
use std::num::NonZeroU64;
use thiserror::Error;

/// Maximum length of a line, in bytes. Several times the length of a line with a usual name; bounds a host's line
/// buffer.
pub const MAX_LINE_BYTES: usize = 256;
/// Maximum number of endpoints in one message. Far more than any fleet has; bounds a host's buffer for a message.
pub const MAX_ENDPOINTS: usize = 4096;

/// Error of a line that violates the protocol. The rest of the stream cannot be interpreted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("node list, line {line}: expected {expected}")]
pub struct ProtocolError {
    /// Number of the line on the connection or in the cache, counted from 1.
    pub line: u64,
    /// Form that the protocol requires.
    pub expected: &'static str,
}

/// Head line of a message.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct UpdateHead {
    pub version: ListVersion,
    pub kind: UpdateKind,
    /// Number of endpoint lines that follow.
    pub count: usize,
}

impl ProtocolError {
    pub(crate) fn new(line: u64, expected: &'static str) -> ProtocolError {
        ProtocolError { line, expected }
    }
}

/// Parses the head line of a message. `line`: number of the line, for errors.
pub(crate) fn parse_head(text: &str, line: u64) -> Result<UpdateHead, ProtocolError> {
    let fields: Vec<&str> = text.split(' ').collect();
    let ["list", epoch, version, kind, count] = fields[..] else {
        return Err(ProtocolError::new(
            line,
            "list EPOCH VERSION whole|changes COUNT",
        ));
    };
    let kind = match kind {
        "whole" => UpdateKind::FullSnapshot,
        "changes" => UpdateKind::Incremental,
        _ => return Err(ProtocolError::new(line, "whole or changes")),
    };
    let count: u64 = count
        .parse()
        .map_err(|_| ProtocolError::new(line, "a count"))?;
    if count > MAX_ENDPOINTS as u64 {
        return Err(ProtocolError::new(line, "at most 4096 nodes"));
    }
    let epoch = epoch
        .parse()
        .map_err(|_| ProtocolError::new(line, "an epoch"))?;
    let version = version
        .parse()
        .map_err(|_| ProtocolError::new(line, "a version"))?;
    Ok(UpdateHead {
        version: ListVersion { epoch, version },
        kind,
        count: count as usize,
    })
}

/// Parses the line of one endpoint. `line`: number of the line, for errors.
pub(crate) fn parse_endpoint(text: &str, line: u64) -> Result<Endpoint, ProtocolError> {
    let fields: Vec<&str> = text.split(' ').collect();
    let ["node", name, state, generation, uptime] = fields[..] else {
        // The error texts use the names that generation and uptime had in the first version of the protocol: BORN (a
        // start) and AGE.
        return Err(ProtocolError::new(
            line,
            "node NAME active|leaving|left BORN AGE",
        ));
    };
    if name.is_empty() {
        return Err(ProtocolError::new(line, "a name"));
    }
    let state = EndpointState::from_wire(state)
        .ok_or_else(|| ProtocolError::new(line, "active, leaving or left"))?;
    let generation = generation
        .parse()
        .map_err(|_| ProtocolError::new(line, "a start"))?;
    let uptime_ms = uptime
        .parse()
        .map_err(|_| ProtocolError::new(line, "an age"))?;
    Ok(Endpoint {
        name: name.to_owned(),
        state,
        generation: NonZeroU64::new(generation),
        uptime_ms,
    })
}

/// Appends a message of the service to `out`.
pub fn write_update(
    out: &mut String,
    version: ListVersion,
    kind: UpdateKind,
    endpoints: &[Endpoint],
) {
    let ListVersion { epoch, version } = version;
    let kind = match kind {
        UpdateKind::FullSnapshot => "whole",
        UpdateKind::Incremental => "changes",
    };
    let count = endpoints.len();
    writeln!(out, "list {epoch} {version} {kind} {count}")
        .expect("writing to memory does not fail");
    for endpoint in endpoints {
        write_endpoint(out, endpoint);
    }
}

/// Appends the line of one endpoint to `out`.
pub(crate) fn write_endpoint(out: &mut String, endpoint: &Endpoint) {
    let Endpoint {
        name,
        state,
        generation,
        uptime_ms,
    } = endpoint;
    let state = state.as_str();
    let generation = generation.map_or(0, NonZeroU64::get);
    writeln!(out, "node {name} {state} {generation} {uptime_ms}")
        .expect("writing to memory does not fail");
}
