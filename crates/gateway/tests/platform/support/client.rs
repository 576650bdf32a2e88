//! An HTTP/1.1 client of the host.
use super::{MESSAGE_LIMITS, WAIT_TIMEOUT};
use mallowseam_http1::{ResponseHead, ResponseReader};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Returns the text of a read request.
pub fn read_text(id: &str, shard: u32, timeout_ms: u64) -> String {
    format!(
        "GET /look/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: look\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: {timeout_ms}\r\n\
         X-Placement: units=1,shard={shard},hosts=1\r\n\r\n"
    )
}

/// Returns the text of a write request.
pub fn write_text(id: &str, shard: u32, body: &str, timeout_ms: u64) -> String {
    format!(
        "PUT /book/00000000000000aa/00000000000000bb HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id}\r\n\
         X-Priority-Class: book\r\nX-Qos-Policy: gold\r\nX-Timeout-Ms: {timeout_ms}\r\n\
         X-Placement: units=1,shard={shard},hosts=1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A connection to the host.
pub struct Client {
    pub socket: TcpStream,
    buffer: Vec<u8>,
    /// Whether the last response announced that the host closes the connection.
    pub closes: bool,
    /// Retry-After of the last response, in seconds.
    pub retry_after: Option<f64>,
}

impl Client {
    /// Connects to an address; returns none if the connection is refused.
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let socket = TcpStream::connect(address).ok()?;
        socket
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("the socket option can be set");
        socket
            .set_nodelay(true)
            .expect("the socket option can be set");
        Some(Client {
            socket,
            buffer: Vec::new(),
            closes: false,
            retry_after: None,
        })
    }

    /// Sends a text. Errors are ignored, since the host may have closed the connection.
    pub fn send(&mut self, text: &str) {
        let _ = self.socket.write_all(text.as_bytes());
    }

    /// Receives the next response and returns its status and body, or none if the host closes the connection instead.
    pub fn answer(&mut self) -> Option<(u16, String)> {
        let mut reader = ResponseReader::default();
        loop {
            if let Some(response) = reader
                .advance(&mut self.buffer, MESSAGE_LIMITS)
                .expect("the host speaks HTTP")
            {
                let head = ResponseHead::parse(&self.buffer, MESSAGE_LIMITS)
                    .expect("the head is valid")
                    .expect("the head is complete");
                self.closes = head.close;
                let retry_after = head
                    .headers
                    .single("Retry-After")
                    .expect("at most one Retry-After");
                self.retry_after =
                    retry_after.map(|text| text.parse().expect("Retry-After in seconds"));
                let answer = (
                    head.status,
                    String::from_utf8_lossy(&self.buffer[response.body..response.end]).into_owned(),
                );
                self.buffer.drain(..response.end);
                return Some(answer);
            }
            let mut bytes = [0; 4_096];
            match self.socket.read(&mut bytes) {
                Ok(0) => return None,
                Ok(n) => self.buffer.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock) => {
                    panic!("timed out waiting for a response or the end of the connection")
                }
                Err(_) => return None,
            }
        }
    }

    /// Sends a read and waits for its response; returns none if the host closes the connection instead.
    pub fn try_read(&mut self, id: &str, shard: u32) -> Option<(u16, String)> {
        self.send(&read_text(id, shard, 900));
        self.answer()
    }

    /// Sends a read and waits for its response, which the host must send.
    pub fn read(&mut self, id: &str, shard: u32) -> (u16, String) {
        self.try_read(id, shard).expect("the host responds")
    }

    /// Sends a write with a timeout of 1900 ms and waits for its response.
    pub fn write(&mut self, id: &str, shard: u32, body: &str) -> (u16, String) {
        self.write_within(id, shard, body, 1_900)
    }

    /// Sends a write with a timeout in milliseconds and waits for its response.
    pub fn write_within(
        &mut self,
        id: &str,
        shard: u32,
        body: &str,
        timeout_ms: u64,
    ) -> (u16, String) {
        self.send(&write_text(id, shard, body, timeout_ms));
        self.answer().expect("the host responds")
    }
}
