//! Scenario scripts: a text file with the scenario in its head, one line for each fault, and behind a line `site` the
//! sections of a configuration that all hosts share (fleet, plans, groups, volumes). `docs/rehearsals.md` lists every
//! directive.
mod faults;
mod parse;

pub use parse::parse;

use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Micros;

/// What a script describes.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the script.
    pub name: String,
    /// How long clients send commands.
    pub duration: Micros,
    /// Number of host processes.
    pub hosts: u32,
    /// Number of stand-in nodes.
    pub nodes: u32,
    /// Service model of every node.
    pub model: ServiceModel,
    /// Number of clients.
    pub clients: u32,
    /// Commands a second of each client.
    pub command_rate: f64,
    /// Part of the commands that write.
    pub write_fraction: f64,
    /// How late the endpoint list service notifies hosts.
    pub list_lag: Micros,
    /// Whether hosts cache the endpoint list on disk.
    pub cached_list: bool,
    /// Whether connections use CRC32C digests.
    pub digests: bool,
    /// The snapshot catalog, where one runs.
    pub catalog: Option<CatalogScenario>,
    /// A plan service runs, and limits are changed this often.
    pub plan_change_interval: Option<Micros>,
    /// Faults, in order of time.
    pub events: Vec<Event>,
    /// Sections that every host's configuration has.
    pub config_sections: String,
}

/// A snapshot catalog in a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogScenario {
    /// Blocks of an extent of mapped volumes.
    pub extent: u64,
    /// Name of the I/O class of extent copies.
    pub copy_class: String,
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When it happens.
    pub at: Micros,
    /// What happens.
    pub fault: Fault,
}

/// A node, host or client that a fault concerns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selector {
    /// The one with this number.
    Number(u32),
    /// One that the seed picks; the same number picks the same one again.
    Any(u32),
}

/// What happens; with a bool, whether it begins or ends. The names are those of the script's keywords.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A node answers nothing and starts nothing new.
    NodeSilent(Selector, bool),
    /// A node works on nothing.
    NodeStill(Selector, bool),
    /// A node accepts no connections.
    NodeDeaf(Selector, bool),
    /// A node is this many times slower.
    NodeSlow(Selector, f64),
    /// A node fails this part of its commands.
    NodeErrors(Selector, f64),
    /// A node never answers this part of the commands it has run.
    NodeLoses(Selector, f64),
    /// A node's process ends.
    NodeCrash(Selector),
    /// A node's process starts again, cold.
    NodeStart(Selector),
    /// A node closes every connection.
    NodeReset(Selector),
    /// A node is listed as draining.
    NodeDrain(Selector),
    /// A node is listed as active again.
    NodeUndrain(Selector),
    /// A host's process receives SIGKILL.
    HostKill(Selector),
    /// A host's process is started again.
    HostStart(Selector),
    /// A host's process receives SIGTERM.
    HostTerm(Selector),
    /// A host's process is stopped by SIGSTOP, or goes on.
    HostStall(Selector, bool),
    /// A host is requested by its control socket to drain.
    HostDrain(Selector),
    /// A client disconnects with its commands in flight.
    ClientDrop(Selector),
    /// A client sends half a write, then nothing.
    ClientStall(Selector, bool),
    /// A client requests much and reads nothing.
    ClientDeaf(Selector, bool),
    /// A client logs in again while its old connection looks alive.
    ClientAgain(Selector),
    /// This many connections never finish their login.
    HalfLogins(u32),
    /// This many connections send malformed PDUs.
    Garbage(u32),
    /// Clients of one plan send this multiple of their usual commands.
    Surge(String, f64),
    /// All clients send this multiple of their usual commands.
    Load(f64),
    /// The endpoint list service notifies hosts this late; [`Micros::MAX`] means the script's own lag.
    ListLag(Micros),
    /// The endpoint list service is away, or back.
    ListAway(bool),
    /// The endpoint list service sends an old list again.
    ListBackwards,
    /// A snapshot of a volume is requested under a name.
    Snapshot(String, String),
    /// A clone of a snapshot (`VOLUME@NAME`) is requested under a name.
    Clone(String, String),
    /// The snapshot catalog's process receives SIGKILL.
    CatalogKill,
    /// The snapshot catalog's process is started again.
    CatalogStart,
    /// The plan service's process receives SIGKILL.
    ControlKill,
    /// The plan service's process is started again.
    ControlStart,
    /// The limit and burst of the plan with this index become this multiple of the script's.
    PlanChange(usize, f64),
}
