//! The block I/O scheduler of mallowseam: decides which block I/O goes to which storage node, when, and which
//! is shed.
//!
//! Make a [`Scheduler`] from a [`SchedulerConfig`](interface::SchedulerConfig), and call its `on_*` methods as
//! events happen. It performs no input or output and reads no clock: see [`interface`]. The decisions are in
//! `policy`, one concern a module; `tests/support` has a small host that runs one.
#![warn(missing_docs)]

pub mod interface;
mod interner;
mod key_queue;
mod pcg;
mod policy;
mod recent_median;
mod slab;
mod sliding_sum;
mod timer_queue;

pub use interner::Interner;
pub use policy::Scheduler;
