//! Many processes of the program, and faults between them.
//!
//! - `links`: what a way between two parties does to bytes, each direction for itself.
//! - `turns`, `store`, `callers`: the list service, a node and the clients as figures, without sockets; the model
//!   in simulated time uses the same.
//! - `world`: their sockets, on one loop. `processes`: the hosts, started, stopped and ended by id.
//! - `record`, `audit`: what passed on the sockets, and the rules held against it.
//! - `storm`, `views`: faults drawn for a fleet that keeps a view of itself, and what its views are held against.
//! - `scene`: a script of it. `play`: a scene played.
pub mod addresses;
pub mod audit;
pub mod callers;
pub mod links;
pub mod play;
pub mod processes;
pub mod record;
pub mod scene;
pub mod store;
pub mod storm;
pub mod turns;
pub mod views;
pub mod world;
