//! `mallowseam shares`: computes offline, from a problem file, on which nodes volumes are best placed.
//!
//! - `problem_file`, `answer_file`: parsers of problem files and of answer files.
//! - `solve`: searches for the best placement and prints it as an answer.
//! - `report`: load of each node under a placement, comparison of two placements, and migration steps.
//! - `replay`: gain of answers with recorded demand.
//! - `apply`: writes an answer into a host's configuration.
//! - `error`, `units`: errors and unit conversions of the other modules.
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
