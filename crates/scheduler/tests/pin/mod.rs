//! A seeded simulation that drives a `Scheduler` through thousands of events and hashes every action it takes.
mod checkpoints;
mod nodes;
mod random;
mod recorder;
mod settings;
mod simulation;

pub use checkpoints::Checkpoints;
pub use recorder::ACTION_KINDS;
pub use simulation::Simulation;
