//! The protocol of the endpoint list service, free of I/O: which nodes there are, and which of them take requests.
//!
//! Lines of text over a stream. A host sends `watch HOST` (a full snapshot, then each change as it happens) or
//! `all HOST` (one full snapshot), with its own name. The service answers with messages of a head line and COUNT
//! lines after it:
//!
//! ```text
//! list EPOCH VERSION whole|changes COUNT
//! node NAME active|leaving|left GENERATION UPTIME
//! ```
//!
//! EPOCH is drawn by the service at its start, VERSION counts up within it. GENERATION is the number of a
//! run of a node's process, and 0 for one that started long ago. UPTIME is how long that run has been up, in
//! milliseconds, by the service's clock when it sends the line. The clocks of host and service are never compared.
//!
//! - [`endpoint`]: what the service says of a node.
//! - [`wire`]: the lines, written and parsed.
//! - [`watcher`]: a host's side.
//! - `line_buffer`: lines out of bytes that arrive in pieces.
//! - `known_list`: the list as a host knows it, and which updates are newer.
//! - `cache`: the known endpoints as text, for the next start.
//!
//! ```
//! use mallowseam_endpoint_list::{EndpointState, EndpointWatcher, WatchEvent};
//!
//! let mut watcher = EndpointWatcher::default();
//! let mut events = Vec::new();
//! let bytes = b"list 7 1 whole 1\nnode n1 active 3 60000\nlist 7 3 changes 1\nnode n1 leaving 3 61000\n";
//! watcher.receive(bytes, |event| events.push(event))?;
//!
//! // Version 1 is complete; version 3 does not follow it.
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
