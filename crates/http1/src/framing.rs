//! How the end of a body is found (RFC 9112, section 6.3).
use crate::{Headers, Limits, ParseError};

/// How the body behind a head is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this many bytes (`Content-Length`).
    Length(usize),
    /// The body is in the chunked coding (`Transfer-Encoding: chunked`).
    Chunked,
}

impl Framing {
    /// The framing that the headers declare; `None` if they declare none.
    ///
    /// Stricter than RFC 9112, section 6.3, demands: both kinds of framing at once, a repeated or signed length, any
    /// coding but `chunked` alone, and a transfer coding in HTTP/1.0 are all rejected.
    pub(crate) fn declared(
        headers: &Headers<'_>,
        limits: Limits,
        http_10: bool,
    ) -> Result<Option<Self>, ParseError> {
        let ambiguous = |_| ParseError::AmbiguousFraming;
        let length = headers.single("Content-Length").map_err(ambiguous)?;
        let coding = headers.single("Transfer-Encoding").map_err(ambiguous)?;
        match (length, coding) {
            (None, None) => Ok(None),
            (Some(length), None) => parse_length(length, limits).map(|n| Some(Framing::Length(n))),
            (Some(_), Some(_)) => Err(ParseError::AmbiguousFraming),
            (None, Some(_)) if http_10 => Err(ParseError::AmbiguousFraming),
            (None, Some(coding)) if coding.eq_ignore_ascii_case("chunked") => {
                Ok(Some(Framing::Chunked))
            }
            (None, Some(_)) => Err(ParseError::Unsupported),
        }
    }
}

/// The value of `Content-Length`: digits only (RFC 9110, section 8.6).
fn parse_length(text: &str, limits: Limits) -> Result<usize, ParseError> {
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(ParseError::AmbiguousFraming);
    }
    // More digits than any integer holds are a well-formed length, which is too large.
    match text.parse() {
        Ok(length) if length <= limits.body => Ok(length),
        _ => Err(ParseError::BodyTooLarge),
    }
}
