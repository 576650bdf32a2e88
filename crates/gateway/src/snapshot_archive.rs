//! Exports of snapshots to files and imports from them, through a host as any client reads and writes.
use crate::blocking_client::{BlockingClient, ClientError};
use crate::control_socket::{self, RequestError};
use crate::startup;
use mallowseam_archive::{Header, Reader, Record, ResumePoint, Writer};
use mallowseam_cow::tree::Tree;
use mallowseam_iscsi::scsi::{self, Sense, status};
use mallowseam_settings::GatewayConfig;
use std::fs::{File, OpenOptions};
use std::io::{self, BufReader, BufWriter, Seek, SeekFrom};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a read or write that the host rejects is attempted before the export or import is given up.
const MAX_ATTEMPTS: u32 = 100;
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Bytes of one read or write.
const TRANSFER_LEN: u64 = 64 * 1024;

/// Why an export or import could not be done.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ArchiveError {
    #[error("no `control` in section catalog")]
    NoControlSocket,
    #[error("{}: {source}", socket.display())]
    Catalog {
        socket: PathBuf,
        source: RequestError,
    },
    #[error("the catalog's answer: {0}")]
    Tree(#[source] serde_json::Error),
    #[error("`{0}`: no such volume, clone or snapshot")]
    NoSuchUnit(String),
    #[error("no mapped volume")]
    NoMappedVolume,
    #[error(transparent)]
    NoSuchSnapshot(mallowseam_cow::tree::ChangeError),
    #[error("{address}: {source}")]
    Login {
        address: SocketAddr,
        source: ClientError,
    },
    #[error(transparent)]
    Client(#[from] ClientError),
    #[error("block {lba}: {sense:?}")]
    Failed { lba: u64, sense: Option<Sense> },
    #[error("block {lba}: status {status:#04x} after {MAX_ATTEMPTS} tries")]
    RetriesExhausted { lba: u64, status: u8 },
    #[error("{}: {source}", file.display())]
    File { file: PathBuf, source: io::Error },
    #[error("{}: {source}", file.display())]
    Archive {
        file: PathBuf,
        source: mallowseam_archive::Error,
    },
    #[error("{}: holds `{held}`, not `{wanted}`", file.display())]
    AnotherSnapshot {
        file: PathBuf,
        held: String,
        wanted: String,
    },
    #[error(
        "{}: {extents} extents of {extent_bytes} bytes, `{name}` has {unit_extents} of {unit_extent_bytes}",
        file.display()
    )]
    AnotherSize {
        file: PathBuf,
        extents: u32,
        extent_bytes: u32,
        name: String,
        unit_extents: u32,
        unit_extent_bytes: u64,
    },
}

/// Names the file in errors.
#[derive(Clone, Copy)]
struct ArchivePath<'a>(&'a Path);

impl ArchivePath<'_> {
    fn io(self, source: io::Error) -> ArchiveError {
        ArchiveError::File {
            file: self.0.to_owned(),
            source,
        }
    }

    fn archive_error(self, source: mallowseam_archive::Error) -> ArchiveError {
        ArchiveError::Archive {
            file: self.0.to_owned(),
            source,
        }
    }

    fn reader(self) -> Result<Reader<BufReader<File>>, ArchiveError> {
        let file = File::open(self.0).map_err(|e| self.io(e))?;
        Reader::new(BufReader::new(file)).map_err(|e| self.archive_error(e))
    }
}

/// The tree as the catalog has it now.
fn fetch_tree(config: &GatewayConfig) -> Result<Tree, ArchiveError> {
    let socket = config
        .catalog
        .as_ref()
        .and_then(|catalog| catalog.control_socket.clone());
    let socket = socket.ok_or(ArchiveError::NoControlSocket)?;
    let text =
        control_socket::send_request(&socket, "tree").map_err(|source| ArchiveError::Catalog {
            socket: socket.clone(),
            source,
        })?;
    serde_json::from_str(&text).map_err(ArchiveError::Tree)
}

/// A mapped volume, clone or snapshot, read and written through a host.
struct RemoteUnit {
    client: BlockingClient,
    lun: u32,
    block_size: u64,
    blocks_per_extent: u64,
    extents: u32,
}

impl RemoteUnit {
    fn open(config: &GatewayConfig, tree: &Tree, name: &str) -> Result<RemoteUnit, ArchiveError> {
        let blocks_per_extent = config
            .catalog
            .as_ref()
            .map_or(1, |catalog| catalog.extent_blocks);
        let configured = config
            .volumes
            .iter()
            .find(|volume| volume.mapped && volume.name == name);
        let (lun, extents) = match (
            configured,
            tree.branches.get(name),
            tree.snapshots.get(name),
        ) {
            (Some(volume), ..) => (
                volume.lun.into(),
                (volume.block_count / blocks_per_extent) as u32,
            ),
            (None, Some(branch), _) => (branch.lun, branch.extent_count),
            (None, None, Some(snapshot)) => (snapshot.lun, snapshot.extent_count),
            (None, None, None) => return Err(ArchiveError::NoSuchUnit(name.to_owned())),
        };
        let volume = config
            .volumes
            .iter()
            .find(|v| v.mapped)
            .ok_or(ArchiveError::NoMappedVolume)?;
        let address = startup::validated_address(config.host.listen);
        let client = BlockingClient::open(address, Some(&config.host.target), std::process::id())
            .map_err(|source| ArchiveError::Login { address, source })?;
        Ok(RemoteUnit {
            client,
            lun,
            block_size: volume.block_size.into(),
            blocks_per_extent,
            extents,
        })
    }

    fn extent_bytes(&self) -> u64 {
        self.blocks_per_extent * self.block_size
    }

    /// One read or write of `bytes` bytes, attempted again while the host rejects it. Reads are attempted
    /// again after any failure, writes only where the host says that they have not run.
    fn transfer(
        &mut self,
        write: bool,
        lba: u64,
        data: &[u8],
        bytes: u64,
    ) -> Result<Vec<u8>, ArchiveError> {
        let cdb = scsi::read_or_write_16(write, lba, (bytes / self.block_size) as u32, 0);
        let read_len = if write { 0 } else { bytes as usize };
        let mut last_status = status::GOOD;
        for _ in 0..MAX_ATTEMPTS {
            let answer = self
                .client
                .execute(self.lun, &cdb, read_len, data.to_vec())?;
            match answer.status {
                status::GOOD => return Ok(answer.data),
                status::BUSY | status::TASK_SET_FULL => {}
                _ if !write => {}
                _ => {
                    return Err(ArchiveError::Failed {
                        lba,
                        sense: answer.sense,
                    });
                }
            }
            last_status = answer.status;
            std::thread::sleep(RETRY_PAUSE);
        }
        Err(ArchiveError::RetriesExhausted {
            lba,
            status: last_status,
        })
    }

    fn read(&mut self, extent: u32) -> Result<Vec<u8>, ArchiveError> {
        let (first, bytes) = (
            u64::from(extent) * self.blocks_per_extent,
            self.extent_bytes(),
        );
        let mut out = Vec::with_capacity(bytes as usize);
        while (out.len() as u64) < bytes {
            let len = TRANSFER_LEN.min(bytes - out.len() as u64);
            let lba = first + out.len() as u64 / self.block_size;
            out.extend_from_slice(&self.transfer(false, lba, &[], len)?);
        }
        Ok(out)
    }

    fn write(&mut self, extent: u32, data: &[u8]) -> Result<(), ArchiveError> {
        let first = u64::from(extent) * self.blocks_per_extent;
        for (index, chunk) in data.chunks(TRANSFER_LEN as usize).enumerate() {
            let lba = first + index as u64 * TRANSFER_LEN / self.block_size;
            self.transfer(true, lba, chunk, chunk.len() as u64)?;
        }
        Ok(())
    }
}

/// How far a file already holds an export.
enum Existing {
    Nothing,
    Complete,
    Partial(Box<ResumePoint>),
}

/// Reads what a file holds of an export. Error: it holds another one.
fn read_existing(path: ArchivePath, head: &Header) -> Result<Existing, ArchiveError> {
    let file = match File::open(path.0) {
        Ok(file) if file.metadata().map_err(|e| path.io(e))?.len() > 0 => file,
        _ => return Ok(Existing::Nothing),
    };
    let mut reader = Reader::new(BufReader::new(file)).map_err(|e| path.archive_error(e))?;
    if reader.header() != head {
        let (held, wanted) = (reader.header().name.clone(), head.name.clone());
        return Err(ArchiveError::AnotherSnapshot {
            file: path.0.to_owned(),
            held,
            wanted,
        });
    }
    loop {
        match reader.next_record() {
            Ok(Record::Extent { .. }) => {}
            Ok(Record::End) => return Ok(Existing::Complete),
            Err(_) => return Ok(Existing::Partial(Box::new(reader.resume_point().clone()))),
        }
    }
}

/// Opens a file for the rest of an export.
fn open_writer(
    path: ArchivePath,
    head: &Header,
    resume_point: Option<ResumePoint>,
) -> Result<Writer<BufWriter<File>>, ArchiveError> {
    let mut options = OpenOptions::new();
    let mut file = options
        .create(true)
        .write(true)
        .truncate(false)
        .open(path.0)
        .map_err(|e| path.io(e))?;
    match resume_point {
        Some(resume_point) => {
            file.set_len(resume_point.valid_bytes)
                .map_err(|e| path.io(e))?;
            file.seek(SeekFrom::End(0)).map_err(|e| path.io(e))?;
            Ok(Writer::resume(BufWriter::new(file), resume_point))
        }
        None => Writer::new(BufWriter::new(file), head).map_err(|e| path.archive_error(e)),
    }
}

/// Writes a snapshot to a file. An incomplete export of the same snapshot is resumed. Returns what was done.
pub(crate) fn export(
    config: &GatewayConfig,
    name: &str,
    file: &Path,
) -> Result<String, ArchiveError> {
    let tree = fetch_tree(config)?;
    let snapshot = tree.snapshot(name).map_err(ArchiveError::NoSuchSnapshot)?;
    let mut unit = RemoteUnit::open(config, &tree, name)?;
    let head = Header {
        name: name.to_owned(),
        extent_bytes: unit.extent_bytes() as u32,
        extent_count: unit.extents,
    };
    let path = ArchivePath(file);
    let resume_point = match read_existing(path, &head)? {
        Existing::Complete => return Ok(format!("{}: whole already", file.display())),
        Existing::Partial(resume_point) => Some(*resume_point),
        Existing::Nothing => None,
    };
    let first = resume_point
        .as_ref()
        .and_then(|resume_point| resume_point.last_extent)
        .map_or(0, |last| last + 1);
    let mut writer = open_writer(path, &head, resume_point)?;
    let mut written = 0;
    for extent in first..unit.extents {
        // What was never written reads as zeros, here and after an import.
        if tree.locate(snapshot.layer, extent).is_none() {
            continue;
        }
        let data = unit.read(extent)?;
        if data.iter().any(|byte| *byte != 0) {
            writer
                .write_extent(extent, &data)
                .map_err(|e| path.archive_error(e))?;
            written += 1;
        }
    }
    let bytes = writer.finish().map_err(|e| path.archive_error(e))?;
    let resumed = if first > 0 {
        format!(", gone on from extent {first}")
    } else {
        String::new()
    };
    Ok(format!(
        "{name}: {written} extents written{resumed}; {bytes} bytes in all"
    ))
}

/// Writes a file into a volume or clone, which then reads as the exported snapshot. Extents that read so
/// already are left alone, so that an import that broke off is resumed. Returns what was done.
pub(crate) fn import(
    config: &GatewayConfig,
    file: &Path,
    name: &str,
) -> Result<String, ArchiveError> {
    let path = ArchivePath(file);
    // All of it is read once before anything is written.
    let mut check = path.reader()?;
    while check.next_record().map_err(|e| path.archive_error(e))? != Record::End {}
    let tree = fetch_tree(config)?;
    let mut unit = RemoteUnit::open(config, &tree, name)?;
    let head = check.header();
    if u64::from(head.extent_bytes) != unit.extent_bytes() || head.extent_count != unit.extents {
        return Err(ArchiveError::AnotherSize {
            file: file.to_owned(),
            extents: head.extent_count,
            extent_bytes: head.extent_bytes,
            name: name.to_owned(),
            unit_extents: unit.extents,
            unit_extent_bytes: unit.extent_bytes(),
        });
    }
    let mut reader = path.reader()?;
    let (mut written, mut next) = (0, 0);
    let mut put = |unit: &mut RemoteUnit, extent: u32, data: &[u8]| -> Result<(), ArchiveError> {
        if unit.read(extent)? != data {
            unit.write(extent, data)?;
            written += 1;
        }
        Ok(())
    };
    let zeros = vec![0; unit.extent_bytes() as usize];
    loop {
        let (end, data) = match reader.next_record().map_err(|e| path.archive_error(e))? {
            Record::Extent { index, data } => (index, Some(data)),
            Record::End => (unit.extents, None),
        };
        for extent in next..end {
            put(&mut unit, extent, &zeros)?;
        }
        let Some(data) = data else { break };
        put(&mut unit, end, &data)?;
        next = end + 1;
    }
    Ok(format!(
        "{name}: shows {}; {written} extents written",
        reader.header().name
    ))
}
