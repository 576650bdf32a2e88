//! What a host that connects is sent, so that it has the newest version.
use mallowseam_change_log::ChangeLogStore;
use mallowseam_plans::change_log::LogEntry;
use mallowseam_plans::messages::ServiceMessage;

/// Most log entries that are sent to a host that connects again; one that lacks more gets a full snapshot.
const MAX_CATCH_UP: u64 = 256;

/// The messages for a host whose last log entry led to `version` and has the hash `last_hash`: the entries that
/// it lacks where its last one is in the log of the service, else a full snapshot.
pub(crate) fn missing_messages(
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

/// The entries after a version. None: there are too many, they cannot be read, or the host's log is another one.
fn missing_entries(store: &ChangeLogStore, version: u64, last_hash: &str) -> Option<Vec<String>> {
    let missing = store.log().state.version.checked_sub(version)?;
    if missing > MAX_CATCH_UP {
        return None;
    }
    let entries = store.entries(version + 1, MAX_CATCH_UP as usize).ok()?;
    // Each entry bears the hash of the one before it.
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
