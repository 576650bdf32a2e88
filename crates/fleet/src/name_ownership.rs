//! Resolution of name conflicts: of several processes under one name, only the one with the highest generation remains
//! a member. A process with a lower generation pings it. If it answers, the pinging process is superseded and leaves
//! the protocol. If it does not, its record is from an earlier run of this host, and this host raises its generation
//! above that of the record.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::record::MemberRecord;
use std::net::SocketAddr;

/// Unanswered pings, one in each protocol period, after which the other process counts as ended.
const NAME_CONFLICT_PINGS: u32 = 3;

/// Conflict with another process under this host's name that has a higher generation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NameConflict {
    record: MemberRecord,
    pings_sent: u32,
    next_ping: Millis,
}

/// State of this process's ownership of its name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum OwnershipState {
    /// No later process under this name is known.
    Undisputed,
    /// A later process under this name may be alive.
    Disputed(NameConflict),
    /// A later process under this name is alive at this address; this process takes no part in the protocol any more.
    Superseded(SocketAddr),
}

/// Next step to resolve a name conflict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConflictStep {
    /// Ping the other process at this address.
    Ping(SocketAddr),
    /// The other process, of this generation, did not answer and counts as ended.
    Ended(u64),
}

/// This process's ownership of its name, with the conflict with a later process if there is one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct NameOwnership {
    protocol_period: Millis,
    state: OwnershipState,
}

impl NameOwnership {
    pub fn new(protocol_period: Millis) -> Self {
        NameOwnership {
            protocol_period,
            state: OwnershipState::Undisputed,
        }
    }

    /// Returns the address of the process that superseded this one, if any.
    pub fn superseded_by(&self) -> Option<SocketAddr> {
        match self.state {
            OwnershipState::Superseded(address) => Some(address),
            OwnershipState::Undisputed | OwnershipState::Disputed(_) => None,
        }
    }

    pub fn is_superseded(&self) -> bool {
        matches!(self.state, OwnershipState::Superseded(_))
    }

    /// Starts a conflict with a later process that may be alive, whose record was received. Of several such processes,
    /// only the latest counts.
    pub fn dispute(&mut self, record: &MemberRecord, now: Millis) {
        let is_latest = match &self.state {
            OwnershipState::Undisputed => true,
            OwnershipState::Disputed(known) => known.record.generation < record.generation,
            OwnershipState::Superseded(_) => false,
        };
        if is_latest {
            self.state = OwnershipState::Disputed(NameConflict {
                record: record.clone(),
                pings_sent: 0,
                next_ping: now,
            });
        }
    }

    /// Ends the conflict: the other process has ended, so this one is the only one under its name.
    pub fn resolve(&mut self) {
        self.state = OwnershipState::Undisputed;
    }

    /// Handles an ack from a process under this host's name. Returns whether the sender is the later process of a
    /// conflict, which supersedes this process.
    pub fn on_ack(&mut self, sender: &MemberRecord) -> bool {
        let is_later = match &self.state {
            OwnershipState::Disputed(known) => known.record.generation <= sender.generation,
            OwnershipState::Undisputed | OwnershipState::Superseded(_) => false,
        };
        if is_later {
            self.state = OwnershipState::Superseded(sender.address);
        }
        is_later
    }

    /// Returns the step to take now to resolve a conflict, if one is due.
    pub fn next_step(&mut self, now: Millis) -> Option<ConflictStep> {
        let OwnershipState::Disputed(conflict) = &mut self.state else {
            return None;
        };
        if now < conflict.next_ping {
            return None;
        }
        if conflict.pings_sent >= NAME_CONFLICT_PINGS {
            return Some(ConflictStep::Ended(conflict.record.generation));
        }
        conflict.pings_sent += 1;
        conflict.next_ping = now + self.protocol_period;
        Some(ConflictStep::Ping(conflict.record.address))
    }
}
