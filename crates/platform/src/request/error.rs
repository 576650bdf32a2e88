//! Errors of clients' requests.
use thiserror::Error;

/// Reason for rejecting a request. The client receives it as a response, and its connection stays open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.message())]
pub enum RequestError {
    /// The path is neither `/ready` nor `/CLASS/VOLUME/OBJECT`.
    UnknownPath,
    /// The method does not fit the path or the class.
    MethodNotAllowed,
    /// The class is not in the settings, or header and path name different classes.
    UnknownClass,
    /// The plan is not in the settings.
    UnknownPlan,
    /// Volume or object is not written as 16 hex digits.
    InvalidAddress,
    /// The timeout is absent, 0, or too large.
    InvalidTimeout,
    /// The request id is absent, or too long.
    InvalidRequestId,
    /// The placement is absent or invalid, or the request is too large.
    InvalidPlacement,
    /// The request is a read with a body.
    UnexpectedBody,
    /// The request is a write that does not declare a body.
    LengthRequired,
}

impl RequestError {
    /// Returns the status code of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            RequestError::UnknownPath => 404,
            RequestError::MethodNotAllowed => 405,
            RequestError::LengthRequired => 411,
            _ => 400,
        }
    }

    /// Returns the text of the error, which is the body of the response. Same text as `Display`, without an
    /// allocation.
    #[must_use]
    pub fn message(self) -> &'static str {
        match self {
            RequestError::UnknownPath => "no such path",
            RequestError::MethodNotAllowed => "method does not fit",
            RequestError::UnknownClass => "no such class, or another one in the path",
            RequestError::UnknownPlan => "no such plan",
            RequestError::InvalidAddress => "volume and piece are 16 hex digits each",
            RequestError::InvalidTimeout => "X-Timeout-Ms is a whole number above 0",
            RequestError::InvalidRequestId => "one X-Request-ID of 1 to 40 visible characters",
            RequestError::InvalidPlacement => "X-Placement is units=N,shard=N,hosts=N",
            RequestError::UnexpectedBody => "a read has no body",
            RequestError::LengthRequired => "a write states its length",
        }
    }
}
