//! Atomic replacement of files.
use std::io;
use std::path::Path;

/// Extension of the file that is written before it takes the place of the old one.
const NEW_FILE_EXTENSION: &str = "new";

/// Replaces a file by a rename: a reader sees either the old contents or the new ones.
///
/// # Errors
/// The new file cannot be written, or cannot take the place of the old one.
pub fn replace(path: &Path, contents: &[u8]) -> io::Result<()> {
    let new_file = path.with_extension(NEW_FILE_EXTENSION);
    std::fs::write(&new_file, contents)?;
    std::fs::rename(&new_file, path)
}
