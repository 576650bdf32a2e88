//! Header section of a message (RFC 9110, section 5).
use crate::ParseError;
use httparse::{EMPTY_HEADER, Header};

/// Maximum number of header lines in one head; about ten are usual.
pub(crate) const MAX_HEADERS: usize = 64;

/// Headers of a parsed head, borrowed from its buffer.
#[derive(Clone, Copy)]
pub struct Headers<'b> {
    lines: [Header<'b>; MAX_HEADERS],
    count: usize,
}

impl<'b> Headers<'b> {
    pub(crate) fn empty() -> Self {
        Headers {
            lines: [EMPTY_HEADER; MAX_HEADERS],
            count: 0,
        }
    }

    /// Returns the lines for a parser to fill. They become valid with a call of `set_count`.
    pub(crate) fn lines_mut(&mut self) -> &mut [Header<'b>; MAX_HEADERS] {
        &mut self.lines
    }

    pub(crate) fn set_count(&mut self, count: usize) {
        self.count = count;
    }

    /// Returns names and values of all headers in the order of the head, with names as they were sent.
    pub fn iter(&self) -> impl Iterator<Item = (&'b str, &'b [u8])> {
        let lines = self.lines.iter().take(self.count);
        lines.map(|line| (line.name, line.value))
    }

    fn values<'s>(&'s self, name: &'s str) -> impl Iterator<Item = &'b [u8]> + 's {
        self.iter()
            .filter(move |h| h.0.eq_ignore_ascii_case(name))
            .map(|h| h.1)
    }

    /// Returns the value of a header that may occur once, without surrounding spaces, or `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns [`ParseError::Malformed`] if the header occurs more than once, or if its value has bytes other than
    /// visible ASCII and spaces.
    pub fn single(&self, name: &str) -> Result<Option<&'b str>, ParseError> {
        let mut values = self.values(name);
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() || !value.iter().all(|b| (b' '..=b'~').contains(b)) {
            return Err(ParseError::Malformed);
        }
        std::str::from_utf8(value)
            .map(|v| Some(v.trim()))
            .map_err(|_| ParseError::Malformed)
    }

    /// Returns whether a comma-separated header contains an element, compared without regard to case (RFC 9110,
    /// section 5.6.1).
    pub(crate) fn has_element(&self, name: &str, element: &[u8]) -> bool {
        let has_element = |value: &[u8]| {
            value
                .split(|b| *b == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(element))
        };
        self.values(name).any(has_element)
    }

    /// Returns whether the connection is closed after this message (RFC 9112, section 9.3).
    pub(crate) fn closes_connection(&self, http_10: bool) -> bool {
        self.has_element("Connection", b"close")
            || http_10 && !self.has_element("Connection", b"keep-alive")
    }
}
