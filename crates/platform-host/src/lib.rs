//! The real host on the users' platform: one thread and one loop on `mio`. Clients and nodes speak HTTP/1.1;
//! every decision on a block I/O is the scheduler's, every one on a connection `mallowseam-connection-policy`'s.
//!
//! - `run`: the loop, signals, the configuration.
//! - `desk`: what is in hand; carries out what the scheduler asks.
//! - `clients`, `nodes`, `discovery`: the three kinds of connections.
mod clients;
mod desk;
mod discovery;
mod nodes;
mod run;

pub use run::{Failure, run};

use mallowseam_http1::Limits;

/// A message of the users' protocol: 64 KiB of body at most, and heads of some hundred bytes.
const MESSAGE: Limits = Limits { head: 8 * 1024, body: 64 * 1024 };
/// A node's answer: nodes send bodies several times longer than the pages allow (364 kB seen); past 1 MiB a
/// stated length counts as nonsense.
const ANSWER: Limits = Limits { head: MESSAGE.head, body: 1 << 20 };
/// Buffers that a long message has made larger than this are given back.
const KEPT: usize = 4 * 1024;

/// Empties a buffer for its next use.
fn tidy(buffer: &mut Vec<u8>) {
    buffer.clear();
    if buffer.capacity() > KEPT {
        *buffer = Vec::new();
    }
}

/// Takes bytes off a buffer's front.
fn take_front(buffer: &mut Vec<u8>, count: usize) {
    if count >= buffer.len() {
        tidy(buffer);
    } else {
        drop(buffer.drain(..count));
    }
}
