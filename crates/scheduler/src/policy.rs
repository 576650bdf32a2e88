//! The scheduling decisions. Each concern has a type in a file of the same name, with its state, its constants and its
//! decisions. [`scheduler`] owns these types and defines what happens on each event.
//!
//! `docs/design.md` states which parts of the paper "Burstable Cloud Block Storage with Data Processing Units" are
//! implemented.
mod backoff;
mod concurrency_window;
mod constants;
mod cost_multiplier;
mod endpoint_poller;
mod fleet_latency;
mod idempotency;
mod io_classes;
mod latency_estimate;
mod lost_responses;
mod node;
mod node_budget;
mod node_queue;
mod ordering_keys;
mod plan_rates;
mod priority;
mod rate_limiter;
mod request;
mod retry_budget;
mod scheduler;
mod shed_history;
mod slow_start;
#[cfg(test)]
mod tests;
mod timers;
mod usual_rate;
mod volume;
mod warm_demand;

pub use idempotency::may_have_run;
pub use scheduler::Scheduler;
