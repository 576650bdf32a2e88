//! Tests of several host processes, with faults on the links between the hosts and their peers.
mod addresses;
mod closed_connections;
mod cold_start;
mod discovery_outages;
mod membership;
mod readiness;
mod soak;
mod support;
