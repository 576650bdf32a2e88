//! A node's answer as an ending, and what a host says to its clients.
use mallowseam_http1::ResponseHead;
use mallowseam_scheduler::interface::{AttemptResult, LoadReport};
use std::io::Write;

/// What a node's whole answer says.
#[derive(Clone, Copy, Debug)]
pub struct NodeResponse {
    pub ending: AttemptResult,
    pub usage: f64,
    pub by_others: f64,
    pub load_report: LoadReport,
}

fn number(head: &ResponseHead, name: &str) -> f64 {
    // What can't be read is as if it were absent: the answer itself is good.
    let value = head.headers.single(name).ok().flatten().and_then(|v| v.parse::<f64>().ok());
    value.filter(|v| v.is_finite() && *v >= 0.0).unwrap_or(0.0)
}

fn report(head: &ResponseHead) -> LoadReport {
    let text = head.headers.single("X-Server-Load").ok().flatten();
    let value = text.and_then(|t| serde_json::from_str::<serde_json::Value>(t).ok()).unwrap_or_default();
    let figure = |name: &str| value[name].as_f64().filter(|v| v.is_finite() && *v >= 0.0);
    LoadReport {
        backlog: figure("backlog"),
        service_time_ms: figure("recent_ms"),
        utilization: figure("utilization"),
    }
}

/// Only a node's own word that it did not run the block I/O proves so.
pub fn parse(head: &ResponseHead) -> NodeResponse {
    let not_run = head.headers.single("X-Not-Processed").is_ok_and(|v| v == Some("1"));
    let ending = match head.status {
        200 => AttemptResult::Completed,
        503 | 504 if not_run => AttemptResult::Rejected,
        _ => AttemptResult::Error,
    };
    NodeResponse {
        ending,
        usage: number(head, "X-Iops-Used"),
        by_others: number(head, "X-Rho"),
        load_report: report(head),
    }
}

fn reason(status: u16) -> &'static str {
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

/// The head of an answer to a client. `come_back`: milliseconds after which it may try again; 0 names none.
pub fn write_head(out: &mut Vec<u8>, status: u16, body: usize, come_back: u64, close: bool) {
    let said = "writing to memory";
    write!(out, "HTTP/1.1 {status} {}\r\nContent-Length: {body}\r\n", reason(status)).expect(said);
    if come_back > 0 {
        write!(out, "Retry-After: {}.{:03}\r\n", come_back / 1000, come_back % 1000).expect(said);
    }
    if close {
        out.extend_from_slice(b"Connection: close\r\n");
    }
    out.extend_from_slice(b"\r\n");
}

/// The word for a client that waits to be told to send its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Final answers: shed, trying again is harmless; failed, nothing promised.
pub const SHED_STATUS: u16 = 503;
pub const FAILED_STATUS: u16 = 500;
