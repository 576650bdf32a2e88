//! Requests to the snapshot catalog during a rehearsal.
use super::Rehearsal;
use mallowseam_audit::trace::Micros;
use std::sync::{Arc, PoisonError};

/// Change that is requested from the snapshot catalog.
pub(super) enum CatalogChange {
    Snapshot { volume: String, name: String },
    Clone { snapshot: String, name: String },
}

impl CatalogChange {
    /// Returns the name under which the catalog lists the snapshot or clone.
    pub(super) fn listed_name(&self) -> String {
        match self {
            CatalogChange::Snapshot { volume, name } => format!("{volume}@{name}"),
            CatalogChange::Clone { name, .. } => name.clone(),
        }
    }

    /// Returns the name of the volume whose blocks the snapshot or clone shows.
    pub(super) fn volume(&self) -> &str {
        match self {
            CatalogChange::Snapshot { volume, .. } => volume,
            CatalogChange::Clone { snapshot, .. } => snapshot.split('@').next().unwrap_or_default(),
        }
    }

    fn request_line(&self) -> String {
        match self {
            CatalogChange::Snapshot { volume, name } => format!("snapshot {volume} {name}"),
            CatalogChange::Clone { snapshot, name } => format!("clone {snapshot} {name}"),
        }
    }
}

/// Request to the snapshot catalog, and its answer.
pub(super) struct CatalogRequest {
    pub(super) change: CatalogChange,
    pub(super) requested_at: Micros,
    pub(super) answered_at: Micros,
    /// Logical unit number of the snapshot or clone, or the reason why there is none.
    pub(super) lun: Result<u32, CatalogRefusal>,
}

/// Reason why a snapshot or clone was not created: the catalog's error, or empty if its answer names no logical unit.
pub(super) struct CatalogRefusal(pub(super) String);

impl Rehearsal<'_> {
    /// Sends a request to the catalog, in a separate thread that waits for the answer.
    pub(super) fn request_from_catalog(&mut self, change: CatalogChange) {
        let trace = self.trace.clone();
        let requests = Arc::clone(&self.catalog_requests);
        let socket = self.dir.join("catalog.sock");
        self.request_threads.push(std::thread::spawn(move || {
            let requested_at = trace.now();
            let answer = mallowseam_control_protocol::send_request(&socket, &change.request_line());
            let answered_at = trace.now();
            let lun = match answer {
                Ok(text) => {
                    let lun = text.rsplit(' ').next().and_then(|lun| lun.parse().ok());
                    lun.ok_or_else(|| CatalogRefusal(String::new()))
                }
                Err(e) => Err(CatalogRefusal(e.to_string())),
            };
            let request = CatalogRequest {
                change,
                requested_at,
                answered_at,
                lun,
            };
            requests
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(request);
        }));
    }
}
