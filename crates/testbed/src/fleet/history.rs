//! History of the request or host that a violation names: the observations of its peers, and the host's log.
use super::outcome::Outcome;
use mallowseam_audit::fleet::record::{Event, Observation};
use mallowseam_audit::trace::Micros;
use std::path::Path;

/// Maximum number of lines of a host's log in a history.
const MAX_LOG_LINES: usize = 20;

/// Returns a violation, followed by the history of the request that it names and the last lines of the host's log.
pub(super) fn with_history(violation: &str, outcome: &Outcome, dir: &Path) -> String {
    let observations = &outcome.observations;
    let mut lines = vec![violation.to_owned()];
    let operation = operation_of(violation);
    lines.extend(
        operation
            .into_iter()
            .flat_map(|operation| history_of(operation, observations)),
    );
    let host = match operation {
        Some(operation) => host_of(operation, observations),
        None => crashed_host(violation),
    };
    lines.extend(host.into_iter().flat_map(|host| log_of(host, dir)));
    lines.join("\n    ")
}

/// Returns the request that a violated rule names: `broken: RULE: REQUEST …`.
fn operation_of(violation: &str) -> Option<u64> {
    let (_rule, evidence) = violation.strip_prefix("broken: ")?.split_once(": ")?;
    evidence.split(' ').next()?.parse().ok()
}

/// Returns the host of a violation of the form `host N exited with …`.
fn crashed_host(violation: &str) -> Option<u32> {
    let rest = violation.strip_prefix("host ")?;
    rest.split(' ').next()?.parse().ok()
}

/// Returns the observations of a request, and those of starts and stops of its host.
fn history_of(operation: u64, observations: &[Observation]) -> Vec<String> {
    let host = host_of(operation, observations);
    let of_request = |o: &&Observation| event_operation(&o.event) == Some(operation);
    let of_host = |o: &&Observation| host.is_some() && host == event_host(&o.event);
    observations
        .iter()
        .filter(|o| of_request(o) || of_host(o))
        .map(|o| format!("{:>9.3} ms {:?}", milliseconds(o.at), o.event))
        .collect()
}

fn milliseconds(at: Micros) -> f64 {
    at as f64 / 1e3
}

/// Returns the host that a request was sent to.
fn host_of(operation: u64, observations: &[Observation]) -> Option<u32> {
    observations.iter().find_map(|o| match o.event {
        Event::RequestSent { op, host, .. } if op == operation => Some(host),
        _ => None,
    })
}

/// Returns the request that an event concerns.
fn event_operation(event: &Event) -> Option<u64> {
    match *event {
        Event::RequestSent { op, .. }
        | Event::ResponseReceived { op, .. }
        | Event::ClientTimedOut { op }
        | Event::ConnectionLost { op }
        | Event::RequestUnread { op }
        | Event::Excused { op }
        | Event::NoHostAvailable { op }
        | Event::NodeReceived { op, .. }
        | Event::NodeResponded { op, .. }
        | Event::NodeConnectionLost { op, .. } => Some(op),
        _ => None,
    }
}

/// Returns the host whose process an event concerns.
fn event_host(event: &Event) -> Option<u32> {
    match *event {
        Event::HostStarted { host }
        | Event::HostReady { host }
        | Event::HostStopped { host, .. } => Some(host),
        _ => None,
    }
}

/// Returns the last lines of a host's log, without its periodic status lines.
fn log_of(host: u32, dir: &Path) -> Vec<String> {
    let log = std::fs::read_to_string(dir.join(format!("h{host}.log"))).unwrap_or_default();
    let is_status = |line: &&str| line.contains("node status") || line.contains("host status");
    let lines: Vec<&str> = log.lines().filter(|line| !is_status(line)).collect();
    let first = lines.len().saturating_sub(MAX_LOG_LINES);
    lines[first..]
        .iter()
        .map(|line| (*line).to_owned())
        .collect()
}
