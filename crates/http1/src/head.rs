//! Heads of requests and responses (RFC 9112, sections 2 to 5).
use crate::{Framing, Headers, Limits, ParseError};
use httparse::Status;

/// Status 101 (Switching Protocols, RFC 9110, section 15.2.2). The bytes after it are not an HTTP/1.1 message.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Head of a request, borrowed from its buffer.
pub struct RequestHead<'b> {
    /// Method as it was sent.
    pub method: &'b str,
    /// Request target as it was sent: path and query in origin form.
    pub target: &'b str,
    /// Header section.
    pub headers: Headers<'b>,
    /// Whether the client requests that the connection is closed after the response.
    pub close: bool,
    /// Whether the client waits for 100 (Continue) before it sends the body (RFC 9110, section 10.1.1).
    pub expects_continue: bool,
    /// Framing of the body.
    pub framing: Framing,
    /// Length of the head in bytes.
    pub len: usize,
}

impl<'b> RequestHead<'b> {
    /// Parses the head at the front of `bytes`. `None`: the head is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed, is ambiguous about the end of its body, is unsupported, or exceeds a
    /// limit.
    pub fn parse(bytes: &'b [u8], limits: Limits) -> Result<Option<Self>, ParseError> {
        let window = &bytes[..bytes.len().min(limits.head)];
        let mut headers = Headers::empty();
        let mut request = httparse::Request::new(headers.lines_mut());
        let Some(len) = head_length(request.parse(window), bytes.len(), limits)? else {
            return Ok(None);
        };
        let (Some(method), Some(target), Some(version)) =
            (request.method, request.path, request.version)
        else {
            return Err(ParseError::Malformed);
        };
        let http_10 = version == 0;
        let count = request.headers.len();
        headers.set_count(count);
        let framing = Framing::declared(&headers, limits, http_10)?.unwrap_or(Framing::None);
        // RFC 9112, section 3.2: an HTTP/1.1 request has exactly one Host header.
        if !matches!(headers.single("Host"), Ok(host) if host.is_some() || http_10) {
            return Err(ParseError::Malformed);
        }
        let close = headers.closes_connection(http_10);
        let expects_continue = !http_10 && headers.has_element("Expect", b"100-continue");
        Ok(Some(RequestHead {
            method,
            target,
            headers,
            close,
            expects_continue,
            framing,
            len,
        }))
    }

    /// Returns whether the head declares a body, which may be empty (RFC 9112, section 6).
    #[must_use]
    pub fn declares_body(&self) -> bool {
        self.framing != Framing::None
    }
}

/// Head of a response, borrowed from its buffer.
pub struct ResponseHead<'b> {
    /// Status code, 100 to 599.
    pub status: u16,
    /// Header section.
    pub headers: Headers<'b>,
    /// Whether the server closes the connection after this response.
    pub close: bool,
    /// Framing of the body.
    pub framing: Framing,
    /// Length of the head in bytes.
    pub len: usize,
}

impl<'b> ResponseHead<'b> {
    /// Parses the head at the front of `bytes`. `None`: the head is incomplete.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`RequestHead::parse`], and [`ParseError::MissingLength`] for a response whose body
    /// would end only with the connection: a failed connection could not be distinguished from the end of the body.
    pub fn parse(bytes: &'b [u8], limits: Limits) -> Result<Option<Self>, ParseError> {
        let window = &bytes[..bytes.len().min(limits.head)];
        let mut headers = Headers::empty();
        let mut response = httparse::Response::new(headers.lines_mut());
        let Some(len) = head_length(response.parse(window), bytes.len(), limits)? else {
            return Ok(None);
        };
        let (Some(status), Some(version)) = (response.code, response.version) else {
            return Err(ParseError::Malformed);
        };
        if status == SWITCHING_PROTOCOLS || !(100..600).contains(&status) {
            return Err(ParseError::Unsupported);
        }
        let http_10 = version == 0;
        let count = response.headers.len();
        headers.set_count(count);
        let framing = match Framing::declared(&headers, limits, http_10)? {
            _ if has_no_body(status) => Framing::None,
            Some(framing) => framing,
            None => return Err(ParseError::MissingLength),
        };
        Ok(Some(ResponseHead {
            status,
            headers,
            close: headers.closes_connection(http_10),
            framing,
            len,
        }))
    }

    /// Returns whether this is an interim (1xx) response, which a final one follows (RFC 9110, section 15.2).
    #[must_use]
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }
}

/// Returns whether responses with this status never have a body (RFC 9112, section 6.3).
fn has_no_body(status: u16) -> bool {
    status < 200 || status == 204 || status == 304
}

/// Returns the length of a parsed head, or `None` if the head is incomplete. `received`: number of bytes in the
/// buffer.
fn head_length(
    parsed: httparse::Result<usize>,
    received: usize,
    limits: Limits,
) -> Result<Option<usize>, ParseError> {
    match parsed {
        Ok(Status::Complete(len)) => Ok(Some(len)),
        Ok(Status::Partial) if received >= limits.head => Err(ParseError::HeadTooLarge),
        Ok(Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(httparse::Error::Version) => Err(ParseError::Unsupported),
        Err(_) => Err(ParseError::Malformed),
    }
}
