//! Configuration of a host (`GW_CONFIG`): a JSON object that is read at the start and again on SIGHUP.
mod fleet;

use crate::endpoints::{self, WatchEvent};
use crate::field_error::{self, FieldError};
use crate::settings::{self, PlatformSettings};
use mallowseam_fleet::config::FleetConfig;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Placeholder for a missing host name, with which the rest of `fleet` is checked. The configuration is rejected in
/// any case.
const UNNAMED_HOST: &str = "?";
/// Minimum limit of file descriptors. Fewer are not enough for clients and nodes.
const MIN_SOCKETS: u64 = 64;
/// Minimum memory limit of a host, in MiB.
const MIN_MEMORY_MB: u64 = 16;

/// Configuration of a host.
#[derive(Clone, Debug)]
pub struct HostConfig {
    /// Name of the host, the same after a restart.
    pub name: String,
    /// Address to listen on for clients.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Seed of the random number generator, a new one for each start.
    pub seed: u64,
    /// CPU limit in cores, which may be a fraction. Only logged; no decision depends on it.
    pub cpu_cores: f64,
    /// Memory limit in MiB. A host that exceeds it is killed.
    pub memory_mb: u64,
    /// Limit of file descriptors.
    pub max_sockets: u64,
    /// Endpoint list that the host cached last; may be stale.
    pub cached_list: Option<WatchEvent>,
    /// Settings of the deployment.
    pub settings: PlatformSettings,
    /// Settings of the membership protocol. `None`: the host does not take part in it.
    pub fleet: Option<FleetConfig>,
}

/// Reason for rejecting a configuration. `Display` writes the text that operators are shown.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The JSON value is not an object.
    #[error("not a JSON object")]
    NotAnObject,
    /// Fields are missing or invalid. Contains the errors of all fields, one line each.
    #[error("{}", field_error::lines(.0))]
    Fields(Vec<FieldError>),
}

/// Parses a configuration.
///
/// # Errors
///
/// Returns an error if the text is not a JSON object, or if fields are missing or invalid.
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

/// Fields as they were read. Each required field without a value has added an error to the reader.
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
    /// Reads the fields in the order in which their errors are reported.
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

    /// Returns the configuration if every required field has a value.
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

/// Reads fields and collects their errors. An invalid field has no value.
#[derive(Default)]
struct Reader {
    errors: Vec<FieldError>,
}

impl Reader {
    /// Adds an error for a field.
    fn reject(&mut self, field: impl Into<String>, reason: impl Into<String>) {
        self.errors.push(FieldError::new(field, reason));
    }

    /// Returns the value if there is one, and otherwise adds an error with the reason.
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

    /// Reads a resource limit, rounded down to a whole number.
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

    /// Reads the cached endpoint list, which may be absent.
    fn cached_list(&mut self, value: Value) -> Option<WatchEvent> {
        if value.is_null() {
            return None;
        }
        let list = endpoints::from_json(value);
        list.map_err(|error| self.reject("known", error.to_string()))
            .ok()
    }

    /// Reads the settings. A host's configuration needs at least one I/O class and one plan.
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

    /// Reads the settings of the membership protocol, which may be absent.
    fn fleet(&mut self, value: &Value, host: &str) -> Option<FleetConfig> {
        if value.is_null() {
            None
        } else {
            fleet::read(value, host, &mut self.errors)
        }
    }
}
