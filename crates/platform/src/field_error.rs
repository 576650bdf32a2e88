//! What is wrong with one field of a JSON object.
use thiserror::Error;

/// A field that can't be accepted. `Display` gives the line that operators are shown.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {reason}")]
pub struct FieldError {
    /// The path of the field, such as `settings.profiles[0].aim_us`.
    pub field: String,
    /// What was expected there.
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

/// The errors of an object, one line each.
pub(crate) fn lines(errors: &[FieldError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
