//! `snapshot export`: writes a snapshot to an archive file.
use super::archive_file::{ArchivePath, Existing};
use super::error::ArchiveError;
use super::remote_unit::RemoteUnit;
use super::tree::fetch_tree;
use mallowseam_archive::{Header, ResumePoint, Writer};
use mallowseam_cow::tree::{LayerId, Tree};
use mallowseam_settings::GatewayConfig;
use std::io::Write;
use std::path::Path;

/// Writes a snapshot to a file, and resumes an incomplete export of the same snapshot. Returns a summary.
pub(crate) fn export(
    config: &GatewayConfig,
    name: &str,
    file: &Path,
) -> Result<String, ArchiveError> {
    let tree = fetch_tree(config)?;
    let snapshot = tree.snapshot(name).map_err(ArchiveError::NoSuchSnapshot)?;
    let mut unit = RemoteUnit::open(config, &tree, name)?;
    let header = Header {
        name: name.to_owned(),
        extent_bytes: unit.extent_bytes() as u32,
        extent_count: unit.extent_count(),
    };
    let path = ArchivePath(file);
    let resume_point = match path.read_existing(&header)? {
        Existing::Complete => return Ok(format!("{}: export is already complete", file.display())),
        Existing::Partial(resume_point) => Some(*resume_point),
        Existing::Nothing => None,
    };
    let first = first_extent(resume_point.as_ref());
    let mut writer = path.writer(&header, resume_point)?;
    let written = write_extents(path, &tree, snapshot.layer, &mut unit, first, &mut writer)?;
    let bytes = writer.finish().map_err(|e| path.archive_error(e))?;
    let resumed = if first > 0 {
        format!(", resumed at extent {first}")
    } else {
        String::new()
    };
    Ok(format!(
        "{name}: {written} extents written{resumed}; {bytes} bytes in total"
    ))
}

/// Returns the first extent that the archive may still lack.
fn first_extent(resume_point: Option<&ResumePoint>) -> u32 {
    resume_point
        .and_then(|resume_point| resume_point.last_extent)
        .map_or(0, |last| last + 1)
}

/// Writes all extents from `first` on that hold data, and returns their number.
fn write_extents(
    path: ArchivePath,
    tree: &Tree,
    layer: LayerId,
    unit: &mut RemoteUnit,
    first: u32,
    writer: &mut Writer<impl Write>,
) -> Result<u32, ArchiveError> {
    let mut written = 0;
    for extent in first..unit.extent_count() {
        // An extent that was never written reads as zeros, and an import leaves zeros there.
        if tree.locate(layer, extent).is_none() {
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
    Ok(written)
}
