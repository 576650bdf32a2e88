//! The snapshot catalog service.
#![warn(missing_docs)]
