//! The decisions: one concern a module, all of them methods of [`Scheduler`](crate::Scheduler).
//!
//! Constants stand beside their use; `docs/design.md` tells what is kept of the paper, "Burstable Cloud Block
//! Storage with Data Processing Units".
mod allocation;
mod constants;
mod dispatch;
mod endpoint_polling;
mod endpoints;
mod events;
mod node_health;
mod ordering;
mod placement;
mod rate_limits;
mod retries;
mod setup;
mod slow_start;

pub(crate) use node_health::RECENT_ANSWERS;
