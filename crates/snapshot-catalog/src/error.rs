//! The errors of the catalog.
use mallowseam_cow::tree::{ChangeError, Inconsistency, LayerId};
use mallowseam_durable_store::{Damage, StoreError};

/// Why the catalog cannot be opened, read or written.
pub type Error = StoreError<CatalogDamage>;

/// A damage of the contents of the catalog.
#[derive(Debug, thiserror::Error)]
pub enum CatalogDamage {
    /// A row is not the JSON that belongs there.
    #[error(transparent)]
    MalformedRow(#[from] serde_json::Error),
    /// A counter is missing.
    #[error("no count `{0}`")]
    MissingCounter(&'static str),
    /// A counter is larger than it can be.
    #[error(transparent)]
    CounterOverflow(#[from] std::num::TryFromIntError),
    /// There are locations of a layer that does not exist.
    #[error("places of no layer {0}")]
    LocationsWithoutLayer(LayerId),
    /// The tree breaks its rules.
    #[error("{}", join(.0))]
    Inconsistent(Vec<Inconsistency>),
    /// A change in the log of a file of format 1 does not fit the tree.
    #[error("change {version}: {source}")]
    InvalidChange {
        /// Number of the change.
        version: u64,
        /// Why it does not fit.
        source: ChangeError,
    },
    /// The log of a file of format 1 has a gap.
    #[error("change {found} where {expected} is due")]
    ChangeOutOfOrder {
        /// Number of the change.
        found: u64,
        /// Number of the next one.
        expected: u64,
    },
}

impl Damage for CatalogDamage {
    const STORE_NAME: &'static str = "catalog store";
}

fn join(inconsistencies: &[Inconsistency]) -> String {
    let texts: Vec<String> = inconsistencies.iter().map(ToString::to_string).collect();
    texts.join("; ")
}
