//! Pinned wire formats: the exact bytes that this package writes, and the values that it reads from every accepted or
//! rejected form. Guards against unintended changes of the protocol. The recorded texts in `pinned/` have their own
//! names for fields, so that renaming a field in the code does not change them.
use mallowseam_http1::{Limits, RequestHead, ResponseHead};
use mallowseam_platform::endpoints::{Endpoint, Health, WatchEvent, WatchFrame};
use mallowseam_platform::interner::{InternError, NameInterner};
use mallowseam_platform::request::{ClientRequest, RequestError, RequestId};
use mallowseam_platform::settings::{self, PlatformSettings};
use mallowseam_platform::{config, endpoints, request, response};
use mallowseam_scheduler::interface::{
    AttemptResult, BioId, DeduplicationScope, Idempotency, IoClass, LoadReport, NodeState, Plan,
};
use mallowseam_test_support::{Digest, SeededRng};
use serde_json::{Value, json};
use std::fmt::Write as _;
use std::num::NonZeroU64;

const LIMITS: Limits = Limits {
    head: 8192,
    body: 65536,
};

/// Replaces the names of types, which serde writes into its messages, by neutral ones.
fn without_type_names(text: &str) -> String {
    text.replace("struct WatchEvent", "struct LIST")
        .replace("struct Endpoint", "struct ENTRY")
}

/// Asserts that a text equals the recorded one.
fn assert_recorded(name: &str, found: &str) {
    let found = &without_type_names(found);
    let path = format!("{}/tests/pinned/{name}", env!("CARGO_MANIFEST_DIR"));
    let recorded = std::fs::read_to_string(&path).expect("the recorded text can be read");
    for (line, (a, b)) in recorded.lines().zip(found.lines()).enumerate() {
        assert_eq!(a, b, "{name}, line {}", line + 1);
    }
    assert!(
        recorded == *found,
        "{name}: {} bytes recorded, {} found",
        recorded.len(),
        found.len()
    );
}

/// Seeded random number generator for indices.
struct Rng(SeededRng);

impl Rng {
    fn new(seed: u64) -> Self {
        Rng(SeededRng::new(seed))
    }

    fn below(&mut self, bound: usize) -> usize {
        self.0.below(bound as u64) as usize
    }
}

/// Digest of a sequence of texts.
#[derive(Default)]
struct Hash(Digest);

impl Hash {
    fn add(&mut self, text: &str) {
        self.0.add_bytes(without_type_names(text).as_bytes());
        self.0.add_bytes(&[0xff]);
    }
}

fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

fn request_head(text: &str) -> RequestHead<'_> {
    RequestHead::parse(text.as_bytes(), LIMITS)
        .expect("input is valid")
        .expect("message is complete")
}

const SETTINGS: &str = r#"{"balancers": 2, "localities": ["a", "b"],
  "profiles": [
    {"name": "look", "aim_us": 200000, "deadline_us": 1000000, "repeat": "idempotent", "worth": 3.0},
    {"name": "book", "aim_us": 250000, "deadline_us": 2000000, "repeat": "at_most_once", "worth": 2.0}],
  "service_levels": [{"name": "gold", "limit": 15.0}, {"name": "tin", "limit": 0}],
  "extra": {"class_writes": [false, true], "largest": 8, "mean_units": 2.0},
  "limits": {"connect_timeout_us": 250000}}"#;

fn small_settings() -> PlatformSettings {
    settings::parse(SETTINGS).expect("input is valid")
}

#[test]
fn written_responses_match_the_recorded_bytes() {
    let mut found = String::new();
    for (name, status) in [
        ("shed", response::SHED_STATUS),
        ("failed", response::FAILED_STATUS),
    ] {
        writeln!(found, "{name}: {status}").expect("writing to memory does not fail");
    }
    writeln!(found, "continue: {}", escaped(response::CONTINUE))
        .expect("writing to memory does not fail");
    for status in [
        200, 204, 400, 404, 405, 408, 409, 411, 413, 429, 431, 500, 501, 502, 503, 504,
    ] {
        for (body, come_back, close) in [
            (0, 0, false),
            (65_536, 0, true),
            (5, 1, false),
            (9, 61_234, true),
        ] {
            let mut out = Vec::from(&b"ahead "[..]);
            response::write_head(&mut out, status, body, NonZeroU64::new(come_back), close);
            writeln!(found, "{}", escaped(&out)).expect("writing to memory does not fail");
        }
    }
    for come_back in [999, 1_000, 1_001, 3_600_000] {
        let mut out = Vec::new();
        response::write_head(&mut out, 503, 0, NonZeroU64::new(come_back), false);
        writeln!(found, "{}", escaped(&out)).expect("writing to memory does not fail");
    }
    assert_recorded("answers_written.txt", &found);
}

#[test]
fn forwarded_requests_match_the_recorded_bytes() {
    let headers = "Host: service.internal\r\nX-Request-ID: 9b1f03aa5c7e2d41\r\nX-Priority-Class: book\r\n\
                   X-Qos-Policy: gold\r\nX-Timeout-Ms: 480\r\n";
    let placement = "X-Placement: units=2,shard=5,hosts=3\r\n";
    let target = "/book/00000003b4d60021/7f3a9c21e0b4d655";
    let sent = [
        format!("PUT {target} HTTP/1.1\r\n{headers}Content-Length: 5\r\n{placement}\r\n"),
        format!(
            "PUT {target}?a=%20b HTTP/1.1\r\n{headers}Transfer-Encoding: chunked\r\n{placement}\r\n"
        ),
        format!("PUT {target} HTTP/1.1\r\n{headers}Content-Length: 0\r\n\r\n"),
        format!(
            "PUT {target} HTTP/1.1\r\nCONTENT-TYPE:  a/b ; c \r\nidempotency-key: cd869d0740eecfe7\r\n{headers}\
             Content-Length: 5\r\nX-Retried: 1\r\nX-Other: 1\r\nExpect: 100-continue\r\n{placement}\r\n"
        ),
        format!(
            "PUT {target} HTTP/1.1\r\n{headers}X-Qos-Policy: gold\r\nContent-Length: 5\r\n\r\n"
        ),
        format!("GET /look/0/1?x HTTP/1.1\r\n{headers}{placement}Connection: close\r\n\r\n"),
        "GET /look HTTP/1.0\r\n\r\n".to_owned(),
    ];
    let mut found = String::new();
    for text in &sent {
        let head = request_head(text);
        let body: &[u8] = if head.declares_body() { b"hello" } else { b"" };
        for wait in [0, 77, 3_600_000] {
            let mut out = Vec::new();
            request::write_forwarded(&mut out, &head, body, wait);
            writeln!(found, "{}", escaped(&out)).expect("writing to memory does not fail");
            request::rewrite_timeout(&mut out, 12_345);
            writeln!(found, "then: {}", escaped(&out)).expect("writing to memory does not fail");
        }
    }
    for text in [
        "",
        "no line",
        "GET / HTTP/1.1\r\n",
        "GET / HTTP/1.1\r\nHost: s\r\n\r\n",
        "a\r\nX-Timeout-Ms: 9",
    ] {
        let mut out = text.as_bytes().to_vec();
        request::rewrite_timeout(&mut out, 5);
        writeln!(
            found,
            "wait in {}: {}",
            escaped(text.as_bytes()),
            escaped(&out)
        )
        .expect("writing to memory does not fail");
    }
    for since in [None, Some(0), Some(41), Some(u64::MAX)] {
        let mut out = Vec::new();
        endpoints::write_watch_request(
            &mut out,
            "127.2.0.1:8500".parse().expect("address is valid"),
            since,
        );
        writeln!(found, "{}", escaped(&out)).expect("writing to memory does not fail");
    }
    assert_recorded("requests_written.txt", &found);
}

fn result_name(result: AttemptResult) -> &'static str {
    match result {
        AttemptResult::Completed => "done",
        AttemptResult::Error => "error",
        AttemptResult::Rejected => "busy",
        AttemptResult::TimedOut => "timed out",
        AttemptResult::ConnectFailed => "no connection",
        AttemptResult::ConnectionReset => "reset",
        AttemptResult::Cancelled => "cancelled",
        AttemptResult::NotSent => "moot",
    }
}

#[test]
fn parsed_node_responses_match_the_recorded_text() {
    let mut found = String::new();
    let mut record = |lines: &str| {
        let text = format!("HTTP/1.1 {lines}\r\nContent-Length: 0\r\n\r\n");
        let head = ResponseHead::parse(text.as_bytes(), LIMITS)
            .expect("input is valid")
            .expect("message is complete");
        let response = response::parse(&head);
        let LoadReport {
            backlog,
            service_time_ms,
            utilization,
        } = response.load_report;
        writeln!(
            found,
            "{}: {} used {} by others {} waiting {backlog:?} service {service_time_ms:?} busy {utilization:?}",
            escaped(lines.as_bytes()),
            result_name(response.result),
            response.volume_usage,
            response.units_by_other_hosts
        )
        .expect("writing to memory does not fail");
    };
    for status in [
        100, 200, 201, 204, 304, 400, 404, 409, 429, 500, 502, 503, 504, 505, 599,
    ] {
        record(&format!("{status} X"));
        record(&format!("{status} X\r\nX-Not-Processed: 1"));
    }
    for line in [
        "X-Not-Processed: 0",
        "X-Not-Processed: 01",
        "x-not-processed:1",
        "X-Not-Processed: 1\r\nX-Not-Processed: 1",
        "X-Not-Processed: true",
    ] {
        record(&format!("503 X\r\n{line}"));
    }
    for line in [
        "X-Iops-Used: 41",
        "X-Iops-Used: 101.5",
        "X-Iops-Used: -1",
        "X-Iops-Used: nan",
        "X-Iops-Used: inf",
        "X-Iops-Used: 1e3",
        "X-Iops-Used: 1\r\nX-Iops-Used: 2",
        "X-Iops-Used: much",
        "X-Rho: 3",
        "X-Rho: 0.125",
        "X-Rho: -0.5",
        "X-Rho:",
        "X-Server-Load: {\"backlog\":3,\"recent_ms\":12.5,\"utilization\":0.75}",
        "X-Server-Load: {\"backlog\":-3,\"recent_ms\":\"x\",\"utilization\":null,\"more\":1}",
        "X-Server-Load: {\"utilization\":1}",
        "X-Server-Load: {\"utilization\"",
        "X-Server-Load: [1]",
        "X-Server-Load: 1",
        "X-Server-Load:",
        "X-Iops-Used: 7\r\nX-Rho: 2\r\nX-Server-Load: {\"backlog\":0}",
    ] {
        record(&format!("200 X\r\n{line}"));
        record(&format!("503 X\r\n{line}"));
    }
    assert_recorded("answers_read.txt", &found);
}

fn show_endpoint(e: &Endpoint) -> String {
    let health = match e.health {
        Health::Ready => "ready",
        Health::Draining => "draining",
        Health::Removed => "gone",
    };
    format!(
        "[{} at {} site {} block {} {health} born {}]",
        e.name, e.address, e.zone, e.shard, e.started_at_ms
    )
}

fn show_event(n: &WatchEvent) -> String {
    let entries: Vec<String> = n.endpoints.iter().map(show_endpoint).collect();
    format!(
        "seq {} whole {} {}",
        n.version,
        n.full_snapshot,
        entries.concat()
    )
}

fn show_frame(text: &[u8]) -> String {
    match endpoints::parse_frame(text) {
        WatchFrame::Incomplete => "part".into(),
        WatchFrame::Heartbeat { len } => format!("empty {len}"),
        WatchFrame::Event { event, len } => format!("news {len}: {}", show_event(&event)),
        WatchFrame::Corrupt { error, closing } => {
            let closing: Vec<String> = closing.iter().map(show_endpoint).collect();
            format!("wrong: {error}; {}", closing.concat())
        }
    }
}

const ENTRY: &str = r#"{"host":"s-1","dial":"10.1.0.18:8443","site":"a","class":"m","block":3,"health":"ready","share":1.0,"born_ms":5}"#;
const BARE: &str = r#"{"host":"s-2","dial":"[::1]:1","block":0,"health":"draining"}"#;
const GONE: &str =
    r#"{"host":"s-3","dial":"1.2.3.4:5","block":4294967295,"health":"gone","born_ms":-7}"#;

fn lists() -> Vec<(&'static str, String)> {
    let of =
        |whole: bool, entries: &str| format!(r#"{{"seq":41,"whole":{whole},"hosts":[{entries}]}}"#);
    let all = [ENTRY, BARE, GONE].join(",");
    let many = |count: usize| {
        let entries: Vec<String> = (0..count)
            .map(|n| format!(r#"{{"host":"s{n}","dial":"1.1.1.1:1","block":1,"health":"ready"}}"#))
            .collect();
        of(true, &entries.join(","))
    };
    let named = |len: usize| of(true, &ENTRY.replace("s-1", &"x".repeat(len)));
    let indented = serde_json::to_string_pretty(
        &serde_json::from_str::<Value>(&of(true, &all)).expect("input is valid"),
    );
    let closing = |bad: &str| {
        of(
            false,
            &[bad, BARE, GONE, &BARE.replace("s-2", "")].join(","),
        )
    };
    vec![
        ("full", of(true, &all)),
        ("incremental", of(false, &all)),
        ("empty", of(false, "")),
        ("indented", indented.expect("input is valid")),
        ("4096 entries", many(4_096)),
        ("4097 entries", many(4_097)),
        ("a name of 128", named(128)),
        ("a name of 129", named(129)),
        ("no name", named(0)),
        (
            "a health that is unknown",
            closing(&ENTRY.replace("ready", "asleep")),
        ),
        ("a dial without port", closing(&ENTRY.replace(":8443", ""))),
        (
            "a block below 0",
            closing(&ENTRY.replace("\"block\":3", "\"block\":-3")),
        ),
        (
            "a birth that is no figure",
            closing(&ENTRY.replace("born_ms\":5", "born_ms\":\"x\"")),
        ),
        ("no host", closing(&ENTRY.replace("\"host\"", "\"hose\""))),
        (
            "no health",
            closing(&ENTRY.replace("\"health\"", "\"heal\"")),
        ),
        ("no seq", of(true, ENTRY).replace("\"seq\"", "\"sequ\"")),
        ("no whole", of(true, ENTRY).replace("\"whole\"", "\"hole\"")),
        (
            "no hosts",
            of(true, ENTRY).replace("\"hosts\"", "\"guests\""),
        ),
        (
            "hosts that are no list",
            r#"{"seq":1,"whole":true,"hosts":3}"#.into(),
        ),
        ("an array", "[]".into()),
        ("an array of three", "[1,true,[]]".into()),
        ("a text", "\"x\"".into()),
        ("nothing", String::new()),
        ("garbage", "}".into()),
        ("two", format!("{}\n{}\n", of(true, ENTRY), of(false, GONE))),
        ("a blank ahead", format!("  {}", of(true, ENTRY))),
        ("lines ahead", format!(" \r\n\n  {}", of(true, ENTRY))),
    ]
}

/// Returns a long text shortened to its first 200 bytes and its length.
fn truncated(text: String) -> String {
    if text.len() <= 600 {
        text
    } else {
        format!("{}… {} bytes", &text[..200], text.len())
    }
}

#[test]
fn parsed_endpoint_lists_match_the_recorded_text() {
    let mut found = String::new();
    for (name, text) in lists() {
        let read = endpoints::parse(text.as_bytes())
            .map_or_else(|why| format!("refused: {why}"), |n| show_event(&n));
        writeln!(found, "{name}, read: {}", truncated(read))
            .expect("writing to memory does not fail");
        writeln!(
            found,
            "{name}, front: {}",
            truncated(show_frame(text.as_bytes()))
        )
        .expect("writing to memory does not fail");
        if let Ok(value) = serde_json::from_str(&text) {
            let of = endpoints::from_json(value)
                .map_or_else(|why| format!("refused: {why}"), |n| show_event(&n));
            writeln!(found, "{name}, of: {}", truncated(of))
                .expect("writing to memory does not fail");
        }
    }
    for text in [
        &b""[..],
        b"\n",
        b"\r\n",
        b" ",
        b" \n ",
        b"\n\n{",
        b"\xff",
        b"{\"seq\":\xff",
        b"nul",
        b"nulx",
        b"12",
    ] {
        writeln!(found, "front of {}: {}", escaped(text), show_frame(text))
            .expect("writing to memory does not fail");
    }
    writeln!(found, "bytes: {}", endpoints::MAX_LIST_BYTES)
        .expect("writing to memory does not fail");
    assert_recorded("lists_read.txt", &found);
}

#[test]
fn truncated_and_corrupted_endpoint_lists_match_the_recorded_hash() {
    let mut hash = Hash::default();
    let mut rng = Rng::new(7);
    for (_, text) in lists().into_iter().filter(|l| l.1.len() < 1_000) {
        for end in 0..text.len() {
            let cut = &text.as_bytes()[..end];
            hash.add(&show_frame(cut));
            hash.add(&endpoints::parse(cut).map_or_else(|why| why.to_string(), |n| show_event(&n)));
        }
        for _ in 0..60 {
            let mut corrupted = text.clone().into_bytes();
            if !corrupted.is_empty() {
                let place = rng.below(corrupted.len());
                corrupted[place] = b"0\"x,}\n- "[rng.below(8)];
            }
            hash.add(&show_frame(&corrupted));
        }
    }
    assert_eq!(hash.0.value(), HASHES[0], "{:#x}", hash.0.value());
}

#[test]
fn interned_endpoints_match_the_recorded_text() {
    let settings = small_settings();
    let mut names = NameInterner::default();
    let mut found = String::new();
    let site =
        |entry: &str, site: &str| entry.replace("\"site\":\"a\"", &format!("\"site\":\"{site}\""));
    let other = |name: &str, zone: &str| site(&ENTRY.replace("s-1", name), zone);
    let lines = [
        format!(
            r#"{{"seq":1,"whole":true,"hosts":[{ENTRY},{},{},{}]}}"#,
            other("s-4", "b"),
            other("s-5", "c"),
            GONE
        ),
        format!(
            r#"{{"seq":2,"whole":false,"hosts":[{BARE},{}]}}"#,
            GONE.replace("s-3", "s-4")
        ),
        format!(
            r#"{{"seq":3,"whole":false,"hosts":[{},{}]}}"#,
            other("s-6", ""),
            BARE.replace("draining", "ready")
        ),
    ];
    let mut listed = Vec::new();
    for line in &lines {
        names.intern_endpoints(
            &endpoints::parse(line.as_bytes()).expect("input is valid"),
            &settings,
            &mut listed,
        );
        for l in &listed {
            let state = match l.state {
                NodeState::Active => "active",
                NodeState::Draining => "leaving",
                NodeState::Removed => "left",
            };
            let id = l.node.0;
            writeln!(
                found,
                "node {id} zone {} shard {} {state} up {}",
                l.zone,
                l.shard,
                l.started_at.unwrap_or(0)
            )
            .expect("writing to memory does not fail");
        }
        writeln!(found, "sizes {:?}", names.counts()).expect("writing to memory does not fail");
    }
    let (a, b) = (
        names.find_node(&"s-1".to_owned()),
        names.find_node(&"s-9".to_owned()),
    );
    writeln!(found, "s-1 {:?} s-9 {:?}", a.map(|n| n.0), b.map(|n| n.0))
        .expect("writing to memory does not fail");
    assert_recorded("lists_heard.txt", &found);
}

/// Returns the head of a valid write in which lines that begin with `prefix` are replaced; an empty `line` removes
/// them.
fn request_with(prefix: &str, line: &str) -> String {
    let lines = [
        "PUT /book/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1",
        "Host: s",
        "X-Request-ID: 9b1f",
        "X-Priority-Class: book",
        "X-Qos-Policy: tin",
        "X-Timeout-Ms: 480",
        "X-Placement: units=2,shard=5,hosts=3",
        "Content-Length: 5",
    ];
    let change = |l: &&str| {
        if l.starts_with(prefix) {
            line.to_owned()
        } else {
            (*l).to_owned()
        }
    };
    let all: Vec<String> = lines.iter().map(change).filter(|l| !l.is_empty()).collect();
    format!("{}\r\n\r\n", all.join("\r\n"))
}

fn show_request(text: &str, body: usize, settings: &PlatformSettings) -> String {
    let head = match RequestHead::parse(text.as_bytes(), LIMITS) {
        Ok(Some(head)) => head,
        Ok(None) => return "cut".into(),
        Err(error) => return format!("no head: {}", error.message()),
    };
    match request::parse(&head, body, settings) {
        Ok(ClientRequest::Readiness) => "ready".into(),
        Ok(ClientRequest::BlockIo(b)) => format!(
            "id {} group {} plan {} volume {:x} piece {:x} wait {} units {} shard {:?} hosts {}",
            escaped(b.id.bytes()),
            b.io_class,
            b.plan,
            b.volume,
            b.object,
            b.timeout_ms,
            b.units,
            b.shard,
            b.host_count
        ),
        Err(error) => format!("{}: {}", error.status(), error.message()),
    }
}

fn changed_requests() -> Vec<(&'static str, String)> {
    let mut all: Vec<(&str, String)> = Vec::new();
    let mut with = |prefix: &'static str, line: &str| all.push((prefix, line.to_owned()));
    for name in [
        "X-Request-ID",
        "X-Priority-Class",
        "X-Qos-Policy",
        "X-Timeout-Ms",
        "X-Placement",
    ] {
        with(name, "");
        with(name, "X-Nothing: 1");
        with(name, &format!("{name}:"));
        with(name, &format!("{name}: 1\r\n{name}: 1"));
        with(name, &format!("{name}: \u{e9}"));
    }
    with("Content-Length", "");
    with("Content-Length", "Transfer-Encoding: chunked");
    for target in [
        "/ready",
        "/ready?x",
        "/ready/",
        "/",
        "*",
        "/book",
        "/book/00000003b4d60021",
        "/book/00000003b4d60021/7f3a9c21e0b4d655/x",
        "/book/00000003b4d60021/7f3a9c21e0b4d655/",
        "/book/00000003b4d60021/7f3a9c21e0b4d655?q=/x",
        "/book/00000003B4D60021/7F3A9C21E0B4D655",
        "/book/0003b4d60021/7f3a9c21e0b4d655",
        "/book/00000003b4d6002g/7f3a9c21e0b4d655",
        "/book/+0000003b4d60021/7f3a9c21e0b4d655",
        "/look/00000003b4d60021/7f3a9c21e0b4d655",
        "/nope/00000003b4d60021/7f3a9c21e0b4d655",
    ] {
        for method in ["PUT", "GET", "POST"] {
            with("PUT", &format!("{method} {target} HTTP/1.1"));
        }
    }
    for id in [&"a".repeat(40), &"a".repeat(41), "a b", "~!", "a,b"] {
        with("X-Request", &format!("X-Request-ID: {id}"));
    }
    for class in ["look", "BOOK", "nope"] {
        with("X-Priority", &format!("X-Priority-Class: {class}"));
    }
    for plan in ["gold", "Gold", "none"] {
        with("X-Qos", &format!("X-Qos-Policy: {plan}"));
    }
    for wait in [
        "1",
        "0",
        "00",
        "007",
        "-5",
        "+5",
        "1e3",
        "4.5",
        "soon",
        "3600000",
        "3600001",
        "99999999999999999999999",
    ] {
        with("X-Timeout", &format!("X-Timeout-Ms: {wait}"));
    }
    for placement in [
        "units=1,shard=-1,hosts=1",
        "hosts=3, shard=5 , units=8",
        "units=2,shard=5,hosts=3,more=1",
        "units=2,shard=5,hosts=3,more=1,more=1",
        "units=2,shard=5,hosts=3,more",
        "units=0,shard=5,hosts=3",
        "units=9,shard=5,hosts=3",
        "units=2,shard=-2,hosts=3",
        "units=2,shard=5",
        "shard=5,hosts=3",
        "units=2,hosts=3",
        "units=2,shard=5,hosts=0",
        "units=2,units=2,shard=5,hosts=3",
        "units=2,shard=-1,shard=5,hosts=3",
        "units=2,shard=5,hosts=3,hosts=3",
        "units=2.0,shard=5,hosts=3",
        "units=-2,shard=5,hosts=3",
        "2,5,3",
        "units=2,shard=99999999999,hosts=3",
        "units=2;shard=5;hosts=3",
    ] {
        with("X-Place", &format!("X-Placement: {placement}"));
    }
    all
}

#[test]
fn parsed_requests_and_their_errors_match_the_recorded_text() {
    let settings = small_settings();
    let unbounded = settings::parse(&SETTINGS.replace("\"largest\": 8", "\"largest\": 0"))
        .expect("input is valid");
    let mut found = String::new();
    for (prefix, line) in changed_requests() {
        let text = request_with(prefix, &line);
        let shown = escaped(line.as_bytes());
        writeln!(
            found,
            "{prefix} -> {shown}: {}",
            show_request(&text, 5, &settings)
        )
        .expect("writing to memory does not fail");
    }
    let read = "GET /look/00000003b4d60021/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: s\r\nX-Request-ID: a\r\n\
                X-Priority-Class: look\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: 9\r\n\
                X-Placement: units=80,shard=-1,hosts=1\r\n\r\n";
    for body in [0, 1] {
        writeln!(
            found,
            "a read of 80 units, body {body}: {}",
            show_request(read, body, &unbounded)
        )
        .expect("writing to memory does not fail");
        writeln!(
            found,
            "a read of 80 units, body {body}: {}",
            show_request(read, body, &settings)
        )
        .expect("writing to memory does not fail");
        let put = read.replace("GET", "PUT").replace("units=80", "units=8");
        writeln!(
            found,
            "a write of a class that reads: {}",
            show_request(&put, body, &settings)
        )
        .expect("writing to memory does not fail");
    }
    for error in [
        RequestError::UnknownPath,
        RequestError::MethodNotAllowed,
        RequestError::UnknownClass,
        RequestError::UnknownPlan,
        RequestError::InvalidAddress,
        RequestError::InvalidTimeout,
        RequestError::InvalidRequestId,
        RequestError::InvalidPlacement,
        RequestError::UnexpectedBody,
        RequestError::LengthRequired,
    ] {
        writeln!(found, "{}: {}", error.status(), error.message())
            .expect("writing to memory does not fail");
    }
    assert_recorded("requests_read.txt", &found);
}

#[test]
fn corrupted_requests_match_the_recorded_hash() {
    let (settings, mut hash, mut rng) = (small_settings(), Hash::default(), Rng::new(11));
    let valid = request_with("\0", "");
    for _ in 0..6_000 {
        let mut text = valid.clone().into_bytes();
        for _ in 0..=rng.below(2) {
            let place = rng.below(text.len());
            text[place] = b"05aX,=-/ :\r\n"[rng.below(12)];
        }
        hash.add(&show_request(
            &String::from_utf8(text).expect("text is ASCII"),
            rng.below(2) * 5,
            &settings,
        ));
    }
    assert_eq!(hash.0.value(), HASHES[1], "{:#x}", hash.0.value());
}

#[test]
fn interned_requests_match_the_recorded_text() {
    let settings = small_settings();
    let mut names = NameInterner::default();
    let mut found = String::new();
    let requests = [
        ("\0", "", 0),
        ("\0", "", 5),
        ("X-Request", "X-Request-ID: b", 1_000),
        (
            "PUT",
            "PUT /book/0000000000000001/7f3a9c21e0b4d655 HTTP/1.1\r\nX-A: b",
            1_000,
        ),
    ];
    for (ids, (prefix, line, now)) in (0..).zip(requests) {
        let mut text = request_with(prefix, line);
        if ids > 2 {
            text = text.replace("9b1f", "c").replace("480", "2001");
        }
        let head = request_head(&text);
        let Ok(ClientRequest::BlockIo(block)) = request::parse(&head, 5, &settings) else {
            panic!("request was not parsed as a block I/O")
        };
        match names.intern_request(BioId(ids), &block, now, &settings) {
            Ok(b) => writeln!(
                found,
                "bio {} group {} plan {} volume {} key {:?} until {} units {} shard {:?} hosts {}",
                b.id.0,
                b.class,
                b.plan,
                b.volume.0,
                b.key.map(|k| k.0),
                b.deadline,
                b.units,
                b.shard,
                b.hosts
            ),
            Err(InternError::DuplicateRequestId) => writeln!(found, "in hand"),
            Err(InternError::TooManyVolumes) => writeln!(found, "full"),
        }
        .expect("writing to memory does not fail");
    }
    writeln!(found, "sizes {:?}", names.counts()).expect("writing to memory does not fail");
    let mut interned = 0;
    for volume in 0..5_000u64 {
        let text = request_with("\0", "").replace("00000003b4d60021", &format!("{volume:016x}"));
        let text = text.replace("9b1f", &format!("v{volume}"));
        let Ok(ClientRequest::BlockIo(block)) = request::parse(&request_head(&text), 5, &settings)
        else {
            panic!("valid request was not parsed as a block I/O")
        };
        interned += u32::from(names.intern_request(BioId(9), &block, 0, &settings).is_ok());
    }
    writeln!(
        found,
        "volumes taken {interned}, sizes {:?}",
        names.counts()
    )
    .expect("writing to memory does not fail");
    let id = |text: &str| RequestId::new(text).map(|id| escaped(id.bytes()));
    writeln!(
        found,
        "ids {:?} {:?} {:?} {:?}",
        id(""),
        id("a"),
        id("a b"),
        id(&"x".repeat(41))
    )
    .expect("writing to memory does not fail");
    assert_recorded("block_ios.txt", &found);
}

fn show_class(class: &IoClass) -> String {
    let idempotency = match class.idempotency {
        Idempotency::Idempotent => "idempotent".to_owned(),
        Idempotency::NonIdempotent => "side-effecting".to_owned(),
        Idempotency::IdempotentByKey { scope, window } => {
            let scope = match scope {
                DeduplicationScope::All => "all",
                DeduplicationScope::Zone => "zone",
                DeduplicationScope::Shard => "cell",
            };
            format!("by key in {scope} for {window}")
        }
    };
    let (objective, late_ratio, weight) = (
        class.latency_objective,
        class.late_weight_ratio,
        class.priority_weight,
    );
    format!(
        "{idempotency} goal {objective} late {late_ratio} gain {weight} ordered {} writes {}",
        class.ordered, class.writes
    )
}

fn show_plan(plan: &Plan) -> String {
    let (usual, reserve, limit, burst) = (
        plan.usual_rate,
        plan.reserved_rate,
        plan.rate_limit,
        plan.burst_units,
    );
    format!(
        "usual {usual} reserve {reserve} limit {limit} burst {burst} weight {} price {}",
        plan.weight, plan.priority_factor
    )
}

fn show_settings(n: &PlatformSettings) -> String {
    let t = &n.scheduler;
    let mut out = String::new();
    for (name, class) in n.class_names.iter().zip(&t.classes) {
        writeln!(out, "  group {name}: {}", show_class(class))
            .expect("writing to memory does not fail");
    }
    for (name, plan) in n.plan_names.iter().zip(&t.plans) {
        writeln!(out, "  plan {name}: {}", show_plan(plan))
            .expect("writing to memory does not fail");
    }
    let fields: [(&str, &dyn std::fmt::Debug); 34] = [
        (
            "counts",
            &(
                n.class_names.len(),
                t.classes.len(),
                n.plan_names.len(),
                t.plans.len(),
            ),
        ),
        ("zones", &n.zone_names),
        ("connect within", &n.connect_timeout),
        ("idle close", &n.idle_timeout.unwrap_or(0)),
        ("open most", &n.max_in_flight.unwrap_or(0)),
        ("longest", &n.longest_deadline),
        ("hosts", &t.hosts),
        ("mean units", &t.mean_io_units),
        ("largest", &t.max_io_units),
        ("share gain", &t.share_weight_factor),
        ("spare gain", &t.spare_weight_factor),
        ("meter", &t.metering_window),
        ("counts others", &t.other_hosts_usage_reported),
        ("may cancel", &t.allow_cancel),
        ("may probe", &t.allow_health_checks),
        ("may tell", &t.allow_peer_messages),
        ("may duplicate", &t.allow_hedging),
        ("may name return", &t.allow_retry_after),
        ("longest return", &t.max_retry_after),
        ("max submits", &t.max_attempts),
        ("list on request", &t.endpoints_polled),
        ("ask turn", &t.poll_service_time),
        ("list pushed", &t.endpoints_pushed),
        ("ask within", &t.max_poll_delay),
        ("word by half", &t.shed_at_half_deadline),
        ("cold bears", &t.slow_start_capacity),
        ("cold from", &t.slow_start_initial_rate),
        ("cold span", &t.slow_start_duration),
        ("fall span", &t.overload_window),
        ("fall multiple", &t.overload_multiple),
        ("order rest", &t.ordering_cooldown),
        ("budget free", &t.retry_budget_min),
        ("budget share", &t.retry_budget_ratio),
        ("budget span", &t.retry_budget_window),
    ];
    for (name, value) in &fields {
        writeln!(out, "  {name}: {value:?}").expect("writing to memory does not fail");
    }
    out
}

/// Returns settings with every key that is read, each with a distinct value.
fn every_setting() -> Value {
    json!({"balancers": 3, "localities": ["a", "b", 7, "c"], "registry_mode": "on_request",
        "profiles": [
            {"name": "scan", "aim_us": 200050, "deadline_us": 1000050, "repeat": "idempotent", "worth": 3.0,
             "late_share": 0.15, "keep_order": true},
            {"name": "stamp", "aim_us": 250000, "deadline_us": 2000000, "repeat": "deduplicated", "key_scope": "zone",
             "key_ttl_us": 900099, "worth": 2.0},
            {"name": "mint", "aim_us": 1, "deadline_us": 1, "repeat": "deduplicated", "key_scope": "all"},
            {"name": "book", "aim_us": 100, "deadline_us": 101, "repeat": "at_most_once", "key_scope": "cell"}],
        "service_levels": [
            {"name": "copper", "limit": 15.0, "limit_burst": 48.0, "usual_rate": 7.5, "floor_rate": 2.25, "weight": 4.0,
             "worth_factor": 0.5},
            {"name": "steel", "limit": 0.0}],
        "extra": {"class_writes": [false, true, "x"], "cold_bears": 70.0, "largest": 8, "mean_units": 2.19,
                  "within_share": 0.35, "spare_worth": 0.1, "meter_us": 1234567, "counts_others": true, "other": 1},
        "limits": {"cancel": true, "connect_timeout_us": 250001, "idle_close_us": 30000099, "max_attempts": 3.9,
                   "probes": true, "peer_messages": true, "may_duplicate": true, "retry_after": true,
                   "max_retry_after_us": 4000099, "open_cap": 77.5},
        "rules": {"ask_within_us": 10000099, "cold_from": 0.2, "cold_us": 18000001, "fall_multiple": 4.0,
                  "fall_us": 2000001, "extra_ratio": 0.25, "look_back_us": 5000001, "free_resends": 3.0,
                  "order_pause_us": 200001}})
}

fn read_settings(v: &Value) -> String {
    match settings::from_json(v) {
        Ok(named) => show_settings(&named),
        Err(why) => {
            format!("  refused: {why}\n")
                .replace('\n', "\n  ")
                .trim_end()
                .to_owned()
                + "\n"
        }
    }
}

/// Adds the paths of all values in a JSON object to `into`.
fn json_paths(v: &Value, path: &str, into: &mut Vec<String>) {
    let mut visit = |key: String, v: &Value| {
        let path = format!("{path}/{key}");
        into.push(path.clone());
        json_paths(v, &path, into);
    };
    match v {
        Value::Object(fields) => fields.iter().for_each(|(k, v)| visit(k.clone(), v)),
        Value::Array(all) => all
            .iter()
            .enumerate()
            .for_each(|(i, v)| visit(i.to_string(), v)),
        _ => {}
    }
}

/// Returns the object with the value at a path replaced, or removed for `None`.
fn with(all: &Value, path: &str, value: Option<Value>) -> Value {
    let mut all = all.clone();
    let (parent, key) = path.rsplit_once('/').expect("the path has a parent");
    match (all.pointer_mut(parent).expect("the parent exists"), value) {
        (Value::Object(fields), Some(value)) => drop(fields.insert(key.to_owned(), value)),
        (Value::Object(fields), None) => drop(fields.remove(key)),
        (Value::Array(list), Some(value)) => list[key.parse::<usize>().expect("an index")] = value,
        (Value::Array(list), None) => drop(list.remove(key.parse::<usize>().expect("an index"))),
        _ => {}
    }
    all
}

/// Returns the lines that are not in the valid text.
fn differing(valid: &str, found: &str) -> String {
    let valid: Vec<&str> = valid.lines().collect();
    found
        .lines()
        .filter(|l| !valid.contains(l))
        .flat_map(|line| [line, "\n"])
        .collect()
}

#[test]
fn settings_with_each_field_absent_or_replaced_match_the_recorded_text() {
    let all = every_setting();
    let valid = read_settings(&all);
    let mut found = format!("all:\n{valid}");
    let mut every = Vec::new();
    json_paths(&all, "", &mut every);
    let values = [
        None,
        Some(json!("soon")),
        Some(json!(-1.0)),
        Some(json!(0)),
        Some(json!(true)),
        Some(json!([])),
        Some(json!({})),
    ];
    for path in &every {
        for value in &values {
            let shown = value.as_ref().map_or("absent".into(), Value::to_string);
            let read = read_settings(&with(&all, path, value.clone()));
            write!(found, "{path} {shown}:\n{}", differing(&valid, &read))
                .expect("writing to memory does not fail");
        }
    }
    for (path, value) in [
        ("/registry_mode", "pushed"),
        ("/profiles/1/name", "scan"),
        ("/profiles/1/key_scope", "planet"),
        ("/profiles/0/repeat", "twice"),
        ("/service_levels/1/name", "copper"),
    ] {
        let read = read_settings(&with(&all, path, Some(json!(value))));
        write!(found, "{path} {value}:\n{}", differing(&valid, &read))
            .expect("writing to memory does not fail");
    }
    for text in ["", "{}", "[1]", "3", "{\"balancers\":1"] {
        let read = settings::parse(text).map_or_else(|why| why.to_string(), |n| show_settings(&n));
        writeln!(found, "text {text}: {read}").expect("writing to memory does not fail");
    }
    assert_recorded("settings.txt", &found);
}

fn every_config() -> Value {
    json!({"name": "n3", "listen": "127.0.0.4:8443", "discovery": "127.2.0.1:8500", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.75, "memory_mb": 32.9, "sockets": 256},
        "known": {"seq": 41, "whole": true, "hosts": [serde_json::from_str::<Value>(ENTRY).expect("input is valid")]},
        "fleet": {"name": "south", "listen": "127.0.0.4:7000", "reached_at": "10.0.0.4:7001", "zone": "z1",
                  "seeds": ["127.0.0.5:7000", "127.0.0.6:7000"], "period_ms": 500, "keep_s": 7200},
        "settings": serde_json::from_str::<Value>(SETTINGS).expect("input is valid")})
}

fn read_config(text: &str) -> String {
    let c = match config::parse(text) {
        Ok(c) => c,
        Err(error) => return format!("{error}\n"),
    };
    let mut out = String::new();
    writeln!(
        out,
        "  name {} listen {} discovery {}",
        c.name, c.listen, c.discovery
    )
    .expect("writing to memory does not fail");
    writeln!(
        out,
        "  seed {:x} cores {} memory {} sockets {}",
        c.seed, c.cpu_cores, c.memory_mb, c.max_sockets
    )
    .expect("writing to memory does not fail");
    writeln!(
        out,
        "  known {}",
        c.cached_list.as_ref().map_or("none".into(), show_event)
    )
    .expect("writing to memory does not fail");
    match &c.fleet {
        None => writeln!(out, "  no place"),
        Some(p) => writeln!(
            out,
            "  place {} {} at {} listen {} zone {} seeds {:?} period {} keep {}",
            p.membership.fleet,
            p.membership.name,
            p.membership.address,
            p.listen,
            p.membership.zone,
            p.membership.seeds,
            p.membership.protocol_period,
            p.membership.unreachable_retention
        ),
    }
    .expect("writing to memory does not fail");
    let settings = show_settings(&c.settings);
    let mut hash = Hash::default();
    hash.add(&settings);
    writeln!(out, "  settings {:x}", hash.0.value()).expect("writing to memory does not fail");
    out
}

#[test]
fn configurations_with_each_field_absent_or_replaced_match_the_recorded_text() {
    let all = every_config();
    let valid = read_config(&all.to_string());
    let mut found = format!("all:\n{valid}");
    let mut every = Vec::new();
    json_paths(&all, "", &mut every);
    every.retain(|p| !p.starts_with("/settings/"));
    let values = [
        None,
        Some(Value::Null),
        Some(json!("soon")),
        Some(json!("")),
        Some(json!(-1.5)),
        Some(json!(15)),
        Some(json!(63.9)),
        Some(json!([1])),
        Some(json!({"x": 1})),
    ];
    for path in &every {
        for value in &values {
            let shown = value.as_ref().map_or("absent".into(), Value::to_string);
            let read = read_config(&with(&all, path, value.clone()).to_string());
            write!(found, "{path} {shown}:\n{}", differing(&valid, &read))
                .expect("writing to memory does not fail");
        }
    }
    for (path, value) in [
        ("/seed", json!("0")),
        ("/seed", json!("11c1f30d27a5be964")),
        ("/limits/memory_mb", json!(16)),
        ("/limits/sockets", json!(64)),
        ("/fleet/listen", json!("0.0.0.0:7000")),
        ("/fleet/zone", json!("a zone of far more than its bytes")),
        ("/settings/profiles", json!([])),
        ("/settings/service_levels", json!([])),
        ("/settings/balancers", json!(0)),
        ("/settings/registry_mode", json!("x")),
    ] {
        let read = read_config(&with(&all, path, Some(value.clone())).to_string());
        write!(found, "{path} {value}:\n{}", differing(&valid, &read))
            .expect("writing to memory does not fail");
    }
    for text in ["", "{}", "[1]", "3", "{\"name\":\"n3\""] {
        write!(found, "text {text}: {}", read_config(text))
            .expect("writing to memory does not fail");
    }
    assert_recorded("configurations.txt", &found);
}

#[test]
fn corrupted_configurations_match_the_recorded_hash() {
    let (mut hash, mut rng) = (Hash::default(), Rng::new(13));
    let valid = every_config().to_string();
    for _ in 0..3_000 {
        let mut text = valid.clone().into_bytes();
        let place = rng.below(text.len());
        match rng.below(3) {
            0 => text[place] = b"0x,-\"}1 "[rng.below(8)],
            1 => drop(text.remove(place)),
            _ => text.truncate(place),
        }
        hash.add(&read_config(
            &String::from_utf8(text).expect("text is ASCII"),
        ));
    }
    assert_eq!(hash.0.value(), HASHES[2], "{:#x}", hash.0.value());
}

/// Recorded hashes of results that are too long for a file: truncated and corrupted lists, requests and
/// configurations, in this order.
const HASHES: [u64; 3] = [
    0xab7b_744b_2ec9_f362,
    0x14f2_7b91_2242_e283,
    0x17a0_7aa9_ee86_50da,
];
