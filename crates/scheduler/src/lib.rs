//! The block I/O scheduler of mallowseam: decides which block I/O goes to which storage node, when, and which
//! is shed.
//!
//! Make a [`Scheduler`] from a [`SchedulerConfig`](interface::SchedulerConfig), and tell it of events by its
//! `on_*` methods. It performs no input or output and reads no clock: see [`interface`].
#![warn(missing_docs)]

pub mod interface;
mod interner;
mod pcg;
mod policy;
mod recent_median;
mod slab;
mod sliding_sum;
mod state;
mod status;
mod timer_queue;

pub use interner::Interner;
pub use state::Scheduler;
