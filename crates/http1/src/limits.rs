//! Size limits of one message.
use crate::chunked::MAX_CODING_OVERHEAD;

/// Upper bounds of one message, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The head: start line, headers and the empty line behind them.
    pub head: usize,
    /// The body, decoded.
    pub body: usize,
}

impl Limits {
    /// The most bytes that a reader ever needs in its buffer: the head, the body, and what the chunked coding adds.
    #[must_use]
    pub fn buffer_capacity(&self) -> usize {
        self.head + self.body + MAX_CODING_OVERHEAD
    }
}
