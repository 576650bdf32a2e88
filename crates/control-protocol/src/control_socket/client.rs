//! The client side of a control socket.
use super::{ANSWER_TERMINATOR, REFUSAL_PREFIX};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// Maximum time until an answer: a snapshot succeeds or fails within eleven seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Reason why a request on a control socket failed.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No process listens on the socket, or it did not answer in time.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection ended before the end of the answer, so it is unknown whether the request was carried out.
    #[error(
        "control connection ended before the answer was complete; check whether the request was carried out"
    )]
    Truncated,
    /// The process refused the request for this reason.
    #[error("{0}")]
    Refused(String),
}

/// Sends one request line to a control socket and returns the answer.
///
/// # Errors
/// No process listens at the path, it does not answer within fifteen seconds, the answer is truncated, or the
/// request is refused.
pub fn send_request(path: &Path, request: &str) -> Result<String, RequestError> {
    let mut socket = UnixStream::connect(path)?;
    socket.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    socket.write_all(format!("{request}\n").as_bytes())?;
    let mut answer = String::new();
    socket.read_to_string(&mut answer)?;
    if !answer.ends_with(ANSWER_TERMINATOR) {
        return Err(RequestError::Truncated);
    }
    let answer = answer.trim_end().to_owned();
    match answer.strip_prefix(REFUSAL_PREFIX) {
        Some(reason) => Err(RequestError::Refused(reason.to_owned())),
        None => Ok(answer),
    }
}
