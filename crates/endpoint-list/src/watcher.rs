//! A host's side of the protocol. The watcher keeps the latest version and endpoints that it received, so that stale
//! and duplicate updates are recognized, and writes the endpoints as a cache for the next start.
use crate::cache;
use crate::endpoint::{Endpoint, EndpointUpdate, ListVersion, UpdateKind};
use crate::known_list::{KnownList, Outcome};
use crate::line_buffer::LineBuffer;
use crate::wire::{ProtocolError, UpdateHead, parse_endpoint, parse_head};

/// Event that results from the service's messages.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// A newer version of the list was received.
    Update(EndpointUpdate),
    /// A version was missed. The caller must request a full snapshot.
    SnapshotRequired,
}

/// Message whose lines have not all arrived yet.
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

/// Watcher of the endpoint list: a host's side of the protocol.
#[derive(Default)]
pub struct EndpointWatcher {
    lines: LineBuffer,
    partial_update: Option<PartialUpdate>,
    known: KnownList,
}

impl EndpointWatcher {
    /// Prepares for a new connection to the service. A partial message of the previous connection is dropped; the
    /// known endpoints are kept.
    pub fn on_reconnect(&mut self) {
        self.lines.reset();
        self.partial_update = None;
        self.known.forget_version();
    }

    /// Returns the version of the known list.
    #[must_use]
    pub fn version(&self) -> ListVersion {
        self.known.version()
    }

    /// Processes received bytes, in pieces of any size, and passes the resulting events to `notify`.
    ///
    /// # Errors
    ///
    /// Returns an error if a line violates the protocol. The caller must close the connection.
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

    /// Returns the known endpoints as a cache text for [`EndpointWatcher::restore_cache`].
    #[must_use]
    pub fn write_cache(&self) -> String {
        cache::write(self.known.endpoints())
    }

    /// Restores the known endpoints from a cache text of [`EndpointWatcher::write_cache`], and returns them. Their
    /// uptimes are those at the time of writing.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is truncated or otherwise not a valid cache. The known endpoints are then
    /// unchanged.
    pub fn restore_cache(&mut self, text: &str) -> Result<EndpointUpdate, ProtocolError> {
        let endpoints = cache::read(text)?;
        self.known.restore(&endpoints);
        Ok(EndpointUpdate {
            kind: UpdateKind::FullSnapshot,
            endpoints,
        })
    }
}
