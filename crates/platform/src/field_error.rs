//! Error of one field of a JSON object.
use thiserror::Error;

/// Error of a field that is rejected. `Display` writes the line that operators are shown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct FieldError {
    /// Path of the field, such as `settings.profiles[0].aim_us`.
    pub field: String,
    /// Reason for the rejection, mostly the expected value.
    pub reason: String,
}

impl FieldError {
    pub(crate) fn new(field: impl Into<String>, reason: impl Into<String>) -> Self {
        FieldError {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// Returns the errors of an object as text, one line each.
pub(crate) fn lines(errors: &[FieldError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
