//! Parsing of nodes' responses: result and reported numbers.
mod common;

use common::LIMITS;
use mallowseam_http1::ResponseHead;
use mallowseam_platform::response;
use mallowseam_scheduler::interface::AttemptResult;

fn parse(text: &str) -> response::NodeResponse {
    response::parse(
        &ResponseHead::parse(text.as_bytes(), LIMITS)
            .expect("input is valid")
            .expect("message is complete"),
    )
}

#[test]
fn only_the_not_processed_header_proves_that_a_block_io_never_ran() {
    let result_of =
        |status: &str| parse(&format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n")).result;
    let result_of_not_processed = |status: &str| {
        parse(&format!(
            "HTTP/1.1 {status} X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"
        ))
        .result
    };
    assert_eq!(
        (
            result_of("200"),
            result_of("503"),
            result_of("500"),
            result_of("404")
        ),
        (
            AttemptResult::Completed,
            AttemptResult::Error,
            AttemptResult::Error,
            AttemptResult::Error
        )
    );
    assert_eq!(
        (
            result_of_not_processed("503"),
            result_of_not_processed("504"),
            result_of_not_processed("500")
        ),
        (
            AttemptResult::Rejected,
            AttemptResult::Rejected,
            AttemptResult::Error
        )
    );
}

#[test]
fn unreadable_number_counts_as_absent() {
    let response = parse(
        "HTTP/1.1 200 OK\r\nX-Iops-Used: \u{e9}!\r\nX-Rho: -1\r\nX-Server-Load: {\"a\r\nContent-Length: 0\r\n\r\n",
    );
    assert_eq!(
        (
            response.result,
            response.volume_usage,
            response.units_by_other_hosts,
            response.load_report.utilization
        ),
        (AttemptResult::Completed, 0.0, 0.0, None)
    );
    let response = parse(
        "HTTP/1.1 200 OK\r\nX-Iops-Used: 41\r\nX-Server-Load: {\"utilization\":0.5}\r\nContent-Length: 0\r\n\r\n",
    );
    assert_eq!(
        (response.volume_usage, response.load_report.utilization),
        (41.0, Some(0.5))
    );
}
