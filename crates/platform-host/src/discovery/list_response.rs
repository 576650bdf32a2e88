//! The response of the discovery service to a watch, as far as it was read: a stream of lines, or a single list.
use super::{WatchError, WatchMessage};
use crate::buffers::{REQUEST_LIMITS, recycle};
use mallowseam_http1::{ChunkedDecoder, Framing, Limits, ResponseHead};
use mallowseam_platform::endpoints::{self, WatchFrame};

#[cfg(test)]
mod tests;

/// An endpoint list is far longer than a message of clients or nodes.
const LIST_LIMITS: Limits = Limits {
    head: REQUEST_LIMITS.head,
    body: endpoints::MAX_LIST_BYTES,
};
/// Status of a response that has a list.
const OK: u16 = 200;

/// What is read next of the response.
#[derive(Default)]
enum Stage {
    /// The head.
    #[default]
    Head,
    /// A stream of lines.
    Stream(ChunkedDecoder),
    /// A single list of this many bytes.
    Snapshot(usize),
}

/// A response that arrives cut anywhere.
#[derive(Default)]
pub struct ListResponse {
    bytes: Vec<u8>,
    stage: Stage,
}

impl ListResponse {
    /// Whether the head of the final response was received.
    pub fn has_started(&self) -> bool {
        !matches!(self.stage, Stage::Head)
    }

    /// Takes in bytes that have arrived, and adds the messages that they complete.
    ///
    /// # Errors
    /// The watch is over: the response is invalid, or has ended. Messages before that are added all the same.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        messages: &mut Vec<WatchMessage>,
    ) -> Result<(), WatchError> {
        self.bytes.extend_from_slice(bytes);
        self.read_head()?;
        self.read_body(messages)
    }

    /// Reads the head of the response, past any interim (1xx) ones.
    fn read_head(&mut self) -> Result<(), WatchError> {
        while !self.has_started() {
            let head = ResponseHead::parse(&self.bytes, LIST_LIMITS);
            let Some(head) = head.map_err(WatchError::Malformed)? else {
                return Ok(());
            };
            let len = head.len;
            if !head.is_interim() {
                self.stage = body_stage(&head)?;
            }
            drop(self.bytes.drain(..len));
        }
        Ok(())
    }

    fn read_body(&mut self, messages: &mut Vec<WatchMessage>) -> Result<(), WatchError> {
        match self.stage {
            Stage::Head => Ok(()),
            Stage::Snapshot(len) => self.read_snapshot(len, messages),
            Stage::Stream(_) => self.read_stream(messages),
        }
    }

    /// Reads a single list once it is complete. A service that sends one sends nothing after it: a new watch has to
    /// request changes.
    fn read_snapshot(
        &mut self,
        len: usize,
        messages: &mut Vec<WatchMessage>,
    ) -> Result<(), WatchError> {
        let Some(list) = self.bytes.get(..len) else {
            return Ok(());
        };
        read_updates(list, true, messages)?;
        Err(WatchError::ListEnded)
    }

    /// Reads the complete lines of a stream.
    fn read_stream(&mut self, messages: &mut Vec<WatchMessage>) -> Result<(), WatchError> {
        let Stage::Stream(chunks) = &mut self.stage else {
            return Ok(());
        };
        let decoded = chunks.decode(&mut self.bytes, LIST_LIMITS.body);
        decoded.map_err(WatchError::Malformed)?;
        let is_over = chunks.is_complete();
        let consumed = read_updates(&self.bytes[..chunks.decoded_end()], is_over, messages)?;
        chunks.discard_front(consumed);
        drop(self.bytes.drain(..consumed));
        if self.bytes.is_empty() {
            recycle(&mut self.bytes);
        }
        if is_over {
            Err(WatchError::StreamEnded)
        } else {
            Ok(())
        }
    }
}

/// How the body behind the head of a final response is read.
fn body_stage(head: &ResponseHead) -> Result<Stage, WatchError> {
    if head.status != OK {
        return Err(WatchError::Status(head.status));
    }
    match head.framing {
        Framing::Chunked => Ok(Stage::Stream(ChunkedDecoder::new(0))),
        Framing::Length(len) => Ok(Stage::Snapshot(len)),
        Framing::None => Err(WatchError::NoList),
    }
}

/// Adds the complete updates of a text to the messages, and returns their length. `is_over`: nothing follows the text.
///
/// # Errors
/// An update is invalid. Endpoints in it that are draining or removed are passed on all the same.
fn read_updates(
    text: &[u8],
    is_over: bool,
    messages: &mut Vec<WatchMessage>,
) -> Result<usize, WatchError> {
    let end = if is_over {
        text.len()
    } else {
        last_line_end(text)
    };
    let mut consumed = 0;
    loop {
        match endpoints::parse_frame(&text[consumed..end]) {
            WatchFrame::Incomplete if is_over && !text[consumed..].trim_ascii().is_empty() => {
                return Err(WatchError::Truncated);
            }
            WatchFrame::Incomplete => return Ok(consumed),
            WatchFrame::Heartbeat { len } => {
                messages.push(WatchMessage::Heartbeat);
                consumed += len;
            }
            WatchFrame::Event { event, len } => {
                messages.push(WatchMessage::Update(event));
                consumed += len;
            }
            WatchFrame::Corrupt { error, closing } => {
                messages.push(WatchMessage::Closings(closing));
                return Err(WatchError::InvalidUpdate(error));
            }
        }
    }
}

/// The offset behind the last line end of a text.
fn last_line_end(text: &[u8]) -> usize {
    let last = text.iter().rposition(|byte| *byte == b'\n');
    last.map_or(0, |index| index + 1)
}
