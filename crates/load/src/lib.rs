//! Clients that put load on hosts of `mallowseam`, drawn by a seed.
#![warn(missing_docs)]
