//! Membership of a fleet, kept by its hosts themselves: which members are alive, unreachable, leaving or left, and
//! which versions each of them acts on.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: *SWIM: Scalable Weakly-consistent Infection-style Process Group
//! Membership Protocol*, DSN 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey: *Lifeguard: Local Health
//! Awareness for More Accurate Failure Detection*, 2017): the local health multiplier, suspicions that shorten with
//! independent confirmations, and the buddy system. Anti-entropy by range digests is added to it. `docs/fleet.md` says
//! what the protocol promises, with bounds.
//!
//! The package does no I/O and knows no clock and no thread. A caller passes in datagrams, ticks and the time; datagrams
//! to send and membership events come out through an [`ActionSink`]. Random numbers come from a seeded generator, so the
//! same inputs give the same actions. Hosts, the simulation and the exhaustive search run the same code.
//!
//! - [`record`] defines what a member publishes about itself, and which of two records is the newer one.
//! - [`config`] holds the settings of the protocol, their validation, and the times that follow from them.
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

/// Milliseconds on the host's monotonic clock, or a span in milliseconds.
pub type Millis = u64;
