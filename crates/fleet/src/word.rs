//! What a member says of itself. Only the member itself says a new word; others pass it on, and may doubt it.
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3Default;

/// Bytes of a name, of a host and of a zone.
pub type Name = heapless::String<48>;
pub type Zone = heapless::String<24>;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Life {
    /// Started, and has not yet the view of the others.
    Joining,
    Alive,
    /// Told to end.
    Leaving,
    /// Over; nothing of this generation comes after it.
    Left,
}

/// How a member stands in a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    Joining,
    Alive,
    Suspect,
    Unreachable,
    Leaving,
    Left,
}

impl State {
    /// As operators read it.
    pub fn name(self) -> &'static str {
        match self {
            State::Joining => "joining",
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Unreachable => "unreachable",
            State::Leaving => "leaving",
            State::Left => "left",
        }
    }
}

/// Versions that a member acts on; 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Facts {
    pub list: u64,
    pub plans: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Word {
    pub name: Name,
    /// Raised at each start.
    pub generation: u64,
    /// Raised by the member with each new word of the generation.
    pub incarnation: u32,
    pub life: Life,
    pub address: SocketAddr,
    pub zone: Zone,
    pub facts: Facts,
    /// Unix time in milliseconds.
    pub started: u64,
}

/// A word as it is passed on. `doubt`: who suspects, by this very word, that the member is no more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Told {
    pub word: Word,
    pub doubt: Option<u32>,
}

/// A number that stands for a name, the same at every host.
pub fn id(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

impl Word {
    /// Later words rank higher: generations first; in one, that it is over; then incarnations.
    pub fn rank(&self) -> (u64, bool, u32) {
        (self.generation, self.life == Life::Left, self.incarnation)
    }

    /// Stands for the word among others that are compared.
    pub fn sum(&self, doubted: bool) -> u64 {
        let mut hash = Xxh3Default::new();
        (id(&self.name), self.generation, self.incarnation, self.life as u8, doubted).hash(&mut hash);
        hash.finish()
    }
}
