//! The configuration: what a host is told at its start, and again by SIGHUP.
use crate::endpoints::{self, WatchEvent};
use crate::settings::{self, PlatformSettings};
use mallowseam_fleet::settings::{Place, Written};
use serde_json::Value;
use std::net::SocketAddr;

/// Fewer descriptors than this leave nothing to part between clients and nodes.
const SOCKETS_LEAST: u64 = 64;
const MEMORY_LEAST: u64 = 16;

#[derive(Clone, Debug)]
pub struct HostConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Part of a core; told in the log, nothing goes by it.
    pub cpu_cores: f64,
    pub memory_mb: u64,
    pub max_sockets: u64,
    /// The list as this host last had it.
    pub cached_list: Option<WatchEvent>,
    pub settings: PlatformSettings,
    /// Its place in the view that the fleet keeps of itself; none: it takes no part.
    pub fleet: Option<Place>,
}

/// All that is wrong with a configuration, each with its field.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError(pub Vec<String>);

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0.join("\n"))
    }
}

struct Reader(Vec<String>);

impl Reader {
    /// Notes what is wrong with a field and goes on with nothing in its place.
    fn take<T>(&mut self, field: &str, found: Result<T, String>) -> Option<T> {
        found.map_err(|why| self.0.push(format!("{field}: {why}"))).ok()
    }

    fn text(&mut self, v: &Value, field: &str) -> Option<String> {
        let text = v[field].as_str().filter(|t| !t.is_empty()).map(str::to_owned);
        self.take(field, text.ok_or_else(|| "expected a text".into()))
    }

    fn address(&mut self, v: &Value, field: &str) -> Option<SocketAddr> {
        let address = v[field].as_str().and_then(|t| t.parse().ok());
        self.take(field, address.ok_or_else(|| "expected address:port".into()))
    }

    fn limit(&mut self, v: &Value, field: &str, least: u64) -> Option<u64> {
        let figure = v["limits"][field].as_f64().filter(|n| *n >= least as f64).map(|n| n as u64);
        self.take(&format!("limits.{field}"), figure.ok_or_else(|| format!("expected {least} or more")))
    }
}

impl Reader {
    /// A host's place in its fleet's view: an object with `name` and `listen`, and what else is told.
    fn place(&mut self, v: &Value, host: &str) -> Option<Place> {
        const FIELDS: [&str; 7] = ["name", "listen", "reached_at", "zone", "seeds", "period_ms", "keep_s"];
        let Some(object) = v.as_object() else {
            return self.take("fleet", Err("expected an object".into()));
        };
        let known = self.0.len();
        for field in object.keys().filter(|f| !FIELDS.contains(&f.as_str())) {
            self.0.push(format!("fleet.{field}: expected one of {}", FIELDS.join(", ")));
        }
        let mut wrong = |field: &str, what: &str| self.0.push(format!("fleet.{field}: expected {what}"));
        let mut address = |field: &str, v: &Value| {
            let address = v.as_str().and_then(|t| t.parse().ok());
            if address.is_none() && !v.is_null() {
                wrong(field, "address:port");
            }
            address
        };
        let listen = address("listen", &v["listen"]);
        let reached_at = address("reached_at", &v["reached_at"]);
        let seeds = match &v["seeds"] {
            Value::Null => Vec::new(),
            Value::Array(all) => all.iter().filter_map(|s| address("seeds", s)).collect(),
            _ => address("seeds", &Value::Bool(false)).into_iter().collect(),
        };
        let mut span = |field: &str, unit: u64| {
            let span = v[field].as_u64();
            if span.is_none() && !v[field].is_null() {
                wrong(field, "a whole number");
            }
            span.map(|n| n.saturating_mul(unit))
        };
        let (period, keep) = (span("period_ms", 1), span("keep_s", 1_000));
        let text = |field: &str| v[field].as_str().unwrap_or_default().to_owned();
        let (fleet, host, zone) = (text("name"), host.to_owned(), text("zone"));
        let written = Written { fleet, host, listen, reached_at, zone, seeds, period, keep };
        match written.check() {
            Ok(place) => (self.0.len() == known).then_some(place),
            Err(all) => {
                self.0.extend(all.into_iter().map(|w| format!("fleet.{w}")));
                None
            }
        }
    }
}

pub fn parse(text: &str) -> Result<HostConfig, ConfigError> {
    let mut v: Value = serde_json::from_str(text).map_err(|e| ConfigError(vec![format!("not JSON: {e}")]))?;
    if !v.is_object() {
        return Err(ConfigError(vec!["not a JSON object".into()]));
    }
    let mut r = Reader(Vec::new());
    let name = r.text(&v, "name");
    let listen = r.address(&v, "listen");
    let discovery = r.address(&v, "discovery");
    let seed = r.text(&v, "seed").and_then(|seed| {
        let number = u64::from_str_radix(&seed, 16).map_err(|_| "expected up to 16 hex digits".into());
        r.take("seed", number)
    });
    let memory_mb = r.limit(&v, "memory_mb", MEMORY_LEAST);
    let sockets = r.limit(&v, "sockets", SOCKETS_LEAST);
    let known = match v["known"].take() {
        Value::Null => Some(None),
        known => r.take("known", endpoints::from_json(known)).map(Some),
    };
    let named =
        settings::from_json(&v["settings"]).map_err(|all| r.0.extend(all.lines().map(str::to_owned))).ok();
    if let Some(named) = &named {
        for (field, empty) in
            [("profiles", named.class_names.is_empty()), ("service_levels", named.plan_names.is_empty())]
        {
            if empty {
                r.0.push(format!("settings.{field}: expected at least one"));
            }
        }
    }
    let place = match &v["fleet"] {
        Value::Null => Some(None),
        fleet => r.place(fleet, name.as_deref().unwrap_or("?")).map(Some),
    };
    if !r.0.is_empty() {
        return Err(ConfigError(r.0));
    }
    let whole = || {
        Some(HostConfig {
            name: name?,
            listen: listen?,
            discovery: discovery?,
            seed: seed?,
            cpu_cores: v["limits"]["cores"].as_f64().unwrap_or(0.0),
            memory_mb: memory_mb?,
            max_sockets: sockets?,
            cached_list: known?,
            settings: named?,
            fleet: place?,
        })
    };
    whole().ok_or_else(|| ConfigError(vec!["a field is missing".into()]))
}
