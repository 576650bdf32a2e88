//! Building blocks of the hosts' event loops: sockets, clock, timers and tables.
//!
//! - [`slab`]: a table whose entries have small, reused indices.
//! - [`clock`]: a clock in ticks of a tenth of a millisecond.
//! - [`arrival_estimator`]: estimates of when the events of a poll arrived.
//! - [`descriptors`]: the process's limit of file descriptors.
//! - [`signals`]: signals as bytes on a stream.
//! - [`listener`]: a TCP listener with a long accept queue.
//! - [`memory_budget`]: a limit on the bytes of many buffers.
//! - [`nonblocking`]: reads and writes that do not block.
//! - [`periodic_timer`]: a timer that is due once per period.
//! - [`outgoing_message`]: a message that is written in several steps.
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
