//! Stores of format 1: a whole tree now and then, and a log of changes behind it. They are taken over once, whole.
use super::{Fault, damaged, store};
use mallowseam_cow::tree::{Change, Tree};
use redb::{ReadableTable, TableDefinition, WriteTransaction};

pub(crate) const FORMAT: u64 = 1;
pub(crate) const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("changes");
pub(crate) const BASE: TableDefinition<u64, &[u8]> = TableDefinition::new("tree");

/// Reads the tree of an older store and drops its tables.
pub(crate) fn take(write: &WriteTransaction) -> Result<Tree, Fault> {
    let mut tree = Tree::default();
    {
        let base = write.open_table(BASE).map_err(store)?;
        if let Some((_, bytes)) = base.last().map_err(store)? {
            tree = serde_json::from_slice(bytes.value()).map_err(damaged)?;
        }
        let log = write.open_table(LOG).map_err(store)?;
        for entry in log.range(tree.version + 1..).map_err(store)? {
            let (version, bytes) = entry.map_err(store)?;
            let change: Change = serde_json::from_slice(bytes.value()).map_err(damaged)?;
            tree.apply(&change).map_err(|r| damaged(format!("change {}: {r}", version.value())))?;
            if tree.version != version.value() {
                return Err(damaged(format!("change {} where {} is due", version.value(), tree.version)));
            }
        }
    }
    write.delete_table(BASE).map_err(store)?;
    write.delete_table(LOG).map_err(store)?;
    Ok(tree)
}
