//! What was read of a client's requests.
use crate::buffers::{REQUEST_LIMITS, discard_front, recycle};
use mallowseam_http1::{MessageSpan, ParseError, RequestHead, RequestReader};

#[cfg(test)]
mod tests;

/// Bytes that were read; a request in flight stays at the front.
#[derive(Default)]
pub struct RequestBuffer {
    bytes: Vec<u8>,
    reader: RequestReader,
    /// The complete request at the front.
    complete: Option<MessageSpan>,
}

impl RequestBuffer {
    /// Bytes of memory held.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether it holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Bytes that belong to no complete request.
    pub fn unparsed(&self) -> usize {
        let complete = self.complete.map_or(0, |request| request.end);
        self.bytes.len() - complete
    }

    /// Bytes that it takes besides those that it holds.
    pub fn room(&self) -> usize {
        REQUEST_LIMITS
            .buffer_capacity()
            .saturating_sub(self.bytes.len())
    }

    /// Adds bytes that were read.
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Parses what was read; returns whether a request is complete.
    ///
    /// # Errors
    /// The request is malformed or exceeds a limit.
    pub fn parse(&mut self) -> Result<bool, ParseError> {
        self.complete = self.reader.advance(&mut self.bytes, REQUEST_LIMITS)?;
        Ok(self.complete.is_some())
    }

    /// Whether the client expects 100 Continue before it sends the body; true once.
    pub fn take_expect_continue(&mut self) -> bool {
        self.reader.take_expect_continue()
    }

    /// Whether the connection ends with the response to the request.
    pub fn closes_connection(&self) -> bool {
        self.reader.closes_connection()
    }

    /// The head and the body of the complete request, if there is one.
    pub fn request(&self) -> Option<(RequestHead<'_>, &[u8])> {
        let span = self.complete?;
        let head = RequestHead::parse(&self.bytes, REQUEST_LIMITS).ok()??;
        let body = self.bytes.get(span.body..span.end)?;
        Some((head, body))
    }

    /// Drops the complete request, which has its response; the next one may stand behind it.
    pub fn finish_request(&mut self) {
        if let Some(request) = self.complete.take() {
            discard_front(&mut self.bytes, request.end);
        }
        self.reader.reset();
    }

    /// Drops everything that was read.
    pub fn discard(&mut self) {
        self.complete = None;
        recycle(&mut self.bytes);
    }
}
