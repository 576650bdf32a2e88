//! One host: clients speak iSCSI to it, it submits to storage nodes, and `mallowseam-scheduler` decides all that
//! happens to a block I/O in between. One thread, sockets on `mio`.
pub mod cli;
mod clients;
mod clock;
mod control;
mod desk;
mod figures;
mod list;
mod nodes;
mod run;
mod slots;
mod terms;
mod wire;

pub use control::{Status, ask};
pub use run::{Failure, run};
