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
    Gone,
}

/// A node as the list has it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Entry {
    #[serde(rename = "host")]
    pub name: String,
    pub dial: SocketAddr,
    #[serde(default)]
    pub site: String,
    #[serde(rename = "block")]
    pub shard: u32,
    pub health: Health,
    /// Unix time of its last start, in milliseconds; 0: long ago.
    #[serde(default)]
    pub born_ms: i64,
}

/// A list, or what changed in it.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct News {
    pub seq: u64,
    pub whole: bool,
    #[serde(rename = "hosts")]
    pub entries: Vec<Entry>,
}

impl News {
    fn checked(self) -> Result<Self, String> {
        if self.entries.len() > ENTRIES {
            return Err(format!("{} entries, of {ENTRIES} at most", self.entries.len()));
        }
        match self.entries.iter().find(|e| e.name.is_empty() || e.name.len() > NAME) {
            Some(_) => Err(format!("a name that is empty or longer than {NAME}")),
            None => Ok(self),
        }
    }
}

/// Reads a list from JSON text; anything amiss in it refuses it whole.
pub fn read(text: &[u8]) -> Result<News, String> {
    serde_json::from_slice::<News>(text).map_err(|e| e.to_string())?.checked()
}

/// The same, of what is parsed already.
pub fn of(value: serde_json::Value) -> Result<News, String> {
    serde_json::from_value::<News>(value).map_err(|e| e.to_string())?.checked()
}

/// Bytes of a list at most, by the entries it may have.
pub const BYTES: usize = 1 << 20;

/// The call that opens a watch from a version on.
pub fn watch(out: &mut Vec<u8>, host: SocketAddr, since: Option<u64>) {
    let since = since.map_or(String::new(), |s| format!("&since={s}"));
    write!(out, "GET /v1/endpoints?follow=1{since} HTTP/1.1\r\nHost: {host}\r\n\r\n")
        .expect("writing to memory");
}

/// The call for the whole list, once.
pub fn fetch(out: &mut Vec<u8>, host: SocketAddr) {
    write!(out, "GET /v1/endpoints HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n")
        .expect("writing to memory");
}
