//! One host: clients speak iSCSI to it, it submits to storage nodes, and `mallowseam-scheduler` decides all that
//! happens to a block I/O in between. One thread, sockets on `mio`.
mod archive;
mod catalog;
pub mod cli;
pub mod client;
pub mod clients;
mod control;
mod demand;
mod desk;
mod figures;
mod fleet;
mod follow;
mod lines;
mod list;
mod map;
mod nodes;
mod opening;
mod plan_cli;
mod run;
mod shares;
mod tariffs;
mod terms;
mod verify;
pub mod wire;

pub use mallowseam_sockets::{clock, slab};

pub use control::{Status, ask};
pub use opening::Failure;
pub use run::run;
pub use tariffs::Asked;
pub use terms::to_figures;
