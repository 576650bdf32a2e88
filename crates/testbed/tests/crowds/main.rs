//! Tests of one host process beside many clients, or clients that send as fast as they can. They load the machine, and are
//! a program of their own so that they do not run beside tests that depend on time.
mod crowded_memory;
mod floods;
mod memory;
#[path = "../host/site.rs"]
#[expect(dead_code, reason = "shared with the tests of one host")]
mod site;
mod unfinished_logins;
