//! What every host keeps for its scheduler.
//!
//! The scheduler borrows its host while one of its methods runs, so nothing may be reported to it until that method
//! has returned. A host therefore queues what it has to report in its [`SchedulerDriver`], and reports it through
//! [`DrivenHost`] afterwards.
//!
//! - [`in_flight`]: the block I/Os in flight, from their arrival until the scheduler releases them.
//! - [`reports`]: withdrawals and finished attempts that the scheduler has not been told of yet.
//! - [`timer`]: the scheduler's timer.
//! - [`driver`]: these three together, and the calls of the scheduler that need them.
//!
//! The package performs no I/O and reads no clock: the host passes the time. What a block I/O or an attempt consists of
//! is the host's affair: they are type parameters.
#![warn(missing_docs)]

pub mod driver;
pub mod in_flight;
pub mod reports;
pub mod timer;

pub use driver::{DrivenHost, SchedulerDriver};
pub use in_flight::{InFlight, InFlightTable};
pub use reports::FinishedAttempt;
