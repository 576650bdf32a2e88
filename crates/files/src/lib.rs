//! Files that hosts and the command-line program read as a whole or replace.
//!
//! - [`text_file`]: text files, including configuration files.
//! - [`atomic_file`]: atomic replacement of files.
#![warn(missing_docs)]

pub mod atomic_file;
pub mod text_file;
