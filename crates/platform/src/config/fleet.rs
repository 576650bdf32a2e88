//! Object `fleet` of a configuration: the host's settings of the membership protocol.
use crate::field_error::FieldError;
use mallowseam_fleet::config::{FleetConfig, UncheckedFleetConfig};
use serde_json::Value;
use std::net::SocketAddr;

/// Fields of the object. Any other field is rejected, as it is most likely misspelt.
const FIELDS: [&str; 7] = [
    "name",
    "listen",
    "reached_at",
    "zone",
    "seeds",
    "period_ms",
    "keep_s",
];

/// Reads the object and adds its errors to `errors`. `None`: the object is invalid.
pub(super) fn read(value: &Value, host: &str, errors: &mut Vec<FieldError>) -> Option<FleetConfig> {
    let Some(object) = value.as_object() else {
        errors.push(FieldError::new("fleet", "expected an object"));
        return None;
    };
    for field in object.keys().filter(|f| !FIELDS.contains(&f.as_str())) {
        reject(errors, field, &format!("one of {}", FIELDS.join(", ")));
    }
    let text = |field: &str| value[field].as_str().unwrap_or_default().to_owned();
    let unchecked = UncheckedFleetConfig {
        fleet: text("name"),
        host: host.to_owned(),
        listen: address("listen", &value["listen"], errors),
        advertise_address: address("reached_at", &value["reached_at"], errors),
        zone: text("zone"),
        seeds: seeds(&value["seeds"], errors),
        period: duration(value, "period_ms", 1, errors),
        unreachable_retention: duration(value, "keep_s", 1_000, errors),
    };
    match unchecked.validate() {
        Ok(config) => Some(config),
        Err(all) => {
            errors.extend(all.iter().map(|error| field_error(&error.to_string())));
            None
        }
    }
}

/// Converts an error of the membership configuration from its text `FIELD: REASON`.
fn field_error(error: &str) -> FieldError {
    let (field, reason) = error.split_once(": ").unwrap_or((error, ""));
    FieldError::new(format!("fleet.{field}"), reason)
}

fn reject(errors: &mut Vec<FieldError>, field: &str, expected: &str) {
    errors.push(FieldError::new(
        format!("fleet.{field}"),
        format!("expected {expected}"),
    ));
}

/// Reads an address, which may be absent.
fn address(field: &str, value: &Value, errors: &mut Vec<FieldError>) -> Option<SocketAddr> {
    let address = value.as_str().and_then(|t| t.parse().ok());
    if address.is_none() && !value.is_null() {
        reject(errors, field, "address:port");
    }
    address
}

/// Reads the seeds (addresses of hosts through which to join the fleet), which may be absent.
fn seeds(value: &Value, errors: &mut Vec<FieldError>) -> Vec<SocketAddr> {
    match value {
        Value::Null => Vec::new(),
        Value::Array(all) => all
            .iter()
            .filter_map(|seed| address("seeds", seed, errors))
            .collect(),
        _ => {
            reject(errors, "seeds", "address:port");
            Vec::new()
        }
    }
}

/// Reads a duration, which may be absent, and returns it in milliseconds. `unit_ms`: unit of the field in
/// milliseconds.
fn duration(
    object: &Value,
    field: &str,
    unit_ms: u64,
    errors: &mut Vec<FieldError>,
) -> Option<u64> {
    let value = &object[field];
    let number = value.as_u64();
    if number.is_none() && !value.is_null() {
        reject(errors, field, "a whole number");
    }
    number.map(|n| n.saturating_mul(unit_ms))
}
