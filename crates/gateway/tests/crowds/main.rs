//! `mallowseam host` beside many clients, or clients that send as fast as they can. These tests load the machine, and are a
//! program of their own so that they do not run beside tests that depend on time.
mod crowded_memory;
mod floods;
#[path = "../platform/support/mod.rs"]
#[expect(dead_code, reason = "shared with the tests of the platform's host")]
mod support;
