//! The data of a write.
use std::rc::Rc;

/// Data of a write, shared between all that may send it again.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    /// None for no data: that of a read.
    bytes: Option<Rc<Vec<u8>>>,
    start: usize,
    end: usize,
}

impl Payload {
    /// A part of it that shares its memory: `len` bytes from `offset` on.
    #[must_use]
    pub fn slice(&self, offset: usize, len: usize) -> Payload {
        let start = self.start + offset;
        Payload {
            bytes: self.bytes.clone(),
            start,
            end: start + len,
        }
    }

    /// The data itself.
    pub fn bytes(&self) -> &[u8] {
        self.bytes
            .as_ref()
            .map_or(&[], |bytes| &bytes[self.start..self.end])
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Payload {
            start: 0,
            end: bytes.len(),
            bytes: (!bytes.is_empty()).then(|| Rc::new(bytes)),
        }
    }
}
