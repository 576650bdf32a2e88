//! The audit of a fleet: rules, and the measurements beside them.
mod rules;
mod steady_service;
