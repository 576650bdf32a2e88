//! Reads files of format 1, which are converted when they are opened. Such a file holds a full tree, which was written
//! from time to time, and a log of the changes after it.
use crate::{CatalogDamage, Error};
use mallowseam_cow::tree::{Change, Tree};
use redb::{ReadableTable, TableDefinition, WriteTransaction};

/// Number of this format.
pub(crate) const FORMAT: u64 = 1;
/// Changes as JSON, by number.
const CHANGES: TableDefinition<u64, &[u8]> = TableDefinition::new("changes");
/// The full tree as JSON, by version.
const TREES: TableDefinition<u64, &[u8]> = TableDefinition::new("tree");

/// Reads the tree of a file of format 1 and deletes the tables of that format.
pub(crate) fn take_tree(transaction: &WriteTransaction) -> Result<Tree, Error> {
    let tree = read_tree(transaction)?;
    transaction.delete_table(TREES)?;
    transaction.delete_table(CHANGES)?;
    Ok(tree)
}

/// Reads the last full tree and applies the logged changes after it.
fn read_tree(transaction: &WriteTransaction) -> Result<Tree, Error> {
    let mut tree = Tree::default();
    if let Some((_, bytes)) = transaction.open_table(TREES)?.last()? {
        tree = serde_json::from_slice(bytes.value()).map_err(CatalogDamage::from)?;
    }
    let changes = transaction.open_table(CHANGES)?;
    for row in changes.range(tree.version + 1..)? {
        let (version, bytes) = row?;
        apply(&mut tree, version.value(), bytes.value())?;
    }
    Ok(tree)
}

/// Applies a logged change, which must lead to the tree of the given version.
fn apply(tree: &mut Tree, version: u64, bytes: &[u8]) -> Result<(), CatalogDamage> {
    let change: Change = serde_json::from_slice(bytes)?;
    tree.apply(&change)
        .map_err(|source| CatalogDamage::InvalidChange { version, source })?;
    if tree.version != version {
        return Err(CatalogDamage::ChangeOutOfOrder {
            found: version,
            expected: tree.version,
        });
    }
    Ok(())
}
