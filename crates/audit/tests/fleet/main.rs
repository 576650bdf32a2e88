//! Audit of a fleet: rules, and the measurements beyond them.
mod rules;
mod steady_service;
