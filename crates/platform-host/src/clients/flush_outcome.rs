//! How far the bytes for a client have got.

/// What has become of the bytes to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlushOutcome {
    /// Some wait for the socket, or they were no response.
    Pending,
    /// The response is written: the connection may be read again.
    ResponseWritten,
    /// The connection has failed.
    Closed,
}
