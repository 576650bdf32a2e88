//! Settings of the membership protocol, and the times that follow from them.
mod validation;

use crate::Millis;
use crate::record::{Name, Zone};
use std::net::SocketAddr;

pub use validation::{ConfigProblem, FleetConfig, UncheckedFleetConfig};

/// Members known at most, this host included; further ones are dropped and counted.
pub const MAX_MEMBERS: usize = 16_384;
/// Seeds at most.
pub const MAX_SEEDS: usize = 32;
/// Protocol periods that may be set, in milliseconds.
pub const PROTOCOL_PERIOD_RANGE: std::ops::RangeInclusive<Millis> = 50..=60_000;
/// Shortest retention of unreachable members, in protocol periods: with less, a member would be removed while it is
/// still suspected.
pub const MIN_RETENTION_PERIODS: u64 = 100;

/// Protocol period where none is set.
const DEFAULT_PROTOCOL_PERIOD: Millis = 1_000;
/// Retention of unreachable members where none is set.
const DEFAULT_RETENTION: Millis = 3_600_000;
/// Lifeguard's alpha: the shortest suspicion timeout in periods, times the decimal logarithm of the number of members.
/// Chosen so that a process may be stopped for five seconds.
const MIN_SUSPICION_PERIODS: f64 = 5.0;
/// Lifeguard's beta: the timeout of an unconfirmed suspicion, as a multiple of the shortest one.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// Lifeguard's K: independent confirmations with which a suspicion has its shortest timeout.
pub(crate) const SUSPICION_CONFIRMATIONS: usize = 3;
/// Members that the suspicion timeout assumes at least.
const MIN_SUSPICION_MEMBERS: usize = 10;
/// SWIM's lambda (section 4.1): transmissions of an update, times the decimal logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 4;

/// Settings of one member of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MembershipConfig {
    /// Name of the fleet. Members of other fleets are ignored.
    pub fleet: Name,
    /// Name of this host, unique in its fleet.
    pub name: Name,
    /// Zone of this host.
    pub zone: Zone,
    /// Address at which other members reach this host.
    pub address: SocketAddr,
    /// Addresses at which this host looks for its first members.
    pub seeds: Vec<SocketAddr>,
    /// SWIM's protocol period: one member is probed in each.
    pub protocol_period: Millis,
    /// How long unreachable members are kept and pinged.
    pub unreachable_retention: Millis,
    /// Lifeguard's local health multiplier. Turned off by the simulation alone, for comparison.
    pub local_health: bool,
    /// Lifeguard's suspicion timeouts that shorten with confirmations. Turned off by the simulation alone.
    pub suspicion_confirmations: bool,
    /// The protocol rule that is left out; none outside of the exhaustive search's tests.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

/// A protocol rule that is left out, to show that the exhaustive search finds what the rule guards against.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// A suspected member does not refute the suspicion.
    NoRefutation,
    /// No tombstones are kept of members that were removed.
    NoTombstones,
    /// An older record replaces a newer one.
    AcceptStaleRecords,
}

impl MembershipConfig {
    /// Settings with default times, no zone and no seeds.
    #[must_use]
    pub fn new(fleet: Name, name: Name, address: SocketAddr) -> Self {
        MembershipConfig {
            fleet,
            name,
            zone: Zone::new(),
            address,
            seeds: Vec::new(),
            protocol_period: DEFAULT_PROTOCOL_PERIOD,
            unreachable_retention: DEFAULT_RETENTION,
            local_health: true,
            suspicion_confirmations: true,
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }

    #[cfg(feature = "mutants")]
    pub(crate) fn is_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// How long a suspicion may stay unrefuted before its member counts as unreachable, in milliseconds.
    ///
    /// Lifeguard's LHA-Suspicion: the timeout falls from its longest value to its shortest one with the logarithm of the
    /// number of members that `confirmed` the suspicion independently.
    #[must_use]
    pub fn suspicion_timeout(&self, members: usize, confirmed: usize) -> Millis {
        let scale = (members.max(MIN_SUSPICION_MEMBERS) as f64).log10();
        let shortest = MIN_SUSPICION_PERIODS * scale * self.protocol_period as f64;
        // Neither the suspect nor the member that raised the suspicion confirms it.
        let wanted = SUSPICION_CONFIRMATIONS.min(members.saturating_sub(2));
        if wanted == 0 || !self.suspicion_confirmations {
            return shortest as Millis;
        }
        let progress = ((confirmed + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        (shortest * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * progress.min(1.0)))
            as Millis
    }

    /// How often each member forwards an update (SWIM, section 4.1).
    #[must_use]
    pub fn max_transmissions(&self, members: usize) -> u32 {
        RETRANSMIT_FACTOR * ((members + 1) as f64).log10().ceil() as u32
    }
}
