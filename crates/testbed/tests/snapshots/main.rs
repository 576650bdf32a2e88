//! Snapshots and clones through real processes: a catalog, two hosts, three stand-in nodes.
mod archives;
mod crash_points;
mod failures;
mod isolation;
mod site;
mod space;
