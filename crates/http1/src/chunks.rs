//! The chunked coding (RFC 9112, 7.1), decoded in place.
use crate::ParseError;
use httparse::Status;

/// A chunk's line with its extensions, at most; and all trailers together.
const LINE: usize = 256;
const TRAILERS: usize = 2_048;
/// What may stand in a buffer beside the decoded bytes: one line, or the trailers.
pub(crate) const AROUND: usize = LINE + TRAILERS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    Data(usize),
    /// Behind a chunk's data.
    End,
    Trailers(usize),
    Over,
}

/// A chunked body in a buffer: what is decoded stands from `from` to `at`, what is not yet behind it.
#[derive(Clone, Copy, Debug)]
pub struct ChunkedDecoder {
    at: usize,
    state: State,
}

impl ChunkedDecoder {
    /// A body that begins at this place of its buffer.
    pub fn new(from: usize) -> Self {
        ChunkedDecoder { at: from, state: State::Size }
    }

    /// The end of what is decoded.
    pub fn decoded_end(&self) -> usize {
        self.at
    }

    pub fn is_complete(&self) -> bool {
        self.state == State::Over
    }

    /// `count` bytes were taken off the buffer's front.
    pub fn discard_front(&mut self, count: usize) {
        self.at -= count;
    }

    /// Decodes what has come. `most`: where decoded bytes may end. What is left behind `at` is either not yet
    /// decoded, or behind the body once it is over.
    pub fn decode(&mut self, buffer: &mut Vec<u8>, most: usize) -> Result<(), ParseError> {
        let mut read = self.at;
        let done = self.steps(buffer, most, &mut read);
        drop(buffer.drain(self.at..read));
        done
    }

    fn steps(&mut self, buffer: &mut [u8], most: usize, read: &mut usize) -> Result<(), ParseError> {
        loop {
            let rest = &buffer[*read..];
            match self.state {
                State::Over => return Ok(()),
                State::Size => {
                    // Only a digit may begin the line, and only CRLF end it.
                    if rest.first().is_some_and(|b| !b.is_ascii_hexdigit()) {
                        return Err(ParseError::AmbiguousFraming);
                    }
                    match httparse::parse_chunk_size(&rest[..rest.len().min(LINE)]) {
                        Ok(Status::Complete((len, size))) => {
                            *read += len;
                            if size > most.saturating_sub(self.at) as u64 {
                                return Err(ParseError::BodyTooLarge);
                            }
                            self.state = match size {
                                0 => State::Trailers(0),
                                size => State::Data(size as usize),
                            };
                        }
                        Ok(Status::Partial) if rest.len() >= LINE => {
                            return Err(ParseError::AmbiguousFraming);
                        }
                        Ok(Status::Partial) => return Ok(()),
                        Err(_) => return Err(ParseError::AmbiguousFraming),
                    }
                }
                State::Data(left) => {
                    let count = rest.len().min(left);
                    buffer.copy_within(*read..*read + count, self.at);
                    self.at += count;
                    *read += count;
                    if count < left {
                        self.state = State::Data(left - count);
                        return Ok(());
                    }
                    self.state = State::End;
                }
                State::End => match rest {
                    [b'\r', b'\n', ..] => {
                        *read += 2;
                        self.state = State::Size;
                    }
                    [] | [b'\r'] => return Ok(()),
                    _ => return Err(ParseError::AmbiguousFraming),
                },
                State::Trailers(had) => {
                    let Some(end) = rest.iter().take(TRAILERS - had).position(|b| *b == b'\n') else {
                        return if rest.len() + had >= TRAILERS {
                            Err(ParseError::HeadTooLarge)
                        } else {
                            Ok(())
                        };
                    };
                    if end == 0 || rest[end - 1] != b'\r' {
                        return Err(ParseError::AmbiguousFraming);
                    }
                    *read += end + 1;
                    self.state = if end == 1 { State::Over } else { State::Trailers(had + end + 1) };
                }
            }
        }
    }
}
