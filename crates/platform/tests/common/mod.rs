//! Test data of a small deployment: settings, a request, an endpoint and a configuration.
#![allow(dead_code, reason = "each test file uses a part")]
use mallowseam_http1::{Limits, RequestHead};
use mallowseam_platform::request::{self, BlockRequest, ClientRequest, RequestError};
use mallowseam_platform::settings::{self, PlatformSettings};

pub const LIMITS: Limits = Limits {
    head: 8192,
    body: 65536,
};

/// Settings with two I/O classes and one plan.
pub const SETTINGS: &str = r#"{"balancers": 2, "localities": ["a"],
  "profiles": [
    {"name": "look", "aim_us": 200000, "deadline_us": 1000000, "repeat": "idempotent", "worth": 3.0},
    {"name": "book", "aim_us": 250000, "deadline_us": 2000000, "repeat": "at_most_once", "worth": 2.0}],
  "service_levels": [{"name": "gold", "limit": 15.0, "limit_burst": 48.0, "weight": 1.0}],
  "extra": {"class_writes": [false, true], "largest": 8, "mean_units": 2.0},
  "limits": {"cancel": true, "max_attempts": 3, "idle_close_us": 30000000, "connect_timeout_us": 250000}}"#;

pub fn settings() -> PlatformSettings {
    settings::parse(SETTINGS).expect("the settings are valid")
}

/// Returns a valid write whose lines are removed or replaced by `change`.
pub fn write_request_with(change: impl Fn(&str) -> Option<String>) -> String {
    let lines = [
        "PUT /book/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1",
        "Host: s",
        "X-Request-ID: 9b1f",
        "X-Priority-Class: book",
        "X-Qos-Policy: gold",
        "X-Timeout-Ms: 480",
        "X-Placement: units=2,shard=5,hosts=3",
        "Content-Length: 5",
    ];
    let lines: Vec<String> = lines.iter().filter_map(|l| change(l)).collect();
    format!("{}\r\n\r\nhello", lines.join("\r\n"))
}

/// Parses the head of a complete request.
pub fn request_head(bytes: &[u8]) -> RequestHead<'_> {
    RequestHead::parse(bytes, LIMITS)
        .expect("input is valid")
        .expect("message is complete")
}

pub fn parse(text: &str) -> Result<ClientRequest, RequestError> {
    let head = request_head(text.as_bytes());
    request::parse(&head, text.len() - head.len, &settings())
}

pub fn block_request() -> BlockRequest {
    match parse(&write_request_with(|l| Some(l.to_owned()))) {
        Ok(ClientRequest::BlockIo(block)) => block,
        _ => panic!("a valid write was not parsed as a block I/O"),
    }
}

pub fn error(text: &str) -> Option<RequestError> {
    parse(text).err()
}

/// Endpoint as the discovery service sends it.
pub const ENDPOINT: &str = r#"{"host":"s-1","dial":"10.1.0.18:8443","site":"a","class":"m","block":3,"health":"ready","share":1.0,"born_ms":5}"#;

pub fn config_text() -> String {
    format!(
        r#"{{"name":"n3","listen":"127.0.0.4:8443","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
            "limits":{{"cores":1.0,"memory_mb":32,"sockets":256}},
            "known":{{"seq":41,"whole":true,"hosts":[{ENDPOINT}]}},"settings":{SETTINGS}}}"#
    )
}
