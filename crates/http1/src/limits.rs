//! Size limits of one message.
use crate::chunked::MAX_CODING_OVERHEAD;

/// Maximum sizes of one message, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of the head: start line, headers and the empty line after them.
    pub head: usize,
    /// Maximum size of the decoded body.
    pub body: usize,
}

impl Limits {
    /// Returns the maximum number of bytes that a reader needs in its buffer: head, body and the overhead of the
    /// chunked coding.
    #[must_use]
    pub fn buffer_capacity(&self) -> usize {
        self.head + self.body + MAX_CODING_OVERHEAD
    }
}
