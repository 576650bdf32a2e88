//! The errors of the stored catalog.
use mallowseam_cow::tree::{ChangeError, Inconsistency, LayerId};
use mallowseam_durable_store::{Damage, StoreError};

/// Why the stored catalog cannot be opened, read or written.
pub type Error = StoreError<CatalogDamage>;

/// How the contents of the stored catalog are damaged.
#[derive(Debug, thiserror::Error)]
pub enum CatalogDamage {
    /// A row is not the JSON of its record.
    #[error(transparent)]
    MalformedRow(#[from] serde_json::Error),
    /// The counter of this name is missing.
    #[error("counter `{0}` is missing")]
    MissingCounter(&'static str),
    /// A counter of 32 bits has a larger value.
    #[error(transparent)]
    CounterOverflow(#[from] std::num::TryFromIntError),
    /// The store has locations of a layer that does not exist.
    #[error("locations of layer {0}, which does not exist")]
    LocationsWithoutLayer(LayerId),
    /// The stored tree is inconsistent.
    #[error("{}", join(.0))]
    Inconsistent(Vec<Inconsistency>),
    /// A change in the log of a file of format 1 does not fit the tree.
    #[error("logged change {version} does not fit the tree: {source}")]
    InvalidChange {
        /// Number of the change.
        version: u64,
        /// Why the change does not fit.
        source: ChangeError,
    },
    /// The log of a file of format 1 has a gap.
    #[error("log contains change {found} where change {expected} is expected")]
    ChangeOutOfOrder {
        /// Number of the change that was found.
        found: u64,
        /// Number of the change that was expected.
        expected: u64,
    },
}

impl Damage for CatalogDamage {
    const STORE_NAME: &'static str = "catalog store";
}

/// Joins the texts of inconsistencies to one text.
fn join(inconsistencies: &[Inconsistency]) -> String {
    let texts: Vec<String> = inconsistencies.iter().map(ToString::to_string).collect();
    texts.join("; ")
}
