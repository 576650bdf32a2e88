//! Atomic replacement of files.
use std::io;
use std::path::Path;

/// Extension of the temporary file that is written first and then renamed.
const NEW_FILE_EXTENSION: &str = "new";

/// Replaces a file atomically by a rename: a reader sees either the old contents or the new ones. The new contents are first
/// written to a file with the extension `new` beside `path`.
///
/// # Errors
/// The new file cannot be written, or cannot be renamed to `path`.
pub fn replace(path: &Path, contents: &[u8]) -> io::Result<()> {
    let new_file = path.with_extension(NEW_FILE_EXTENSION);
    std::fs::write(&new_file, contents)?;
    std::fs::rename(&new_file, path)
}
