//! A snapshot as a stream: a head, frames of extents compressed with zstd, and an end, each with a BLAKE3 hash.
//! A stream that was cut is read up to its last whole frame and goes on from there. All numbers are
//! little-endian.
//!
//! Head: `MSEAM1\n`, a zero byte, bytes of an extent (u32), extents in all (u32), length of the name (u16), the
//! name, hash of all that. Frame: `F`, index (u32), length of the compressed data (u32), data, hash of index and
//! compressed data. End: `E`, frames written (u32), hash over the hashes of head and frames.
use std::fmt;
use std::io::{self, Read, Write};

const MAGIC: &[u8; 8] = b"MSEAM1\n\0";
const LEVEL: i32 = 3; // zstd's own default: ledger pages gain little beyond it
/// Largest extent that is taken: a length that is damaged must not ask for all memory.
const EXTENT_MOST: u32 = 256 << 20;
const NAME_MOST: usize = 256;

#[derive(Debug)]
pub enum Fault {
    Io(io::Error),
    /// Where the stream is not sound: byte, and what was expected there.
    Damaged(u64, &'static str),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Io(e) => write!(f, "{e}"),
            Fault::Damaged(at, expected) => write!(f, "byte {at}: expected {expected}"),
        }
    }
}

impl From<io::Error> for Fault {
    fn from(e: io::Error) -> Self {
        Fault::Io(e)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    pub name: String,
    /// Bytes of an extent, and extents in all.
    pub extent: u32,
    pub extents: u32,
}

impl Head {
    fn bytes(&self) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        out.extend_from_slice(&self.extent.to_le_bytes());
        out.extend_from_slice(&self.extents.to_le_bytes());
        out.extend_from_slice(&(self.name.len() as u16).to_le_bytes());
        out.extend_from_slice(self.name.as_bytes());
        out
    }
}

/// Where a stream stands: what a writer goes on from.
#[derive(Clone, Debug)]
pub struct Standing {
    /// Bytes that are sound.
    pub bytes: u64,
    /// Index of the last extent written; none yet.
    pub last: Option<u32>,
    pub frames: u32,
    hashes: blake3::Hasher,
}

pub struct Writer<W> {
    out: W,
    standing: Standing,
}

impl<W: Write> Writer<W> {
    /// Opens a stream with its head. Errors: a name past 256 bytes, an extent past 256 MiB, the output's.
    pub fn new(mut out: W, head: &Head) -> Result<Self, Fault> {
        if head.name.len() > NAME_MOST || head.extent == 0 || head.extent > EXTENT_MOST {
            return Err(Fault::Damaged(0, "a name of up to 256 bytes and extents of up to 256 MiB"));
        }
        let bytes = head.bytes();
        let hash = blake3::hash(&bytes);
        out.write_all(&bytes)?;
        out.write_all(hash.as_bytes())?;
        let mut hashes = blake3::Hasher::new();
        hashes.update(hash.as_bytes());
        let standing = Standing { bytes: bytes.len() as u64 + 32, last: None, frames: 0, hashes };
        Ok(Writer { out, standing })
    }

    /// Goes on with a stream that stands so; the output must stand behind its last sound byte.
    pub fn resume(out: W, standing: Standing) -> Self {
        Writer { out, standing }
    }

    /// Writes an extent. Those of zeros need not be written; indices go up.
    pub fn extent(&mut self, index: u32, data: &[u8]) -> Result<(), Fault> {
        let packed = zstd::bulk::compress(data, LEVEL)?;
        let hash = frame_hash(index, &packed);
        self.out.write_all(b"F")?;
        self.out.write_all(&index.to_le_bytes())?;
        self.out.write_all(&(packed.len() as u32).to_le_bytes())?;
        self.out.write_all(&packed)?;
        self.out.write_all(hash.as_bytes())?;
        let s = &mut self.standing;
        s.hashes.update(hash.as_bytes());
        (s.last, s.frames, s.bytes) = (Some(index), s.frames + 1, s.bytes + 41 + packed.len() as u64);
        Ok(())
    }

    /// Closes the stream; bytes in all.
    pub fn end(mut self) -> Result<u64, Fault> {
        self.out.write_all(b"E")?;
        self.out.write_all(&self.standing.frames.to_le_bytes())?;
        self.out.write_all(self.standing.hashes.finalize().as_bytes())?;
        self.out.flush()?;
        Ok(self.standing.bytes + 37)
    }
}

fn frame_hash(index: u32, packed: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&index.to_le_bytes());
    hasher.update(packed);
    hasher.finalize()
}

/// What comes next in a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    Extent(u32, Vec<u8>),
    /// The end, and all of it was there.
    End,
}

pub struct Reader<R> {
    input: R,
    head: Head,
    standing: Standing,
}

impl<R: Read> Reader<R> {
    /// Reads the head.
    pub fn new(mut input: R) -> Result<Self, Fault> {
        let short = |_| Fault::Damaged(0, "the head of a snapshot stream");
        let mut fixed = [0; 18];
        input.read_exact(&mut fixed).map_err(short)?;
        let number = |at: usize| u32::from_le_bytes([fixed[at], fixed[at + 1], fixed[at + 2], fixed[at + 3]]);
        let (extent, extents) = (number(8), number(12));
        let len = usize::from(u16::from_le_bytes([fixed[16], fixed[17]]));
        if fixed[..8] != *MAGIC || len > NAME_MOST || extent == 0 || extent > EXTENT_MOST {
            return Err(Fault::Damaged(0, "the head of a snapshot stream"));
        }
        let mut rest = vec![0; len + 32];
        input.read_exact(&mut rest).map_err(short)?;
        let mut all = fixed.to_vec();
        all.extend_from_slice(&rest[..len]);
        let hash = blake3::hash(&all);
        if hash.as_bytes()[..] != rest[len..] {
            return Err(Fault::Damaged(all.len() as u64, "the hash of the head"));
        }
        let name = String::from_utf8(rest[..len].to_vec()).map_err(|_| Fault::Damaged(18, "a name"))?;
        let mut hashes = blake3::Hasher::new();
        hashes.update(hash.as_bytes());
        let standing = Standing { bytes: all.len() as u64 + 32, last: None, frames: 0, hashes };
        Ok(Reader { input, head: Head { name, extent, extents }, standing })
    }

    pub fn head(&self) -> &Head {
        &self.head
    }

    pub fn standing(&self) -> &Standing {
        &self.standing
    }

    /// The next frame. A fault leaves the standing at the last sound one.
    pub fn advance(&mut self) -> Result<Next, Fault> {
        let at = self.standing.bytes;
        let cut = |_| Fault::Damaged(at, "a whole frame or the end");
        let mut head = [0; 5];
        self.input.read_exact(&mut head).map_err(cut)?;
        let number = u32::from_le_bytes([head[1], head[2], head[3], head[4]]);
        let mut hash = [0; 32];
        match head[0] {
            b'F' => {
                let up = self.standing.last.is_none_or(|l| number > l);
                if number >= self.head.extents || !up {
                    return Err(Fault::Damaged(at, "an extent of the snapshot, in order"));
                }
                let mut len = [0; 4];
                self.input.read_exact(&mut len).map_err(cut)?;
                let len = u32::from_le_bytes(len) as usize;
                // Compressed data is never much longer than what it holds.
                if len > self.head.extent as usize + self.head.extent as usize / 8 + 1024 {
                    return Err(Fault::Damaged(at, "a length that fits an extent"));
                }
                let mut packed = vec![0; len];
                self.input.read_exact(&mut packed).map_err(cut)?;
                self.input.read_exact(&mut hash).map_err(cut)?;
                // Nothing damaged is unpacked.
                if frame_hash(number, &packed).as_bytes() != &hash {
                    return Err(Fault::Damaged(at, "data that fits its hash"));
                }
                let data = zstd::bulk::decompress(&packed, self.head.extent as usize).ok();
                let data = data.filter(|d| d.len() == self.head.extent as usize);
                let data = data.ok_or(Fault::Damaged(at, "data that unpacks to an extent"))?;
                let s = &mut self.standing;
                s.hashes.update(&hash);
                (s.last, s.frames, s.bytes) = (Some(number), s.frames + 1, s.bytes + 41 + len as u64);
                Ok(Next::Extent(number, data))
            }
            b'E' => {
                self.input.read_exact(&mut hash).map_err(cut)?;
                if number != self.standing.frames || self.standing.hashes.finalize().as_bytes() != &hash {
                    return Err(Fault::Damaged(at, "an end that fits the frames before it"));
                }
                Ok(Next::End)
            }
            _ => Err(Fault::Damaged(at, "a frame or the end")),
        }
    }
}
