//! The tables of the catalog, and which of their rows a batch of changes has to write. The names of tables and keys are
//! stored data and must not change.
use crate::Error;
use mallowseam_cow::tree::{ChangeEffects, Layer, LayerExtent, LayerId, Tree};
use redb::{Table, TableDefinition, WriteTransaction};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Table of counters by name: [`ID`], [`VERSION`], [`LAYERS_CREATED`] and [`LUNS_ASSIGNED`].
pub(crate) const COUNTERS: TableDefinition<&str, u64> = TableDefinition::new("counts");
/// Name of the counter that holds the id of the catalog.
pub(crate) const ID: &str = "catalog";
/// Name of the counter that holds the version of the tree.
pub(crate) const VERSION: &str = "version";
/// Name of the counter of layers created so far.
pub(crate) const LAYERS_CREATED: &str = "made";
/// Name of the counter of LUNs assigned so far.
pub(crate) const LUNS_ASSIGNED: &str = "units";

/// Table of layers without their locations, as JSON of a [`LayerRow`], by id.
pub(crate) const LAYERS: TableDefinition<LayerId, &[u8]> = TableDefinition::new("layers");
/// Table of locations by layer and extent: the node, the slot, and whether the location may be written.
pub(crate) const LOCATIONS: TableDefinition<LayerExtent, (u32, u32, bool)> =
    TableDefinition::new("places");
/// Table of branches as JSON, by name.
pub(crate) const BRANCHES: TableDefinition<&str, &[u8]> = TableDefinition::new("branches");
/// Table of snapshots as JSON, by full name (`branch@name`).
pub(crate) const SNAPSHOTS: TableDefinition<&str, &[u8]> = TableDefinition::new("snapshots");

/// The fields of a [`LayerRow`] as they are stored: a JSON array.
type LayerFields = (Option<LayerId>, bool, u32, BTreeSet<u32>);

/// A layer as it is stored, without its locations.
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
    fn from_layer(layer: &Layer) -> LayerRow {
        LayerRow {
            parent: layer.parent,
            frozen: layer.frozen,
            next_slot: layer.next_slot,
            closed_nodes: layer.closed_nodes.clone(),
        }
    }

    /// Returns the layer, without its locations.
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

/// The rows that a batch of changes affects. When the batch is written, each of these rows is written as it follows
/// from the tree at that time, or deleted if the tree no longer has its record.
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

    /// Returns all rows of a tree.
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

    /// Writes the rows as they follow from the tree now, and the counters.
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

/// Returns the [`LayerRow`] of a layer as JSON.
fn layer_row(layer: &Layer) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(&LayerRow::from_layer(layer)).map_err(Error::Encode)
}

/// Returns the row of an extent in the table of locations, if the extent has a location in the layer.
fn location_row(tree: &Tree, (layer, extent): LayerExtent) -> Option<(u32, u32, bool)> {
    let layer = tree.layers.get(&layer)?;
    let location = layer.locations.get(&extent)?;
    Some((
        location.node,
        location.slot,
        layer.writable.contains(&extent),
    ))
}

/// Writes the records of the given names to a table whose keys are names, or deletes their rows if there is no record.
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
