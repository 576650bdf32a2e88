//! Files that hosts and the command line read whole or replace.
//!
//! - [`text_file`]: text files, the configuration among them.
//! - [`atomic_file`]: replacement of a file by a rename.
#![warn(missing_docs)]

pub mod atomic_file;
pub mod text_file;
