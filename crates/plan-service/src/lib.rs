//! The plan service.
#![warn(missing_docs)]
