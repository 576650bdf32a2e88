//! The block I/O scheduler of mallowseam: decisions in `scheduler`, their interface in `host`.
pub mod door;
pub mod host;
mod ledger;
mod pcg;
pub mod scheduler;
mod slab;
