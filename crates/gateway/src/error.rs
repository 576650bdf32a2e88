//! Why a service of the program could not run.

/// Why a service could not start, or could not go on.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration lacks the section of the service that is to run.
    #[error("no section {0}")]
    MissingSection(&'static str),
    /// The plan service could not start, or could not go on.
    #[error(transparent)]
    PlanService(#[from] mallowseam_plan_service::Error),
    /// The snapshot catalog could not start, or could not go on.
    #[error(transparent)]
    CatalogService(#[from] mallowseam_catalog_service::Error),
}
