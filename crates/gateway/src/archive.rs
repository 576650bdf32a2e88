//! Snapshots to files and back, through a host as any client reads and writes.
use crate::client::Counter;
use crate::control;
use mallowseam_archive::{Header, Reader, Record, Writer};
use mallowseam_cow::tree::Tree;
use mallowseam_iscsi::scsi::{self, status};
use mallowseam_settings::GatewayConfig;
use std::fs::{File, OpenOptions};
use std::io::{BufReader, BufWriter, Seek, SeekFrom};
use std::path::Path;
use std::time::Duration;

/// A host that turns a read or write away is tried again, so often and with such pauses, before it is given up.
const TRIES: u32 = 100;
const PAUSE: Duration = Duration::from_millis(50);
/// Bytes of one read or write.
const PIECE: u64 = 64 * 1024;

fn tree(site: &GatewayConfig) -> Result<Tree, String> {
    let control = site.catalog.as_ref().and_then(|c| c.control_socket.clone());
    let path = control.ok_or("no `control` in section catalog")?;
    let text = control::ask(&path, "tree").map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| format!("the catalog's answer: {e}"))
}

/// A unit as a client sees it.
struct Unit {
    client: Counter,
    lun: u32,
    block: u64,
    /// Blocks of an extent, and extents.
    extent: u64,
    extents: u32,
}

impl Unit {
    fn open(site: &GatewayConfig, tree: &Tree, name: &str) -> Result<Unit, String> {
        let extent = site.catalog.as_ref().map_or(1, |c| c.extent_blocks);
        let configured = site.volumes.iter().find(|v| v.mapped && v.name == name);
        let (lun, extents) = match (configured, tree.branches.get(name), tree.snapshots.get(name)) {
            (Some(v), ..) => (v.lun.into(), (v.block_count / extent) as u32),
            (None, Some(b), _) => (b.lun, b.extent_count),
            (None, None, Some(s)) => (s.lun, s.extent_count),
            (None, None, None) => return Err(format!("`{name}`: no such volume, clone or snapshot")),
        };
        let volume = site.volumes.iter().find(|v| v.mapped).ok_or("no mapped volume")?;
        let address = site.host.listen.expect("checked");
        let client = Counter::open(address, Some(&site.host.target), std::process::id())
            .map_err(|e| format!("{address}: {e}"))?;
        Ok(Unit { client, lun, block: volume.block_size.into(), extent, extents })
    }

    fn ask(&mut self, write: bool, lba: u64, data: &[u8], bytes: u64) -> Result<Vec<u8>, String> {
        let cdb = scsi::rw16(write, lba, (bytes / self.block) as u32, 0);
        let mut last = String::new();
        for _ in 0..TRIES {
            let room = if write { 0 } else { bytes as usize };
            let answer = self.client.ask(self.lun, &cdb, room, data.to_vec())?;
            match answer.status {
                status::GOOD => return Ok(answer.data),
                status::BUSY | status::TASK_SET_FULL => {}
                _ if !write => {}
                _ => return Err(format!("block {lba}: {:?}", answer.sense)),
            }
            last = format!("status {:#04x}", answer.status);
            std::thread::sleep(PAUSE);
        }
        Err(format!("block {lba}: {last} after {TRIES} tries"))
    }

    fn read(&mut self, extent: u32) -> Result<Vec<u8>, String> {
        let (first, bytes) = (u64::from(extent) * self.extent, self.extent * self.block);
        let mut out = Vec::with_capacity(bytes as usize);
        while (out.len() as u64) < bytes {
            let len = PIECE.min(bytes - out.len() as u64);
            let lba = first + out.len() as u64 / self.block;
            out.extend_from_slice(&self.ask(false, lba, &[], len)?);
        }
        Ok(out)
    }

    fn write(&mut self, extent: u32, data: &[u8]) -> Result<(), String> {
        let first = u64::from(extent) * self.extent;
        for (i, piece) in data.chunks(PIECE as usize).enumerate() {
            let lba = first + i as u64 * PIECE / self.block;
            self.ask(true, lba, piece, piece.len() as u64)?;
        }
        Ok(())
    }
}

/// Writes a snapshot to a file. One that stands there half written is gone on with.
pub fn export(site: &GatewayConfig, name: &str, file: &Path) -> Result<String, String> {
    let tree = tree(site)?;
    let snapshot = tree.snapshot(name).map_err(|r| r.to_string())?;
    let mut unit = Unit::open(site, &tree, name)?;
    let head = Header {
        name: name.to_owned(),
        extent_bytes: (unit.extent * unit.block) as u32,
        extent_count: unit.extents,
    };
    let shown = file.display();
    let io = |e: std::io::Error| format!("{shown}: {e}");
    let fault = |e: mallowseam_archive::Error| format!("{shown}: {e}");
    let standing = match File::open(file) {
        Ok(old) if old.metadata().map_err(io)?.len() > 0 => {
            let mut reader = Reader::new(BufReader::new(old)).map_err(fault)?;
            if *reader.header() != head {
                return Err(format!("{shown}: holds `{}`, not `{name}`", reader.header().name));
            }
            loop {
                match reader.next_record() {
                    Ok(Record::Extent { .. }) => {}
                    Ok(Record::End) => return Ok(format!("{shown}: whole already")),
                    Err(_) => break Some(reader.resume_point().clone()),
                }
            }
        }
        _ => None,
    };
    let from = standing.as_ref().and_then(|s| s.last_extent).map_or(0, |l| l + 1);
    let mut out = OpenOptions::new().create(true).write(true).truncate(false).open(file).map_err(io)?;
    let mut writer = match standing {
        Some(standing) => {
            out.set_len(standing.valid_bytes).map_err(io)?;
            out.seek(SeekFrom::End(0)).map_err(io)?;
            Writer::resume(BufWriter::new(out), standing)
        }
        None => Writer::new(BufWriter::new(out), &head).map_err(fault)?,
    };
    let mut written = 0;
    for extent in from..unit.extents {
        // What was never written reads as zeros, here and after an import.
        if tree.locate(snapshot.layer, extent).is_none() {
            continue;
        }
        let data = unit.read(extent)?;
        if data.iter().any(|b| *b != 0) {
            writer.write_extent(extent, &data).map_err(fault)?;
            written += 1;
        }
    }
    let bytes = writer.finish().map_err(fault)?;
    let gone_on = if from > 0 { format!(", gone on from extent {from}") } else { String::new() };
    Ok(format!("{name}: {written} extents written{gone_on}; {bytes} bytes in all"))
}

/// Writes a file into a volume or clone, which then shows just that. What stands there already is left alone,
/// so that an import that broke off goes on.
pub fn import(site: &GatewayConfig, file: &Path, name: &str) -> Result<String, String> {
    let shown = file.display();
    let fault = |e: mallowseam_archive::Error| format!("{shown}: {e}");
    // All of it is read once before anything is written.
    let open = || File::open(file).map_err(|e| format!("{shown}: {e}"));
    let mut check = Reader::new(BufReader::new(open()?)).map_err(fault)?;
    while check.next_record().map_err(fault)? != Record::End {}
    let tree = tree(site)?;
    let mut unit = Unit::open(site, &tree, name)?;
    let head = check.header();
    if u64::from(head.extent_bytes) != unit.extent * unit.block || head.extent_count != unit.extents {
        return Err(format!(
            "{shown}: {} extents of {} bytes, `{name}` has {} of {}",
            head.extent_count,
            head.extent_bytes,
            unit.extents,
            unit.extent * unit.block
        ));
    }
    let mut reader = Reader::new(BufReader::new(open()?)).map_err(fault)?;
    let (mut written, mut next) = (0, 0);
    let mut put = |unit: &mut Unit, extent: u32, data: &[u8]| -> Result<(), String> {
        if unit.read(extent)? != data {
            unit.write(extent, data)?;
            written += 1;
        }
        Ok(())
    };
    let zeros = vec![0; (unit.extent * unit.block) as usize];
    loop {
        let (upto, data) = match reader.next_record().map_err(fault)? {
            Record::Extent { index, data } => (index, Some(data)),
            Record::End => (unit.extents, None),
        };
        for extent in next..upto {
            put(&mut unit, extent, &zeros)?;
        }
        let Some(data) = data else { break };
        put(&mut unit, upto, &data)?;
        next = upto + 1;
    }
    Ok(format!("{name}: shows {}; {written} extents written", reader.header().name))
}
