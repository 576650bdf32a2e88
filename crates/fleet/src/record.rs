//! Member records: what a member publishes about itself. Only the member itself issues a new record; other members
//! forward it, and may attach a suspicion.
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3Default;

/// Longest name of a host or fleet, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// Longest name of a zone, in bytes.
pub const MAX_ZONE_BYTES: usize = 24;

/// Highest generation that a record may have. Clocks give far lower ones, so that a host can always outrank another
/// process under its name.
pub const MAX_GENERATION: u64 = u64::MAX / 2;

/// Name of a host or of a fleet.
pub type Name = heapless::String<MAX_NAME_BYTES>;
/// Name of a zone: a part of the fleet that may fail or be partitioned at once (a failure domain). Empty: none.
pub type Zone = heapless::String<MAX_ZONE_BYTES>;

/// Lifecycle state that a member declares for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Started, and has not yet replicated the membership table of another member.
    Joining,
    /// Up.
    Alive,
    /// Shuts down gracefully and still serves.
    Leaving,
    /// Has ended. No record of the same generation is newer.
    Left,
}

/// State of a member as another host sees it: its declared lifecycle state and the failure detector's verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Started, and has not yet replicated the membership table of another member.
    Joining,
    /// Up.
    Alive,
    /// Did not answer this host or another member; it may still refute that.
    Suspect,
    /// Did not refute a suspicion in time.
    Unreachable,
    /// Shuts down gracefully and still serves.
    Leaving,
    /// Has ended.
    Left,
}

impl MemberState {
    /// The state's name for operators, log lines and JSON.
    #[must_use]
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

/// Versions of shared state that a member acts on; 0: none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveVersions {
    /// Version of the endpoint list.
    pub endpoint_list: u64,
    /// Version of the plans.
    pub plans: u64,
}

/// What a member publishes about itself.
///
/// The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the host: its identity in the fleet.
    pub name: Name,
    /// Number of this run of the host's process: derived from the clock at its start, and raised past any other
    /// generation under the same name that it learns of.
    pub generation: u64,
    /// Number of this record within the generation (SWIM, section 4.2). Raised by the member with each new record.
    pub incarnation: u32,
    /// The member's declared lifecycle state.
    pub lifecycle: Lifecycle,
    /// Address at which other members reach it.
    pub address: SocketAddr,
    /// Zone that it runs in.
    pub zone: Zone,
    /// Versions that it acts on.
    pub versions: ActiveVersions,
    /// Start of the process: Unix time in milliseconds.
    pub started_ms: u64,
}

/// A member record as members pass it on to each other.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// The record.
    pub record: MemberRecord,
    /// The member that suspects this very record's member to have failed: the lower half of its [`member_id`].
    pub suspected_by: Option<u32>,
}

impl GossipUpdate {
    /// A record that is passed on without a suspicion.
    pub(crate) fn unsuspected(record: &MemberRecord) -> Self {
        GossipUpdate {
            record: record.clone(),
            suspected_by: None,
        }
    }
}

/// Order of the records of one member: by generation first; within one, `Left` is final; then by incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Precedence {
    /// See [`MemberRecord::generation`].
    pub generation: u64,
    /// Whether the member has left.
    pub left: bool,
    /// See [`MemberRecord::incarnation`].
    pub incarnation: u32,
}

/// Hash of a member's name (XXH3, 64 bits): the key of the member at every host.
#[must_use]
pub fn member_id(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

impl MemberRecord {
    /// The record's place in the order of all records of its member: the greater one replaces the others.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence {
            generation: self.generation,
            left: self.lifecycle == Lifecycle::Left,
            incarnation: self.incarnation,
        }
    }

    /// Hash of the record and of whether it is suspected, for the range digests of anti-entropy.
    #[must_use]
    pub fn digest(&self, suspected: bool) -> u64 {
        let mut hash = Xxh3Default::new();
        (
            member_id(&self.name),
            self.generation,
            self.incarnation,
            self.lifecycle as u8,
            suspected,
        )
            .hash(&mut hash);
        hash.finish()
    }
}
