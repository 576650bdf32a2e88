//! Several host processes, with faults on the links between them and their peers.
mod cold_start;
mod discovery_outages;
mod membership;
mod readiness;
mod support;
