//! One member of the table: its newest record, and the verdict of the failure detectors.
use crate::Millis;
use crate::config::SUSPICION_CONFIRMATIONS;
use crate::record::{GossipUpdate, Lifecycle, MemberRecord, MemberState};
use std::cmp::Ordering;

/// Members that raised or confirmed a suspicion: the lower halves of their ids, the first one first.
pub(crate) type Accusers = heapless::Vec<u32, { SUSPICION_CONFIRMATIONS + 1 }>;

/// Verdict of the failure detectors on a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Reachability {
    Reachable,
    Suspect {
        since: Millis,
        accusers: Accusers,
        /// Raised by this host alone while it was isolated; not gossiped.
        local: bool,
    },
    /// Pinged at `next_ping`, then in intervals that double.
    Unreachable {
        accuser: u32,
        next_ping: Millis,
        ping_interval: Millis,
        /// Concluded from a local suspicion; not gossiped.
        local: bool,
    },
}

impl Reachability {
    /// Suspected by a member from `now` on, or reachable where no member suspects it.
    pub fn from_suspicion(accuser: Option<u32>, now: Millis) -> Self {
        match accuser {
            None => Reachability::Reachable,
            Some(accuser) => Reachability::suspected_by(accuser, false, now),
        }
    }

    pub fn suspected_by(accuser: u32, local: bool, now: Millis) -> Self {
        Reachability::Suspect {
            since: now,
            accusers: Accusers::from_iter([accuser]),
            local,
        }
    }
}

/// What an update did to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    Applied,
    Unchanged,
    /// A newer record is known.
    Stale,
    /// The table has no room for another member.
    TableFull,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Member {
    pub record: MemberRecord,
    pub reachability: Reachability,
    /// When this host last received a message from the member itself.
    pub last_contact: Option<Millis>,
    /// When the member's state last changed.
    pub state_since: Millis,
}

impl Member {
    pub fn new(record: MemberRecord, reachability: Reachability, now: Millis) -> Self {
        Member {
            record,
            reachability,
            last_contact: None,
            state_since: now,
        }
    }

    pub fn state(&self) -> MemberState {
        match (self.record.lifecycle, &self.reachability) {
            (Lifecycle::Left, _) => MemberState::Left,
            (_, Reachability::Suspect { .. }) => MemberState::Suspect,
            (_, Reachability::Unreachable { .. }) => MemberState::Unreachable,
            (Lifecycle::Joining, _) => MemberState::Joining,
            (Lifecycle::Alive, _) => MemberState::Alive,
            (Lifecycle::Leaving, _) => MemberState::Leaving,
        }
    }

    /// Whether it is up as far as this host knows, and may be sent requests.
    pub fn is_reachable(&self) -> bool {
        self.reachability == Reachability::Reachable && self.record.lifecycle != Lifecycle::Left
    }

    /// Whether this host alone suspects it, and does not gossip that.
    pub fn is_locally_suspected(&self) -> bool {
        matches!(
            self.reachability,
            Reachability::Suspect { local: true, .. }
                | Reachability::Unreachable { local: true, .. }
        )
    }

    /// The accuser that gossip about this member names.
    pub fn gossiped_accuser(&self) -> Option<u32> {
        match &self.reachability {
            Reachability::Suspect {
                accusers,
                local: false,
                ..
            } => accusers.last().copied(),
            Reachability::Unreachable {
                accuser,
                local: false,
                ..
            } => Some(*accuser),
            _ => None,
        }
    }

    /// What is gossiped about the member.
    pub fn to_update(&self) -> GossipUpdate {
        GossipUpdate {
            record: self.record.clone(),
            suspected_by: self.gossiped_accuser(),
        }
    }

    /// Merges an update about this member: newer records replace older ones and clear their suspicions; a suspicion of
    /// the very record that is known is raised or confirmed (SWIM, section 4.2).
    pub fn merge(&mut self, update: &GossipUpdate, now: Millis) -> MergeOutcome {
        match update.record.precedence().cmp(&self.record.precedence()) {
            Ordering::Less => MergeOutcome::Stale,
            Ordering::Greater => {
                self.record = update.record.clone();
                self.reachability = Reachability::from_suspicion(update.suspected_by, now);
                MergeOutcome::Applied
            }
            Ordering::Equal => match update.suspected_by {
                Some(accuser) if self.record.lifecycle != Lifecycle::Left => {
                    self.merge_suspicion(accuser, now)
                }
                _ => MergeOutcome::Unchanged,
            },
        }
    }

    fn merge_suspicion(&mut self, accuser: u32, now: Millis) -> MergeOutcome {
        match &mut self.reachability {
            Reachability::Reachable => {
                self.reachability = Reachability::suspected_by(accuser, false, now);
            }
            Reachability::Suspect {
                accusers, local, ..
            } => {
                let is_new = !accusers.contains(&accuser) && accusers.push(accuser).is_ok();
                if !is_new && !*local {
                    return MergeOutcome::Unchanged;
                }
                *local = false;
            }
            Reachability::Unreachable { .. } => return MergeOutcome::Unchanged,
        }
        MergeOutcome::Applied
    }
}
