//! Outcome of writing buffered bytes to a client.

/// Outcome of writing buffered bytes to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlushOutcome {
    /// Some bytes wait for the socket, or the bytes written were not a response.
    Pending,
    /// The last byte of the response is written: the connection may be read again.
    ResponseWritten,
    /// The connection has failed.
    Closed,
}
