//! The heads of requests and responses (RFC 9112, sections 2 to 5).
use crate::{Framing, Headers, Limits, ParseError};
use httparse::Status;

/// 101 Switching Protocols (RFC 9110, section 15.2.2): what follows it is no HTTP/1.1 message.
const SWITCHING_PROTOCOLS: u16 = 101;

/// The head of a request, borrowed from its buffer.
pub struct RequestHead<'b> {
    /// The method, as sent.
    pub method: &'b str,
    /// The request target, as sent: path and query in origin form.
    pub target: &'b str,
    /// The header section.
    pub headers: Headers<'b>,
    /// Whether the client wants the connection closed behind the response.
    pub close: bool,
    /// Whether the client waits for 100 (Continue) before it sends the body (RFC 9110, section 10.1.1).
    pub expects_continue: bool,
    /// How the body is delimited.
    pub framing: Framing,
    /// Length of the head in bytes.
    pub len: usize,
}

impl<'b> RequestHead<'b> {
    /// Parses a head off the front of `bytes`; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// The head is malformed, ambiguous about the end of its body, unsupported, or exceeds a limit.
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
        // RFC 9112, section 3.2: a request of HTTP/1.1 has exactly one Host header.
        if !matches!(headers.single("Host"), Ok(host) if host.is_some() || http_10) {
            return Err(ParseError::Malformed);
        }
        let close = headers.close_connection(http_10);
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

    /// Whether the head declares a body, an empty one included (RFC 9112, section 6).
    #[must_use]
    pub fn declares_body(&self) -> bool {
        self.framing != Framing::None
    }
}

/// The head of a response, borrowed from its buffer.
pub struct ResponseHead<'b> {
    /// The status code, 100 to 599.
    pub status: u16,
    /// The header section.
    pub headers: Headers<'b>,
    /// Whether the server closes the connection behind this response.
    pub close: bool,
    /// How the body is delimited.
    pub framing: Framing,
    /// Length of the head in bytes.
    pub len: usize,
}

impl<'b> ResponseHead<'b> {
    /// Parses a head off the front of `bytes`; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// As for a request. A response whose body would end only with the connection is
    /// [`ParseError::MissingLength`]: a broken connection could not be told from the end of the body.
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
            close: headers.close_connection(http_10),
            framing,
            len,
        }))
    }

    /// Whether this is an interim (1xx) response: the final one is still to come (RFC 9110, section 15.2).
    #[must_use]
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }
}

/// Statuses whose responses never have a body (RFC 9112, section 6.3).
fn has_no_body(status: u16) -> bool {
    status < 200 || status == 204 || status == 304
}

/// The length of a parsed head; `None` while it is incomplete. `received`: bytes in the buffer.
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
