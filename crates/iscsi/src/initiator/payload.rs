//! Data of a write command.
use std::rc::Rc;

/// Data of a write command. Copies and slices share its memory, so that it can be sent more than once.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    /// `None` if there is no data, as for a read.
    bytes: Option<Rc<Vec<u8>>>,
    start: usize,
    end: usize,
}

impl Payload {
    /// Returns the `len` bytes of the data from `offset` on, which share its memory.
    #[must_use]
    pub fn slice(&self, offset: usize, len: usize) -> Payload {
        let start = self.start + offset;
        Payload {
            bytes: self.bytes.clone(),
            start,
            end: start + len,
        }
    }

    /// Returns the data.
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
