//! The archive file of an export.
use super::error::ArchiveError;
use mallowseam_archive::{Header, Reader, Record, ResumePoint, Writer};
use std::fs::{File, OpenOptions};
use std::io::{self, BufReader, BufWriter, Seek, SeekFrom};
use std::path::Path;

/// Path of an archive file; errors contain it.
#[derive(Clone, Copy)]
pub(super) struct ArchivePath<'a>(pub(super) &'a Path);

/// State of an export that a file already contains.
pub(super) enum Existing {
    Nothing,
    Complete,
    Partial(Box<ResumePoint>),
}

impl ArchivePath<'_> {
    /// Opens the file and reads its header; the reader is positioned at the first record.
    pub(super) fn reader(self) -> Result<Reader<BufReader<File>>, ArchiveError> {
        let file = File::open(self.0).map_err(|e| self.io_error(e))?;
        Reader::new(BufReader::new(file)).map_err(|e| self.archive_error(e))
    }

    /// Determines how much of an export the file already contains.
    ///
    /// # Errors
    /// The file contains an export of another snapshot, or cannot be read.
    pub(super) fn read_existing(self, header: &Header) -> Result<Existing, ArchiveError> {
        let file = match File::open(self.0) {
            Ok(file) if file.metadata().map_err(|e| self.io_error(e))?.len() > 0 => file,
            _ => return Ok(Existing::Nothing),
        };
        let mut reader = Reader::new(BufReader::new(file)).map_err(|e| self.archive_error(e))?;
        if reader.header() != header {
            return Err(ArchiveError::AnotherSnapshot {
                file: self.0.to_owned(),
                held: reader.header().name.clone(),
                wanted: header.name.clone(),
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

    /// Opens the file for writing the whole export, or what follows the resume point if there is one.
    pub(super) fn writer(
        self,
        header: &Header,
        resume_point: Option<ResumePoint>,
    ) -> Result<Writer<BufWriter<File>>, ArchiveError> {
        let mut file = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(false)
            .open(self.0)
            .map_err(|e| self.io_error(e))?;
        let Some(resume_point) = resume_point else {
            return Writer::new(BufWriter::new(file), header).map_err(|e| self.archive_error(e));
        };
        file.set_len(resume_point.valid_bytes)
            .map_err(|e| self.io_error(e))?;
        file.seek(SeekFrom::End(0)).map_err(|e| self.io_error(e))?;
        Ok(Writer::resume(BufWriter::new(file), resume_point))
    }

    /// Returns an error in the archive's contents with the file's path.
    pub(super) fn archive_error(self, source: mallowseam_archive::Error) -> ArchiveError {
        ArchiveError::Archive {
            file: self.0.to_owned(),
            source,
        }
    }

    fn io_error(self, source: io::Error) -> ArchiveError {
        ArchiveError::File {
            file: self.0.to_owned(),
            source,
        }
    }
}
