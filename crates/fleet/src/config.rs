//! What an operator sets, and what follows from it.
use crate::Millis;
use crate::record::{Name, Zone};
use std::net::SocketAddr;

/// Members known at most, this host with them; who comes on top is dropped and counted.
pub const MAX_MEMBERS: usize = 16_384;
pub const MAX_SEEDS: usize = 32;
pub const PROTOCOL_PERIOD_RANGE: std::ops::RangeInclusive<Millis> = 50..=60_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MembershipConfig {
    /// Only hosts that name the same fleet hear each other.
    pub fleet: Name,
    pub name: Name,
    pub zone: Zone,
    /// Where others reach this host.
    pub address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    /// One member is probed a period.
    pub protocol_period: Millis,
    /// How long the unreachable are kept and looked for.
    pub unreachable_retention: Millis,
    /// Parts of Lifeguard: turned off by the model alone, to be weighed against.
    pub local_health: bool,
    pub suspicion_confirmations: bool,
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

/// A rule that is left out.
#[cfg(feature = "mutants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Mutant {
    /// Who is doubted says nothing new of itself.
    NoRefutation,
    /// Nothing is kept of those that are over.
    NoTombstones,
    /// An earlier word counts as much as a later one.
    AcceptStaleRecords,
}

/// A host's place in its fleet's view, as a configuration puts it.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    pub listen: SocketAddr,
    pub membership: MembershipConfig,
}

/// The same as it is written down, not yet checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UncheckedFleetConfig {
    pub fleet: String,
    pub host: String,
    pub listen: Option<SocketAddr>,
    /// Where others reach it; none: where it listens.
    pub advertise_address: Option<SocketAddr>,
    pub zone: String,
    pub seeds: Vec<SocketAddr>,
    pub period: Option<Millis>,
    pub keep: Option<Millis>,
}

/// What is wrong with a fleet configuration. The text names the setting and what was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigProblem {
    /// The fleet's name is empty or too long.
    #[error("name: expected 1 to 48 bytes")]
    FleetName,
    /// The host's name is empty or too long.
    #[error("the host's name: expected 1 to 48 bytes")]
    HostName,
    /// The zone's name is too long.
    #[error("zone: expected up to 24 bytes")]
    Zone,
    /// The address to listen on is missing.
    #[error("listen: expected address:port")]
    Listen,
    /// Other members can't reach the advertised address, or the address listened on where none is advertised.
    #[error("reached_at: expected where others reach this host; it listens on every address")]
    AdvertiseAddress,
    /// More than [`MAX_SEEDS`] seeds.
    #[error("seeds: expected {MAX_SEEDS} at most")]
    TooManySeeds,
    /// The protocol period lies outside [`PROTOCOL_PERIOD_RANGE`].
    #[error("period: expected {} to {} ms", PROTOCOL_PERIOD_RANGE.start(), PROTOCOL_PERIOD_RANGE.end())]
    Period,
    /// An unreachable member would be given up while it is still suspected.
    #[error("keep: expected {MIN_RETENTION_PERIODS} periods or more")]
    RetentionTooShort,
}

impl UncheckedFleetConfig {
    /// # Errors
    /// All that is wrong with it, each with its field.
    pub fn validate(&self) -> Result<FleetConfig, Vec<ConfigProblem>> {
        let mut wrong = Vec::new();
        let fleet = Name::try_from(self.fleet.as_str()).ok().filter(|n| !n.is_empty());
        let name = Name::try_from(self.host.as_str()).ok().filter(|n| !n.is_empty());
        let zone = Zone::try_from(self.zone.as_str()).ok();
        let reached = self.advertise_address.or(self.listen);
        let (period, keep) = (self.period.unwrap_or(1_000), self.keep.unwrap_or(3_600_000));
        let checks = [
            (fleet.is_some(), ConfigProblem::FleetName),
            (name.is_some(), ConfigProblem::HostName),
            (zone.is_some(), ConfigProblem::Zone),
            (self.listen.is_some(), ConfigProblem::Listen),
            (
                reached.is_none_or(|r| !r.ip().is_unspecified() && r.port() != 0),
                ConfigProblem::AdvertiseAddress,
            ),
            (self.seeds.len() <= MAX_SEEDS, ConfigProblem::TooManySeeds),
            (PROTOCOL_PERIOD_RANGE.contains(&period), ConfigProblem::Period),
            (keep >= MIN_RETENTION_PERIODS * period, ConfigProblem::RetentionTooShort),
        ];
        wrong.extend(checks.into_iter().filter(|(holds, _)| !holds).map(|(_, problem)| problem));
        match (fleet, name, zone, self.listen, reached) {
            (Some(fleet), Some(name), Some(zone), Some(listen), Some(reached)) if wrong.is_empty() => {
                let seeds = self.seeds.clone();
                let settings = MembershipConfig {
                    zone,
                    seeds,
                    protocol_period: period,
                    unreachable_retention: keep,
                    ..MembershipConfig::new(fleet, name, reached)
                };
                Ok(FleetConfig { listen, membership: settings })
            }
            _ => Err(wrong),
        }
    }
}

impl MembershipConfig {
    pub fn new(fleet: Name, name: Name, address: SocketAddr) -> Self {
        let (zone, seeds) = (Zone::new(), Vec::new());
        let (period, keep) = (1_000, 3_600_000);
        MembershipConfig {
            fleet,
            name,
            zone,
            address,
            seeds,
            protocol_period: period,
            unreachable_retention: keep,
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

    /// How long a suspicion stands before its member counts as unreachable: with so many who confirm it, in a fleet of
    /// so many. From thrice the least down to the least, in periods times the logarithm of the fleet (Lifeguard, 4).
    pub fn suspicion_timeout(&self, members: usize, confirmed: usize) -> Millis {
        let least = MIN_SUSPICION_PERIODS * (members.max(10) as f64).log10() * self.protocol_period as f64;
        let wanted = SUSPICION_CONFIRMATIONS.min(members.saturating_sub(2));
        if wanted == 0 || !self.suspicion_confirmations {
            return least as Millis;
        }
        let part = ((confirmed + 1) as f64).ln() / ((wanted + 1) as f64).ln();
        (least * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * part.min(1.0))) as Millis
    }

    /// How often a word is passed on by each who hears it.
    pub fn max_transmissions(&self, members: usize) -> u32 {
        RETRANSMIT_FACTOR * ((members + 1) as f64).log10().ceil() as u32
    }
}

/// Who is kept for less would be given up while it is still suspected.
const MIN_RETENTION_PERIODS: u64 = 100;
/// Periods, by the decimal logarithm of the fleet: longer than a stop of five seconds.
const MIN_SUSPICION_PERIODS: f64 = 5.0;
/// Times the least: a suspicion that nobody confirms.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
pub(crate) const SUSPICION_CONFIRMATIONS: usize = 3;
const RETRANSMIT_FACTOR: u32 = 4;
