//! Endpoint list of the discovery service: full snapshots and watch events in JSON.
//!
//! `GET /v1/endpoints` returns a full snapshot. With `follow=1` the service keeps a chunked response open (a watch)
//! and sends one JSON object per event, and an empty line as a heartbeat every two seconds while nothing changes.
//!
//! ```
//! use mallowseam_platform::endpoints::{Health, WatchFrame, parse_frame};
//!
//! let text = br#"{"seq":43,"whole":false,"hosts":[
//!     {"host":"s-1","dial":"10.1.0.18:8443","site":"a","block":3,"health":"draining"}]}"#;
//! let WatchFrame::Event { event, len } = parse_frame(text) else { panic!("an event") };
//! assert_eq!((event.version, event.full_snapshot, len), (43, false, text.len()));
//! assert_eq!(event.endpoints[0].health, Health::Draining);
//! ```
use crate::INFALLIBLE;
use serde::Deserialize;
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of endpoints in one event. Far more than any fleet has, and within a host's memory.
const MAX_ENDPOINTS: usize = 4_096;
/// Maximum length of an endpoint's name, in bytes.
const MAX_NAME_LEN: usize = 128;
/// Maximum length of an event's text, in bytes. Room for the maximum number of endpoints.
pub const MAX_LIST_BYTES: usize = 1 << 20;

/// State of a node as the discovery service reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// The node accepts requests.
    Ready,
    /// The node finishes its requests in flight and accepts no new ones.
    Draining,
    /// The node was removed from the list. Only in incremental events.
    #[serde(rename = "gone")]
    Removed,
}

/// One node of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Endpoint {
    /// Name of the node, the same at every host.
    #[serde(rename = "host")]
    pub name: String,
    /// Address at which this host reaches the node. May differ between hosts.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Name of the node's zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Shard that the node stores.
    #[serde(rename = "block")]
    pub shard: u32,
    /// State of the node.
    pub health: Health,
    /// Last start of the node, as Unix time in milliseconds. 0: the node started long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: i64,
}

/// One event of a watch: a full snapshot of the list, or the changes since the previous event. A host's cached list
/// has the same form.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchEvent {
    /// Version of the list after this event.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether `endpoints` is the full list. False: it contains only changed endpoints.
    #[serde(rename = "whole")]
    pub full_snapshot: bool,
    /// Endpoints of the full list, or changed endpoints.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<Endpoint>,
}

/// Reason for rejecting an endpoint list. A list is accepted as a whole or not at all.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The text is not JSON, or the JSON value is not an endpoint list.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The list has more endpoints than a host accepts.
    #[error("endpoint list has {0} entries, expected at most {MAX_ENDPOINTS}")]
    TooManyEndpoints(usize),
    /// An endpoint's name is empty or too long.
    #[error("a name that is empty or longer than {MAX_NAME_LEN}")]
    InvalidName,
}

impl Endpoint {
    fn has_valid_name(&self) -> bool {
        !self.name.is_empty() && self.name.len() <= MAX_NAME_LEN
    }
}

impl WatchEvent {
    fn validated(self) -> Result<Self, EndpointListError> {
        if self.endpoints.len() > MAX_ENDPOINTS {
            return Err(EndpointListError::TooManyEndpoints(self.endpoints.len()));
        }
        if !self.endpoints.iter().all(Endpoint::has_valid_name) {
            return Err(EndpointListError::InvalidName);
        }
        Ok(self)
    }
}

/// Parses an endpoint list from JSON text.
///
/// # Errors
///
/// Returns an error if the text is not exactly one list, or if the list exceeds a limit.
pub fn parse(text: &[u8]) -> Result<WatchEvent, EndpointListError> {
    serde_json::from_slice::<WatchEvent>(text)?.validated()
}

/// Reads an endpoint list from a parsed JSON value.
///
/// # Errors
///
/// Returns an error if the value is not a list, or if the list exceeds a limit.
pub fn from_json(value: Value) -> Result<WatchEvent, EndpointListError> {
    serde_json::from_value::<WatchEvent>(value)?.validated()
}

/// First element of a watch's text. An event may be indented and may then span several lines.
#[derive(Debug)]
pub enum WatchFrame {
    /// The text is empty, or it ends within an event.
    Incomplete,
    /// An empty line, which shows that the watch is alive.
    Heartbeat {
        /// Number of bytes up to and including the last line end.
        len: usize,
    },
    /// A complete event.
    Event {
        /// Parsed event.
        event: WatchEvent,
        /// Length of the event's text in bytes.
        len: usize,
    },
    /// Text that is not JSON, or a JSON value that is not a valid event. The watch must be closed.
    Corrupt {
        /// Reason for rejecting the text.
        error: EndpointListError,
        /// Endpoints of the rejected event that are draining or removed, as far as they can be read. They are applied
        /// nevertheless: until the event has been requested again, no request may be sent to a node that is about to
        /// stop.
        closing: Vec<Endpoint>,
    },
}

/// Parses the first element of a watch's text.
#[must_use]
pub fn parse_frame(text: &[u8]) -> WatchFrame {
    let blanks = text.iter().take_while(|b| b.is_ascii_whitespace()).count();
    if let Some(newline) = text[..blanks].iter().rposition(|b| *b == b'\n') {
        return WatchFrame::Heartbeat { len: newline + 1 };
    }
    let mut values = serde_json::Deserializer::from_slice(text).into_iter::<Value>();
    match values.next() {
        None => WatchFrame::Incomplete,
        Some(Err(error)) if error.is_eof() => WatchFrame::Incomplete,
        Some(Err(error)) => WatchFrame::Corrupt {
            error: error.into(),
            closing: Vec::new(),
        },
        Some(Ok(value)) => parse_event(&value, values.byte_offset()),
    }
}

fn parse_event(value: &Value, len: usize) -> WatchFrame {
    let event = WatchEvent::deserialize(value).map_err(EndpointListError::from);
    match event.and_then(WatchEvent::validated) {
        Ok(event) => WatchFrame::Event { event, len },
        Err(error) => WatchFrame::Corrupt {
            error,
            closing: closing_endpoints(value),
        },
    }
}

/// Returns the endpoints of a rejected event that are draining or removed; each is parsed separately.
fn closing_endpoints(event: &Value) -> Vec<Endpoint> {
    let endpoints = event["hosts"]
        .as_array()
        .map_or(&[][..], Vec::as_slice)
        .iter()
        .take(MAX_ENDPOINTS);
    let parsed = endpoints.filter_map(|e| Endpoint::deserialize(e).ok());
    parsed
        .filter(|e| e.health != Health::Ready && e.has_valid_name())
        .collect()
}

/// Writes the request that opens a watch. `since`: version of the list that this host has; without it the watch begins
/// with a full snapshot.
///
/// # Panics
///
/// Never panics, since writing to memory does not fail.
pub fn write_watch_request(out: &mut Vec<u8>, discovery: SocketAddr, since: Option<u64>) {
    let since = since.map_or(String::new(), |version| format!("&since={version}"));
    write!(
        out,
        "GET /v1/endpoints?follow=1{since} HTTP/1.1\r\nHost: {discovery}\r\n\r\n"
    )
    .expect(INFALLIBLE);
}
