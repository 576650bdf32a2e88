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

/// Collects problems, so that all of them are reported at once.
#[derive(Default)]
struct Problems(Vec<ConfigProblem>);

impl Problems {
    /// The value of a setting; none: it has a problem, which is kept.
    fn check<T>(&mut self, setting: Result<T, ConfigProblem>) -> Option<T> {
        setting.map_err(|problem| self.0.push(problem)).ok()
    }
}

impl UncheckedFleetConfig {
    /// Validates the configuration and fills in defaults.
    ///
    /// # Errors
    /// Every problem that was found, in the order of the settings.
    pub fn validate(&self) -> Result<FleetConfig, Vec<ConfigProblem>> {
        let mut problems = Problems::default();
        let fleet = problems.check(parse_name(&self.fleet, ConfigProblem::FleetName));
        let name = problems.check(parse_name(&self.host, ConfigProblem::HostName));
        let zone = problems.check(parse_zone(&self.zone));
        let listen = problems.check(self.listen.ok_or(ConfigProblem::Listen));
        let address = problems.check(self.reachable_address());
        let seeds = problems.check(self.seeds());
        let protocol_period = problems.check(self.protocol_period());
        let unreachable_retention = problems.check(self.retention());
        if let Some(fleet) = fleet
            && let Some(name) = name
            && let Some(zone) = zone
            && let Some(listen) = listen
            && let Some(address) = address.flatten()
            && let Some(seeds) = seeds
            && let Some(protocol_period) = protocol_period
            && let Some(unreachable_retention) = unreachable_retention
        {
            let membership = MembershipConfig {
                zone,
                seeds,
                protocol_period,
                unreachable_retention,
                ..MembershipConfig::new(fleet, name, address)
            };
            return Ok(FleetConfig { listen, membership });
        }
        Err(problems.0)
    }

    /// Address at which other members reach this host; none: neither is set.
    fn reachable_address(&self) -> Result<Option<SocketAddr>, ConfigProblem> {
        let address = self.advertise_address.or(self.listen);
        if address.is_none_or(is_reachable_address) {
            Ok(address)
        } else {
            Err(ConfigProblem::AdvertiseAddress)
        }
    }

    fn seeds(&self) -> Result<Vec<SocketAddr>, ConfigProblem> {
        if self.seeds.len() > MAX_SEEDS {
            return Err(ConfigProblem::TooManySeeds);
        }
        Ok(self.seeds.clone())
    }

    fn protocol_period(&self) -> Result<Millis, ConfigProblem> {
        let period = self.period_or_default();
        if !PROTOCOL_PERIOD_RANGE.contains(&period) {
            return Err(ConfigProblem::Period);
        }
        Ok(period)
    }

    fn retention(&self) -> Result<Millis, ConfigProblem> {
        let retention = self.unreachable_retention.unwrap_or(DEFAULT_RETENTION);
        if retention < MIN_RETENTION_PERIODS * self.period_or_default() {
            return Err(ConfigProblem::RetentionTooShort);
        }
        Ok(retention)
    }

    fn period_or_default(&self) -> Millis {
        self.period.unwrap_or(DEFAULT_PROTOCOL_PERIOD)
    }
}

fn parse_name(text: &str, problem: ConfigProblem) -> Result<Name, ConfigProblem> {
    Name::try_from(text)
        .ok()
        .filter(|name| !name.is_empty())
        .ok_or(problem)
}

fn parse_zone(text: &str) -> Result<Zone, ConfigProblem> {
    Zone::try_from(text).map_err(|_| ConfigProblem::Zone)
}

fn is_reachable_address(address: SocketAddr) -> bool {
    !address.ip().is_unspecified() && address.port() != 0
}
