//! The messages that bring a connecting host up to the newest version.
use mallowseam_change_log::ChangeLogStore;
use mallowseam_plans::change_log::LogEntry;
use mallowseam_plans::messages::ServiceMessage;

/// Maximum number of log entries sent to a reconnecting host; a host that lacks more entries gets a full snapshot.
const MAX_CATCH_UP_ENTRIES: u64 = 256;

/// Returns the messages for a host whose last log entry led to `version` and has the hash `last_hash`: the entries that
/// it lacks if its last entry is in the log of the service, otherwise a full snapshot.
pub(crate) fn catch_up_messages(
    store: &ChangeLogStore,
    version: u64,
    last_hash: &str,
) -> Vec<ServiceMessage> {
    match missing_entries(store, version, last_hash) {
        Some(entries) => entries
            .into_iter()
            .map(|text| ServiceMessage::LogEntry { text })
            .collect(),
        None => vec![full_snapshot(store)],
    }
}

/// Returns the entries after a version. None: there are too many, they cannot be read, or the host's log has diverged
/// from the service's.
fn missing_entries(store: &ChangeLogStore, version: u64, last_hash: &str) -> Option<Vec<String>> {
    let missing = store.log().state.version.checked_sub(version)?;
    if missing > MAX_CATCH_UP_ENTRIES {
        return None;
    }
    let entries = store
        .entries(version + 1, MAX_CATCH_UP_ENTRIES as usize)
        .ok()?;
    // Each entry contains the hash of the entry before it.
    let follows = match entries.first() {
        Some(first) => serde_json::from_str::<LogEntry>(first)
            .is_ok_and(|entry| entry.previous_hash == last_hash),
        None => store.log().last_hash() == last_hash,
    };
    follows.then_some(entries)
}

fn full_snapshot(store: &ChangeLogStore) -> ServiceMessage {
    let log = store.log();
    ServiceMessage::Snapshot {
        state: Box::new(log.state.clone()),
        last_hash: log.last_hash().to_owned(),
    }
}
