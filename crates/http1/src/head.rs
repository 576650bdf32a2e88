//! One head: the first line, the headers, and what they say of the body.
use crate::{Limits, ParseError};
use httparse::{EMPTY_HEADER, Header, Status};

/// Headers in one head, at most: some ten are usual.
const HEADERS: usize = 64;
/// 1xx answers are skipped by the reader of messages; one that changes the protocol can't be.
const SWITCHING: u16 = 101;

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    None,
    Length(usize),
    Chunked,
}

/// The headers of a head that was read.
#[derive(Clone, Copy)]
pub struct Headers<'b> {
    all: [Header<'b>; HEADERS],
    count: usize,
}

impl<'b> Headers<'b> {
    fn none() -> Self {
        Headers { all: [EMPTY_HEADER; HEADERS], count: 0 }
    }

    pub fn iter(&self) -> impl Iterator<Item = (&'b str, &'b [u8])> {
        self.all[..self.count].iter().map(|h| (h.name, h.value))
    }

    fn values<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'b [u8]> + 's {
        self.iter().filter(move |h| h.0.eq_ignore_ascii_case(name)).map(|h| h.1)
    }

    /// The value of a header that must not stand twice. Error: it does, or is no visible text.
    pub fn single(&self, name: &str) -> Result<Option<&'b str>, ParseError> {
        let mut values = self.values(name);
        let Some(value) = values.next() else { return Ok(None) };
        if values.next().is_some() || !value.iter().all(|b| (b' '..=b'~').contains(b)) {
            return Err(ParseError::Malformed);
        }
        std::str::from_utf8(value).map(|v| Some(v.trim())).map_err(|_| ParseError::Malformed)
    }

    /// Whether one of the words of a comma-separated header is this one.
    fn lists(&self, name: &str, word: &[u8]) -> bool {
        let has =
            |value: &[u8]| value.split(|b| *b == b',').any(|w| w.trim_ascii().eq_ignore_ascii_case(word));
        self.values(name).any(has)
    }

    /// RFC 9112, 6.3, in its strict reading: both framings at once, a repeated or signed length and any
    /// coding but `chunked` alone are refused.
    fn framing(&self, bounds: Limits, http10: bool) -> Result<Option<Framing>, ParseError> {
        let length = match self.single("Content-Length") {
            Ok(length) => length,
            Err(_) => return Err(ParseError::AmbiguousFraming),
        };
        let coding = match self.single("Transfer-Encoding") {
            Ok(coding) => coding,
            Err(_) => return Err(ParseError::AmbiguousFraming),
        };
        match (length, coding) {
            (Some(_), Some(_)) => Err(ParseError::AmbiguousFraming),
            (None, Some(_)) if http10 => Err(ParseError::AmbiguousFraming),
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => Ok(Some(Framing::Chunked)),
            (None, Some(_)) => Err(ParseError::Unsupported),
            (Some(length), None) => {
                if length.is_empty() || !length.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(ParseError::AmbiguousFraming);
                }
                // Digits past any number are a huge length, and said to be one.
                let length = length.parse::<u64>().unwrap_or(u64::MAX);
                if length > bounds.body as u64 {
                    return Err(ParseError::BodyTooLarge);
                }
                Ok(Some(Framing::Length(length as usize)))
            }
            (None, None) => Ok(None),
        }
    }

    fn closes(&self, http10: bool) -> bool {
        self.lists("Connection", b"close") || http10 && !self.lists("Connection", b"keep-alive")
    }
}

/// What a parse of a head's bytes, so many of them, came to: its length, or none while it is not whole.
fn parsed(tried: httparse::Result<usize>, had: usize, bounds: Limits) -> Result<Option<usize>, ParseError> {
    match tried {
        Ok(Status::Complete(len)) => Ok(Some(len)),
        Ok(Status::Partial) if had >= bounds.head => Err(ParseError::HeadTooLarge),
        Ok(Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(httparse::Error::Version) => Err(ParseError::Unsupported),
        Err(_) => Err(ParseError::Malformed),
    }
}

/// The head of a request.
pub struct RequestHead<'b> {
    pub method: &'b str,
    pub target: &'b str,
    pub headers: Headers<'b>,
    /// The client wants the connection closed behind the answer.
    pub close: bool,
    /// It waits for a word before it sends its body.
    pub expects_continue: bool,
    pub framing: Framing,
    /// Bytes of the head.
    pub len: usize,
}

impl<'b> RequestHead<'b> {
    /// Reads one off the front; none: it is not whole yet.
    pub fn parse(bytes: &'b [u8], bounds: Limits) -> Result<Option<Self>, ParseError> {
        let window = &bytes[..bytes.len().min(bounds.head)];
        let mut headers = Headers::none();
        let mut request = httparse::Request::new(&mut headers.all);
        let Some(len) = parsed(request.parse(window), bytes.len(), bounds)? else { return Ok(None) };
        let (Some(method), Some(target), Some(version)) = (request.method, request.path, request.version)
        else {
            return Err(ParseError::Malformed);
        };
        let http10 = version == 0;
        headers.count = request.headers.len();
        let framing = headers.framing(bounds, http10)?.unwrap_or(Framing::None);
        // RFC 9112, 3.2: a request of HTTP/1.1 names its host, once.
        if !matches!(headers.single("Host"), Ok(host) if host.is_some() || http10) {
            return Err(ParseError::Malformed);
        }
        let close = headers.closes(http10);
        let expects_continue = !http10 && headers.lists("Expect", b"100-continue");
        Ok(Some(RequestHead { method, target, headers, close, expects_continue, framing, len }))
    }

    /// Whether the request states its body's length, be it nothing.
    pub fn declares_body(&self) -> bool {
        self.framing != Framing::None
    }
}

/// The head of an answer.
pub struct ResponseHead<'b> {
    pub status: u16,
    pub headers: Headers<'b>,
    pub close: bool,
    pub framing: Framing,
    pub len: usize,
}

impl<'b> ResponseHead<'b> {
    /// Reads one off the front; none: it is not whole yet. An answer that only the connection's end would
    /// bound is refused: a break could not be told from its end.
    pub fn parse(bytes: &'b [u8], bounds: Limits) -> Result<Option<Self>, ParseError> {
        let window = &bytes[..bytes.len().min(bounds.head)];
        let mut headers = Headers::none();
        let mut answer = httparse::Response::new(&mut headers.all);
        let Some(len) = parsed(answer.parse(window), bytes.len(), bounds)? else { return Ok(None) };
        let (Some(status), Some(version)) = (answer.code, answer.version) else {
            return Err(ParseError::Malformed);
        };
        if status == SWITCHING || !(100..600).contains(&status) {
            return Err(ParseError::Unsupported);
        }
        headers.count = answer.headers.len();
        let bare = status < 200 || status == 204 || status == 304;
        let framing = match headers.framing(bounds, version == 0)? {
            _ if bare => Framing::None,
            Some(framing) => framing,
            None => return Err(ParseError::MissingLength),
        };
        Ok(Some(ResponseHead { status, headers, close: headers.closes(version == 0), framing, len }))
    }

    /// 1xx: the answer proper is still to come.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }
}
