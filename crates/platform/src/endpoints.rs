//! The node list: whole lists, and the lines of a watch.
use serde::Deserialize;
use std::io::Write;
use std::net::SocketAddr;

/// Entries in one list, at most: far past any fleet, and within a host's memory.
const ENTRIES: usize = 4_096;
/// Characters of a node's name, at most.
const NAME: usize = 128;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Health {
    Ready,
    Draining,
    #[serde(rename = "gone")]
    Removed,
}

/// A node as the list has it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Endpoint {
    #[serde(rename = "host")]
    pub name: String,
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    #[serde(rename = "site", default)]
    pub zone: String,
    #[serde(rename = "block")]
    pub shard: u32,
    pub health: Health,
    /// Unix time of its last start, in milliseconds; 0: long ago.
    #[serde(rename = "born_ms", default)]
    pub started_at_ms: i64,
}

/// A list, or what changed in it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchEvent {
    #[serde(rename = "seq")]
    pub version: u64,
    #[serde(rename = "whole")]
    pub full_snapshot: bool,
    #[serde(rename = "hosts")]
    pub endpoints: Vec<Endpoint>,
}

impl WatchEvent {
    fn checked(self) -> Result<Self, String> {
        if self.endpoints.len() > ENTRIES {
            return Err(format!("{} entries, of {ENTRIES} at most", self.endpoints.len()));
        }
        match self.endpoints.iter().find(|e| e.name.is_empty() || e.name.len() > NAME) {
            Some(_) => Err(format!("a name that is empty or longer than {NAME}")),
            None => Ok(self),
        }
    }
}

/// Reads a list from JSON text; anything amiss in it refuses it whole.
pub fn parse(text: &[u8]) -> Result<WatchEvent, String> {
    serde_json::from_slice::<WatchEvent>(text).map_err(|e| e.to_string())?.checked()
}

/// What stands at the front of a watch's text, which may be indented and then has more than one line to an object.
pub enum WatchFrame {
    /// Nothing, or the beginning of an object.
    Incomplete,
    /// An empty line, as long as this: a sign of life.
    Heartbeat(usize),
    /// WatchEvent, as long as this.
    Event(WatchEvent, usize),
    /// What can't be read, and what it says all the same of nodes that want nothing new. That counts: what is refused
    /// with it is asked for again, and to go on sending there meanwhile is the one thing that a host must not do.
    Corrupt(String, Vec<Endpoint>),
}

/// Looks at the front of a watch's text.
pub fn parse_frame(text: &[u8]) -> WatchFrame {
    let blank = text.iter().take_while(|b| b.is_ascii_whitespace()).count();
    if let Some(end) = text[..blank].iter().rposition(|b| *b == b'\n') {
        return WatchFrame::Heartbeat(end + 1);
    }
    let mut values = serde_json::Deserializer::from_slice(text).into_iter::<serde_json::Value>();
    match values.next() {
        None => WatchFrame::Incomplete,
        Some(Err(e)) if e.is_eof() => WatchFrame::Incomplete,
        Some(Err(e)) => WatchFrame::Corrupt(e.to_string(), Vec::new()),
        Some(Ok(value)) => {
            let len = values.byte_offset();
            match WatchEvent::deserialize(&value).map_err(|e| e.to_string()).and_then(WatchEvent::checked) {
                Ok(news) => WatchFrame::Event(news, len),
                Err(why) => WatchFrame::Corrupt(why, closings(&value)),
            }
        }
    }
}

fn closings(value: &serde_json::Value) -> Vec<Endpoint> {
    let entries = value["hosts"].as_array().map_or(&[][..], Vec::as_slice).iter().take(ENTRIES);
    let read = entries.filter_map(|e| Endpoint::deserialize(e).ok());
    read.filter(|e| e.health != Health::Ready && !e.name.is_empty() && e.name.len() <= NAME).collect()
}

/// The same, of what is parsed already.
pub fn from_json(value: serde_json::Value) -> Result<WatchEvent, String> {
    serde_json::from_value::<WatchEvent>(value).map_err(|e| e.to_string())?.checked()
}

/// Bytes of a list at most, by the entries it may have.
pub const MAX_LIST_BYTES: usize = 1 << 20;

/// The call that opens a watch from a version on.
pub fn write_watch_request(out: &mut Vec<u8>, host: SocketAddr, since: Option<u64>) {
    let since = since.map_or(String::new(), |s| format!("&since={s}"));
    write!(out, "GET /v1/endpoints?follow=1{since} HTTP/1.1\r\nHost: {host}\r\n\r\n")
        .expect("writing to memory");
}
