//! A list service by hand: calls wait until a story answers them, and each stands until the story ends it.
use crate::stand::{delivered, until};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

pub struct Service {
    pub at: SocketAddr,
    calls: Arc<Mutex<Vec<(String, TcpStream)>>>,
}

/// A chunk of a watch's answer.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

impl Service {
    pub fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let at = listener.local_addr().expect("bound");
        let calls: Arc<Mutex<Vec<(String, TcpStream)>>> = Arc::default();
        let own = calls.clone();
        thread::spawn(move || {
            for mut socket in listener.incoming().flatten() {
                let (mut head, mut bytes) = (Vec::new(), [0; 1_024]);
                while !head.ends_with(b"\r\n\r\n") {
                    match socket.read(&mut bytes) {
                        Ok(n) if n > 0 => head.extend_from_slice(&bytes[..n]),
                        _ => break,
                    }
                }
                let text = String::from_utf8_lossy(&head);
                let target = text.split(' ').nth(1).unwrap_or_default().to_owned();
                own.lock().expect("sound").push((target, socket));
            }
        });
        Service { at, calls }
    }

    /// Calls that have come.
    pub fn calls(&self) -> usize {
        self.calls.lock().expect("sound").len()
    }

    /// Waits for the call of this number; what it asks for.
    pub fn called(&self, nth: usize) -> String {
        until("the list service is called", || self.calls() > nth);
        self.calls.lock().expect("sound")[nth].0.clone()
    }

    pub fn say(&self, nth: usize, text: &str) {
        self.called(nth);
        let mut calls = self.calls.lock().expect("sound");
        if calls[nth].1.write_all(text.as_bytes()).is_ok() && calls[nth].1.peer_addr().is_ok() {
            delivered(&calls[nth].1);
        }
    }

    /// A line of a watch.
    pub fn line(&self, nth: usize, seq: u64, whole: bool, entries: &str) {
        self.say(nth, &chunk(&line(seq, whole, entries)));
    }

    pub fn end(&self, nth: usize) {
        let _ = self.calls.lock().expect("sound")[nth].1.shutdown(Shutdown::Both);
    }

    /// How many calls stand: neither side has ended them.
    pub fn standing(&self) -> usize {
        let calls = self.calls.lock().expect("sound");
        let stands = |socket: &TcpStream| {
            socket.set_nonblocking(true).expect("a socket");
            let peeked = socket.peek(&mut [0]);
            socket.set_nonblocking(false).expect("a socket");
            matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
        };
        calls.iter().filter(|(_, socket)| stands(socket)).count()
    }
}

pub fn line(seq: u64, whole: bool, entries: &str) -> String {
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{entries}]}}\n")
}
