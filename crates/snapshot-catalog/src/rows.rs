//! The tables of the catalog, and which of their rows a batch of changes has to write. Names of tables and keys are
//! stored data.
use crate::Error;
use mallowseam_cow::tree::{ChangeEffects, Layer, LayerExtent, LayerId, Tree};
use redb::{Table, TableDefinition, WriteTransaction};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Counters by name; see below.
pub(crate) const COUNTERS: TableDefinition<&str, u64> = TableDefinition::new("counts");
/// The catalog's own id.
pub(crate) const ID: &str = "catalog";
/// Version of the tree.
pub(crate) const VERSION: &str = "version";
/// Layers created so far.
pub(crate) const LAYERS_CREATED: &str = "made";
/// LUNs assigned so far.
pub(crate) const LUNS_ASSIGNED: &str = "units";

/// Layers without their locations, as JSON of a [`LayerRow`].
pub(crate) const LAYERS: TableDefinition<LayerId, &[u8]> = TableDefinition::new("layers");
/// Node, slot, and whether it may be written, by layer and extent.
pub(crate) const LOCATIONS: TableDefinition<LayerExtent, (u32, u32, bool)> =
    TableDefinition::new("places");
/// Branches by name, as JSON.
pub(crate) const BRANCHES: TableDefinition<&str, &[u8]> = TableDefinition::new("branches");
/// Snapshots by `branch@name`, as JSON.
pub(crate) const SNAPSHOTS: TableDefinition<&str, &[u8]> = TableDefinition::new("snapshots");

/// The fields of a [`LayerRow`] as they are stored: a JSON array.
type LayerFields = (Option<LayerId>, bool, u32, BTreeSet<u32>);

/// The stored part of a layer, but for its locations.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "LayerFields", into = "LayerFields")]
pub(crate) struct LayerRow {
    parent: Option<LayerId>,
    frozen: bool,
    next_slot: u32,
    closed_nodes: BTreeSet<u32>,
}

impl From<LayerFields> for LayerRow {
    fn from((parent, frozen, next_slot, closed_nodes): LayerFields) -> LayerRow {
        LayerRow {
            parent,
            frozen,
            next_slot,
            closed_nodes,
        }
    }
}

impl From<LayerRow> for LayerFields {
    fn from(row: LayerRow) -> LayerFields {
        (row.parent, row.frozen, row.next_slot, row.closed_nodes)
    }
}

impl LayerRow {
    fn of(layer: &Layer) -> LayerRow {
        LayerRow {
            parent: layer.parent,
            frozen: layer.frozen,
            next_slot: layer.next_slot,
            closed_nodes: layer.closed_nodes.clone(),
        }
    }

    /// The layer, without its locations.
    pub(crate) fn into_layer(self) -> Layer {
        Layer {
            parent: self.parent,
            frozen: self.frozen,
            next_slot: self.next_slot,
            closed_nodes: self.closed_nodes,
            ..Layer::default()
        }
    }
}

/// Rows that a batch of changes affects. When the batch is written, each of them is written as the tree has it at that
/// time, or deleted if the tree no longer has it.
#[derive(Debug, Default)]
pub(crate) struct DirtyRows {
    layers: BTreeSet<LayerId>,
    locations: BTreeSet<LayerExtent>,
    branches: BTreeSet<String>,
    snapshots: BTreeSet<String>,
}

impl DirtyRows {
    /// Adds the rows that a change has affected.
    pub(crate) fn add(&mut self, effects: &ChangeEffects) {
        self.layers.extend(&effects.layers);
        self.locations.extend(&effects.locations);
        self.branches.extend(effects.branches.iter().cloned());
        self.snapshots.extend(effects.snapshots.iter().cloned());
    }

    /// All rows of a tree.
    pub(crate) fn all(tree: &Tree) -> DirtyRows {
        let mut locations = BTreeSet::new();
        for (id, layer) in &tree.layers {
            locations.extend(layer.locations.keys().map(|extent| (*id, *extent)));
        }
        DirtyRows {
            layers: tree.layers.keys().copied().collect(),
            locations,
            branches: tree.branches.keys().cloned().collect(),
            snapshots: tree.snapshots.keys().cloned().collect(),
        }
    }

    /// Writes the rows as the tree has them now, and the counters.
    pub(crate) fn write(&self, transaction: &WriteTransaction, tree: &Tree) -> Result<(), Error> {
        write_counters(transaction, tree)?;
        self.write_layers(transaction, tree)?;
        self.write_locations(transaction, tree)?;
        write_named(
            transaction.open_table(BRANCHES)?,
            &self.branches,
            &tree.branches,
        )?;
        write_named(
            transaction.open_table(SNAPSHOTS)?,
            &self.snapshots,
            &tree.snapshots,
        )
    }

    fn write_layers(&self, transaction: &WriteTransaction, tree: &Tree) -> Result<(), Error> {
        let mut table = transaction.open_table(LAYERS)?;
        for id in &self.layers {
            match tree.layers.get(id) {
                Some(layer) => drop(table.insert(id, layer_row(layer)?.as_slice())?),
                None => drop(table.remove(id)?),
            }
        }
        Ok(())
    }

    fn write_locations(&self, transaction: &WriteTransaction, tree: &Tree) -> Result<(), Error> {
        let mut table = transaction.open_table(LOCATIONS)?;
        for key in &self.locations {
            match location_row(tree, *key) {
                Some(row) => drop(table.insert(key, row)?),
                None => drop(table.remove(key)?),
            }
        }
        Ok(())
    }
}

fn write_counters(transaction: &WriteTransaction, tree: &Tree) -> Result<(), Error> {
    let mut counters = transaction.open_table(COUNTERS)?;
    counters.insert(VERSION, tree.version)?;
    counters.insert(LAYERS_CREATED, u64::from(tree.layers_created()))?;
    counters.insert(LUNS_ASSIGNED, u64::from(tree.luns_assigned()))?;
    Ok(())
}

/// Writes the id of a new catalog.
pub(crate) fn write_id(transaction: &WriteTransaction, id: u64) -> Result<(), Error> {
    transaction.open_table(COUNTERS)?.insert(ID, id)?;
    Ok(())
}

/// A [`LayerRow`] as JSON.
fn layer_row(layer: &Layer) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(&LayerRow::of(layer)).map_err(Error::Encode)
}

fn location_row(tree: &Tree, (layer, extent): LayerExtent) -> Option<(u32, u32, bool)> {
    let layer = tree.layers.get(&layer)?;
    let location = layer.locations.get(&extent)?;
    Some((
        location.node,
        location.slot,
        layer.writable.contains(&extent),
    ))
}

fn write_named<T: Serialize>(
    mut table: Table<'_, &str, &[u8]>,
    names: &BTreeSet<String>,
    records: &BTreeMap<String, T>,
) -> Result<(), Error> {
    for name in names {
        match records.get(name) {
            Some(record) => {
                let bytes = serde_json::to_vec(record).map_err(Error::Encode)?;
                table.insert(name.as_str(), bytes.as_slice())?;
            }
            None => drop(table.remove(name.as_str())?),
        }
    }
    Ok(())
}
