//! The parts of the fleet testbed that need no process and no socket.
mod cold_start;
mod digest;
mod discovery_queue;
mod fault_schedule;
mod links;
mod pins;
mod simulated_node;
