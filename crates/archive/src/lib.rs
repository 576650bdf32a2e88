//! A snapshot as a stream: a header, frames of extents compressed with zstd (RFC 8878), and an end record, each with
//! a BLAKE3 hash. A truncated stream is read up to its last complete frame and can be resumed from there.
//!
//! | record | fields, all numbers little-endian |
//! | --- | --- |
//! | header | `MSEAM1\n`, a zero byte; bytes of an extent (u32); number of extents (u32); length of the name (u16); the name; hash of all that |
//! | frame | `F`; index of the extent (u32); length of the compressed data (u32); the data; hash of index and data |
//! | end | `E`; number of frames (u32); hash over the hashes of header and frames |
#![warn(missing_docs)]

mod error;
mod format;
mod reader;
mod writer;

pub use error::Error;
pub use format::{Header, ResumePoint};
pub use reader::{Reader, Record};
pub use writer::Writer;
