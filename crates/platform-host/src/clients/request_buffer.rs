//! Buffer of the bytes read from a client's connection.
use crate::buffers::{REQUEST_LIMITS, discard_front, recycle};
use mallowseam_http1::{MessageSpan, ParseError, RequestHead, RequestReader};

#[cfg(test)]
mod tests;

/// Bytes read from a client's connection. A request stays at the front until it is answered.
#[derive(Default)]
pub struct RequestBuffer {
    bytes: Vec<u8>,
    reader: RequestReader,
    /// Position of the complete request at the front.
    complete: Option<MessageSpan>,
}

impl RequestBuffer {
    /// Returns the capacity of the buffer, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns whether the buffer contains no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the number of bytes that belong to no complete request.
    pub fn unparsed(&self) -> usize {
        let complete = self.complete.map_or(0, |request| request.end);
        self.bytes.len() - complete
    }

    /// Returns the number of bytes that may still be appended within the limits of a request.
    pub fn remaining_capacity(&self) -> usize {
        REQUEST_LIMITS
            .buffer_capacity()
            .saturating_sub(self.bytes.len())
    }

    /// Appends bytes that were read.
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Parses the bytes read so far, and returns whether a request is complete.
    ///
    /// # Errors
    /// Returns an error if the request is malformed or exceeds a limit.
    pub fn parse(&mut self) -> Result<bool, ParseError> {
        self.complete = self.reader.advance(&mut self.bytes, REQUEST_LIMITS)?;
        Ok(self.complete.is_some())
    }

    /// Returns whether the client expects 100 Continue before it sends the body. Returns `true` only once per request.
    pub fn take_expect_continue(&mut self) -> bool {
        self.reader.take_expect_continue()
    }

    /// Returns whether the connection ends with the response to the request.
    pub fn closes_connection(&self) -> bool {
        self.reader.closes_connection()
    }

    /// Returns the head and the body of the complete request, if there is one.
    pub fn request(&self) -> Option<(RequestHead<'_>, &[u8])> {
        let span = self.complete?;
        let head = RequestHead::parse(&self.bytes, REQUEST_LIMITS).ok()??;
        let body = self.bytes.get(span.body..span.end)?;
        Some((head, body))
    }

    /// Removes the complete request after it was answered. Bytes of the next request may follow it and are kept.
    pub fn finish_request(&mut self) {
        if let Some(request) = self.complete.take() {
            discard_front(&mut self.bytes, request.end);
        }
        self.reader.reset();
    }

    /// Discards all bytes read.
    pub fn discard(&mut self) {
        self.complete = None;
        recycle(&mut self.bytes);
    }
}
