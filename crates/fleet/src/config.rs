//! Settings of the membership protocol, and the timeouts derived from them.
mod validation;

use crate::Millis;
use crate::record::{Name, Zone};
use std::net::SocketAddr;

pub use validation::{ConfigProblem, FleetConfig, UncheckedFleetConfig};

/// Maximum number of members in a host's table, the host included. Further members are dropped and counted.
pub const MAX_MEMBERS: usize = 16_384;
/// Maximum number of seeds.
pub const MAX_SEEDS: usize = 32;
/// Valid protocol periods, in milliseconds.
pub const PROTOCOL_PERIOD_RANGE: std::ops::RangeInclusive<Millis> = 50..=60_000;
/// Minimum retention time of unreachable members, in protocol periods. A shorter one would remove members that are
/// still suspected.
pub const MIN_RETENTION_PERIODS: u64 = 100;

/// Default protocol period, in milliseconds.
const DEFAULT_PROTOCOL_PERIOD: Millis = 1_000;
/// Default retention time of unreachable members, in milliseconds.
const DEFAULT_RETENTION: Millis = 3_600_000;
/// Lifeguard's alpha: the minimum suspicion timeout, in protocol periods per decimal logarithm of the number of
/// members. With the default period, a process may be paused for five seconds without becoming unreachable.
const MIN_SUSPICION_PERIODS: f64 = 5.0;
/// Lifeguard's beta: the timeout of an unconfirmed suspicion, as a multiple of the minimum suspicion timeout.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// Lifeguard's K: number of independent confirmations at which a suspicion has the minimum timeout.
pub(crate) const SUSPICION_CONFIRMATIONS: usize = 3;
/// Minimum number of members that the suspicion timeout assumes.
const MIN_SUSPICION_MEMBERS: usize = 10;
/// SWIM's lambda (section 4.1): transmissions of an update per decimal logarithm of the number of members.
const RETRANSMIT_FACTOR: u32 = 4;

/// Settings of one member of the membership protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MembershipConfig {
    /// Name of the fleet. Datagrams of other fleets are ignored.
    pub fleet: Name,
    /// Name of this host, unique in its fleet.
    pub name: Name,
    /// Zone of this host.
    pub zone: Zone,
    /// Address at which other members reach this host.
    pub address: SocketAddr,
    /// Addresses at which this host looks for members when it joins.
    pub seeds: Vec<SocketAddr>,
    /// SWIM's protocol period, in milliseconds. This host pings one member in each period.
    pub protocol_period: Millis,
    /// How long unreachable members are kept and pinged, in milliseconds.
    pub unreachable_retention: Millis,
    /// Whether Lifeguard's local health multiplier is in use. Only the simulation turns it off, for comparison.
    pub local_health: bool,
    /// Whether confirmations shorten suspicion timeouts (Lifeguard). Only the simulation turns it off, for comparison.
    pub suspicion_confirmations: bool,
    /// Protocol rule that is disabled. `None` except in the tests of the exhaustive search.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

/// Protocol rule that is disabled, to show that the exhaustive search finds the fault that the rule prevents.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Suspected members do not refute the suspicion.
    NoRefutation,
    /// Hosts keep no tombstones of removed members.
    NoTombstones,
    /// Older records replace newer ones.
    AcceptStaleRecords,
}

impl MembershipConfig {
    /// Returns settings with default times, no zone and no seeds.
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

    /// Returns how long a suspicion may remain unrefuted before its member counts as unreachable, in milliseconds.
    ///
    /// The timeout falls from its maximum to its minimum with the logarithm of the number of independent
    /// `confirmations` (Lifeguard, LHA-Suspicion).
    #[must_use]
    pub fn suspicion_timeout(&self, members: usize, confirmations: usize) -> Millis {
        let scale = (members.max(MIN_SUSPICION_MEMBERS) as f64).log10();
        let min_timeout = MIN_SUSPICION_PERIODS * scale * self.protocol_period as f64;
        // Neither the suspected member nor the one that raised the suspicion can confirm it.
        let max_confirmations = SUSPICION_CONFIRMATIONS.min(members.saturating_sub(2));
        if max_confirmations == 0 || !self.suspicion_confirmations {
            return min_timeout as Millis;
        }
        let progress = ((confirmations + 1) as f64).ln() / ((max_confirmations + 1) as f64).ln();
        (min_timeout * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * progress.min(1.0)))
            as Millis
    }

    /// Returns how many times each member transmits an update (SWIM, section 4.1).
    #[must_use]
    pub fn max_transmissions(&self, members: usize) -> u32 {
        RETRANSMIT_FACTOR * ((members + 1) as f64).log10().ceil() as u32
    }
}
