//! Works out which nodes each volume lies on, ahead of time: reserves must fit at every node, also with any one
//! node or zone away where that is asked for; of what fits, the most gain in a surge of all, then the least
//! cost, then the least data moved, then the least by name. All numbers are whole, so that what fits and what
//! ties is exact, and equal answers always give the same one, in whatever order a problem is written.
//!
//! - `model`: the problem, checked and put in order.
//! - `value`: whether a placement fits, and what it is worth.
//! - `search`: the best placement, proven.
//! - `improve`: good placements of large problems, with `bound` for the proven gap.
//! - `choose`: weights and reserves that are left open, and a limit's parts by host.
//! - `moves`: the steps from today's placement to another one, none of which breaks what is promised.
//! - `conflict`: where none fits, a smallest set of demands that contradict, and the least relaxation.
pub mod bound;
pub mod choose;
pub mod conflict;
pub mod improve;
pub mod model;
pub mod moves;
pub mod search;
pub mod value;
