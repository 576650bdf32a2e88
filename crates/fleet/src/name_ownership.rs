//! Several processes under one name: the one with the highest generation remains a member. A process with a lower one
//! pings it; if it answers, this process leaves the protocol (it is superseded). If it does not, its record was left by
//! an earlier run of this host, and this host raises its generation above it.
#[cfg(test)]
mod tests;

use crate::Millis;
use crate::record::MemberRecord;
use std::net::SocketAddr;

/// How often the other process is pinged, once a period, before it counts as ended.
const NAME_CONFLICT_PINGS: u32 = 3;

/// Another process under this host's name that started later, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct NameConflict {
    record: MemberRecord,
    pings_sent: u32,
    next_ping: Millis,
}

/// Whether this process has its name for itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Standing {
    /// No later process is known.
    Undisputed,
    /// A later process may be alive.
    Disputed(NameConflict),
    /// The later process at this address is alive; this one takes no more part.
    Superseded(SocketAddr),
}

/// What a name conflict asks for next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConflictStep {
    /// The other process is pinged at its address.
    Ping(SocketAddr),
    /// The other process did not answer: it counts as ended. Holds its generation.
    Ended(u64),
}

/// Whether this process has its name for itself, and the conflict with a later process if there is one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct NameOwnership {
    protocol_period: Millis,
    standing: Standing,
}

impl NameOwnership {
    pub fn new(protocol_period: Millis) -> Self {
        NameOwnership {
            protocol_period,
            standing: Standing::Undisputed,
        }
    }

    /// Address of the process that superseded this one.
    pub fn superseded_by(&self) -> Option<SocketAddr> {
        match self.standing {
            Standing::Superseded(address) => Some(address),
            Standing::Undisputed | Standing::Disputed(_) => None,
        }
    }

    pub fn is_superseded(&self) -> bool {
        matches!(self.standing, Standing::Superseded(_))
    }

    /// A record of a later process was received that may be alive. Of several, the latest counts.
    pub fn dispute(&mut self, record: &MemberRecord, now: Millis) {
        let is_news = match &self.standing {
            Standing::Undisputed => true,
            Standing::Disputed(known) => known.record.generation < record.generation,
            Standing::Superseded(_) => false,
        };
        if is_news {
            self.standing = Standing::Disputed(NameConflict {
                record: record.clone(),
                pings_sent: 0,
                next_ping: now,
            });
        }
    }

    /// The other process has ended: this one is the only one under its name.
    pub fn settle(&mut self) {
        self.standing = Standing::Undisputed;
    }

    /// A process under this host's name sent an ack. Returns whether it is the later one of a conflict, which supersedes
    /// this process.
    pub fn on_ack(&mut self, sender: &MemberRecord) -> bool {
        let is_later = match &self.standing {
            Standing::Disputed(known) => known.record.generation <= sender.generation,
            Standing::Undisputed | Standing::Superseded(_) => false,
        };
        if is_later {
            self.standing = Standing::Superseded(sender.address);
        }
        is_later
    }

    /// What a conflict asks for now, if anything.
    pub fn next_step(&mut self, now: Millis) -> Option<ConflictStep> {
        let Standing::Disputed(conflict) = &mut self.standing else {
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
