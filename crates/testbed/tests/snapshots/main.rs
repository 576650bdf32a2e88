//! Tests of snapshots and clones with real processes: a snapshot catalog and two hosts, with three stand-in nodes.
mod archives;
mod crash_points;
mod failures;
mod isolation;
mod site;
mod space;
