//! Limits of HTTP messages, and the reuse of their buffers.
use mallowseam_http1::Limits;

/// Limits of a client's request: the protocol allows a body of 64 KiB; heads have some hundred bytes.
pub const REQUEST_LIMITS: Limits = Limits {
    head: 8 * 1024,
    body: 64 * 1024,
};
/// Limits of a node's response: nodes send bodies several times longer than the protocol allows (364 kB seen), but a
/// length above 1 MiB is not credible.
pub const RESPONSE_LIMITS: Limits = Limits {
    head: REQUEST_LIMITS.head,
    body: 1 << 20,
};
/// A buffer that has grown beyond this is freed after its message.
const RETAINED_CAPACITY: usize = 4 * 1024;

/// Empties a buffer for the next message.
pub fn recycle(buffer: &mut Vec<u8>) {
    buffer.clear();
    if buffer.capacity() > RETAINED_CAPACITY {
        *buffer = Vec::new();
    }
}

/// Removes bytes from the front of a buffer.
pub fn discard_front(buffer: &mut Vec<u8>, count: usize) {
    if count >= buffer.len() {
        recycle(buffer);
    } else {
        drop(buffer.drain(..count));
    }
}
