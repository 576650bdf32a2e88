//! Protocol of the endpoint list service, without I/O. The endpoint list states which nodes exist and which of them
//! accept requests.
//!
//! The protocol consists of lines of text over a stream. A host sends `watch HOST` (a full snapshot, then each change
//! as it happens) or `all HOST` (one full snapshot), with its own name as HOST. The service answers with messages that
//! consist of a head line and COUNT lines after it:
//!
//! ```text
//! list EPOCH VERSION whole|changes COUNT
//! node NAME active|leaving|left GENERATION UPTIME
//! ```
//!
//! EPOCH is a random number that the service draws at its start. VERSION increases within an epoch. GENERATION is the
//! number of a run of a node's process, or 0 for a run that started long ago. UPTIME is the time for which that run
//! has been up when the service sends the line, in milliseconds on the service's clock. The clocks of host and service
//! are never compared.
//!
//! - [`endpoint`]: endpoints and updates of the list.
//! - [`wire`]: writing and parsing of lines.
//! - [`watcher`]: a host's side of the protocol.
//! - `line_buffer`: assembly of lines from bytes that arrive in pieces.
//! - `known_list`: the list as a host knows it, and which updates are newer.
//! - `cache`: the known endpoints as text, for the host's next start.
//!
//! ```
//! use mallowseam_endpoint_list::{EndpointState, EndpointWatcher, WatchEvent};
//!
//! let mut watcher = EndpointWatcher::default();
//! let mut events = Vec::new();
//! let bytes = b"list 7 1 whole 1\nnode n1 active 3 60000\nlist 7 3 changes 1\nnode n1 leaving 3 61000\n";
//! watcher.receive(bytes, |event| events.push(event))?;
//!
//! // Version 1 is a complete update. Version 3 does not follow version 1, so a full snapshot is required.
//! let [WatchEvent::Update(update), WatchEvent::SnapshotRequired] = &events[..] else { panic!("{events:?}") };
//! assert_eq!(update.endpoints[0].state, EndpointState::Active);
//! # Ok::<(), mallowseam_endpoint_list::ProtocolError>(())
//! ```
#![warn(missing_docs)]

mod cache;
pub mod endpoint;
mod known_list;
mod line_buffer;
pub mod watcher;
pub mod wire;

pub use endpoint::{Endpoint, EndpointState, EndpointUpdate, ListVersion, UpdateKind};
pub use watcher::{EndpointWatcher, WatchEvent};
pub use wire::{MAX_ENDPOINTS, MAX_LINE_BYTES, ProtocolError, write_update};
