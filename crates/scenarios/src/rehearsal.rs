//! Scripts for hosts behind iSCSI. A script begins with directives that describe the scenario and one line for each
//! fault. After a line `site` it has the sections of the configuration that all hosts share (fleet, plans, groups,
//! volumes). `docs/rehearsals.md` lists all directives.
mod faults;
mod parse;

pub use parse::parse;

use mallowseam_audit::service_model::ServiceModel;
use mallowseam_audit::trace::Micros;

/// Scenario that a script describes. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the script.
    pub name: String,
    /// Time for which clients send commands.
    pub duration: Micros,
    /// Number of host processes.
    pub hosts: u32,
    /// Number of stand-in nodes.
    pub nodes: u32,
    /// Service model of every node.
    pub model: ServiceModel,
    /// Number of clients.
    pub clients: u32,
    /// Commands per second of each client.
    pub command_rate: f64,
    /// Fraction of the commands that are writes.
    pub write_fraction: f64,
    /// Lag of the notifications of the endpoint list service.
    pub list_lag: Micros,
    /// Whether hosts cache the endpoint list on disk.
    pub cached_list: bool,
    /// Whether connections use CRC32C digests.
    pub digests: bool,
    /// The snapshot catalog, if one runs.
    pub catalog: Option<CatalogScenario>,
    /// Interval between changes of limits; none if no plan service runs.
    pub plan_change_interval: Option<Micros>,
    /// Begins and ends of faults, in order of time.
    pub events: Vec<Event>,
    /// Configuration sections that all hosts share.
    pub config_sections: String,
}

/// Snapshot catalog of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatalogScenario {
    /// Number of blocks of an extent of mapped volumes.
    pub extent: u64,
    /// Name of the I/O class of extent copies.
    pub copy_class: String,
}

/// Begin or end of a fault, with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Time of the event, since the start of the run.
    pub at: Micros,
    /// The fault that begins or ends.
    pub fault: Fault,
}

/// Node, host or client that a fault affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selector {
    /// The node, host or client with this number.
    Number(u32),
    /// A node, host or client drawn from the seed. The same number selects the same one again.
    Any(u32),
}

/// Begin or end of a fault. For variants with a `bool`, true begins the fault and false ends it. The variants are named
/// after the keywords of the script.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A node answers nothing and starts no new commands.
    NodeSilent(Selector, bool),
    /// A node suspends the execution of all commands.
    NodeStill(Selector, bool),
    /// A node accepts no connections.
    NodeDeaf(Selector, bool),
    /// A node is slower by this factor.
    NodeSlow(Selector, f64),
    /// A node fails this fraction of its commands.
    NodeErrors(Selector, f64),
    /// A node does not answer this fraction of the commands that it has executed.
    NodeLoses(Selector, f64),
    /// A node's process ends.
    NodeCrash(Selector),
    /// A node's process starts again, cold.
    NodeStart(Selector),
    /// A node closes all connections.
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
    /// A host's process receives SIGSTOP, or SIGCONT.
    HostStall(Selector, bool),
    /// A host receives a request to drain on its control socket.
    HostDrain(Selector),
    /// A client disconnects with its commands in flight.
    ClientDrop(Selector),
    /// A client sends part of a write, then nothing.
    ClientStall(Selector, bool),
    /// A client sends many reads and does not receive their answers.
    ClientDeaf(Selector, bool),
    /// A client logs in again without closing its old connection.
    ClientAgain(Selector),
    /// This many new connections never complete their login.
    HalfLogins(u32),
    /// This many new connections send malformed PDUs.
    Garbage(u32),
    /// Clients of one plan send commands at this multiple of their usual rate.
    Surge(String, f64),
    /// All clients send commands at this multiple of their usual rate.
    Load(f64),
    /// The endpoint list service notifies hosts with this lag; [`Micros::MAX`] stands for the lag of the scenario.
    ListLag(Micros),
    /// The endpoint list service becomes unavailable, or available again.
    ListAway(bool),
    /// The endpoint list service sends a stale list.
    ListBackwards,
    /// A snapshot of a volume is requested: the volume, and the name of the snapshot.
    Snapshot(String, String),
    /// A clone of a snapshot is requested: the snapshot as `VOLUME@NAME`, and the name of the clone.
    Clone(String, String),
    /// The snapshot catalog's process receives SIGKILL.
    CatalogKill,
    /// The snapshot catalog's process is started again.
    CatalogStart,
    /// The plan service's process receives SIGKILL.
    ControlKill,
    /// The plan service's process is started again.
    ControlStart,
    /// The limit and burst of the plan with this index are set to this multiple of those in the script.
    PlanChange(usize, f64),
}
