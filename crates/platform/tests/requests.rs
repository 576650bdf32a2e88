//! Clients' requests: what is accepted, what is rejected and why, and what a node gets.
mod common;

use common::{LIMITS, block_request, error, settings, write_request_with};
use mallowseam_http1::RequestHead;
use mallowseam_platform::request::{self, RequestError};
use proptest::prelude::*;

#[test]
fn valid_write_becomes_a_block_request() {
    let b = block_request();
    assert_eq!(
        (b.io_class, b.plan, b.volume, b.object),
        (1, 0, 0x3_b4d6_0021, 0x7f3a_9c21_e0b4_d655)
    );
    assert_eq!(
        (b.timeout_ms, b.units, b.shard, b.host_count, b.id.bytes()),
        (480, 2.0, Some(5), 3, &b"9b1f"[..])
    );
}

#[test]
fn missing_repeated_or_invalid_field_is_named() {
    let without = |name: &str| {
        error(&write_request_with(|l| {
            (!l.starts_with(name)).then(|| l.to_owned())
        }))
    };
    let doubled = |name: &str| {
        error(&write_request_with(|l| {
            Some(if l.starts_with(name) {
                format!("{l}\r\n{l}")
            } else {
                l.to_owned()
            })
        }))
    };
    let as_is = |name: &str, line: &str| {
        error(&write_request_with(|l| {
            Some(if l.starts_with(name) {
                line.to_owned()
            } else {
                l.to_owned()
            })
        }))
    };
    for (name, why) in [
        ("X-Request-ID", RequestError::InvalidRequestId),
        ("X-Priority-Class", RequestError::UnknownClass),
        ("X-Qos-Policy", RequestError::UnknownPlan),
        ("X-Timeout-Ms", RequestError::InvalidTimeout),
        ("X-Placement", RequestError::InvalidPlacement),
    ] {
        assert_eq!(without(name), Some(why), "without {name}");
        assert_eq!(doubled(name), Some(why), "{name} twice");
        assert_eq!(as_is(name, &format!("{name}:")), Some(why), "{name} empty");
    }
    assert_eq!(
        without("Content-Length"),
        Some(RequestError::LengthRequired)
    );
    let all_rejected = |start: &str, header: &str, values: &[&str], why: RequestError| {
        for value in values {
            let found = as_is(start, &format!("{header}: {value}"));
            assert_eq!(found, Some(why), "{value}");
        }
    };
    let timeouts = [
        "0",
        "-5",
        "+5",
        "1e3",
        "soon",
        "3600001",
        "99999999999999999999999",
    ];
    let why = RequestError::InvalidTimeout;
    all_rejected("X-Timeout", "X-Timeout-Ms", &timeouts, why);
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
    let why = RequestError::InvalidPlacement;
    all_rejected("X-Place", "X-Placement", &placements, why);
    let path = |target: &str| as_is("PUT", &format!("PUT {target} HTTP/1.1"));
    assert_eq!(
        path("/look/00000003b4d60021/7f3a9c21e0b4d655"),
        Some(RequestError::UnknownClass)
    );
    assert_eq!(
        path("/nope/00000003b4d60021/7f3a9c21e0b4d655"),
        Some(RequestError::UnknownClass)
    );
    assert_eq!(
        path("/book/0003b4d60021/7f3a9c21e0b4d655"),
        Some(RequestError::InvalidAddress)
    );
    assert_eq!(
        path("/book/00000003b4d6002g/7f3a9c21e0b4d655"),
        Some(RequestError::InvalidAddress)
    );
    assert_eq!(
        path("/book/00000003b4d60021"),
        Some(RequestError::UnknownPath)
    );
    assert_eq!(
        path("/book/00000003b4d60021/7f3a9c21e0b4d655/x"),
        Some(RequestError::UnknownPath)
    );
    assert_eq!(path("*"), Some(RequestError::UnknownPath));
    assert_eq!(
        as_is(
            "PUT",
            "GET /book/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1"
        ),
        Some(RequestError::MethodNotAllowed)
    );
    assert_eq!(
        as_is(
            "PUT",
            "POST /book/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1"
        ),
        Some(RequestError::MethodNotAllowed)
    );
    assert_eq!(
        as_is("X-Request", &format!("X-Request-ID: {}", "a".repeat(41))),
        Some(RequestError::InvalidRequestId)
    );
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
    let head = RequestHead::parse(text.as_bytes(), LIMITS)
        .expect("valid")
        .expect("complete");
    let mut out = Vec::new();
    request::write_forwarded(&mut out, &head, b"hello", 77);
    let sent = RequestHead::parse(&out, LIMITS)
        .expect("valid")
        .expect("complete");
    assert_eq!((sent.method, sent.target), (head.method, head.target));
    assert_eq!(sent.headers.single("X-Request-ID"), Ok(Some("9b1f")));
    assert_eq!(sent.headers.single("X-Timeout-Ms"), Ok(Some("77")));
    assert_eq!(&out[sent.len..], b"hello");
    assert_eq!(
        sent.headers.single("Idempotency-Key"),
        Ok(None),
        "none is made up"
    );
}

#[test]
fn idempotency_key_is_forwarded() {
    let text = write_request_with(|l| {
        Some(l.replace("Host: ", "Idempotency-Key: cd869d0740eecfe7\r\nHost: "))
    });
    let head = RequestHead::parse(text.as_bytes(), LIMITS)
        .expect("valid")
        .expect("complete");
    let mut out = Vec::new();
    request::write_forwarded(&mut out, &head, b"hello", 77);
    let sent = RequestHead::parse(&out, LIMITS)
        .expect("valid")
        .expect("complete");
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
