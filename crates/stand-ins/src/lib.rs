//! Stand-ins for what surrounds hosts of `mallowseam`, with the faults that are injected into them. They record what passes
//! on their sockets in the trace of `mallowseam-audit`.
#![warn(missing_docs)]
