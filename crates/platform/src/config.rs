//! The configuration of a host (`GW_CONFIG`): a JSON object, read at its start and again on SIGHUP.
mod fleet;

use crate::endpoints::{self, WatchEvent};
use crate::field_error::{self, FieldError};
use crate::settings::{self, PlatformSettings};
use mallowseam_fleet::config::FleetConfig;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Stands for the name of a host that has none, so that the rest of `fleet` can be checked: the configuration is rejected
/// in any case.
const UNNAMED_HOST: &str = "?";
/// Fewer descriptors than this are not enough for clients and nodes.
const MIN_SOCKETS: u64 = 64;
/// Less memory than this is not enough for a host, in MiB.
const MIN_MEMORY_MB: u64 = 16;

/// The configuration of a host.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// The host's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random numbers, new with each start.
    pub seed: u64,
    /// Share of a core that the host may use. Logged only; no decision depends on it.
    pub cpu_cores: f64,
    /// Memory limit in MiB; over it the host is killed.
    pub memory_mb: u64,
    /// Limit of file descriptors.
    pub max_sockets: u64,
    /// The endpoint list as this host last had it; may be old.
    pub cached_list: Option<WatchEvent>,
    /// The deployment's settings.
    pub settings: PlatformSettings,
    /// How the host takes part in the fleet's membership; none: it does not.
    pub fleet: Option<FleetConfig>,
}

/// Why a configuration is rejected. `Display` is what operators are shown.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The JSON value is not an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// Fields are missing or invalid: all of them, one line each.
    #[error("{}", field_error::lines(.0))]
    Fields(Vec<FieldError>),
}

/// Parses a configuration.
///
/// # Errors
///
/// The text is not a JSON object, or fields of it are missing or invalid.
pub fn parse(text: &str) -> Result<HostConfig, ConfigError> {
    let mut root: Value = serde_json::from_str(text)?;
    if !root.is_object() {
        return Err(ConfigError::NotAnObject);
    }
    let mut reader = Reader::default();
    let fields = ConfigFields::read(&mut reader, &mut root);
    match fields.complete() {
        Some(config) if reader.errors.is_empty() => Ok(config),
        _ => Err(ConfigError::Fields(reader.errors)),
    }
}

/// The fields as they were read. A required field without a value has left an error.
struct ConfigFields {
    name: Option<String>,
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    seed: Option<u64>,
    cpu_cores: f64,
    memory_mb: Option<u64>,
    max_sockets: Option<u64>,
    cached_list: Option<WatchEvent>,
    settings: Option<PlatformSettings>,
    fleet: Option<FleetConfig>,
}

impl ConfigFields {
    /// Reads the fields in the order in which operators are told of errors.
    fn read(reader: &mut Reader, root: &mut Value) -> ConfigFields {
        let name = reader.text(root, "name");
        let fleet_host = name.clone().unwrap_or_else(|| UNNAMED_HOST.to_owned());
        ConfigFields {
            name,
            listen: reader.address(root, "listen"),
            discovery: reader.address(root, "discovery"),
            seed: reader.seed(root),
            cpu_cores: root["limits"]["cores"].as_f64().unwrap_or(0.0),
            memory_mb: reader.limit(root, "memory_mb", MIN_MEMORY_MB),
            max_sockets: reader.limit(root, "sockets", MIN_SOCKETS),
            cached_list: reader.cached_list(root["known"].take()),
            settings: reader.settings(&root["settings"]),
            fleet: reader.fleet(&root["fleet"], &fleet_host),
        }
    }

    /// The configuration, if every required field has a value.
    fn complete(self) -> Option<HostConfig> {
        Some(HostConfig {
            name: self.name?,
            listen: self.listen?,
            discovery: self.discovery?,
            seed: self.seed?,
            cpu_cores: self.cpu_cores,
            memory_mb: self.memory_mb?,
            max_sockets: self.max_sockets?,
            cached_list: self.cached_list,
            settings: self.settings?,
            fleet: self.fleet,
        })
    }
}

/// Reads fields and collects what is wrong with them. An invalid field leaves an error and has no value.
#[derive(Default)]
struct Reader {
    errors: Vec<FieldError>,
}

impl Reader {
    /// Notes what is wrong with a field.
    fn reject(&mut self, field: impl Into<String>, reason: impl Into<String>) {
        self.errors.push(FieldError::new(field, reason));
    }

    /// The value, if there is one; else an error with this reason.
    fn require<T>(&mut self, field: &str, value: Option<T>, reason: &str) -> Option<T> {
        if value.is_none() {
            self.reject(field, reason);
        }
        value
    }

    fn text(&mut self, object: &Value, field: &str) -> Option<String> {
        let text = object[field]
            .as_str()
            .filter(|t| !t.is_empty())
            .map(str::to_owned);
        self.require(field, text, "expected a text")
    }

    fn address(&mut self, object: &Value, field: &str) -> Option<SocketAddr> {
        let address = object[field].as_str().and_then(|t| t.parse().ok());
        self.require(field, address, "expected address:port")
    }

    fn seed(&mut self, root: &Value) -> Option<u64> {
        let text = self.text(root, "seed")?;
        self.require(
            "seed",
            u64::from_str_radix(&text, 16).ok(),
            "expected up to 16 hex digits",
        )
    }

    /// A limit of the machine, cut to a whole number.
    fn limit(&mut self, root: &Value, field: &str, min: u64) -> Option<u64> {
        let limit = root["limits"][field]
            .as_f64()
            .filter(|n| *n >= min as f64)
            .map(|n| n as u64);
        self.require(
            &format!("limits.{field}"),
            limit,
            &format!("expected {min} or more"),
        )
    }

    /// The cached list, which may be absent.
    fn cached_list(&mut self, value: Value) -> Option<WatchEvent> {
        if value.is_null() {
            return None;
        }
        let list = endpoints::from_json(value);
        list.map_err(|error| self.reject("known", error.to_string()))
            .ok()
    }

    /// The settings, which need at least one I/O class and one plan here.
    fn settings(&mut self, value: &Value) -> Option<PlatformSettings> {
        let settings = match settings::from_json(value) {
            Ok(settings) => settings,
            Err(error) => {
                self.errors.extend(error.0);
                return None;
            }
        };
        if settings.class_names.is_empty() {
            self.reject("settings.profiles", "expected at least one");
        }
        if settings.plan_names.is_empty() {
            self.reject("settings.service_levels", "expected at least one");
        }
        Some(settings)
    }

    /// The host's part in the membership, which may be absent.
    fn fleet(&mut self, value: &Value, host: &str) -> Option<FleetConfig> {
        if value.is_null() {
            None
        } else {
            fleet::read(value, host, &mut self.errors)
        }
    }
}
