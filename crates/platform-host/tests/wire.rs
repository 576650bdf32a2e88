//! Bytes that a host writes to nodes, to clients and to the discovery service. Whole messages are compared, so that a
//! change of a header, of its order or of a body is noticed.
mod support;

use std::io::Write;
use support::{
    Host, accept, host_with_node, listen, read_message, read_request, read_to_close, write_request,
};

const SHED: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n";
const FAILED: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const GOOD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndata";

/// Returns a write request with all headers that a client may send, among them headers that are not forwarded to nodes.
fn write_with_all_headers(id: &str) -> String {
    write_request(id).replace(
        "Content-Length: 4",
        "Cookie: c\r\nAccept: */*\r\nidempotency-key:  k-1 \r\nContent-Type: text/plain\r\n\
         X-Server-Load: {}\r\nUser-Agent: u\r\nContent-Length: 4",
    )
}

#[test]
fn a_node_receives_the_forwarded_headers_in_their_order() {
    let (host, node, _discovery) = host_with_node();
    let mut client = host.connect();
    let mut exchange = |request: &str| {
        client.write_all(request.as_bytes()).expect("open");
        assert_eq!(read_message(&mut client), GOOD);
    };
    exchange(&write_with_all_headers("w-1"));
    exchange(&write_request("w-2"));
    exchange(&read_request("r-1"));
    exchange(&read_request("r-2").replace("Host: s\r\n", "Host: s\r\nContent-Length: 0\r\n"));
    exchange(&write_request("w-3").replace(
        "Content-Length: 4\r\n\r\nbody",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n",
    ));
    let write = |id: &str| {
        format!(
            "PUT /book/00000000000000aa/00000000000000bb HTTP/1.1\r\nX-Timeout-Ms: *\r\nHost: s\r\n\
             X-Request-ID: {id}\r\nX-Priority-Class: book\r\nX-Qos-Policy: gold\r\n\
             X-Placement: units=1,shard=0,hosts=1\r\nContent-Length: 4\r\n\r\nbody"
        )
    };
    let read = |id: &str| {
        format!(
            "GET /look/00000000000000aa/00000000000000bb HTTP/1.1\r\nX-Timeout-Ms: *\r\nHost: s\r\n\
             X-Request-ID: {id}\r\nX-Priority-Class: look\r\nX-Qos-Policy: gold\r\n\
             X-Placement: units=1,shard=0,hosts=1\r\n\r\n"
        )
    };
    let with_all = write("w-1").replace(
        "Content-Length: 4",
        "Content-Type: text/plain\r\nIdempotency-Key: k-1\r\nContent-Length: 4",
    );
    let with_length = read("r-2").replace("hosts=1\r\n", "hosts=1\r\nContent-Length: 0\r\n");
    assert_eq!(
        node.requests(),
        [
            with_all,
            write("w-2"),
            read("r-1"),
            with_length,
            write("w-3")
        ]
    );
}

#[test]
fn a_watch_requests_changes_since_the_known_version_or_a_full_snapshot() {
    for known in [None, Some(r#"{"seq":41,"whole":true,"hosts":[]}"#)] {
        let discovery = listen();
        let address = discovery.local_addr().expect("bound");
        let _host = Host::new(address, known);
        let since = if known.is_some() { "&since=41" } else { "" };
        let request =
            format!("GET /v1/endpoints?follow=1{since} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        assert_eq!(read_message(&mut accept(&discovery)), request);
    }
}

#[test]
fn a_readiness_check_reports_whether_an_endpoint_is_known_and_closes_the_connection() {
    let request = "GET /ready HTTP/1.1\r\nHost: s\r\n\r\n";
    let (host, _node, _discovery) = host_with_node();
    assert_eq!(
        host.response_until_close(request),
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nready"
    );
    let discovery = listen();
    let host = Host::new(discovery.local_addr().expect("bound"), None);
    assert_eq!(
        host.response_until_close(request),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 11\r\nConnection: close\r\n\r\nno list yet"
    );
}

#[test]
fn invalid_requests_are_answered_and_their_connections_stay_open() {
    let (host, node, _discovery) = host_with_node();
    let write = write_request("w");
    let put = |from: &str, to: &str| write.replace(from, to);
    let wrong = [
        (
            put("/book/00", "/book/x/00"),
            404,
            "Not Found",
            "no such path",
        ),
        (
            put("PUT", "DELETE"),
            405,
            "Method Not Allowed",
            "method does not fit",
        ),
        (
            put("Class: book", "Class: look"),
            400,
            "Bad Request",
            "no such class, or another one in the path",
        ),
        (put("gold", "lead"), 400, "Bad Request", "no such plan"),
        (
            put("0000bb", "0000zz"),
            400,
            "Bad Request",
            "volume and piece are 16 hex digits each",
        ),
        (
            put("Ms: 900", "Ms: 0"),
            400,
            "Bad Request",
            "X-Timeout-Ms is a whole number above 0",
        ),
        (
            put("X-Request-ID: w\r\n", ""),
            400,
            "Bad Request",
            "one X-Request-ID of 1 to 40 visible characters",
        ),
        (
            put("units=1", "units=many"),
            400,
            "Bad Request",
            "X-Placement is units=N,shard=N,hosts=N",
        ),
        (
            read_request("r").replace("\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx"),
            400,
            "Bad Request",
            "a read has no body",
        ),
        (
            put("Content-Length: 4\r\n\r\nbody", "\r\n"),
            411,
            "Length Required",
            "a write states its length",
        ),
    ];
    for (request, status, reason, body) in wrong {
        let len = body.len();
        let response = format!("HTTP/1.1 {status} {reason}\r\nContent-Length: {len}\r\n\r\n{body}");
        assert_eq!(host.response_to(&request), response, "{request}");
    }
    assert_eq!(node.requests(), [""; 0]);
}

#[test]
fn malformed_messages_are_answered_and_their_connections_closed() {
    let (host, node, _discovery) = host_with_node();
    let write = write_request("w");
    let put = |to: &str| write.replace("Content-Length: 4", to);
    let wrong = [
        ("noise\r\n\r\n".to_owned(), 400, "Bad Request", "malformed"),
        (
            put("Content-Length: 4\r\nContent-Length: 4"),
            400,
            "Bad Request",
            "ambiguous framing",
        ),
        (
            put("Content-Length: 65537"),
            413,
            "Content Too Large",
            "body too large",
        ),
        (
            format!("GET /{} HTTP/1.1\r\n", "a".repeat(9_000)),
            431,
            "Request Header Fields Too Large",
            "head too large",
        ),
        (
            put("Transfer-Encoding: gzip"),
            501,
            "Not Implemented",
            "unsupported",
        ),
    ];
    for (request, status, reason, body) in wrong {
        let len = body.len();
        let response = format!(
            "HTTP/1.1 {status} {reason}\r\nContent-Length: {len}\r\nConnection: close\r\n\r\n{body}"
        );
        assert_eq!(
            host.response_until_close(&request),
            response,
            "{request:.80}"
        );
    }
    assert_eq!(node.requests(), [""; 0]);
}

#[test]
fn an_incomplete_request_times_out_with_408() {
    let (host, _node, _discovery) = host_with_node();
    assert_eq!(
        host.response_until_close("PUT /book/00"),
        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 19\r\nConnection: close\r\n\r\nthe request is late"
    );
}

#[test]
fn a_client_that_expects_it_gets_100_continue() {
    let (host, _node, _discovery) = host_with_node();
    let mut client = host.connect();
    let request = write_request("w").replace(
        "Content-Length: 4",
        "Expect: 100-continue\r\nContent-Length: 4",
    );
    let (head, body) = request.split_at(request.len() - 4);
    client.write_all(head.as_bytes()).expect("open");
    assert_eq!(read_message(&mut client), "HTTP/1.1 100 Continue\r\n\r\n");
    client.write_all(body.as_bytes()).expect("open");
    assert_eq!(read_message(&mut client), GOOD);
}

#[test]
fn the_last_response_to_a_client_that_closes_has_connection_close() {
    let (host, _node, _discovery) = host_with_node();
    let close = read_request("r-1").replace("Host: s\r\n", "Host: s\r\nConnection: close\r\n");
    let last = GOOD.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    assert_eq!(host.response_until_close(&close), last);
    let http10 = read_request("r-2").replace("HTTP/1.1", "HTTP/1.0");
    assert_eq!(host.response_until_close(&http10), last);
}

#[test]
fn a_duplicate_request_id_in_flight_is_rejected() {
    let (host, node, _discovery) = host_with_node();
    node.set_next_response("");
    let mut first = host.connect();
    first
        .write_all(write_request("same").as_bytes())
        .expect("open");
    support::wait_until("the node receives the first request", || {
        node.requests().len() == 1
    });
    assert_eq!(
        host.response_to(&write_request("same")),
        "HTTP/1.1 409 Conflict\r\nContent-Length: 18\r\n\r\nthis id is in hand"
    );
}

#[test]
fn shed_responses_have_retry_after_and_failed_ones_do_not() {
    let (host, node, _discovery) = host_with_node();
    let elsewhere = write_request("w-1").replace("shard=0", "shard=7");
    assert_eq!(
        host.response_to(&elsewhere),
        format!("{SHED}Retry-After: 0.100\r\n\r\n")
    );
    node.set_next_response("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(host.response_to(&write_request("w-2")), FAILED);
    node.set_next_response("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n");
    assert_eq!(host.response_to(&write_request("w-3")), FAILED);
    node.set_next_response("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(
        host.response_to(&write_request("w-4")),
        FAILED,
        "a 503 without X-Not-Processed is not retried, as the node may have executed the write"
    );
    let sent = node.requests().len();
    node.set_next_response("HTTP/1.1 503 X\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(host.response_to(&write_request("w-5")), GOOD);
    assert_eq!(node.requests().len(), sent + 2);
}

#[test]
fn requests_beyond_the_memory_limit_are_shed() {
    let (host, node, _discovery) = host_with_node();
    // A quarter of the 16 MiB of memory is for clients' buffers, which is 64 bodies of 64 KiB.
    let head = write_request("w").replace(
        "Content-Length: 4\r\n\r\nbody",
        "Content-Length: 65536\r\n\r\n",
    );
    let part = head + &"x".repeat(65_535);
    let mut clients: Vec<_> = (0..70)
        .map(|_| {
            let mut client = host.connect();
            client.write_all(part.as_bytes()).expect("open");
            client
        })
        .collect();
    let mut responses = Vec::new();
    support::wait_until("a request is shed", || {
        for client in &mut clients {
            client
                .set_nonblocking(true)
                .expect("cannot change the blocking mode of the socket");
            let has_response = client.peek(&mut [0; 1]).is_ok_and(|count| count > 0);
            client
                .set_nonblocking(false)
                .expect("cannot change the blocking mode of the socket");
            if has_response {
                responses.push(read_to_close(client));
            }
        }
        !responses.is_empty()
    });
    for response in responses {
        assert_eq!(
            response,
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\nConnection: close\r\n\r\nno room"
        );
    }
    assert_eq!(node.requests(), [""; 0]);
}
