//! The state that every host keeps for its scheduler.
//!
//! The scheduler borrows its host while one of its methods runs, so nothing may be reported to it until that method has
//! returned. A host therefore queues its reports in its [`SchedulerDriver`] and makes them through [`DrivenHost`]
//! afterwards.
//!
//! - [`in_flight`]: the block I/Os in flight, from their arrival until the scheduler releases them.
//! - [`reports`]: withdrawals and finished attempts that have not been reported to the scheduler yet.
//! - [`timer`]: the scheduler's timer.
//! - [`driver`]: the combination of these three, and the scheduler calls that depend on it.
//!
//! The package performs no I/O and reads no clock: the host passes the time. The data about a block I/O or an attempt
//! is defined by the host through type parameters.
#![warn(missing_docs)]

pub mod driver;
pub mod in_flight;
pub mod reports;
pub mod timer;

pub use driver::{DrivenHost, SchedulerDriver};
pub use in_flight::{InFlight, InFlightTable};
pub use reports::FinishedAttempt;
