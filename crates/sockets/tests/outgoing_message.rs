//! Messages that are written in several steps.
use mallowseam_sockets::outgoing_message::OutgoingMessage;
use std::io::{ErrorKind, Write};

/// Socket that accepts four bytes at a time and would block on every third call.
#[derive(Default)]
struct SlowSocket {
    received: Vec<u8>,
    calls: u32,
}

impl Write for SlowSocket {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.calls += 1;
        if self.calls.is_multiple_of(3) {
            return Err(ErrorKind::WouldBlock.into());
        }
        let count = bytes.len().min(4);
        self.received.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn message_is_written_in_order_on_a_slow_socket_and_can_be_reused() {
    let (mut socket, mut message) = (SlowSocket::default(), OutgoingMessage::default());
    for _ in 0..2 {
        message.head.extend_from_slice(b"head and ");
        message.set_body(b"xxbodyyy".to_vec(), 2, 6);
        while !message.is_empty() {
            message
                .write_to(&mut socket)
                .expect("the socket has not failed");
        }
    }
    assert_eq!(socket.received, b"head and bodyhead and body");
}
