//! Framing of bodies: how the end of a body is determined (RFC 9112, section 6.3).
use crate::{Headers, Limits, ParseError};

/// Framing of the body that follows a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    None,
    /// The body has this many bytes (`Content-Length`).
    Length(usize),
    /// The body is in the chunked coding (`Transfer-Encoding: chunked`).
    Chunked,
}

impl Framing {
    /// Returns the framing that the headers declare, or `None` if they declare none.
    ///
    /// Stricter than RFC 9112, section 6.3, requires: rejects both kinds of framing at once, a repeated or signed
    /// length, any transfer coding other than `chunked` alone, and a transfer coding in HTTP/1.0.
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

/// Parses the value of `Content-Length`, which consists of digits only (RFC 9110, section 8.6).
fn parse_length(text: &str, limits: Limits) -> Result<usize, ParseError> {
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(ParseError::AmbiguousFraming);
    }
    // A number that exceeds the integer type is a well-formed length that is too large.
    match text.parse() {
        Ok(length) if length <= limits.body => Ok(length),
        _ => Err(ParseError::BodyTooLarge),
    }
}
