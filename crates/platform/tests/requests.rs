//! Clients' requests: which are accepted, which are rejected with which error, and what is forwarded to a node.
mod common;

use common::{LIMITS, block_request, error, request_head, settings, write_request_with};
use mallowseam_http1::RequestHead;
use mallowseam_platform::request::{self, RequestError};
use proptest::prelude::*;

#[test]
fn valid_write_becomes_a_block_request() {
    let request = block_request();
    assert_eq!(
        (
            request.io_class,
            request.plan,
            request.volume,
            request.object
        ),
        (1, 0, 0x3_b4d6_0021, 0x7f3a_9c21_e0b4_d655)
    );
    assert_eq!(
        (
            request.timeout_ms,
            request.units,
            request.shard,
            request.host_count,
            request.id.bytes()
        ),
        (480, 2.0, Some(5), 3, &b"9b1f"[..])
    );
}

/// Returns the error of the valid write after the lines that begin with `start` are changed.
fn error_with(start: &str, change: impl Fn(&str) -> Option<String>) -> Option<RequestError> {
    error(&write_request_with(|line| {
        if line.starts_with(start) {
            change(line)
        } else {
            Some(line.to_owned())
        }
    }))
}

/// Returns the error of the valid write without the lines that begin with `start`.
fn error_without(start: &str) -> Option<RequestError> {
    error_with(start, |_| None)
}

/// Returns the error of the valid write with the lines that begin with `start` repeated.
fn error_with_repeated(start: &str) -> Option<RequestError> {
    error_with(start, |line| Some(format!("{line}\r\n{line}")))
}

/// Returns the error of the valid write with the lines that begin with `start` replaced by another line.
fn error_with_line(start: &str, line: &str) -> Option<RequestError> {
    error_with(start, |_| Some(line.to_owned()))
}

fn assert_values_rejected(header: &str, values: &[&str], expected: RequestError) {
    for value in values {
        let found = error_with_line(header, &format!("{header}: {value}"));
        assert_eq!(found, Some(expected), "{value}");
    }
}

#[test]
fn missing_repeated_or_empty_header_is_rejected_with_its_error() {
    for (name, expected) in [
        ("X-Request-ID", RequestError::InvalidRequestId),
        ("X-Priority-Class", RequestError::UnknownClass),
        ("X-Qos-Policy", RequestError::UnknownPlan),
        ("X-Timeout-Ms", RequestError::InvalidTimeout),
        ("X-Placement", RequestError::InvalidPlacement),
    ] {
        assert_eq!(error_without(name), Some(expected), "without {name}");
        assert_eq!(error_with_repeated(name), Some(expected), "{name} twice");
        let empty = error_with_line(name, &format!("{name}:"));
        assert_eq!(empty, Some(expected), "{name} empty");
    }
    assert_eq!(
        error_without("Content-Length"),
        Some(RequestError::LengthRequired)
    );
}

#[test]
fn invalid_timeout_is_rejected() {
    let timeouts = [
        "0",
        "-5",
        "+5",
        "1e3",
        "soon",
        "3600001",
        "99999999999999999999999",
    ];
    assert_values_rejected("X-Timeout-Ms", &timeouts, RequestError::InvalidTimeout);
}

#[test]
fn invalid_placement_is_rejected() {
    let placements = [
        "units=0,shard=5,hosts=3",
        "units=9,shard=5,hosts=3",
        "units=2,shard=-2,hosts=3",
        "units=2,shard=5",
        "units=2,shard=5,hosts=0",
        "units=2,units=2,shard=5,hosts=3",
        "units=-2,shard=5,hosts=3",
        "2,5,3",
        "units=NaN,shard=5,hosts=3",
        "units=2,shard=99999999999,hosts=3",
    ];
    assert_values_rejected("X-Placement", &placements, RequestError::InvalidPlacement);
}

#[test]
fn invalid_path_is_rejected_for_its_first_invalid_segment() {
    for (target, expected) in [
        (
            "/look/00000003b4d60021/7f3a9c21e0b4d655",
            RequestError::UnknownClass,
        ),
        (
            "/nope/00000003b4d60021/7f3a9c21e0b4d655",
            RequestError::UnknownClass,
        ),
        (
            "/book/0003b4d60021/7f3a9c21e0b4d655",
            RequestError::InvalidAddress,
        ),
        (
            "/book/00000003b4d6002g/7f3a9c21e0b4d655",
            RequestError::InvalidAddress,
        ),
        ("/book/00000003b4d60021", RequestError::UnknownPath),
        (
            "/book/00000003b4d60021/7f3a9c21e0b4d655/x",
            RequestError::UnknownPath,
        ),
        ("*", RequestError::UnknownPath),
    ] {
        let found = error_with_line("PUT", &format!("PUT {target} HTTP/1.1"));
        assert_eq!(found, Some(expected), "{target}");
    }
}

#[test]
fn method_that_does_not_match_the_class_is_rejected() {
    for method in ["GET", "POST"] {
        let line = format!("{method} /book/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1");
        let found = error_with_line("PUT", &line);
        assert_eq!(found, Some(RequestError::MethodNotAllowed), "{method}");
    }
}

#[test]
fn request_id_that_is_too_long_is_rejected() {
    let line = format!("X-Request-ID: {}", "a".repeat(41));
    let found = error_with_line("X-Request-ID", &line);
    assert_eq!(found, Some(RequestError::InvalidRequestId));
}

#[test]
fn read_with_a_body_is_rejected() {
    let read = |tail: &str| {
        format!(
            "GET /look/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: s\r\nX-Request-ID: a\r\n\
             X-Priority-Class: look\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: 9\r\n\
             X-Placement: units=1,shard=-1,hosts=1\r\n{tail}"
        )
    };
    assert_eq!(error(&read("\r\n")), None);
    assert_eq!(
        error(&read("Content-Length: 1\r\n\r\nx")),
        Some(RequestError::UnexpectedBody)
    );
}

#[test]
fn method_target_body_and_id_are_forwarded_unchanged() {
    let text = write_request_with(|l| Some(l.replace("d655 HTTP", "d655?a=%20b HTTP")));
    let head = request_head(text.as_bytes());
    let mut out = Vec::new();
    request::write_forwarded(&mut out, &head, b"hello", 77);
    let sent = request_head(&out);
    assert_eq!((sent.method, sent.target), (head.method, head.target));
    assert_eq!(sent.headers.single("X-Request-ID"), Ok(Some("9b1f")));
    assert_eq!(sent.headers.single("X-Timeout-Ms"), Ok(Some("77")));
    assert_eq!(&out[sent.len..], b"hello");
    assert_eq!(
        sent.headers.single("Idempotency-Key"),
        Ok(None),
        "the host adds no key of its own"
    );
}

#[test]
fn idempotency_key_is_forwarded() {
    let text = write_request_with(|l| {
        Some(l.replace("Host: ", "Idempotency-Key: cd869d0740eecfe7\r\nHost: "))
    });
    let head = request_head(text.as_bytes());
    let mut out = Vec::new();
    request::write_forwarded(&mut out, &head, b"hello", 77);
    let sent = request_head(&out);
    assert_eq!(
        sent.headers.single("Idempotency-Key"),
        Ok(Some("cd869d0740eecfe7"))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_requests_do_not_panic(
        target in "/[a-z0-9/?=-]{0,60}",
        value in "[ -~]{0,60}",
        name in proptest::sample::select(vec!["X-Request-ID", "X-Priority-Class", "X-Timeout-Ms", "X-Placement"]),
    ) {
        let text = write_request_with(|l| {
            let line = if l.starts_with(name) { format!("{name}: {value}") } else { l.to_owned() };
            Some(line.replace("/book/00000003b4d60021/7f3a9c21e0b4d655", &target))
        });
        if let Ok(Some(head)) = RequestHead::parse(text.as_bytes(), LIMITS) {
            let _ = request::parse(&head, 5, &settings());
        }
    }
}
