//! A storage backend in memory that records every call made on it. A test can replay any part of the calls, which gives
//! the contents of a disk after a power loss at that point.
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::{Arc, Mutex, MutexGuard};

/// A recorded call on the storage.
#[derive(Clone, Debug)]
pub enum Call {
    /// Writes bytes to the storage.
    Write {
        /// Offset of the first byte in the storage.
        offset: u64,
        /// Bytes to write.
        data: Vec<u8>,
    },
    /// Changes the length of the storage to this number of bytes.
    Resize(u64),
    /// Makes all earlier writes durable.
    Sync,
}

/// A storage in memory that records every call made on it. Clones share the contents and the recorded calls.
#[derive(Clone, Debug, Default)]
pub struct RecordingBackend {
    contents: Arc<Mutex<Vec<u8>>>,
    calls: Arc<Mutex<Vec<Call>>>,
}

impl RecordingBackend {
    /// Returns a storage with these contents and without recorded calls.
    #[must_use]
    pub fn with_contents(contents: Vec<u8>) -> Self {
        RecordingBackend {
            contents: Arc::new(Mutex::new(contents)),
            ..RecordingBackend::default()
        }
    }

    /// Returns the current contents of the storage.
    #[must_use]
    pub fn contents(&self) -> Vec<u8> {
        self.lock_contents().clone()
    }

    /// Returns the calls made so far.
    #[must_use]
    pub fn calls(&self) -> Vec<Call> {
        self.lock_calls().clone()
    }

    fn lock_contents(&self) -> MutexGuard<'_, Vec<u8>> {
        self.contents
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    fn lock_calls(&self) -> MutexGuard<'_, Vec<Call>> {
        self.calls
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

/// Applies a call to the contents of a storage.
pub fn apply_call(contents: &mut Vec<u8>, call: &Call) {
    match call {
        Call::Write { offset, data } => {
            let start = as_index(*offset);
            let end = start + data.len();
            if contents.len() < end {
                contents.resize(end, 0);
            }
            contents[start..end].copy_from_slice(data);
        }
        Call::Resize(length) => contents.resize(as_index(*length), 0),
        Call::Sync => {}
    }
}

fn as_index(offset: u64) -> usize {
    usize::try_from(offset).expect("offsets in a storage in memory fit the address space")
}

impl StorageBackend for RecordingBackend {
    fn len(&self) -> Result<u64, Error> {
        Ok(self.lock_contents().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        let contents = self.lock_contents();
        let start = as_index(offset);
        let found = contents.get(start..start + out.len());
        out.copy_from_slice(found.ok_or(Error::from(ErrorKind::UnexpectedEof))?);
        Ok(())
    }

    fn set_len(&self, length: u64) -> Result<(), Error> {
        self.lock_contents().resize(as_index(length), 0);
        self.lock_calls().push(Call::Resize(length));
        Ok(())
    }

    fn sync_data(&self) -> Result<(), Error> {
        self.lock_calls().push(Call::Sync);
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        let start = as_index(offset);
        self.lock_contents()[start..start + data.len()].copy_from_slice(data);
        self.lock_calls().push(Call::Write {
            offset,
            data: data.to_vec(),
        });
        Ok(())
    }
}
