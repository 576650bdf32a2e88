//! Bytes between a socket and what is to be written or read, without blocking.
use std::io::{ErrorKind, IoSlice, Read, Write};

/// What a try at a socket came to.
pub enum Tried {
    /// The socket takes or has no more for now.
    Blocked,
    /// So many bytes were read; there may be more.
    Read(usize),
    /// The other side closed, or the socket failed.
    Over(String),
}

pub fn read(socket: &mut impl Read, into: &mut [u8]) -> Tried {
    loop {
        match socket.read(into) {
            Ok(0) => return Tried::Over("closed by the other side".into()),
            Ok(n) => return Tried::Read(n),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Tried::Blocked,
            Err(e) => return Tried::Over(e.to_string()),
        }
    }
}

/// Bytes on their way out: a small part that is written anew each time, and a large one that is handed on as it
/// was read.
#[derive(Default)]
pub struct Parcel {
    pub small: Vec<u8>,
    large: Vec<u8>,
    /// Bytes of both that have gone, and where in its buffer the large part begins and ends.
    gone: usize,
    from: usize,
    to: usize,
}

impl Parcel {
    /// Puts bytes of a buffer behind the small part.
    pub fn put(&mut self, large: Vec<u8>, from: usize, to: usize) {
        (self.large, self.from, self.to) = (large, from, to);
    }

    pub fn is_empty(&self) -> bool {
        self.gone == self.small.len() + (self.to - self.from)
    }

    /// Bytes of memory held.
    pub fn capacity(&self) -> usize {
        self.small.capacity() + self.large.capacity()
    }

    /// Writes until nothing is left, when it is ready for the next use, or the socket takes no more. Error: the
    /// socket is over.
    pub fn push(&mut self, socket: &mut impl Write) -> Result<(), String> {
        while !self.is_empty() {
            let small = &self.small[self.gone.min(self.small.len())..];
            let past = self.gone.saturating_sub(self.small.len());
            let large = &self.large[self.from + past..self.to];
            match socket.write_vectored(&[IoSlice::new(small), IoSlice::new(large)]) {
                Ok(0) => return Err("takes no bytes".into()),
                Ok(n) => self.gone += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e.to_string()),
            }
        }
        (self.gone, self.from, self.to) = (0, 0, 0);
        self.small.clear();
        self.large = Vec::new();
        Ok(())
    }
}

/// Writes bytes until there are none left or the socket takes no more; how many went. Error: the socket is over,
/// with how many went before.
pub fn send(socket: &mut impl Write, bytes: &[u8]) -> Result<usize, (usize, String)> {
    let mut all = 0;
    while all < bytes.len() {
        match socket.write(&bytes[all..]) {
            Ok(0) => return Err((all, "takes no bytes".into())),
            Ok(n) => all += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) => return Err((all, e.to_string())),
        }
    }
    Ok(all)
}

/// Writes bytes off the front of a buffer until it is empty or the socket takes no more. Error: the socket is over.
pub fn push(socket: &mut impl Write, bytes: &mut Vec<u8>) -> Result<(), String> {
    let sent = send(socket, bytes).map_err(|(_, why)| why)?;
    drop(bytes.drain(..sent));
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Takes a few bytes at a time, then blocks once.
    struct Narrow(Vec<u8>, usize);

    impl Write for Narrow {
        fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
            self.1 += 1;
            if self.1.is_multiple_of(3) {
                return Err(ErrorKind::WouldBlock.into());
            }
            let count = bytes.len().min(4);
            self.0.extend_from_slice(&bytes[..count]);
            Ok(count)
        }

        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn a_parcel_goes_out_in_order_however_narrow_the_way_and_can_be_used_again() {
        let (mut way, mut parcel) = (Narrow(Vec::new(), 0), Parcel::default());
        for _ in 0..2 {
            parcel.small.extend_from_slice(b"head and ");
            parcel.put(b"xxbodyyy".to_vec(), 2, 6);
            while !parcel.is_empty() {
                parcel.push(&mut way).expect("open");
            }
        }
        assert_eq!(way.0, b"head and bodyhead and body");
    }
}
