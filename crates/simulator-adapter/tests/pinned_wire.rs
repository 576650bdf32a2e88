//! Compares the adapter's output with recorded output, byte for byte.
//!
//! `transcripts/*.in` contains the input from a simulator, `*.out` the adapter's output: requests beyond the rates that
//! the plans allow, outcomes of all kinds, changes of the endpoint list, timers, and an instance that is torn down.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const ADAPTER: &str = env!("CARGO_BIN_EXE_mallowseam-simulator-adapter");

/// Runs the adapter with this input until it exits.
fn run(input: &[u8]) -> Output {
    let mut command = Command::new(ADAPTER);
    let command = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut adapter = command.spawn().expect("the adapter starts");
    let mut stdin = adapter.stdin.take().expect("stdin is piped");
    std::thread::scope(|scope| {
        // The adapter stops reading at an error, so writing may fail.
        scope.spawn(move || drop(stdin.write_all(input)));
        adapter.wait_with_output().expect("the adapter exits")
    })
}

fn assert_transcript(input: &str, expected: &str) {
    let output = run(input.as_bytes());
    let written = String::from_utf8(output.stdout).expect("the output is UTF-8");
    for (number, (line, expected)) in written.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, expected, "line {}", number + 1);
    }
    assert!(
        written == expected,
        "the outputs differ in length or line ends"
    );
    assert_eq!(
        (output.status.code(), output.stderr.as_slice()),
        (Some(0), &b""[..])
    );
}

#[test]
fn output_with_a_polled_endpoint_list_matches_the_transcript() {
    assert_transcript(
        include_str!("transcripts/listed_on_request.in"),
        include_str!("transcripts/listed_on_request.out"),
    );
}

#[test]
fn output_with_a_pushed_endpoint_list_matches_the_transcript() {
    assert_transcript(
        include_str!("transcripts/listed_by_push.in"),
        include_str!("transcripts/listed_by_push.out"),
    );
}

#[test]
fn batches_without_work_are_answered_and_empty_lines_between_batches_are_skipped() {
    let answered: [(&[u8], &[u8]); 5] = [
        (b"", b""),
        (b"\n\n", b""),
        (b"clock 5 1\r\neof_batch\r\n", b"next 1\n"),
        (b"clock -150 x\neof_batch\n", b"next x\n"),
        (b"clock 5 1\nteardown 4\neof_batch", b"next 1\n"),
    ];
    for (input, expected) in answered {
        let output = run(input);
        assert_eq!(output.stdout, expected, "{input:?}");
        assert_eq!(
            (output.status.code(), output.stderr.as_slice()),
            (Some(0), &b""[..]),
            "{input:?}"
        );
    }
}

#[test]
fn input_that_is_not_utf_8_exits_with_an_error() {
    let output = run(b"clock 5 1\n\xff\n");
    assert_eq!(output.status.code(), Some(2));
    assert_eq!(
        output.stderr,
        b"line 2: input cannot be read: stream did not contain valid UTF-8\n"
    );
}

#[test]
fn closed_output_exits_with_an_error() {
    let full = std::fs::File::options()
        .write(true)
        .open("/dev/full")
        .expect("/dev/full can be opened");
    let mut command = Command::new(ADAPTER);
    let command = command
        .stdin(Stdio::piped())
        .stdout(full)
        .stderr(Stdio::piped());
    let mut adapter = command.spawn().expect("the adapter starts");
    let mut stdin = adapter.stdin.take().expect("stdin is piped");
    stdin
        .write_all(b"clock 5 1\neof_batch\n")
        .expect("the adapter reads");
    drop(stdin);
    let output = adapter.wait_with_output().expect("the adapter exits");
    assert_eq!(
        (output.status.code(), output.stderr.as_slice()),
        (Some(1), &b""[..])
    );
}

#[test]
fn invalid_input_exits_with_the_recorded_error_texts() {
    for (name, before, lines, expected) in INVALID_INPUTS {
        let output = run(format!("{}{lines}\n", before.replace("SETTINGS", SETTINGS)).as_bytes());
        assert_eq!(
            String::from_utf8_lossy(&output.stderr),
            format!("{expected}\n"),
            "{name}"
        );
        assert_eq!(
            (output.status.code(), output.stdout.as_slice()),
            (Some(2), &b""[..]),
            "{name}"
        );
    }
}

const NO_BATCH: &str = "";
const OPEN_INSTANCE: &str = "clock 5000000 1\nopen_instance 7 99 SETTINGS\n";
const WITH_NODE: &str = "clock 5000000 1\nopen_instance 7 99 SETTINGS\n\
    membership 7 1 snapshot 1\nentry brick_0 a m 0 active 1.0 -\n";

const SETTINGS: &str = concat!(
    r#"{"balancers":3,"localities":["a","b"],"registry_mode":"on_request","#,
    r#""profiles":[{"name":"scan","aim_us":200000,"deadline_us":1000000,"repeat":"idempotent","#,
    r#""worth":3.0,"late_share":0.5},{"name":"stamp","aim_us":250000,"deadline_us":2000000,"#,
    r#""repeat":"deduplicated","key_scope":"zone","key_ttl_us":900000,"worth":2.0},"#,
    r#"{"name":"book","aim_us":300000,"deadline_us":2000000,"repeat":"at_most_once","worth":3.0,"#,
    r#""keep_order":true}],"service_levels":[{"name":"copper","limit":90.0,"limit_burst":60.0,"#,
    r#""usual_rate":60.0,"floor_rate":30.0,"weight":1.0},{"name":"steel","limit":0.0,"#,
    r#""usual_rate":300.0,"floor_rate":200.0,"weight":2.0,"worth_factor":1.5}],"#,
    r#""extra":{"class_writes":[false,true,true],"cold_bears":70.0,"largest":8,"mean_units":2.19,"#,
    r#""within_share":0.5,"spare_worth":0.1},"limits":{"cancel":true,"connect_timeout_us":250000,"#,
    r#""idle_close_us":30000000,"max_attempts":3,"retry_after":true,"#,
    r#""max_retry_after_us":1000000},"rules":{"drain_grace_us":250000,"ask_within_us":10000000,"#,
    r#""cold_from":0.2,"cold_us":18000000,"fall_multiple":4.0,"fall_us":2000000,"#,
    r#""extra_ratio":0.25,"look_back_us":5000000,"free_resends":3.0,"order_pause_us":50000}}"#,
);

/// Name of the case, input before the invalid lines, the invalid lines, and the expected text on standard error.
const INVALID_INPUTS: &[(&str, &str, &str, &str)] = &[
    (
        "message outside a batch",
        NO_BATCH,
        "fired 1 0",
        "line 1: fired: expected a clock line to open the batch",
    ),
    (
        "clock without a time",
        NO_BATCH,
        "clock",
        "line 1: clock: clock: expected a time in microseconds",
    ),
    (
        "clock without a batch number",
        NO_BATCH,
        "clock 5",
        "line 1: clock: batch number: expected a value",
    ),
    (
        "clock within a batch",
        NO_BATCH,
        "clock 5 1\nclock 6 2",
        "line 2: clock: expected eof_batch before the next batch",
    ),
    (
        "unknown message",
        NO_BATCH,
        "clock 5 1\nfrobnicate 1",
        "line 2: frobnicate: expected a message of the protocol",
    ),
    (
        "instance index missing",
        NO_BATCH,
        "clock 5 1\nfired",
        "line 2: fired: i: expected a whole number",
    ),
    (
        "instance not open",
        NO_BATCH,
        "clock 5 1\nfired 3 0",
        "line 2: fired: i: expected an instance that is open",
    ),
    (
        "seed missing",
        NO_BATCH,
        "clock 5 1\nopen_instance 3",
        "line 2: open_instance: init_seed: expected a whole number",
    ),
    (
        "settings malformed",
        NO_BATCH,
        "clock 5 1\nopen_instance 3 9 {",
        "line 2: settings: expected a JSON object (EOF while parsing an object at line 1 column 1)",
    ),
    (
        "settings incomplete",
        NO_BATCH,
        "clock 5 1\nopen_instance 3 9 {\"profiles\":[]}",
        "line 2: settings.balancers: expected a figure above 0\nsettings.limits.connect_timeout_us: expected a figure above 0",
    ),
    (
        "entry without membership",
        OPEN_INSTANCE,
        "entry brick_0",
        "line 3: entry: expected a membership line before it",
    ),
    (
        "other message within a membership",
        OPEN_INSTANCE,
        "membership 7 1 snapshot 1\nfired 7 0",
        "line 4: fired: expected another entry of the membership",
    ),
    (
        "unknown form",
        OPEN_INSTANCE,
        "membership 7 1 odd 0",
        "line 3: membership: form: expected diff, snapshot, disk, error",
    ),
    (
        "generation missing",
        OPEN_INSTANCE,
        "membership 7",
        "line 3: membership: generation: expected a whole number",
    ),
    (
        "member count malformed",
        OPEN_INSTANCE,
        "membership 7 1 diff many",
        "line 3: membership: members_list: expected a number",
    ),
    (
        "node name missing",
        OPEN_INSTANCE,
        "membership 7 1 snapshot 1\nentry -",
        "line 4: entry: brick: expected a value",
    ),
    (
        "node state unknown",
        OPEN_INSTANCE,
        "membership 7 1 snapshot 1\nentry brick_0 a m 0 asleep 1.0 -",
        "line 4: entry: condition: expected active, leaving, left",
    ),
    (
        "shard malformed",
        OPEN_INSTANCE,
        "membership 7 1 snapshot 1\nentry brick_0 a m x active 1.0 -",
        "line 4: entry: cohort: expected a number",
    ),
    (
        "request id malformed",
        WITH_NODE,
        "request 7 x scan copper - 6000000 - 1 - - -",
        "line 5: request: xid: expected a whole number",
    ),
    (
        "class unknown",
        WITH_NODE,
        "request 7 1 sing copper - 6000000 - 1 - - -",
        "line 5: request: tier_class: expected a name of the settings",
    ),
    (
        "class missing",
        WITH_NODE,
        "request 7 1",
        "line 5: request: tier_class: expected a value",
    ),
    (
        "plan unknown",
        WITH_NODE,
        "request 7 1 scan tin - 6000000 - 1 - - -",
        "line 5: request: contract: expected a name of the settings",
    ),
    (
        "plan missing",
        WITH_NODE,
        "request 7 1 scan -",
        "line 5: request: contract: expected a value",
    ),
    (
        "deadline missing",
        WITH_NODE,
        "request 7 1 scan copper - - - 1 - - -",
        "line 5: request: client_deadline_us: expected a time in microseconds",
    ),
    (
        "weight not finite",
        WITH_NODE,
        "request 7 1 scan copper - 6000000 - inf - - -",
        "line 5: request: weight: expected a number",
    ),
    (
        "ending unknown",
        WITH_NODE,
        "resolved 7 1 odd - brick_0 1 0 - 0 -",
        "line 5: resolved: ending: expected done, err, busy, etimedout, econnrefused, econnreset, ecanceled, skipped",
    ),
    (
        "closed neither 0 nor 1",
        WITH_NODE,
        "resolved 7 1 done - brick_0 2 0 - 0 -",
        "line 5: resolved: closed: expected 1, 0",
    ),
    (
        "node unknown",
        WITH_NODE,
        "resolved 7 1 done - brick_9 1 0 - 0 -",
        "line 5: resolved: brick: expected a node of the list",
    ),
    (
        "load report without a value",
        WITH_NODE,
        "resolved 7 1 done - brick_0 1 0 - 0 backlog",
        "line 5: resolved: pressure: expected name:value pairs",
    ),
    (
        "load report malformed",
        WITH_NODE,
        "resolved 7 1 done - brick_0 1 0 - 0 backlog:x",
        "line 5: resolved: pressure: expected name:value pairs",
    ),
    (
        "probe of an unknown node",
        WITH_NODE,
        "sampled 7 brick_9 done 0 -",
        "line 5: sampled: brick: expected a node of the list",
    ),
    (
        "peer bytes malformed",
        WITH_NODE,
        "heard 7 1 %%%",
        "line 5: heard: octets: expected base64 with padding",
    ),
    (
        "peer missing",
        WITH_NODE,
        "heard 7",
        "line 5: heard: author: expected a whole number",
    ),
    (
        "timer mark missing",
        WITH_NODE,
        "fired 7",
        "line 5: fired: mark: expected a whole number",
    ),
    (
        "first byte without a request",
        WITH_NODE,
        "ack_first 7",
        "line 5: ack_first: xid: expected a whole number",
    ),
    (
        "disconnect without a request",
        WITH_NODE,
        "timed_out_client 7",
        "line 5: timed_out_client: xid: expected a whole number",
    ),
];
