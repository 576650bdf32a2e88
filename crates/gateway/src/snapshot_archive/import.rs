//! `snapshot import`: writes an archive file into a volume or clone.
use super::archive_file::ArchivePath;
use super::error::ArchiveError;
use super::remote_unit::RemoteUnit;
use super::tree::fetch_tree;
use mallowseam_archive::{Header, Record};
use mallowseam_settings::GatewayConfig;
use std::path::Path;

/// Writes a file into a volume or clone, which then reads as the exported snapshot. Extents that read so already are
/// left alone, so that an import that was interrupted is resumed. Returns what was done.
pub(crate) fn import(
    config: &GatewayConfig,
    file: &Path,
    name: &str,
) -> Result<String, ArchiveError> {
    let path = ArchivePath(file);
    let header = read_whole(path)?;
    let tree = fetch_tree(config)?;
    let unit = RemoteUnit::open(config, &tree, name)?;
    check_size(&header, &unit, file, name)?;
    let written = Import { unit, written: 0 }.run(path)?;
    Ok(format!(
        "{name}: shows {}; {written} extents written",
        header.name
    ))
}

/// Reads the archive to its end, so that a damaged one is found before anything is written.
fn read_whole(path: ArchivePath) -> Result<Header, ArchiveError> {
    let mut reader = path.reader()?;
    while reader.next_record().map_err(|e| path.archive_error(e))? != Record::End {}
    Ok(reader.header().clone())
}

fn check_size(
    header: &Header,
    unit: &RemoteUnit,
    file: &Path,
    name: &str,
) -> Result<(), ArchiveError> {
    let has_same_extents = u64::from(header.extent_bytes) == unit.extent_bytes();
    if has_same_extents && header.extent_count == unit.extent_count() {
        return Ok(());
    }
    Err(ArchiveError::AnotherSize {
        file: file.to_owned(),
        extents: header.extent_count,
        extent_bytes: header.extent_bytes,
        name: name.to_owned(),
        unit_extents: unit.extent_count(),
        unit_extent_bytes: unit.extent_bytes(),
    })
}

/// An import under way.
struct Import {
    unit: RemoteUnit,
    /// Extents that were written, because they read differently.
    written: u32,
}

impl Import {
    /// Writes all extents; how many of them read differently before. Extents that the archive lacks are zeros.
    fn run(mut self, path: ArchivePath) -> Result<u32, ArchiveError> {
        let zeros = vec![0; self.unit.extent_bytes() as usize];
        let mut reader = path.reader()?;
        let mut next = 0;
        while let Record::Extent { index, data } =
            reader.next_record().map_err(|e| path.archive_error(e))?
        {
            self.put_all(next..index, &zeros)?;
            self.put(index, &data)?;
            next = index + 1;
        }
        self.put_all(next..self.unit.extent_count(), &zeros)?;
        Ok(self.written)
    }

    fn put_all(&mut self, extents: std::ops::Range<u32>, data: &[u8]) -> Result<(), ArchiveError> {
        extents
            .into_iter()
            .try_for_each(|extent| self.put(extent, data))
    }

    fn put(&mut self, extent: u32, data: &[u8]) -> Result<(), ArchiveError> {
        if self.unit.read(extent)? != data {
            self.unit.write(extent, data)?;
            self.written += 1;
        }
        Ok(())
    }
}
