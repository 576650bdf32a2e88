//! What the event loop of every host in this repository needs.
//!
//! - [`slab`]: a table whose entries have small, reused indices.
//! - [`clock`]: ticks of a tenth of a millisecond.
//! - [`arrival_estimator`]: when the events that a poll returns arrived.
//! - [`descriptors`]: the process's limit of descriptors.
//! - [`signals`]: signals as bytes on a stream.
//! - [`listener`]: a TCP listener with a long accept queue.
//! - [`memory_budget`]: a limit on the bytes of many buffers.
//! - [`nonblocking`]: reads and writes that do not block.
//! - [`periodic_timer`]: a timer that is due again and again.
//! - [`outgoing_message`]: a message that is written piece by piece.
#![warn(missing_docs)]

pub mod arrival_estimator;
pub mod clock;
pub mod descriptors;
pub mod listener;
pub mod memory_budget;
pub mod nonblocking;
pub mod outgoing_message;
pub mod periodic_timer;
pub mod signals;
pub mod slab;
