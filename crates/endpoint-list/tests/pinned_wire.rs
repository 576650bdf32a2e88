//! Pinned protocol: every line that is written, and the values that are read from every form of it, cut at every byte
//! and with every byte changed, compared with the results of commit 01f3988. Guards against unintended changes of the
//! protocol.
use mallowseam_endpoint_list::{
    Endpoint, EndpointState, EndpointUpdate, EndpointWatcher, ListVersion, MAX_ENDPOINTS,
    MAX_LINE_BYTES, ProtocolError, UpdateKind, WatchEvent, write_update,
};
use mallowseam_test_support::{Digest, SeededRng};
use std::fmt::Write;
use std::num::NonZeroU64;

const STATES: [EndpointState; 3] = [
    EndpointState::Active,
    EndpointState::Draining,
    EndpointState::Removed,
];

/// Cache text of a host that has received `WHOLE`.
const CACHED: &str =
    "kept 3\nnode a1 active 5 10\nnode b-2 leaving 0 18446744073709551615\nnode c left 7 0\nend\n";
const WHOLE: &str = "list 9 3 whole 3\nnode a1 active 5 10\nnode b-2 leaving 0 18446744073709551615\nnode c left 7 0\n";
const CHANGES: &str = "list 9 4 changes 1\nnode a1 left 5 20\n";
const EMPTY: &str = "list 18446744073709551615 0 whole 0\n";

fn endpoint(name: &str, state: EndpointState, generation: u64, uptime_ms: u64) -> Endpoint {
    Endpoint {
        name: name.into(),
        state,
        generation: NonZeroU64::new(generation),
        uptime_ms,
    }
}

fn endpoints() -> Vec<Endpoint> {
    vec![
        endpoint("a1", EndpointState::Active, 5, 10),
        endpoint("b-2", EndpointState::Draining, 0, u64::MAX),
        endpoint("c", EndpointState::Removed, 7, 0),
    ]
}

fn describe_update(update: &EndpointUpdate) -> String {
    let mut text = format!(
        "news {}",
        match update.kind {
            UpdateKind::FullSnapshot => "whole",
            UpdateKind::Incremental => "changes",
        }
    );
    for endpoint in &update.endpoints {
        write!(
            text,
            " [{} {} {} {}]",
            endpoint.name,
            endpoint.state.as_str(),
            endpoint.generation.map_or(0, NonZeroU64::get),
            endpoint.uptime_ms
        )
        .expect("writing to memory does not fail");
    }
    text
}

fn describe(event: &WatchEvent) -> String {
    match event {
        WatchEvent::Update(update) => describe_update(update),
        WatchEvent::SnapshotRequired => "missed".to_owned(),
    }
}

/// Passes bytes to a watcher and returns a text of all events, the error if there is one, and the known list after
/// them.
fn receive(watcher: &mut EndpointWatcher, bytes: &[u8]) -> String {
    let mut text = String::new();
    let result = watcher.receive(bytes, |event| {
        text.push_str(&describe(&event));
        text.push('\n');
    });
    if let Err(error) = result {
        writeln!(text, "error {} {error}", error.line).expect("writing to memory does not fail");
    }
    let ListVersion { epoch, version } = watcher.version();
    writeln!(
        text,
        "at {epoch} {version} knows {:?}",
        watcher.write_cache()
    )
    .expect("writing to memory does not fail");
    text
}

fn restore(text: &str) -> String {
    let mut watcher = EndpointWatcher::default();
    let result = match watcher.restore_cache(text) {
        Ok(update) => describe_update(&update),
        Err(error) => format!("error {} {error}", error.line),
    };
    let ListVersion { epoch, version } = watcher.version();
    format!(
        "{result} at {:?} knows {:?}",
        (epoch, version),
        watcher.write_cache()
    )
}

#[test]
fn every_line_is_written_as_recorded() {
    let mut out = String::new();
    write_update(
        &mut out,
        ListVersion {
            epoch: 9,
            version: 3,
        },
        UpdateKind::FullSnapshot,
        &endpoints(),
    );
    assert_eq!(out, WHOLE);
    out.clear();
    write_update(
        &mut out,
        ListVersion {
            epoch: 9,
            version: 4,
        },
        UpdateKind::Incremental,
        &[endpoint("a1", EndpointState::Removed, 5, 20)],
    );
    assert_eq!(out, CHANGES);
    out.clear();
    write_update(
        &mut out,
        ListVersion {
            epoch: u64::MAX,
            version: 0,
        },
        UpdateKind::FullSnapshot,
        &[],
    );
    assert_eq!(out, EMPTY);
    assert_eq!(
        STATES.map(EndpointState::as_str),
        ["active", "leaving", "left"]
    );
    assert_eq!((MAX_LINE_BYTES, MAX_ENDPOINTS), (256, 4096));
}

#[test]
fn the_cached_list_is_written_and_read_as_recorded() {
    let mut watcher = EndpointWatcher::default();
    watcher
        .receive(WHOLE.as_bytes(), |_| {})
        .expect("input is valid");
    assert_eq!(watcher.write_cache(), CACHED);
    let mut restored = EndpointWatcher::default();
    assert_eq!(
        restored.restore_cache(CACHED),
        Ok(EndpointUpdate {
            kind: UpdateKind::FullSnapshot,
            endpoints: endpoints()
        })
    );
    assert_eq!(
        (restored.write_cache().as_str(), restored.version()),
        (CACHED, ListVersion::default())
    );
    assert_eq!(EndpointWatcher::default().write_cache(), "kept 0\nend\n");
    assert_eq!(restore("kept 0\nend\n"), RESTORED_EMPTY);
}

/// Text of the empty update that a cache without nodes leads to.
const RESTORED_EMPTY: &str = r#"news whole at (0, 0) knows "kept 0\nend\n""#;

#[test]
fn a_stream_cut_at_any_byte_leads_to_the_same_updates() {
    let stream = [WHOLE, CHANGES, WHOLE, EMPTY].concat();
    let mut whole = EndpointWatcher::default();
    let expected = receive(&mut whole, stream.as_bytes());
    assert_eq!(Digest::of_text(&expected), "b4d9425216ca6a11");
    let mut record = String::new();
    for cut in 0..=stream.len() {
        let mut watcher = EndpointWatcher::default();
        record += &receive(&mut watcher, &stream.as_bytes()[..cut]);
        // A reconnect drops the partial line and the partial message.
        let mut reconnected = EndpointWatcher::default();
        reconnected
            .receive(&stream.as_bytes()[..cut], |_| {})
            .expect("input is valid");
        reconnected.on_reconnect();
        record += &receive(&mut reconnected, stream.as_bytes());
        receive(&mut watcher, &stream.as_bytes()[cut..]);
        assert_eq!(watcher.write_cache(), whole.write_cache(), "cut at {cut}");
        assert_eq!(watcher.version(), whole.version(), "cut at {cut}");
    }
    assert_eq!(Digest::of_text(&record), "0ca0b0735046eb32");
}

#[test]
fn a_changed_byte_is_read_as_recorded() {
    let stream = [WHOLE, CHANGES].concat();
    let mut record = String::new();
    for position in 0..stream.len() {
        for other in [b' ', b'\n', b'\r', b'0', b'9', b'x', b'-', 0xff] {
            let mut bytes = stream.clone().into_bytes();
            bytes[position] = other;
            record += &receive(&mut EndpointWatcher::default(), &bytes);
        }
        let without = [
            &stream.as_bytes()[..position],
            &stream.as_bytes()[position + 1..],
        ]
        .concat();
        record += &receive(&mut EndpointWatcher::default(), &without);
    }
    assert_eq!(Digest::of_text(&record), "0f1181697cab83e4");
}

#[test]
fn a_cached_list_cut_or_changed_at_any_byte_is_read_as_recorded() {
    let mut record = String::new();
    for position in 0..CACHED.len() {
        writeln!(record, "{}", restore(&CACHED[..position]))
            .expect("writing to memory does not fail");
        for other in [" ", "\n", "\r", "0", "9", "x"] {
            let text = [&CACHED[..position], other, &CACHED[position + 1..]].concat();
            writeln!(record, "{}", restore(&text)).expect("writing to memory does not fail");
        }
    }
    assert_eq!(Digest::of_text(&record), "7488227ee72a9703");
}

#[test]
fn every_error_is_the_recorded_text() {
    let expected = [
        (
            "hello\n".to_owned(),
            "line 1: expected list EPOCH VERSION whole|changes COUNT",
        ),
        (
            "list 1 1 half 0\n".to_owned(),
            "line 1: expected whole or changes",
        ),
        ("list 1 1 whole x\n".to_owned(), "line 1: expected a count"),
        (
            "list 1 1 whole 4097\n".to_owned(),
            "line 1: expected at most 4096 nodes",
        ),
        ("list x 1 whole 1\n".to_owned(), "line 1: expected an epoch"),
        (
            "list 1 x whole 1\n".to_owned(),
            "line 1: expected a version",
        ),
        (
            "list 1 1 whole 1\nlist 1 1 whole 1\n".to_owned(),
            "line 2: expected node NAME active|leaving|left BORN AGE",
        ),
        (
            "list 1 1 whole 1\nnode  active 1 1\n".to_owned(),
            "line 2: expected a name",
        ),
        (
            "list 1 1 whole 1\nnode a up 1 1\n".to_owned(),
            "line 2: expected active, leaving or left",
        ),
        (
            "list 1 1 whole 1\nnode a left -1 1\n".to_owned(),
            "line 2: expected a start",
        ),
        (
            "list 1 1 whole 1\nnode a left 1 -1\n".to_owned(),
            "line 2: expected an age",
        ),
        (
            "x".repeat(257),
            "line 1: expected a line of up to 256 bytes",
        ),
    ];
    for (text, expected_error) in expected {
        let error = EndpointWatcher::default()
            .receive(text.as_bytes(), |_| {})
            .expect_err(&text);
        assert_eq!(error.to_string(), format!("node list, {expected_error}"));
    }
    assert_eq!(
        EndpointWatcher::default().receive("x".repeat(256).as_bytes(), |_| {}),
        Ok(())
    );
    let result = EndpointWatcher::default().receive(b"\xff\n", |_| {});
    assert_eq!(
        result,
        Err(ProtocolError {
            line: 1,
            expected: "text"
        })
    );
    let mut full = EndpointWatcher::default();
    assert_eq!(full.receive(b"list 1 1 whole 4096\n", |_| {}), Ok(()));
    assert_eq!(
        EndpointWatcher::default()
            .restore_cache("kept x\nend\n")
            .expect_err("the count is invalid")
            .to_string(),
        "node list, line 1: expected kept COUNT"
    );
    assert_eq!(
        EndpointWatcher::default()
            .restore_cache("kept 1\nend\n")
            .expect_err("a node is missing")
            .to_string(),
        "node list, line 1: expected as many nodes as the head says, then end"
    );
}

/// Returns the digest of the events for seeded lists of random epochs, versions and generations, which arrive in
/// pieces over connections that are lost at times.
fn digest_of_seed(seed: u64) -> String {
    let (mut rng, mut record) = (SeededRng::new(seed), String::new());
    let mut watcher = EndpointWatcher::default();
    let (mut epoch, mut version) = (1, 1);
    for _ in 0..1_000 {
        match rng.below(12) {
            0 => (epoch, version) = (epoch + rng.below(2), rng.below(3)),
            1 => version += rng.below(3),
            2 => version = version.saturating_sub(rng.below(3)),
            3 => watcher.on_reconnect(),
            4 => {
                let cached = watcher.write_cache();
                watcher = EndpointWatcher::default();
                let update = watcher
                    .restore_cache(&cached)
                    .expect("the written cache is valid");
                record += &describe_update(&update);
            }
            _ => version += 1,
        }
        let endpoints: Vec<Endpoint> = (0..rng.below(5))
            .map(|_| {
                let name = format!("n{}", rng.below(6));
                let endpoint_state = STATES[rng.below(3) as usize];
                endpoint(&name, endpoint_state, rng.below(4), rng.below(1_000))
            })
            .collect();
        let mut text = String::new();
        let kind = if rng.below(4) == 0 {
            UpdateKind::FullSnapshot
        } else {
            UpdateKind::Incremental
        };
        write_update(&mut text, ListVersion { epoch, version }, kind, &endpoints);
        let cut = rng.below(text.len() as u64 + 1) as usize;
        record += &receive(&mut watcher, &text.as_bytes()[..cut]);
        if rng.below(20) == 0 {
            watcher.on_reconnect();
        } else {
            record += &receive(&mut watcher, &text.as_bytes()[cut..]);
        }
    }
    Digest::of_text(&record)
}

#[test]
fn every_seed_leads_to_the_recorded_updates() {
    let digests: Vec<String> = (0..20).map(digest_of_seed).collect();
    assert_eq!(
        digests,
        [
            "26659bce2e8b98f4",
            "b6efcf4164473993",
            "f3684e736cf0e6a8",
            "c07d522822714128",
            "f0cb56cccdefa3a2",
            "d8ed30361fc8e016",
            "1c4fc7155edbfc9e",
            "53abb6ca889030f3",
            "3c895f8769fc5729",
            "d640b7eced5bc949",
            "3c4fcf995a94a48e",
            "53e45bbb3adb4379",
            "d2d7d0af090a91ed",
            "ff813bee0e82729a",
            "f81419ff0765e43b",
            "caec6e916a27b0d8",
            "6c5bd4228eee7252",
            "4dbfa3672511e39f",
            "89f550070b4a9448",
            "3594cb2e2b9b15bd"
        ]
    );
}
