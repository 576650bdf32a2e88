//! The block I/O scheduler of mallowseam: decides when each block I/O is sent, to which storage node, and which block
//! I/Os are shed.
//!
//! Create a [`Scheduler`] from a [`SchedulerConfig`](interface::SchedulerConfig), and call its `on_*` methods as events
//! occur. The scheduler performs no input or output and reads no clock; see [`interface`]. The scheduling decisions are
//! in `policy`, with one module per concern. `tests/support` contains a minimal host that runs a scheduler.
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
pub use policy::{Scheduler, may_have_run};
