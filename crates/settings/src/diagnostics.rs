//! Errors in a file, each with its position.
use std::fmt;

/// A position in a file. Line and column count from 1; columns are characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Its line, from 1.
    pub line: usize,
    /// Its column, from 1.
    pub column: usize,
    /// What was expected there.
    pub expected: String,
    /// What was found instead; may be empty.
    pub found: String,
}

/// All errors in a file. `Display` gives one line each: `FILE:LINE:COLUMN: expected …, found …`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostics {
    /// The file's name.
    pub file: String,
    /// The errors.
    pub diagnostics: Vec<Diagnostic>,
}

impl Diagnostics {
    /// No errors yet.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Diagnostics {
            file: file.to_owned(),
            diagnostics: Vec::new(),
        }
    }

    /// Whether there are none.
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

    /// The same in the order of the file, each error once.
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
