//! `mallowseam shares`: which nodes volumes are best placed on, worked out ahead of time from a problem file.
//!
//! - `problem_file`, `answer_file`: reading problems and worked-out answers.
//! - `solve`: searching for the best placement, and printing it.
//! - `report`: what a placement means for nodes, against another one, and as migration steps.
//! - `replay`: what answers would have earned with recorded demand.
//! - `apply`: writing an answer into a host's configuration.
//! - `error`, `units`: what they share.
mod answer_file;
mod apply;
mod error;
mod problem_file;
mod replay;
mod report;
mod solve;
mod units;

pub(crate) use apply::apply;
pub(crate) use error::PlacementError;
pub(crate) use replay::replay;
pub(crate) use report::{compare, explain, migration_steps};
pub(crate) use solve::solve;
