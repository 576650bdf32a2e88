//! What the services have in common.
#![warn(missing_docs)]
