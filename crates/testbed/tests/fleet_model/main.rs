//! Tests of the parts of the multi-process testbed that use no processes or sockets.
mod digest;
mod pins;
