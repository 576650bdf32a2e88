//! Errors of the services that the program runs.

/// Error that keeps a service from starting, or stops a running one.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration lacks the section of the service that is to run.
    #[error("configuration has no section `{0}`")]
    MissingSection(&'static str),
    /// The plan service could not start, or failed while it ran.
    #[error(transparent)]
    PlanService(#[from] mallowseam_plan_service::Error),
    /// The snapshot catalog could not start, or failed while it ran.
    #[error(transparent)]
    CatalogService(#[from] mallowseam_catalog_service::Error),
}
