//! Responses of the discovery service that arrive in pieces, cut at any byte.
use super::*;

const STREAM_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LINE: &str = r#"{"seq":1,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:9","site":"a","class":"m","block":0,"health":"ready","share":1.0,"born_ms":0}]}"#;
const LINE_WITHOUT_ADDRESS: &str = r#"{"seq":2,"whole":false,"hosts":[{"host":"s","dial":"127.0.0.1:9","site":"a","class":"m","block":0,"health":"draining","share":1.0,"born_ms":0},{"host":"t"}]}"#;

fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// Receives a response in pieces of `piece_len` bytes. Returns summaries of its messages, and the result of the last
/// piece.
fn receive(bytes: &[u8], piece_len: usize) -> (Vec<String>, Result<(), WatchError>) {
    let mut response = ListResponse::default();
    let mut messages = Vec::new();
    let mut outcome = Ok(());
    for piece in bytes.chunks(piece_len) {
        outcome = response.receive(piece, &mut messages);
        if outcome.is_err() {
            break;
        }
    }
    (messages.iter().map(summary).collect(), outcome)
}

fn summary(message: &WatchMessage) -> String {
    match message {
        WatchMessage::Update(update) => format!("update {}", update.version),
        WatchMessage::Heartbeat => "heartbeat".to_owned(),
        WatchMessage::ClosingEndpoints(endpoints) => {
            format!("closing endpoints {}", endpoints.len())
        }
        WatchMessage::Failed(error) => format!("failed: {error}"),
    }
}

#[test]
fn each_line_of_a_stream_is_one_message_wherever_the_bytes_are_cut() {
    let interim: &[u8] = b"HTTP/1.1 103 Early Hints\r\n\r\n";
    let bytes = [
        interim,
        STREAM_HEAD,
        &chunk(&format!("{LINE}\n")),
        &chunk("\n"),
        &chunk(&LINE[..30]),
    ]
    .concat();
    for piece_len in [1, 7, bytes.len()] {
        let (mut messages, outcome) = receive(&bytes, piece_len);
        // A line end that arrives separately from its update counts as a heartbeat too.
        messages.dedup();
        assert_eq!(
            messages,
            ["update 1", "heartbeat"],
            "in pieces of {piece_len} bytes"
        );
        assert!(outcome.is_ok());
    }
}

#[test]
fn a_response_has_started_once_its_final_head_is_received() {
    let mut response = ListResponse::default();
    let mut messages = Vec::new();
    let interim = b"HTTP/1.1 103 Early Hints\r\n\r\n";
    assert!(response.receive(interim, &mut messages).is_ok());
    assert!(!response.has_started());
    assert!(response.receive(STREAM_HEAD, &mut messages).is_ok());
    assert!(response.has_started() && messages.is_empty());
}

#[test]
fn a_single_list_is_one_update_and_ends_the_watch() {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LINE.len());
    let (messages, outcome) = receive(&[head.as_bytes(), LINE.as_bytes()].concat(), 50);
    assert_eq!(messages, ["update 1"]);
    assert!(matches!(outcome, Err(WatchError::ListEnded)));
}

#[test]
fn a_stream_that_ends_within_a_line_is_truncated() {
    let bytes = [STREAM_HEAD, &chunk(&LINE[..30]), b"0\r\n\r\n"].concat();
    let (messages, outcome) = receive(&bytes, bytes.len());
    assert!(messages.is_empty() && matches!(outcome, Err(WatchError::Truncated)));
}

#[test]
fn draining_endpoints_of_an_invalid_line_are_reported() {
    let line = chunk(&format!("{LINE_WITHOUT_ADDRESS}\n"));
    let (messages, outcome) = receive(&[STREAM_HEAD, &line].concat(), 40);
    assert_eq!(messages, ["closing endpoints 1"]);
    assert!(matches!(outcome, Err(WatchError::InvalidUpdate(_))));
}

#[test]
fn a_response_without_a_list_ends_the_watch() {
    let (_, refused) = receive(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", 100);
    assert!(matches!(refused, Err(WatchError::Status(503))));
    let (_, malformed) = receive(b"nonsense\r\n\r\n", 100);
    assert!(matches!(malformed, Err(WatchError::Malformed(_))));
}
