//! Names of the simulator and the scheduler's indices for them.
use mallowseam_scheduler::Interner;

/// The names by the scheduler's indices.
#[derive(Default)]
pub struct Names {
    /// Requests, by the simulator's numbers.
    pub requests: Interner<u64>,
    /// Nodes.
    pub nodes: Interner<String>,
    /// Ordering keys.
    pub keys: Interner<String>,
    /// Volumes.
    pub volumes: Interner<String>,
    /// Zones.
    pub zones: Interner<String>,
    /// I/O classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Plans, in the order of the settings.
    pub plans: Vec<String>,
}
