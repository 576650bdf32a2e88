//! The asking side of a control socket.
use super::{END_OF_ANSWER, REFUSED};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// How long an answer may take. A snapshot is granted or fails within eleven seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a request on a control socket got no good answer.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// No process listens there, or it did not answer in time.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection ended within the answer, so whether the request was carried out is unknown.
    #[error("ended before its answer was whole; look whether it was done")]
    Truncated,
    /// The process refused the request, with its reason.
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
    if !answer.ends_with(END_OF_ANSWER) {
        return Err(RequestError::Truncated);
    }
    let answer = answer.trim_end().to_owned();
    match answer.strip_prefix(REFUSED) {
        Some(reason) => Err(RequestError::Refused(reason.to_owned())),
        None => Ok(answer),
    }
}
