//! Responses: parsing of a node's response, and writing of the host's responses to clients.
use crate::INFALLIBLE;
use mallowseam_http1::ResponseHead;
use mallowseam_scheduler::interface::{AttemptResult, LoadReport};
use std::io::Write;
use std::num::NonZeroU64;

/// Status of a rejected request, which the client may safely retry.
pub const SHED_STATUS: u16 = 503;
/// Status of a failed request, which may or may not have run.
pub const FAILED_STATUS: u16 = 500;
/// Interim response to a client that waits before it sends its body (RFC 9110, section 10.1.1).
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Contents of a node's complete response.
#[derive(Clone, Copy, Debug)]
pub struct NodeResponse {
    /// Result of the attempt.
    pub result: AttemptResult,
    /// `X-Iops-Used`: 1 plus the volume's usage at all nodes, in per cent of its plan's usual rate. 0: not reported.
    pub volume_usage: f64,
    /// `X-Rho`: units that the node served for the volume through other hosts since its last response to this host.
    pub units_by_other_hosts: f64,
    /// `X-Server-Load`: load report of the node.
    pub load_report: LoadReport,
}

/// Reads a node's response from its head. Only `X-Not-Processed: 1` from the node itself proves that the block I/O
/// never ran. An unreadable number counts as absent; the response is valid nevertheless.
#[must_use]
pub fn parse(head: &ResponseHead) -> NodeResponse {
    let not_processed = head
        .headers
        .single("X-Not-Processed")
        .is_ok_and(|v| v == Some("1"));
    let result = match head.status {
        200 => AttemptResult::Completed,
        503 | 504 if not_processed => AttemptResult::Rejected,
        _ => AttemptResult::Error,
    };
    NodeResponse {
        result,
        volume_usage: header_number(head, "X-Iops-Used"),
        units_by_other_hosts: header_number(head, "X-Rho"),
        load_report: load_report(head),
    }
}

fn header_number(head: &ResponseHead, name: &str) -> f64 {
    let value = head
        .headers
        .single(name)
        .ok()
        .flatten()
        .and_then(|v| v.parse::<f64>().ok());
    value.filter(|v| is_valid_number(*v)).unwrap_or(0.0)
}

fn load_report(head: &ResponseHead) -> LoadReport {
    let text = head.headers.single("X-Server-Load").ok().flatten();
    let value = text
        .and_then(|t| serde_json::from_str::<serde_json::Value>(t).ok())
        .unwrap_or_default();
    let number = |name: &str| value[name].as_f64().filter(|v| is_valid_number(*v));
    LoadReport {
        backlog: number("backlog"),
        service_time_ms: number("recent_ms"),
        utilization: number("utilization"),
    }
}

fn is_valid_number(value: f64) -> bool {
    value.is_finite() && value >= 0.0
}

/// Writes the head of a response to a client.
///
/// `body_len`: length of the body in bytes. `retry_after_ms`: delay of the `Retry-After` header in milliseconds, if
/// there is one; the users' protocol has it in decimal seconds. `close`: whether this is the last response on its
/// connection.
///
/// # Panics
///
/// Never panics, since writing to memory does not fail.
pub fn write_head(
    out: &mut Vec<u8>,
    status: u16,
    body_len: usize,
    retry_after_ms: Option<NonZeroU64>,
    close: bool,
) {
    let reason = reason_phrase(status);
    write!(
        out,
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {body_len}\r\n"
    )
    .expect(INFALLIBLE);
    if let Some(delay_ms) = retry_after_ms {
        let seconds = delay_ms.get() / 1000;
        let millis = delay_ms.get() % 1000;
        write!(out, "Retry-After: {seconds}.{millis:03}\r\n").expect(INFALLIBLE);
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// Returns the reason phrase of a status code (RFC 9110, section 15).
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        503 => "Service Unavailable",
        _ => "Error",
    }
}
