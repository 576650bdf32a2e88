//! Datagrams. What can't be read, comes from another fleet or is of another version is dropped and counted.
use crate::settings::Settings;
use crate::word::{Name, State, Told, Word, id};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

pub const MOST: usize = 1_200;
/// First byte of each datagram: the version of this format.
pub const VERSION: u8 = 1;
/// Words in one datagram at most, far more than fit in.
const WORDS: usize = 32;
pub(crate) const PARTS: usize = 48;

pub type Words = heapless::Vec<Told, WORDS>;

/// Part of all numbers of names: those whose first `depth` bits are these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Range {
    pub depth: u8,
    pub prefix: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Part {
    pub range: Range,
    pub sum: u64,
    pub count: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "lives on the stack for one datagram; a box would allocate for each"
)]
pub enum Body {
    /// Are you there? `nr` comes back.
    Ping {
        nr: u32,
    },
    Ack {
        nr: u32,
    },
    /// Ask that one for me: I hear nothing from it.
    AskFor {
        nr: u32,
        id: u64,
        address: SocketAddr,
    },
    /// What came of it.
    Asked {
        nr: u32,
        well: bool,
    },
    /// My view in parts; send what differs.
    Parts(heapless::Vec<Part, PARTS>),
    /// All that I know in these ranges, in `news`. `back`: send what you know better.
    Range {
        ranges: heapless::Vec<Range, PARTS>,
        back: bool,
    },
    /// Nothing but news.
    Tell,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Packet {
    pub from: Word,
    pub body: Body,
    pub news: Words,
}

/// A member as a host's view shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shown {
    pub word: Word,
    pub state: State,
    /// Milliseconds since it was last heard directly; none: never.
    pub heard: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Look {
    pub own: Name,
    /// It hears from nobody; another one of its name took its place.
    pub alone: bool,
    pub displaced: bool,
    /// Stands for the whole view.
    pub sum: u64,
    pub members: heapless::Vec<Shown, 16>,
    /// Where to go on; none: that was all.
    pub next: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::large_enum_variant,
    reason = "lives on the stack for one datagram; a box would allocate for each"
)]
pub enum Message {
    Member(Packet),
    /// Somebody who is no member asks for the view, from this number of a name on. An answer is no longer than this.
    Look {
        after: u64,
    },
    Looked(Look),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    Version,
    Fleet,
    Torn,
}

/// The head of each datagram: version, and the fleet by the number of its name.
fn head(fleet: &str) -> [u8; 9] {
    let mut head = [VERSION; 9];
    head[1..].copy_from_slice(&id(fleet).to_le_bytes());
    head
}

/// Writes a datagram; none: it does not fit in.
pub fn write<'a>(fleet: &str, message: &Message, buffer: &'a mut [u8; MOST]) -> Option<&'a [u8]> {
    buffer[..9].copy_from_slice(&head(fleet));
    let len = postcard::to_slice(message, &mut buffer[9..]).ok()?.len();
    Some(&buffer[..9 + len])
}

pub fn read(fleet: &str, bytes: &[u8]) -> Result<Message, Unread> {
    let (found, rest) = bytes.split_at_checked(9).ok_or(Unread::Torn)?;
    if found[0] != VERSION {
        return Err(Unread::Version);
    }
    let message = of(rest)?;
    // Whoever only looks need not know the fleet's name.
    let looks = matches!(message, Message::Look { .. }) && found[1..] == ANY;
    if found != head(fleet) && !looks {
        return Err(Unread::Fleet);
    }
    Ok(message)
}

/// What a host answered, whatever its fleet.
pub fn read_any(bytes: &[u8]) -> Result<Message, Unread> {
    let (found, rest) = bytes.split_at_checked(9).ok_or(Unread::Torn)?;
    if found[0] == VERSION { of(rest) } else { Err(Unread::Version) }
}

fn of(rest: &[u8]) -> Result<Message, Unread> {
    // What stands behind a message is padding, of zeros.
    let (message, rest) = postcard::take_from_bytes(rest).map_err(|_| Unread::Torn)?;
    if rest.iter().any(|b| *b != 0) {
        return Err(Unread::Torn);
    }
    Ok(message)
}

/// In place of a fleet's number.
const ANY: [u8; 8] = [0; 8];

/// A question for the view, padded so that a whole page may come back.
pub fn look(after: u64) -> [u8; MOST] {
    let mut buffer = [0; MOST];
    let _ = write("", &Message::Look { after }, &mut buffer);
    buffer[1..9].copy_from_slice(&ANY);
    buffer
}

impl Settings {
    pub(crate) fn write<'a>(&self, message: &Message, buffer: &'a mut [u8; MOST]) -> Option<&'a [u8]> {
        write(&self.fleet, message, buffer)
    }
}
