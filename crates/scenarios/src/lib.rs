//! Scenarios that are played through hosts of `mallowseam`: scripts that say what a run consists of and which faults are
//! injected when.
#![warn(missing_docs)]
