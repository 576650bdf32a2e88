//! A host's side of the protocol. It retains the last version and endpoints that it received, so that old or repeated
//! updates are recognized, and writes them as a cache for the next start.
use crate::endpoint::{Endpoint, EndpointUpdate, ListVersion, UpdateKind};
use crate::wire::{
    MAX_LINE_BYTES, ProtocolError, UpdateHead, parse_endpoint, parse_head, write_endpoint,
};
use std::collections::BTreeMap;

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
    partial_line: Vec<u8>,
    /// Lines that have arrived on this connection.
    lines: u64,
    partial_update: Option<PartialUpdate>,
    version: ListVersion,
    endpoints: BTreeMap<String, Endpoint>,
}

impl EndpointWatcher {
    /// A new connection to the service: a partial message of the last one is dropped, known endpoints stay.
    pub fn on_reconnect(&mut self) {
        self.partial_line.clear();
        self.lines = 0;
        self.partial_update = None;
        // A new connection opens with a full snapshot, which needs no version before it.
        self.version.version = 0;
    }

    /// Version of the list.
    #[must_use]
    pub fn version(&self) -> ListVersion {
        self.version
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
            if *byte == b'\n' {
                let mut line = std::mem::take(&mut self.partial_line);
                self.lines += 1;
                if let Some(event) = self.receive_line(&line)? {
                    notify(event);
                }
                // Reuses the buffer.
                line.clear();
                self.partial_line = line;
            } else if self.partial_line.len() == MAX_LINE_BYTES {
                return Err(ProtocolError {
                    line: self.lines + 1,
                    expected: "a line of up to 256 bytes",
                });
            } else {
                self.partial_line.push(*byte);
            }
        }
        Ok(())
    }

    fn receive_line(&mut self, line: &[u8]) -> Result<Option<WatchEvent>, ProtocolError> {
        let number = self.lines;
        let text = std::str::from_utf8(line);
        let text = text.map_err(|_| ProtocolError {
            line: number,
            expected: "text",
        })?;
        let text = text.trim_end_matches('\r');
        match &mut self.partial_update {
            None => self.partial_update = Some(PartialUpdate::new(parse_head(text, number)?)),
            Some(update) => update.endpoints.push(parse_endpoint(text, number)?),
        }
        let complete = self.partial_update.take_if(|update| update.is_complete());
        Ok(complete.and_then(|update| self.apply(update)))
    }

    /// Applies a complete message. A version that is not newer than the last one is dropped, and so is an endpoint of
    /// an older generation than the known one: that process has ended, whatever the version of the message.
    fn apply(&mut self, update: PartialUpdate) -> Option<WatchEvent> {
        let PartialUpdate { head, endpoints } = update;
        let known = self.version;
        let is_same_epoch = head.version.epoch == known.epoch && known.version > 0;
        if is_same_epoch && head.version.version <= known.version {
            return None;
        }
        let is_next = is_same_epoch && head.version.version == known.version + 1;
        if head.kind == UpdateKind::Incremental && !is_next {
            return Some(WatchEvent::SnapshotRequired);
        }
        self.version = head.version;
        let known = &self.endpoints;
        let is_current = |e: &Endpoint| {
            known
                .get(&e.name)
                .is_none_or(|known| e.generation >= known.generation)
        };
        let endpoints: Vec<Endpoint> = endpoints.into_iter().filter(is_current).collect();
        for endpoint in &endpoints {
            self.endpoints
                .insert(endpoint.name.clone(), endpoint.clone());
        }
        Some(WatchEvent::Update(EndpointUpdate {
            kind: head.kind,
            endpoints,
        }))
    }

    /// The known endpoints as the text of a cache for [`EndpointWatcher::restore_cache`].
    #[must_use]
    pub fn write_cache(&self) -> String {
        let mut out = format!("kept {}\n", self.endpoints.len());
        for endpoint in self.endpoints.values() {
            write_endpoint(&mut out, endpoint);
        }
        // A truncated number would be read as another number: the last line shows that nothing is missing.
        out.push_str("end\n");
        out
    }

    /// Restores the known endpoints from what [`EndpointWatcher::write_cache`] wrote, and returns them. Their
    /// uptimes are those of the time of writing.
    ///
    /// # Errors
    ///
    /// The text is truncated or otherwise not as it was written; nothing is changed then.
    pub fn restore_cache(&mut self, text: &str) -> Result<EndpointUpdate, ProtocolError> {
        let mut lines = text.lines();
        let head = lines.next().and_then(|line| line.strip_prefix("kept "));
        let count: usize = head
            .and_then(|count| count.parse().ok())
            .ok_or(ProtocolError {
                line: 1,
                expected: "kept COUNT",
            })?;
        let mut lines: Vec<&str> = lines.collect();
        if lines.pop() != Some("end") || lines.len() != count || !text.ends_with('\n') {
            let expected = "as many nodes as the head says, then end";
            return Err(ProtocolError {
                line: lines.len() as u64 + 1,
                expected,
            });
        }
        // The lines are those of a message, after another head.
        let head = UpdateHead {
            version: ListVersion {
                epoch: 0,
                version: 1,
            },
            kind: UpdateKind::FullSnapshot,
            count,
        };
        let mut restored = EndpointWatcher {
            lines: 1,
            partial_update: Some(PartialUpdate::new(head)),
            ..EndpointWatcher::default()
        };
        let mut update = EndpointUpdate {
            kind: UpdateKind::FullSnapshot,
            endpoints: Vec::new(),
        };
        for line in lines {
            restored.lines += 1;
            if let Some(WatchEvent::Update(complete)) = restored.receive_line(line.as_bytes())? {
                update = complete;
            }
        }
        self.endpoints = restored.endpoints;
        Ok(update)
    }
}
