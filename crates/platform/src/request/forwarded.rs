//! Writing of a client's request for a node.
use crate::INFALLIBLE;
use mallowseam_http1::RequestHead;
use std::io::Write;

/// Headers that are forwarded to a node unchanged. A node recognizes repeated requests of a class that is idempotent
/// by key by their `Idempotency-Key`, including a client's own retries, which have other request ids.
const FORWARDED_HEADERS: [&str; 7] = [
    "Host",
    "X-Request-ID",
    "X-Priority-Class",
    "X-Qos-Policy",
    "X-Placement",
    "Content-Type",
    "Idempotency-Key",
];
/// Start of the header line that tells a node how long this host waits for the response, in milliseconds.
const TIMEOUT_LINE: &str = "X-Timeout-Ms: ";
/// Line end (RFC 9112, section 2.2).
const LINE_END: &[u8] = b"\r\n";

/// Writes a request for a node. Method, target, body and the forwarded headers are unchanged; other headers of the
/// client are dropped. `timeout_ms`: time for which this host waits for the response, in milliseconds.
///
/// # Panics
///
/// Never panics, since writing to memory does not fail.
pub fn write_forwarded(out: &mut Vec<u8>, head: &RequestHead, body: &[u8], timeout_ms: u64) {
    write!(out, "{} {} HTTP/1.1\r\n", head.method, head.target).expect(INFALLIBLE);
    write!(out, "{TIMEOUT_LINE}{timeout_ms}\r\n").expect(INFALLIBLE);
    for name in FORWARDED_HEADERS {
        if let Ok(Some(value)) = head.headers.single(name) {
            write!(out, "{name}: {value}\r\n").expect(INFALLIBLE);
        }
    }
    if head.declares_body() {
        write!(out, "Content-Length: {}\r\n", body.len()).expect(INFALLIBLE);
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
}

/// Replaces the timeout in an unsent request that [`write_forwarded`] wrote, after a part of the timeout has elapsed.
/// Does nothing if the second line is not the timeout.
pub fn rewrite_timeout(out: &mut Vec<u8>, timeout_ms: u64) {
    // The timeout is in the second line.
    let Some(start) = line_end(out, 0).map(|end| end + LINE_END.len()) else {
        return;
    };
    if !out[start..].starts_with(TIMEOUT_LINE.as_bytes()) {
        return;
    }
    if let Some(end) = line_end(out, start) {
        let value = start + TIMEOUT_LINE.len()..end;
        drop(out.splice(value, timeout_ms.to_string().into_bytes()));
    }
}

/// Returns the offset of the first line end at or after `start`, which must be within the message.
fn line_end(message: &[u8], start: usize) -> Option<usize> {
    let rest = &message[start..];
    let position = rest.windows(LINE_END.len()).position(|w| w == LINE_END)?;
    Some(start + position)
}
