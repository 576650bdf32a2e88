//! `snapshot import`: writes an archive file into a volume or clone.
use super::archive_file::ArchivePath;
use super::error::ArchiveError;
use super::remote_unit::RemoteUnit;
use super::tree::fetch_tree;
use mallowseam_archive::{Header, Record};
use mallowseam_settings::GatewayConfig;
use std::path::Path;

/// Writes the contents of an archive file into a volume or clone, which then reads as the exported snapshot. Extents
/// that already have the contents are not written again, so that a repeated import resumes an interrupted one. Returns
/// a summary.
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
        "{name}: contents of {} restored; {written} extents written",
        header.name
    ))
}

/// Reads the archive to its end, so that a damaged archive is rejected before anything is written.
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

/// State of a running import.
struct Import {
    unit: RemoteUnit,
    /// Number of extents written because their contents differed.
    written: u32,
}

impl Import {
    /// Imports all extents, with zeros for those that the archive lacks, and returns how many had to be written.
    fn run(mut self, path: ArchivePath) -> Result<u32, ArchiveError> {
        let zeros = vec![0; self.unit.extent_bytes() as usize];
        let mut reader = path.reader()?;
        let mut next = 0;
        while let Record::Extent { index, data } =
            reader.next_record().map_err(|e| path.archive_error(e))?
        {
            self.write_all_if_different(next..index, &zeros)?;
            self.write_if_different(index, &data)?;
            next = index + 1;
        }
        self.write_all_if_different(next..self.unit.extent_count(), &zeros)?;
        Ok(self.written)
    }

    fn write_all_if_different(
        &mut self,
        extents: std::ops::Range<u32>,
        data: &[u8],
    ) -> Result<(), ArchiveError> {
        extents
            .into_iter()
            .try_for_each(|extent| self.write_if_different(extent, data))
    }

    fn write_if_different(&mut self, extent: u32, data: &[u8]) -> Result<(), ArchiveError> {
        if self.unit.read(extent)? != data {
            self.unit.write(extent, data)?;
            self.written += 1;
        }
        Ok(())
    }
}
