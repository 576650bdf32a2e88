//! A host's side of the protocol. It retains the last version and endpoints that it received, so that old or repeated
//! updates are recognized, and writes them as a cache for the next start.
use crate::cache;
use crate::endpoint::{Endpoint, EndpointUpdate, ListVersion, UpdateKind};
use crate::known_list::{KnownList, Outcome};
use crate::line_buffer::LineBuffer;
use crate::wire::{ProtocolError, UpdateHead, parse_endpoint, parse_head};

/// What the service's messages lead to.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A newer version of the list.
    Update(EndpointUpdate),
    /// A version was missed: the caller has to ask for a full snapshot.
    SnapshotRequired,
}

/// A message of which not all lines have arrived.
struct PartialUpdate {
    head: UpdateHead,
    endpoints: Vec<Endpoint>,
}

impl PartialUpdate {
    fn new(head: UpdateHead) -> PartialUpdate {
        PartialUpdate {
            head,
            endpoints: Vec::new(),
        }
    }

    fn is_complete(&self) -> bool {
        self.endpoints.len() >= self.head.count
    }
}

/// A host's side of the protocol.
#[derive(Default)]
pub struct EndpointWatcher {
    lines: LineBuffer,
    partial_update: Option<PartialUpdate>,
    known: KnownList,
}

impl EndpointWatcher {
    /// A new connection to the service: a partial message of the last one is dropped, known endpoints stay.
    pub fn on_reconnect(&mut self) {
        self.lines.reset();
        self.partial_update = None;
        self.known.forget_version();
    }

    /// Version of the list.
    #[must_use]
    pub fn version(&self) -> ListVersion {
        self.known.version()
    }

    /// Takes bytes as they arrive, in pieces of any size; `notify` gets the events that they lead to.
    ///
    /// # Errors
    ///
    /// A line violates the protocol. The caller closes the connection.
    pub fn receive(
        &mut self,
        bytes: &[u8],
        mut notify: impl FnMut(WatchEvent),
    ) -> Result<(), ProtocolError> {
        for byte in bytes {
            let Some(line) = self.lines.push(*byte)? else {
                continue;
            };
            if let Some(event) = self.receive_line(&line)? {
                notify(event);
            }
            self.lines.recycle(line);
        }
        Ok(())
    }

    fn receive_line(&mut self, line: &[u8]) -> Result<Option<WatchEvent>, ProtocolError> {
        let number = self.lines.number();
        let text = std::str::from_utf8(line).map_err(|_| ProtocolError::new(number, "text"))?;
        let text = text.trim_end_matches('\r');
        match &mut self.partial_update {
            None => self.partial_update = Some(PartialUpdate::new(parse_head(text, number)?)),
            Some(update) => update.endpoints.push(parse_endpoint(text, number)?),
        }
        let complete = self.partial_update.take_if(|update| update.is_complete());
        Ok(complete.and_then(|update| self.apply(update)))
    }

    fn apply(&mut self, update: PartialUpdate) -> Option<WatchEvent> {
        match self.known.apply(&update.head, update.endpoints) {
            Outcome::Dropped => None,
            Outcome::VersionMissed => Some(WatchEvent::SnapshotRequired),
            Outcome::Applied(update) => Some(WatchEvent::Update(update)),
        }
    }

    /// The known endpoints as the text of a cache for [`EndpointWatcher::restore_cache`].
    #[must_use]
    pub fn write_cache(&self) -> String {
        cache::write(self.known.endpoints())
    }

    /// Restores the known endpoints from what [`EndpointWatcher::write_cache`] wrote, and returns them. Their
    /// uptimes are those of the time of writing.
    ///
    /// # Errors
    ///
    /// The text is truncated or otherwise not as it was written; nothing is changed then.
    pub fn restore_cache(&mut self, text: &str) -> Result<EndpointUpdate, ProtocolError> {
        let endpoints = cache::read(text)?;
        self.known.restore(&endpoints);
        Ok(EndpointUpdate {
            kind: UpdateKind::FullSnapshot,
            endpoints,
        })
    }
}
