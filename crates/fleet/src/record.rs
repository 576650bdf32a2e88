//! Member records: what a member publishes about itself. Only the member itself issues new records; other members
//! forward them, and may attach a suspicion.
use serde::{Deserialize, Serialize};
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use xxhash_rust::xxh3::Xxh3Default;

/// Maximum length of the name of a host or fleet, in bytes.
pub const MAX_NAME_BYTES: usize = 48;
/// Maximum length of the name of a zone, in bytes.
pub const MAX_ZONE_BYTES: usize = 24;

/// Highest generation that a record may have. Generations derived from a clock are far lower, so a host can always
/// issue a record that outranks those of another process under its name.
pub const MAX_GENERATION: u64 = u64::MAX / 2;

/// Name of a host or of a fleet.
pub type Name = heapless::String<MAX_NAME_BYTES>;
/// Name of a zone (a failure domain): a part of the fleet that may fail or be partitioned as a whole. Empty if the host
/// is in no zone.
pub type Zone = heapless::String<MAX_ZONE_BYTES>;

/// Lifecycle state that a member declares for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Lifecycle {
    /// The member has started, and has not yet replicated another member's membership table.
    Joining,
    /// The member is up.
    Alive,
    /// The member is shutting down gracefully and still serves requests.
    Leaving,
    /// The member's process has ended. No record of the same generation is newer.
    Left,
}

/// State of a member as another host sees it: its declared lifecycle state, combined with the result of failure
/// detection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member has started, and has not yet replicated another member's membership table.
    Joining,
    /// The member is up.
    Alive,
    /// The member did not answer this host or another member; it may still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Unreachable,
    /// The member is shutting down gracefully and still serves requests.
    Leaving,
    /// The member's process has ended.
    Left,
}

impl MemberState {
    /// Returns the state's name in operators' tables, log lines and JSON.
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

/// Versions of shared state that a member acts on; a version is 0 if the member has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ActiveVersions {
    /// Version of the endpoint list that the member acts on.
    pub endpoint_list: u64,
    /// Version of the plans that the member acts on.
    pub plans: u64,
}

/// Record that a member publishes about itself.
///
/// The order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the host, which identifies it in the fleet.
    pub name: Name,
    /// Number of this run of the host's process: derived from the clock at the start, and raised above every other
    /// generation under the same name that the process learns of.
    pub generation: u64,
    /// Number of this record within the generation (SWIM, section 4.2). The member raises it with each new record.
    pub incarnation: u32,
    /// Lifecycle state that the member declares.
    pub lifecycle: Lifecycle,
    /// Address at which other members reach this member.
    pub address: SocketAddr,
    /// Zone in which the member runs.
    pub zone: Zone,
    /// Versions of shared state that the member acts on.
    pub versions: ActiveVersions,
    /// Start of the member's process, as Unix time in milliseconds.
    pub started_ms: u64,
}

/// Member record as members forward it to each other, with a suspicion if there is one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GossipUpdate {
    /// Record that is forwarded.
    pub record: MemberRecord,
    /// Member that suspects the record's member of having failed since it issued this record: the lower half of the
    /// suspecting member's [`member_id`]. `None` if no suspicion is gossiped.
    pub suspected_by: Option<u32>,
}

impl GossipUpdate {
    /// Returns an update that forwards a record without a suspicion.
    pub(crate) fn unsuspected(record: &MemberRecord) -> Self {
        GossipUpdate {
            record: record.clone(),
            suspected_by: None,
        }
    }
}

/// Sort key of the records of one member: by generation; within a generation, `Left` is above all other lifecycle
/// states; then by incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Precedence {
    /// Generation of the record; see [`MemberRecord::generation`].
    pub generation: u64,
    /// Whether the record declares that the member has left.
    pub left: bool,
    /// Incarnation of the record; see [`MemberRecord::incarnation`].
    pub incarnation: u32,
}

/// Returns the id of a member: the 64-bit XXH3 hash of its name, which is the member's key at every host.
#[must_use]
pub fn member_id(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

impl MemberRecord {
    /// Returns the record's precedence among all records of its member. The record with the greatest precedence
    /// replaces the others.
    #[must_use]
    pub fn precedence(&self) -> Precedence {
        Precedence {
            generation: self.generation,
            left: self.lifecycle == Lifecycle::Left,
            incarnation: self.incarnation,
        }
    }

    /// Returns a hash of the record and of whether its member is suspected, for the range digests of anti-entropy.
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
