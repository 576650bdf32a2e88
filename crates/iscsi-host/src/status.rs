//! Status report of a host: JSON on the control socket, and a table for operators.
use crate::metrics::CommandCounts;
use serde::{Deserialize, Serialize};
use std::fmt;

/// State and counters of a running host. Counters start at 0 when the host starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The host's name in its configuration.
    pub host: String,
    /// Seconds since the host started.
    pub up_seconds: f64,
    /// Whether the host is closed to new logins.
    pub draining: bool,
    /// Open client connections.
    pub connections: usize,
    /// Block I/Os in flight.
    #[serde(rename = "in_hand")]
    pub in_flight: usize,
    /// Bytes buffered for clients.
    pub buffer_bytes: usize,
    /// Epoch of the host's endpoint list, which identifies a run of its service; 0 before the first list.
    pub list_epoch: u64,
    /// Version of the endpoint list within its epoch.
    pub list_version: u64,
    /// Counts of client commands, over all I/O classes.
    pub commands: CommandCounts,
    /// One entry for each I/O class of the configuration.
    #[serde(rename = "groups")]
    pub classes: Vec<ClassStatus>,
    /// One entry for each storage node of the configuration.
    pub nodes: Vec<NodeStatus>,
    /// The plans in effect.
    #[serde(default)]
    pub plans: Vec<PlanStatus>,
    /// One entry for each volume of the configuration.
    #[serde(default)]
    pub volumes: Vec<VolumeStatus>,
}

/// Load of a volume, in units since the start of the host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VolumeStatus {
    /// The volume's name in the configuration.
    pub name: String,
    /// Units that clients have requested.
    #[serde(rename = "asked_units")]
    pub requested_units: f64,
    /// Units of completed block I/Os.
    #[serde(rename = "ended_units")]
    pub completed_units: f64,
    /// This host's current quota of the volume's limit, in units a second; `None` if the limit is not
    /// replicated.
    #[serde(rename = "part", default)]
    pub quota: Option<f64>,
}

/// A plan in effect. Rates are in units a second; 0 means no reservation or no limit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlanStatus {
    /// The plan's name.
    pub name: String,
    /// Reserved rate in units a second.
    pub reserve: f64,
    /// Limit in units a second.
    pub limit: f64,
    /// Weight of the plan for capacity beyond its reserved rate.
    pub weight: f64,
}

/// Counters and latency of an I/O class.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassStatus {
    /// The I/O class's name.
    pub name: String,
    /// Number of block I/Os admitted.
    #[serde(rename = "taken")]
    pub admitted: u64,
    /// Number of block I/Os completed.
    #[serde(rename = "ended")]
    pub completed: u64,
    /// Number of block I/Os shed for lack of capacity.
    pub shed: u64,
    /// Number of block I/Os failed.
    pub failed: u64,
    /// Number of block I/Os that completed later than the latency objective.
    #[serde(rename = "past_goal")]
    pub late: u64,
    /// Median latency in milliseconds.
    pub median_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
}

/// State and counters of a storage node as this host sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's name in the configuration.
    pub name: String,
    /// Whether this host has a connection to the node.
    pub connected: bool,
    /// Whether the scheduler sends block I/Os to the node.
    pub open: bool,
    /// Whether the node is in slow start.
    #[serde(rename = "cold")]
    pub warming_up: bool,
    /// Attempts in flight at the node.
    #[serde(rename = "out")]
    pub in_flight: u32,
    /// Block I/Os queued for the node.
    #[serde(rename = "held")]
    pub queued: u32,
    /// Concurrency window.
    pub window: f64,
    /// Smoothed latency in milliseconds.
    #[serde(rename = "wait_ms")]
    pub mean_latency_ms: f64,
    /// Consecutive failures.
    pub failures: u32,
    /// Attempts sent.
    #[serde(rename = "submits")]
    pub attempts: u64,
    /// Attempts that completed.
    #[serde(rename = "done")]
    pub completed: u64,
    /// Attempts that the node rejected as busy.
    pub busy: u64,
    /// Attempts that ended with an error.
    pub errors: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Attempts that were not sent because there was no connection.
    #[serde(rename = "no_connect")]
    pub not_connected: u64,
    /// Attempts whose connection was lost.
    pub reset: u64,
    /// Attempts that were cancelled.
    pub cancelled: u64,
}

impl Status {
    /// Parses the JSON answer of a host to a status request.
    ///
    /// # Errors
    /// The text is not the JSON of a status.
    pub fn from_json(text: &str) -> Result<Status, serde_json::Error> {
        serde_json::from_str(text)
    }

    // Scripts read the text form: its labels stay, also where the fields have other names.
    fn write_summary(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let draining = if self.draining { "  draining" } else { "" };
        writeln!(
            f,
            "host {}  up {:.0} s{draining}  connections {}  in hand {}  buffers {} KiB  node list {}",
            self.host,
            self.up_seconds,
            self.connections,
            self.in_flight,
            self.buffer_bytes / 1024,
            self.list_version
        )?;
        let counts = &self.commands;
        writeln!(
            f,
            "commands: taken {}, ended {}, shed {}, failed {}, left by their client {}",
            counts.admitted, counts.completed, counts.shed, counts.failed, counts.abandoned
        )
    }
}

// Scripts read the text form: its headers stay, also where the fields have other names.
const CLASS_HEADER: [&str; 8] = [
    "group",
    "taken",
    "ended",
    "shed",
    "failed",
    "past goal",
    "median ms",
    "p99 ms",
];
const NODE_HEADER: [&str; 12] = [
    "node", "state", "out", "held", "window", "wait ms", "submits", "done", "busy", "no conn",
    "reset", "timeout",
];

impl fmt::Display for ClassStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<12}{:>9}{:>9}{:>9}{:>9}{:>10}{:>11.2}{:>10.2}",
            self.name,
            self.admitted,
            self.completed,
            self.shed,
            self.failed,
            self.late,
            self.median_ms,
            self.p99_ms
        )
    }
}

impl NodeStatus {
    /// Returns the state in the text form, which scripts read. "cold" is a node in slow start.
    fn state(&self) -> &'static str {
        match (self.open, self.warming_up, self.connected) {
            (false, ..) => "closed",
            (true, true, _) => "cold",
            (true, false, true) => "connected",
            (true, false, false) => "open",
        }
    }
}

impl fmt::Display for NodeStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<12}{:<12}{:>5}{:>6}{:>8.2}{:>9.2}{:>9}{:>8}{:>7}{:>9}{:>7}{:>8}",
            self.name,
            self.state(),
            self.in_flight,
            self.queued,
            self.window,
            self.mean_latency_ms,
            self.attempts,
            self.completed,
            self.busy,
            self.not_connected,
            self.reset,
            self.timed_out
        )
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_summary(f)?;
        let [name, admitted, completed, shed, failed, late, median, p99] = CLASS_HEADER;
        writeln!(
            f,
            "\n{name:<12}{admitted:>9}{completed:>9}{shed:>9}{failed:>9}{late:>10}{median:>11}{p99:>10}"
        )?;
        self.classes
            .iter()
            .try_for_each(|class| writeln!(f, "{class}"))?;
        let [
            name,
            state,
            out,
            held,
            window,
            wait,
            sent,
            done,
            busy,
            no_conn,
            reset,
            timeout,
        ] = NODE_HEADER;
        writeln!(
            f,
            "\n{name:<12}{state:<12}{out:>5}{held:>6}{window:>8}{wait:>9}{sent:>9}{done:>8}{busy:>7}{no_conn:>9}\
             {reset:>7}{timeout:>8}"
        )?;
        self.nodes.iter().try_for_each(|node| writeln!(f, "{node}"))
    }
}
