//! Support for the tests of the platform's host: the host's process, and peers that a test controls.
pub mod client;
pub mod endpoint_service;
pub mod host_process;
pub mod node;
pub mod scripted_endpoint_service;
pub mod socket_table;

use mallowseam_http1::Limits;
use std::fmt::Write;
use std::thread;
use std::time::{Duration, Instant};

/// Maximum lengths of the messages that the peers accept, in bytes.
pub const MESSAGE_LIMITS: Limits = Limits {
    head: 16_384,
    body: 1 << 20,
};
/// Maximum time of a single wait, which is far longer than any time that a test depends on.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until a condition holds; panics if it does not before the timeout.
pub fn wait_until(expected: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {expected}"
        );
        thread::sleep(Duration::from_millis(5));
    }
}

/// Returns a long body of consecutive numbers of eight digits, in which no two parts are the same.
pub fn numbered_body(numbers: usize) -> String {
    let mut body = String::with_capacity(8 * numbers);
    for number in 0..numbers {
        write!(body, "{number:08}").expect("writing to memory");
    }
    body
}
