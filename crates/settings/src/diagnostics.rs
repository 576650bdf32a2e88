//! Errors in a file, each with its position.
use std::fmt;

/// A position in a file. Lines and columns count from 1; columns count characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// Line number, from 1.
    pub line: usize,
    /// Column number, from 1, in characters.
    pub column: usize,
}

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Line number of the error, from 1.
    pub line: usize,
    /// Column number of the error, from 1.
    pub column: usize,
    /// What was expected at the position.
    pub expected: String,
    /// What was found at the position; may be empty.
    pub found: String,
}

/// All errors in a file. `Display` writes one line per error: `FILE:LINE:COLUMN: expected …, found …`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics {
    /// Name of the file.
    pub file: String,
    /// Errors in the order in which they were added.
    pub diagnostics: Vec<Diagnostic>,
}

impl Diagnostics {
    /// Creates an empty list of errors in a file.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Diagnostics {
            file: file.to_owned(),
            diagnostics: Vec::new(),
        }
    }

    /// Whether there are no errors.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.diagnostics.is_empty()
    }

    /// Adds an error.
    pub fn add(
        &mut self,
        position: Position,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) {
        let Position { line, column } = position;
        let (expected, found) = (expected.into(), found.into());
        self.diagnostics.push(Diagnostic {
            line,
            column,
            expected,
            found,
        });
    }

    /// Returns the errors in the order of their positions, without duplicates.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.diagnostics.sort();
        self.diagnostics.dedup();
        self
    }
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, d) in self.diagnostics.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(
                f,
                "{separator}{}:{}:{}: expected {}",
                self.file, d.line, d.column, d.expected
            )?;
            if !d.found.is_empty() {
                write!(f, ", found {}", d.found)?;
            }
        }
        Ok(())
    }
}

impl std::error::Error for Diagnostics {}
