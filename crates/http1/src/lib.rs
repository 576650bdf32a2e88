//! HTTP/1.1 messages (RFC 9110 and RFC 9112), without I/O.
//!
//! The caller appends bytes to a buffer as they arrive, in pieces of any size; a reader reports a message once it is
//! complete. Every step has an upper bound. Framing follows the strict reading of RFC 9112: whatever a recipient may
//! reject is rejected, so that the end of a message is never ambiguous.
//!
//! - [`RequestReader`] and [`ResponseReader`]: readers of complete messages, head and body.
//! - [`RequestHead`] and [`ResponseHead`]: one head, its [`Headers`], and the [`Framing`] of the body after it.
//! - [`ChunkedDecoder`]: decoder of the chunked transfer coding, for bodies that are used before they are complete.
//!
//! ```
//! use mallowseam_http1::{Limits, RequestHead, RequestReader};
//!
//! let limits = Limits { head: 8 * 1024, body: 64 * 1024 };
//! let mut reader = RequestReader::default();
//! let mut buffer = b"PUT /a HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n\r\nhel".to_vec();
//! assert_eq!(reader.advance(&mut buffer, limits), Ok(None));
//! buffer.extend_from_slice(b"lo");
//! let span = reader.advance(&mut buffer, limits)?.expect("complete");
//! assert_eq!(&buffer[span.body..span.end], b"hello");
//! let head = RequestHead::parse(&buffer, limits)?.expect("complete");
//! assert_eq!((head.method, head.target), ("PUT", "/a"));
//! # Ok::<(), mallowseam_http1::ParseError>(())
//! ```
#![warn(missing_docs)]

mod chunked;
mod error;
mod framing;
mod head;
mod headers;
mod limits;
mod reader;

pub use chunked::ChunkedDecoder;
pub use error::ParseError;
pub use framing::Framing;
pub use head::{RequestHead, ResponseHead};
pub use headers::Headers;
pub use limits::Limits;
pub use reader::{MessageSpan, RequestReader, ResponseReader};
