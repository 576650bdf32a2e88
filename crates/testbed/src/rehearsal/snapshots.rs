//! Requests to the snapshot catalog during a rehearsal.
use super::Rehearsal;
use mallowseam_audit::trace::Micros;
use std::sync::{Arc, PoisonError};

/// What is requested of the catalog.
pub(super) enum CatalogChange {
    Snapshot { volume: String, name: String },
    Clone { snapshot: String, name: String },
}

impl CatalogChange {
    /// The name under which the snapshot or clone is listed.
    pub(super) fn listed_name(&self) -> String {
        match self {
            CatalogChange::Snapshot { volume, name } => format!("{volume}@{name}"),
            CatalogChange::Clone { name, .. } => name.clone(),
        }
    }

    /// The volume whose blocks it shows.
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

/// A request and its answer.
pub(super) struct CatalogRequest {
    pub(super) change: CatalogChange,
    pub(super) requested_at: Micros,
    pub(super) answered_at: Micros,
    /// Logical unit of the snapshot or clone, or why there is none.
    pub(super) lun: Result<u32, CatalogRefusal>,
}

/// Why a snapshot or clone was not made: the catalog's answer, empty where it names no logical unit.
pub(super) struct CatalogRefusal(pub(super) String);

impl Rehearsal<'_> {
    /// Sends the catalog a request, in a thread of its own that waits for the answer.
    pub(super) fn request_from_catalog(&mut self, change: CatalogChange) {
        let trace = self.trace.clone();
        let requests = Arc::clone(&self.catalog_requests);
        let socket = self.dir.join("catalog.sock");
        self.requesters.push(std::thread::spawn(move || {
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
