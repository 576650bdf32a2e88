//! The view of a fleet that its hosts keep themselves: who is up, cut off, ending, and on which version.
//!
//! Free of I/O, clocks and threads: datagrams and ticks in, datagrams and changes out, chance from a seeded generator.
//! The same code runs in the hosts, in the model and in the exhaustive search. Drawn on: SWIM (Das, Gupta, Motivala,
//! 2002) for probes, suspicion and news that ride on them; Lifeguard (Dadgar, Phillips, Currey, 2017) for a host's own
//! health, suspicion that shortens with confirmations, and the suspect hearing of it first. `docs/fleet.md` says
//! what is promised, with bounds.
//!
//! - `word`: what a member says of itself, and which of two words is the later one.
//! - `settings`: periods and bounds. `wire`: datagrams. `table`: the view, what is told on, ranges that are compared.
//! - `fleet`: a host's part in it. `probe`: whom it asks for a sign of life, and what it makes of none.
pub mod config;
mod failure_detector;
mod membership;
mod membership_table;
pub mod record;
mod rng;
pub mod wire;

pub use membership::{ActionSink, Counters, Membership};
pub use membership_table::MembershipEvent;
pub use record::MemberState;

/// Milliseconds on the host's clock, which never goes back.
pub type Millis = u64;
