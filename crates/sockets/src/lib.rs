//! What every host of this repository needs of its loop.
//!
//! - `slots`: places by small index, used again once they are free.
//! - `clock`: ticks of a tenth of a millisecond.
//! - `descriptors`: how many the system gives.
//! - `signals`: signals as something to read.
//! - `listener`: a listener with a long queue.
//! - `wire`: bytes between a socket and a buffer, without blocking.
pub mod clock;
pub mod descriptors;
pub mod listener;
pub mod signals;
pub mod slots;
pub mod wire;
