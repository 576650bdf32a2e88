//! Fleet configurations as they are read from a file, and their validation.
use super::{
    DEFAULT_PROTOCOL_PERIOD, DEFAULT_RETENTION, MAX_SEEDS, MIN_RETENTION_PERIODS, MembershipConfig,
    PROTOCOL_PERIOD_RANGE,
};
use crate::Millis;
use crate::record::{MAX_NAME_BYTES, MAX_ZONE_BYTES, Name, Zone};
use std::net::SocketAddr;

/// A validated configuration of a host that takes part in its fleet's membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Address that the host listens on for datagrams.
    pub listen: SocketAddr,
    /// Settings of the protocol.
    pub membership: MembershipConfig,
}

/// A fleet configuration as it was read, before validation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UncheckedFleetConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of this host.
    pub host: String,
    /// Address to listen on; required.
    pub listen: Option<SocketAddr>,
    /// Address at which other members reach this host; none: the one it listens on.
    pub advertise_address: Option<SocketAddr>,
    /// Zone of this host; empty: none.
    pub zone: String,
    /// Addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Protocol period; none: the default.
    pub period: Option<Millis>,
    /// Retention of unreachable members; none: the default.
    pub unreachable_retention: Option<Millis>,
}

/// What is wrong with a fleet configuration. The text names the setting and what was expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigProblem {
    /// The fleet's name is empty or too long.
    #[error("name: expected 1 to {MAX_NAME_BYTES} bytes")]
    FleetName,
    /// The host's name is empty or too long.
    #[error("the host's name: expected 1 to {MAX_NAME_BYTES} bytes")]
    HostName,
    /// The zone's name is too long.
    #[error("zone: expected up to {MAX_ZONE_BYTES} bytes")]
    Zone,
    /// The address to listen on is missing.
    #[error("listen: expected address:port")]
    Listen,
    /// Other members can't reach the advertised address, or the one listened on where none is advertised.
    #[error("reached_at: expected where others reach this host; it listens on every address")]
    AdvertiseAddress,
    /// More than [`MAX_SEEDS`] seeds.
    #[error("seeds: expected {MAX_SEEDS} at most")]
    TooManySeeds,
    /// The protocol period lies outside [`PROTOCOL_PERIOD_RANGE`].
    #[error("period: expected {} to {} ms", PROTOCOL_PERIOD_RANGE.start(), PROTOCOL_PERIOD_RANGE.end())]
    Period,
    /// The retention of unreachable members is shorter than [`MIN_RETENTION_PERIODS`] protocol periods.
    #[error("keep: expected {MIN_RETENTION_PERIODS} periods or more")]
    RetentionTooShort,
}

impl UncheckedFleetConfig {
    /// Validates the configuration and fills in defaults.
    ///
    /// # Errors
    /// Every problem that was found, in the order of the settings.
    pub fn validate(&self) -> Result<FleetConfig, Vec<ConfigProblem>> {
        let fleet = Name::try_from(self.fleet.as_str())
            .ok()
            .filter(|name| !name.is_empty());
        let name = Name::try_from(self.host.as_str())
            .ok()
            .filter(|name| !name.is_empty());
        let zone = Zone::try_from(self.zone.as_str()).ok();
        let address = self.advertise_address.or(self.listen);
        let checks = [
            (fleet.is_some(), ConfigProblem::FleetName),
            (name.is_some(), ConfigProblem::HostName),
            (zone.is_some(), ConfigProblem::Zone),
            (self.listen.is_some(), ConfigProblem::Listen),
            (
                address.is_none_or(is_reachable_address),
                ConfigProblem::AdvertiseAddress,
            ),
            (self.seeds.len() <= MAX_SEEDS, ConfigProblem::TooManySeeds),
            (
                PROTOCOL_PERIOD_RANGE.contains(&self.protocol_period()),
                ConfigProblem::Period,
            ),
            (
                self.retention() >= MIN_RETENTION_PERIODS * self.protocol_period(),
                ConfigProblem::RetentionTooShort,
            ),
        ];
        let problems: Vec<ConfigProblem> = checks
            .into_iter()
            .filter(|(holds, _)| !holds)
            .map(|(_, problem)| problem)
            .collect();
        match (fleet, name, zone, self.listen, address) {
            (Some(fleet), Some(name), Some(zone), Some(listen), Some(address))
                if problems.is_empty() =>
            {
                let membership = MembershipConfig {
                    zone,
                    seeds: self.seeds.clone(),
                    protocol_period: self.protocol_period(),
                    unreachable_retention: self.retention(),
                    ..MembershipConfig::new(fleet, name, address)
                };
                Ok(FleetConfig { listen, membership })
            }
            _ => Err(problems),
        }
    }

    fn protocol_period(&self) -> Millis {
        self.period.unwrap_or(DEFAULT_PROTOCOL_PERIOD)
    }

    fn retention(&self) -> Millis {
        self.unreachable_retention.unwrap_or(DEFAULT_RETENTION)
    }
}

fn is_reachable_address(address: SocketAddr) -> bool {
    !address.ip().is_unspecified() && address.port() != 0
}
