//! Requests that arrive in pieces, and requests that follow one another on a connection.
use super::*;

const FIRST: &[u8] = b"PUT /a HTTP/1.1\r\nHost: s\r\nContent-Length: 5\r\n\r\nhello";
const SECOND: &[u8] = b"GET /b HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n";

fn target_and_body(buffer: &RequestBuffer) -> Option<(String, Vec<u8>)> {
    let (head, body) = buffer.request()?;
    Some((head.target.to_owned(), body.to_vec()))
}

#[test]
fn a_request_is_complete_only_with_its_last_byte() {
    let mut buffer = RequestBuffer::default();
    for byte in &FIRST[..FIRST.len() - 1] {
        buffer.append(&[*byte]);
        assert_eq!(buffer.parse(), Ok(false));
        assert!(buffer.request().is_none());
    }
    buffer.append(&FIRST[FIRST.len() - 1..]);
    assert_eq!(buffer.parse(), Ok(true));
    let expected = ("/a".to_owned(), b"hello".to_vec());
    assert_eq!(target_and_body(&buffer), Some(expected));
}

#[test]
fn the_next_request_is_kept_when_one_is_finished() {
    let mut buffer = RequestBuffer::default();
    buffer.append(&[FIRST, SECOND].concat());
    assert_eq!(buffer.parse(), Ok(true));
    assert!(!buffer.closes_connection());
    buffer.finish_request();
    assert!(buffer.request().is_none() && !buffer.is_empty());
    assert_eq!(buffer.parse(), Ok(true));
    assert!(buffer.closes_connection());
    let expected = ("/b".to_owned(), Vec::new());
    assert_eq!(target_and_body(&buffer), Some(expected));
}

#[test]
fn discarding_empties_the_buffer_and_restores_its_capacity() {
    let mut buffer = RequestBuffer::default();
    let capacity = buffer.remaining_capacity();
    buffer.append(FIRST);
    assert_eq!(buffer.parse(), Ok(true));
    assert_eq!(buffer.remaining_capacity(), capacity - FIRST.len());
    buffer.discard();
    assert!(buffer.request().is_none() && buffer.is_empty());
    assert_eq!(buffer.remaining_capacity(), capacity);
}
