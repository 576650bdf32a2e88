//! Size limits of HTTP messages, and reuse of their buffers.
use mallowseam_http1::Limits;

/// Size limits of a client's request, in bytes. The protocol allows a body of 64 KiB; usual heads are some hundred
/// bytes long.
pub const REQUEST_LIMITS: Limits = Limits {
    head: 8 * 1024,
    body: 64 * 1024,
};
/// Size limits of a node's response, in bytes. Nodes send bodies several times longer than the protocol allows (up to
/// 364 kB seen); a length above 1 MiB counts as corrupt.
pub const RESPONSE_LIMITS: Limits = Limits {
    head: REQUEST_LIMITS.head,
    body: 1 << 20,
};
/// Largest capacity, in bytes, that a buffer keeps from one message to the next; a larger buffer is freed.
const MAX_RETAINED_CAPACITY: usize = 4 * 1024;

/// Clears a buffer for the next message, and frees its memory if it has grown large.
pub fn recycle(buffer: &mut Vec<u8>) {
    buffer.clear();
    if buffer.capacity() > MAX_RETAINED_CAPACITY {
        *buffer = Vec::new();
    }
}

/// Removes `count` bytes from the front of a buffer, or all if it has fewer.
pub fn discard_front(buffer: &mut Vec<u8>, count: usize) {
    if count >= buffer.len() {
        recycle(buffer);
    } else {
        drop(buffer.drain(..count));
    }
}
