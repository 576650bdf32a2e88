//! What hosts, services and the command line share of the protocols between them.
#![warn(missing_docs)]
