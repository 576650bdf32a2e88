//! Membership of a fleet, maintained by its hosts themselves: which members are alive, unreachable, leaving or left,
//! and which versions of shared state each of them acts on.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: *SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol*, DSN 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey: *Lifeguard: Local Health
//! Awareness for More Accurate Failure Detection*, 2017): the local health multiplier, suspicions that shorten with
//! independent confirmations, and the buddy system. Anti-entropy with range digests complements them. `docs/fleet.md`
//! states what the protocol guarantees, with bounds.
//!
//! The package does no I/O and uses neither a clock nor threads. The caller passes in datagrams, ticks and the time;
//! the state machine emits datagrams to send and membership events through an [`ActionSink`]. Random numbers come from
//! a seeded generator, so the same inputs give the same actions. Hosts, the simulation and the exhaustive search run
//! the same code.
//!
//! - [`record`] defines what a member publishes about itself, and which of two records is newer.
//! - [`config`] holds the settings of the protocol, their validation, and the timeouts derived from them.
//! - [`wire`] defines the datagrams.
//! - [`Membership`] is the state machine of one host.
#![warn(missing_docs)]

mod anti_entropy;
pub mod config;
mod counters;
mod event;
mod failure_detector;
mod gossip_datagram;
mod gossip_queue;
mod indirect_pings;
mod isolation;
mod joining;
mod local_member;
mod member;
mod membership;
mod membership_page;
mod membership_table;
mod name_ownership;
pub mod record;
mod rng;
mod sequence;
mod suspicion;
pub mod wire;

pub use counters::Counters;
pub use event::MembershipEvent;
pub use membership::{ActionSink, Membership};
pub use record::MemberState;

/// Time on the host's monotonic clock, or a duration, in milliseconds.
pub type Millis = u64;
