//! The change log: one entry for each version, which contains the hash of the entry before it. The alteration, removal
//! or insertion of an entry is detected at the first entry that does not follow the one before it.
//!
//! ```
//! use mallowseam_plans::change_log::ChangeLog;
//! use mallowseam_plans::state::{Change, Plan};
//!
//! let mut log = ChangeLog::default();
//! let plan = Plan { rate_limit: 900_000, burst_units: 10_000, ..Plan::default() };
//! let change = Change::SetPlan { name: "basic".into(), plan };
//! let entry = log.propose(0, "author", "reason", 1_800_000_000, change)?;
//! log.append(&entry)?;
//! assert_eq!(log.state.version, 1);
//! assert_eq!(ChangeLog::replay([entry.as_str()].into_iter())?, log);
//! assert!(log.append(&entry).is_err(), "an entry can be appended only once");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
use crate::error::{ChangeError, LogError, LogErrorKind};
use crate::state::{Change, State};
use serde::{Deserialize, Serialize};

/// Previous hash in the first entry.
pub const GENESIS_HASH: &str = "0000000000000000000000000000000000000000000000000000000000000000";
/// Stands, in messages and in the cached plans of a host, for the hash of a log that has diverged from the service's.
/// No entry has this hash, so the service answers with a full snapshot.
pub const UNKNOWN_HASH: &str = "";
/// Maximum length of an author and of a reason, in bytes.
const MAX_TEXT_BYTES: usize = 500;

/// One entry of the change log. It is stored as JSON, and its hash covers that text: the names and the order of the
/// JSON fields must not change, and a field that is renamed in the code keeps its JSON name by `serde(rename)`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogEntry {
    /// Version that the change leads to.
    pub version: u64,
    /// Seconds since 1970 by the service's clock, for readers of the log: no decision depends on it.
    #[serde(rename = "at")]
    pub unix_seconds: u64,
    /// Author of the change.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// The change.
    pub change: Change,
    /// BLAKE3 hash of the text of the previous entry, in hexadecimal digits; [`GENESIS_HASH`] in the first entry.
    #[serde(rename = "after")]
    pub previous_hash: String,
}

/// The end of a change log: the state that it led to, and the hash of its last entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeLog {
    /// The state after the last entry.
    pub state: State,
    /// Hash of the last entry. None: the log has diverged from the service's, and no entry follows it.
    last_hash: Option<String>,
}

impl Default for ChangeLog {
    fn default() -> Self {
        ChangeLog {
            state: State::default(),
            last_hash: Some(GENESIS_HASH.to_owned()),
        }
    }
}

impl ChangeLog {
    /// Returns the log that ends with `state`, which was stored or sent with the hash of its last entry or with
    /// [`UNKNOWN_HASH`].
    #[must_use]
    pub fn from_snapshot(state: State, last_hash: String) -> ChangeLog {
        ChangeLog {
            state,
            last_hash: Some(last_hash).filter(|hash| hash != UNKNOWN_HASH),
        }
    }

    /// Returns the log that results from replaying entries from the empty state.
    ///
    /// # Errors
    ///
    /// The first entry that does not follow the one before it.
    pub fn replay<'a>(entries: impl Iterator<Item = &'a str>) -> Result<ChangeLog, LogError> {
        let mut log = ChangeLog::default();
        for entry in entries {
            log.append(entry)?;
        }
        Ok(log)
    }

    /// Returns the hash of the last entry, in hexadecimal digits; [`UNKNOWN_HASH`] if the log has diverged from the
    /// service's.
    #[must_use]
    pub fn last_hash(&self) -> &str {
        self.last_hash.as_deref().unwrap_or(UNKNOWN_HASH)
    }

    /// Marks the log as diverged, because the service's next entry does not follow it. Only the state remains usable.
    pub(crate) fn mark_diverged(&mut self) {
        self.last_hash = None;
    }

    /// Returns the text of the next entry for a change by an author who has read version `expected`. The log is not
    /// changed: of two entries that were proposed for the same version, the one that is appended first is accepted.
    ///
    /// # Errors
    ///
    /// The log is at another version, the author or the reason is missing or too long, or the change cannot be made.
    ///
    /// # Panics
    ///
    /// Never: encoding an entry as JSON cannot fail.
    pub fn propose(
        &self,
        expected: u64,
        author: &str,
        reason: &str,
        unix_seconds: u64,
        change: Change,
    ) -> Result<String, ChangeError> {
        if expected != self.state.version {
            return Err(ChangeError::VersionConflict {
                expected,
                current: self.state.version,
            });
        }
        let is_acceptable = |text: &str| !text.trim().is_empty() && text.len() <= MAX_TEXT_BYTES;
        if !is_acceptable(author) || !is_acceptable(reason) {
            return Err(ChangeError::MissingReason);
        }
        self.state.check(&change)?;
        let entry = LogEntry {
            version: expected + 1,
            unix_seconds,
            author: author.to_owned(),
            reason: reason.to_owned(),
            change,
            previous_hash: self.last_hash().to_owned(),
        };
        Ok(serde_json::to_string(&entry)
            .expect("a log entry has only string keys, so encoding it as JSON cannot fail"))
    }

    /// Appends the next entry, given as the text that the service wrote, and applies its change.
    ///
    /// # Errors
    ///
    /// The entry does not follow the last one; the log is unchanged then.
    pub fn append(&mut self, text: &str) -> Result<LogEntry, LogError> {
        let line = self.state.version + 1;
        self.try_append(text)
            .map_err(|kind| LogError { line, kind })
    }

    fn try_append(&mut self, text: &str) -> Result<LogEntry, LogErrorKind> {
        let entry: LogEntry = serde_json::from_str(text)?;
        // The hash covers the text as it was read. Text that the service would encode differently was not written by
        // it.
        if serde_json::to_string(&entry).ok().as_deref() != Some(text) {
            return Err(LogErrorKind::NotCanonical);
        }
        if self.last_hash.as_ref() != Some(&entry.previous_hash) {
            return Err(LogErrorKind::HashMismatch);
        }
        let expected = self.state.version + 1;
        if entry.version != expected {
            return Err(LogErrorKind::VersionMismatch {
                found: entry.version,
                expected,
            });
        }
        self.state.apply(&entry.change)?;
        self.last_hash = Some(blake3::hash(text.as_bytes()).to_hex().to_string());
        Ok(entry)
    }
}
