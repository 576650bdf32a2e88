//! What a member says of itself. Only the member itself says a new word; others pass it on, and may doubt it.
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3Default;

/// Bytes of a name, of a host and of a zone.
pub type Name = heapless::String<48>;
pub type Zone = heapless::String<24>;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lifecycle {
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
pub enum MemberState {
    Joining,
    Alive,
    Suspect,
    Unreachable,
    Leaving,
    Left,
}

impl MemberState {
    /// As operators read it.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Joining => "joining",
            MemberState::Alive => "alive",
            MemberState::Suspect => "suspect",
            MemberState::Unreachable => "unreachable",
            MemberState::Leaving => "leaving",
            MemberState::Left => "left",
        }
    }
}

/// Versions that a member acts on; 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveVersions {
    pub endpoint_list: u64,
    pub plans: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    pub name: Name,
    /// Raised at each start.
    pub generation: u64,
    /// Raised by the member with each new word of the generation.
    pub incarnation: u32,
    pub lifecycle: Lifecycle,
    pub address: SocketAddr,
    pub zone: Zone,
    pub versions: ActiveVersions,
    /// Unix time in milliseconds.
    pub started_ms: u64,
}

/// A word as it is passed on. `doubt`: who suspects, by this very word, that the member is no more.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipUpdate {
    pub record: MemberRecord,
    pub suspected_by: Option<u32>,
}

/// A number that stands for a name, the same at every host.
pub fn member_id(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

impl MemberRecord {
    /// Later words rank higher: generations first; in one, that it is over; then incarnations.
    pub fn precedence(&self) -> (u64, bool, u32) {
        (self.generation, self.lifecycle == Lifecycle::Left, self.incarnation)
    }

    /// Stands for the word among others that are compared.
    pub fn digest(&self, suspected: bool) -> u64 {
        let mut hash = Xxh3Default::new();
        (member_id(&self.name), self.generation, self.incarnation, self.lifecycle as u8, suspected)
            .hash(&mut hash);
        hash.finish()
    }
}
