//! The parts of the fleet testbed that need no process and no socket.
mod digest;
mod pins;
