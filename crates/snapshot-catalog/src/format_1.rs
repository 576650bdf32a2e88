//! Files of format 1: a full tree now and then, and a log of the changes after it. They are converted once.
use crate::{CatalogDamage, Error};
use mallowseam_cow::tree::{Change, Tree};
use redb::{ReadableTable, TableDefinition, WriteTransaction};

/// Number of the format.
pub(crate) const FORMAT: u64 = 1;
/// Changes as JSON, by number.
const CHANGES: TableDefinition<u64, &[u8]> = TableDefinition::new("changes");
/// The full tree as JSON, by version.
const TREES: TableDefinition<u64, &[u8]> = TableDefinition::new("tree");

/// Reads the tree and deletes its tables.
pub(crate) fn take_tree(transaction: &WriteTransaction) -> Result<Tree, Error> {
    let tree = read_tree(transaction)?;
    transaction.delete_table(TREES)?;
    transaction.delete_table(CHANGES)?;
    Ok(tree)
}

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
