//! The parts of the fleet testbed that need no process and no socket.
mod digest;
mod fault_schedule;
mod links;
mod pins;
mod simulated_node;
