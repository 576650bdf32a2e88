//! Opens the store of the plan service. In a new store the configured plans become the first versions.
use crate::error::Error;
use crate::wall_clock;
use mallowseam_change_log::{ChangeLogStore, Error as StoreError};
use mallowseam_plans::state::Change;
use std::path::Path;

/// Author of the versions that the configuration makes in a new store.
const CONFIGURATION_AUTHOR: &str = "configuration";
/// Reason for the versions that the configuration makes in a new store.
const CONFIGURATION_REASON: &str = "first start";

/// An open store, and what was read from it.
pub(crate) struct OpenedStore {
    pub(crate) store: ChangeLogStore,
    /// Names of the hosts that replicate the log.
    pub(crate) members: Vec<String>,
    /// Whether no service has used this store before.
    pub(crate) is_new: bool,
}

/// Opens the store. In a new store, the changes that make the configured plans become the first versions.
///
/// # Errors
/// The store cannot be opened, read or written, or the configured plans contradict each other.
pub(crate) fn open_store(path: &Path, configured_plans: Vec<Change>) -> Result<OpenedStore, Error> {
    let to_open_error = |source| open_error(path, source);
    let mut store = ChangeLogStore::open(path).map_err(to_open_error)?;
    let is_new = store.log().state.version == 0;
    if is_new {
        for change in configured_plans {
            append_configured(&mut store, change, path)?;
        }
    }
    Ok(OpenedStore {
        members: store.members().map_err(to_open_error)?,
        store,
        is_new,
    })
}

fn append_configured(store: &mut ChangeLogStore, change: Change, path: &Path) -> Result<(), Error> {
    let log = store.log();
    let entry = log
        .propose(
            log.state.version,
            CONFIGURATION_AUTHOR,
            CONFIGURATION_REASON,
            wall_clock(),
            change,
        )
        .map_err(Error::ConfiguredPlan)?;
    store
        .append(&entry)
        .map_err(|source| open_error(path, source))?;
    Ok(())
}

fn open_error(path: &Path, source: StoreError) -> Error {
    Error::OpenStore {
        path: path.to_owned(),
        source,
    }
}
