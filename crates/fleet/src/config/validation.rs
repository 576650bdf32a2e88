//! Fleet configurations as read from a file, and their validation.
use super::{
    DEFAULT_PROTOCOL_PERIOD, DEFAULT_RETENTION, MAX_SEEDS, MIN_RETENTION_PERIODS, MembershipConfig,
    PROTOCOL_PERIOD_RANGE,
};
use crate::Millis;
use crate::record::{MAX_NAME_BYTES, MAX_ZONE_BYTES, Name, Zone};
use std::net::SocketAddr;

/// Validated configuration of a host that takes part in its fleet's membership protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Address on which the host listens for datagrams.
    pub listen: SocketAddr,
    /// Settings of the membership protocol.
    pub membership: MembershipConfig,
}

/// Fleet configuration as read from a file, before validation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UncheckedFleetConfig {
    /// Name of the fleet.
    pub fleet: String,
    /// Name of this host.
    pub host: String,
    /// Address on which this host listens for datagrams. Required.
    pub listen: Option<SocketAddr>,
    /// Address at which other members reach this host. `None` if it is the address on which the host listens.
    pub advertise_address: Option<SocketAddr>,
    /// Zone of this host. Empty if the host is in no zone.
    pub zone: String,
    /// Addresses of the seeds.
    pub seeds: Vec<SocketAddr>,
    /// Protocol period, in milliseconds. `None` for the default.
    pub period: Option<Millis>,
    /// Retention time of unreachable members, in milliseconds. `None` for the default.
    pub unreachable_retention: Option<Millis>,
}

/// Problem of a fleet configuration. The text names the setting and the expected value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigProblem {
    /// The name of the fleet is empty or too long.
    #[error("name: expected 1 to {MAX_NAME_BYTES} bytes")]
    FleetName,
    /// The name of the host is empty or too long.
    #[error("host name: expected 1 to {MAX_NAME_BYTES} bytes")]
    HostName,
    /// The name of the zone is too long.
    #[error("zone: expected up to {MAX_ZONE_BYTES} bytes")]
    Zone,
    /// The address on which the host listens is missing.
    #[error("listen: expected address:port")]
    Listen,
    /// Other members cannot reach the advertised address, or the listening address if none is advertised, because it is
    /// unspecified or has port 0.
    #[error(
        "reached_at: expected an address at which other members reach this host; an unspecified address or port 0 is not reachable"
    )]
    AdvertiseAddress,
    /// There are more than [`MAX_SEEDS`] seeds.
    #[error("seeds: expected at most {MAX_SEEDS} addresses")]
    TooManySeeds,
    /// The protocol period is outside of [`PROTOCOL_PERIOD_RANGE`].
    #[error("period: expected {} to {} ms", PROTOCOL_PERIOD_RANGE.start(), PROTOCOL_PERIOD_RANGE.end())]
    Period,
    /// The retention time of unreachable members is shorter than [`MIN_RETENTION_PERIODS`] protocol periods.
    #[error("keep: expected {MIN_RETENTION_PERIODS} periods or more")]
    RetentionTooShort,
}

/// Collects problems, so that validation reports all of them at once.
#[derive(Default)]
struct Problems(Vec<ConfigProblem>);

impl Problems {
    /// Returns the value of a setting, or `None` if it has a problem, which is collected.
    fn check<T>(&mut self, setting: Result<T, ConfigProblem>) -> Option<T> {
        setting.map_err(|problem| self.0.push(problem)).ok()
    }
}

impl UncheckedFleetConfig {
    /// Validates the configuration and fills in defaults.
    ///
    /// # Errors
    /// All problems of the configuration, in the order of the settings.
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

    /// Returns the address at which other members reach this host, or `None` if neither an advertised nor a listening
    /// address is set.
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
