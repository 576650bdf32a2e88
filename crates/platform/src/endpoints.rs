//! The endpoint list of the discovery service: full snapshots and watch events, as JSON.
//!
//! `GET /v1/endpoints` returns a full snapshot. With `follow=1` the service keeps a chunked response open (a watch)
//! and sends one JSON object per event, and an empty line every two seconds while nothing changes.
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

/// Upper bound of endpoints in one event: far more than any fleet has, and within a host's memory.
const MAX_ENDPOINTS: usize = 4_096;
/// Upper bound of an endpoint's name, in bytes.
const MAX_NAME_LEN: usize = 128;
/// Upper bound of an event as text, in bytes; follows from the endpoints that it may have.
pub const MAX_LIST_BYTES: usize = 1 << 20;

/// The state of a node, as discovery reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    /// Accepts requests.
    Ready,
    /// Finishes the requests that it has, and accepts no new ones.
    Draining,
    /// No longer part of the list; only in incremental events.
    #[serde(rename = "gone")]
    Removed,
}

/// One node of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Endpoint {
    /// The node's name, the same at every host.
    #[serde(rename = "host")]
    pub name: String,
    /// Where this host reaches it; may differ from host to host.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Its zone, by name.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// The shard that it holds.
    #[serde(rename = "block")]
    pub shard: u32,
    /// Its state.
    pub health: Health,
    /// Its last start, as Unix time in milliseconds; 0: long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: i64,
}

/// One event of a watch: a full snapshot of the list, or what has changed since the event before. A host's cached list
/// has the same form.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchEvent {
    /// The version of the list that this event leads to.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether `endpoints` is the full list, or only what has changed.
    #[serde(rename = "whole")]
    pub full_snapshot: bool,
    /// The endpoints.
    #[serde(rename = "hosts")]
    pub endpoints: Vec<Endpoint>,
}

/// Why an endpoint list is rejected. A list is accepted as a whole or not at all.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// Not JSON, or not in the form of the list.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// More endpoints than a host can hold.
    #[error("{0} entries, of {MAX_ENDPOINTS} at most")]
    TooManyEndpoints(usize),
    /// An endpoint without a name, or with one that is too long.
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

/// Parses a list from JSON text.
///
/// # Errors
///
/// The text is not exactly one list, or the list exceeds a limit.
pub fn parse(text: &[u8]) -> Result<WatchEvent, EndpointListError> {
    serde_json::from_slice::<WatchEvent>(text)?.validated()
}

/// Reads a list out of JSON that is parsed already.
///
/// # Errors
///
/// The value is not a list, or the list exceeds a limit.
pub fn from_json(value: Value) -> Result<WatchEvent, EndpointListError> {
    serde_json::from_value::<WatchEvent>(value)?.validated()
}

/// What stands at the front of a watch's text. An event may be indented and then takes several lines.
#[derive(Debug)]
pub enum WatchFrame {
    /// Nothing, or the beginning of an event.
    Incomplete,
    /// An empty line: the watch is alive.
    Heartbeat {
        /// Bytes up to and including the line end.
        len: usize,
    },
    /// An event.
    Event {
        /// The event.
        event: WatchEvent,
        /// Bytes of its text.
        len: usize,
    },
    /// A JSON value that is not a valid event, or no JSON at all. The watch is of no further use.
    Corrupt {
        /// Why it is rejected.
        error: EndpointListError,
        /// The endpoints in it that are draining or removed, as far as they can be read. These count all the same: the
        /// rejected event is requested again, and meanwhile no request may go to a node that is about to end.
        closing: Vec<Endpoint>,
    },
}

/// Parses what stands at the front of a watch's text.
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

/// The endpoints of a rejected event that are draining or removed, each parsed by itself.
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

/// Writes the request that opens a watch. `since`: the version of the list that this host has; without one the
/// watch begins with a full snapshot.
///
/// # Panics
///
/// Never: writing to memory does not fail.
pub fn write_watch_request(out: &mut Vec<u8>, discovery: SocketAddr, since: Option<u64>) {
    let since = since.map_or(String::new(), |version| format!("&since={version}"));
    write!(
        out,
        "GET /v1/endpoints?follow=1{since} HTTP/1.1\r\nHost: {discovery}\r\n\r\n"
    )
    .expect(INFALLIBLE);
}
