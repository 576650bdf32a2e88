//! The format of a snapshot as a stream: a header, frames of extents compressed with zstd (RFC 8878), and an end
//! record, each with a BLAKE3 hash. A truncated stream can be read up to its last complete frame and resumed from
//! there.
//!
//! | record | fields, all numbers little-endian |
//! | --- | --- |
//! | header | `MSEAM1\n`; a zero byte; size of an extent in bytes (u32); number of extents (u32); length of the name in bytes (u16); the name; hash of all these fields |
//! | frame | `F`; index of the extent (u32); length of the compressed data in bytes (u32); the compressed data; hash of the index and the compressed data |
//! | end | `E`; number of frames (u32); hash over the hashes of the header and all frames |
#![warn(missing_docs)]

mod error;
mod format;
mod reader;
mod writer;

pub use error::Error;
pub use format::{Header, ResumePoint};
pub use reader::{Reader, Record};
pub use writer::Writer;
