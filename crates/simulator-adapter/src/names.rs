//! Mapping between the simulator's names and the scheduler's indices.
use mallowseam_scheduler::Interner;

/// Names that an instance's messages use, by the scheduler's indices.
#[derive(Default)]
pub struct Names {
    /// Request numbers.
    pub requests: Interner<u64>,
    /// Node names.
    pub nodes: Interner<String>,
    /// Names of ordering keys.
    pub keys: Interner<String>,
    /// Volume names.
    pub volumes: Interner<String>,
    /// Zone names.
    pub zones: Interner<String>,
    /// Names of I/O classes, in the order of the settings.
    pub classes: Vec<String>,
    /// Names of plans, in the order of the settings.
    pub plans: Vec<String>,
}
