//! Stand-ins for nodes, clients and the node list service, scripts of trouble, and the audit that judges a
//! run by what passed on the sockets. Nothing here is part of `mallowseam`.
pub mod audit;
pub mod bench;
pub mod block;
pub mod brute;
pub mod cold_start_model;
pub mod fleet;
pub mod listd;
pub mod load;
pub mod membership;
pub mod node;
pub mod plots;
pub mod rehearse;
pub mod script;
pub mod search;
pub mod sharesday;
pub mod snapbench;
pub mod trace;

pub use mallowseam_gateway::blocking_client;
