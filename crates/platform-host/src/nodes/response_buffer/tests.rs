//! A response that arrives in pieces, and stray bytes after its end.
use super::*;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// A socket on which the given pieces arrive. After them a read would block.
struct PieceSocket(VecDeque<Vec<u8>>);

impl Read for PieceSocket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Some(mut piece) = self.0.pop_front() else {
            return Err(ErrorKind::WouldBlock.into());
        };
        let count = piece.len().min(buffer.len());
        buffer[..count].copy_from_slice(&piece[..count]);
        let rest = piece.split_off(count);
        if !rest.is_empty() {
            self.0.push_front(rest);
        }
        Ok(count)
    }
}

fn socket_with(pieces: &[&[u8]]) -> PieceSocket {
    PieceSocket(pieces.iter().map(|piece| piece.to_vec()).collect())
}

#[test]
fn a_response_is_complete_only_with_its_last_byte() {
    let mut buffer = ResponseBuffer::default();
    let mut socket = socket_with(&[&RESPONSE[..20], &RESPONSE[20..41], &RESPONSE[41..]]);
    let mut scratch = [0; 1_024];
    assert_eq!(
        buffer.read_from(&mut socket, &mut scratch),
        BufferRead::Short
    );
    assert_eq!(buffer.parse(), Ok(None));
    assert_eq!(
        buffer.read_from(&mut socket, &mut scratch),
        BufferRead::Short
    );
    assert_eq!(buffer.parse(), Ok(None));
    assert_eq!(
        buffer.read_from(&mut socket, &mut scratch),
        BufferRead::Full
    );
    let message = buffer.parse().expect("valid").expect("complete");
    assert_eq!(buffer.body(&message), b"hello");
    assert_eq!(buffer.head(&message).map(|head| head.status), Some(200));
    assert!(!buffer.has_more(&message));
    assert_eq!(
        buffer.read_from(&mut socket, &mut scratch),
        BufferRead::WouldBlock
    );
}

#[test]
fn bytes_after_a_response_of_known_length_stay_in_the_socket() {
    let mut buffer = ResponseBuffer::default();
    let stray = [&RESPONSE[40..], b"HTTP/1.1 200"].concat();
    let mut socket = socket_with(&[&RESPONSE[..40], &stray]);
    let mut scratch = [0; 1_024];
    buffer.read_from(&mut socket, &mut scratch);
    assert_eq!(buffer.parse(), Ok(None));
    assert_eq!(
        buffer.read_from(&mut socket, &mut scratch),
        BufferRead::Full
    );
    let message = buffer.parse().expect("valid").expect("complete");
    assert!(!buffer.has_more(&message));
    assert_eq!(
        buffer.read_from(&mut socket, &mut scratch),
        BufferRead::Short
    );
    assert!(buffer.has_more(&message));
}

#[test]
fn a_cleared_buffer_reads_the_next_response_from_its_start() {
    let mut buffer = ResponseBuffer::default();
    let mut scratch = [0; 1_024];
    for _ in 0..2 {
        buffer.read_from(&mut socket_with(&[RESPONSE]), &mut scratch);
        let message = buffer.parse().expect("valid").expect("complete");
        assert_eq!((message.start, message.end), (0, RESPONSE.len()));
        buffer.clear();
        assert!(buffer.is_empty());
    }
}
