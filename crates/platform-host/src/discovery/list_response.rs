//! Response of the discovery service to a watch: a stream of lines, or a single list.
use super::{WatchError, WatchMessage};
use crate::buffers::{REQUEST_LIMITS, recycle};
use mallowseam_http1::{ChunkedDecoder, Framing, Limits, ResponseHead};
use mallowseam_platform::endpoints::{self, WatchFrame};

#[cfg(test)]
mod tests;

/// Size limits of the response, in bytes. An endpoint list is far longer than a message of a client or node.
const LIST_LIMITS: Limits = Limits {
    head: REQUEST_LIMITS.head,
    body: endpoints::MAX_LIST_BYTES,
};
/// HTTP status of a response that carries an endpoint list.
const OK: u16 = 200;

/// Part of the response that is read next.
#[derive(Default)]
enum Stage {
    /// Head of the response.
    #[default]
    Head,
    /// Body that is a stream of lines, in chunks.
    Stream(ChunkedDecoder),
    /// Body that is a single list, with its length in bytes.
    Snapshot(usize),
}

/// A response that arrives in pieces, which may be cut at any byte.
#[derive(Default)]
pub struct ListResponse {
    bytes: Vec<u8>,
    stage: Stage,
}

impl ListResponse {
    /// Returns whether the head of the final response was received.
    pub fn has_started(&self) -> bool {
        !matches!(self.stage, Stage::Head)
    }

    /// Appends received bytes to the response, and adds the messages that they complete to `messages`.
    ///
    /// # Errors
    /// Returns an error if the response is invalid or has ended, which ends the watch. Earlier messages are added all
    /// the same.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        messages: &mut Vec<WatchMessage>,
    ) -> Result<(), WatchError> {
        self.bytes.extend_from_slice(bytes);
        self.read_head()?;
        self.read_body(messages)
    }

    /// Reads the head of the final response, and skips interim (1xx) responses before it.
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

    /// Reads a single list once it is complete. The service sends nothing after it, so a new watch has to request the
    /// changes.
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

    /// Reads the complete lines of a stream, and ends the watch with the last chunk.
    fn read_stream(&mut self, messages: &mut Vec<WatchMessage>) -> Result<(), WatchError> {
        let Stage::Stream(chunks) = &mut self.stage else {
            return Ok(());
        };
        let decoded = chunks.decode(&mut self.bytes, LIST_LIMITS.body);
        decoded.map_err(WatchError::Malformed)?;
        let is_complete = chunks.is_complete();
        let consumed = read_updates(&self.bytes[..chunks.decoded_end()], is_complete, messages)?;
        chunks.discard_front(consumed);
        drop(self.bytes.drain(..consumed));
        if self.bytes.is_empty() {
            recycle(&mut self.bytes);
        }
        if is_complete {
            Err(WatchError::StreamEnded)
        } else {
            Ok(())
        }
    }
}

/// Returns how the body of a final response is read, according to its head.
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

/// Adds the complete updates in `text` to `messages`, and returns their length in bytes. `is_complete`: no more bytes
/// follow `text`.
///
/// # Errors
/// Returns an error if an update is invalid or truncated. Draining or removed endpoints of an invalid update are added
/// all the same.
fn read_updates(
    text: &[u8],
    is_complete: bool,
    messages: &mut Vec<WatchMessage>,
) -> Result<usize, WatchError> {
    let end = if is_complete {
        text.len()
    } else {
        last_line_end(text)
    };
    let mut consumed = 0;
    loop {
        match endpoints::parse_frame(&text[consumed..end]) {
            WatchFrame::Incomplete if is_complete && !text[consumed..].trim_ascii().is_empty() => {
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
                messages.push(WatchMessage::ClosingEndpoints(closing));
                return Err(WatchError::InvalidUpdate(error));
            }
        }
    }
}

/// Returns the offset after the last line end in `text`, or 0 if there is none.
fn last_line_end(text: &[u8]) -> usize {
    let last = text.iter().rposition(|byte| *byte == b'\n');
    last.map_or(0, |index| index + 1)
}
