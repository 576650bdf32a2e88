//! A request that is written in pieces, because its socket accepts only part of it at a time.
use super::*;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};

/// A socket that accepts the given number of bytes at each write, or fails for `None`. After these writes it would
/// block.
struct SlowSocket {
    accepts: VecDeque<Option<usize>>,
    received: Vec<u8>,
}

impl Write for SlowSocket {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let accepted = match self.accepts.pop_front() {
            None => return Err(ErrorKind::WouldBlock.into()),
            Some(None) => return Err(ErrorKind::ConnectionReset.into()),
            Some(Some(count)) => count.min(bytes.len()),
        };
        self.received.extend_from_slice(&bytes[..accepted]);
        Ok(accepted)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn request(text: &[u8]) -> RequestBuffer {
    let mut request = RequestBuffer::default();
    request.compose().extend_from_slice(text);
    request
}

fn socket(accepts: &[Option<usize>]) -> SlowSocket {
    SlowSocket {
        accepts: accepts.iter().copied().collect(),
        received: Vec::new(),
    }
}

#[test]
fn a_request_is_written_once_its_last_byte_is_accepted() {
    let mut request = request(b"abcdef");
    let mut slow = socket(&[Some(2)]);
    request.write_to(&mut slow).expect("open");
    assert!(!request.is_written());
    slow.accepts.extend([Some(1), Some(9)]);
    request.write_to(&mut slow).expect("open");
    assert!(request.is_written());
    assert_eq!(slow.received, b"abcdef");
}

#[test]
fn a_request_is_not_written_if_the_write_fails_before_its_last_byte() {
    let mut whole = request(b"abc");
    assert!(whole.write_to(&mut socket(&[Some(2), None])).is_err());
    assert!(!whole.is_written());
    let mut empty = request(b"");
    assert!(empty.is_written());
    empty.compose().push(b'x');
    assert!(!empty.is_written());
}

#[test]
fn a_cleared_buffer_writes_the_next_request_from_its_start() {
    let mut buffer = request(b"abc");
    buffer.write_to(&mut socket(&[Some(3)])).expect("open");
    buffer.clear();
    buffer.compose().extend_from_slice(b"de");
    assert!(!buffer.is_written());
    let mut open = socket(&[Some(2)]);
    buffer.write_to(&mut open).expect("open");
    assert_eq!(open.received, b"de");
}
