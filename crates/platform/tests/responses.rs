//! Nodes' responses: outcome and figures.
mod common;

use common::LIMITS;
use mallowseam_http1::ResponseHead;
use mallowseam_platform::response;
use mallowseam_scheduler::interface::AttemptResult;

fn parse(text: &str) -> response::NodeResponse {
    response::parse(
        &ResponseHead::parse(text.as_bytes(), LIMITS)
            .expect("valid")
            .expect("complete"),
    )
}

#[test]
fn only_the_nodes_header_proves_that_a_block_io_never_ran() {
    let of =
        |status: &str| parse(&format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")).result;
    let not_run = |status: &str| {
        parse(&format!(
            "HTTP/1.1 {status} X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
        ))
        .result
    };
    assert_eq!(
        (of("200"), of("503"), of("500"), of("404")),
        (
            AttemptResult::Completed,
            AttemptResult::Error,
            AttemptResult::Error,
            AttemptResult::Error
        )
    );
    assert_eq!(
        (not_run("503"), not_run("504"), not_run("500")),
        (
            AttemptResult::Rejected,
            AttemptResult::Rejected,
            AttemptResult::Error
        )
    );
}

#[test]
fn unreadable_figure_counts_as_absent() {
    let s = parse(
        "HTTP/1.1 200 OK\r\nX-Iops-Used: \u{e9}!\r\nX-Rho: -1\r\nX-Server-Load: {\"a\r\nContent-Length: 0\r\n\r\n",
    );
    assert_eq!(
        (
            s.result,
            s.volume_usage,
            s.units_by_other_hosts,
            s.load_report.utilization
        ),
        (AttemptResult::Completed, 0.0, 0.0, None)
    );
    let s = parse(
        "HTTP/1.1 200 OK\r\nX-Iops-Used: 41\r\nX-Server-Load: {\"utilization\":0.5}\r\nContent-Length: 0\r\n\r\n",
    );
    assert_eq!(
        (s.volume_usage, s.load_report.utilization),
        (41.0, Some(0.5))
    );
}
