//! Reads the tree from the tables.
use crate::rows::{
    BRANCHES, COUNTERS, ID, LAYERS, LAYERS_CREATED, LOCATIONS, LUNS_ASSIGNED, LayerRow, SNAPSHOTS,
    VERSION,
};
use crate::{CatalogDamage, Error};
use mallowseam_cow::tree::{ExtentLocation, Layer, LayerId, Location, Tree, TreeData};
use mallowseam_durable_store::DurableStore;
use redb::{ReadOnlyTable, ReadTransaction, ReadableTable};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// Returns the id of the catalog, and its tree.
pub(crate) fn load(store: &DurableStore) -> Result<(u64, Tree), Error> {
    let transaction = store.begin_read()?;
    let counters = Counters(transaction.open_table(COUNTERS)?);
    let data = TreeData {
        version: counters.get(VERSION)?,
        layers_created: counters.get_u32(LAYERS_CREATED)?,
        luns_assigned: counters.get_u32(LUNS_ASSIGNED)?,
        layers: load_layers(&transaction)?,
        branches: load_named(&transaction.open_table(BRANCHES)?)?,
        snapshots: load_named(&transaction.open_table(SNAPSHOTS)?)?,
    };
    Ok((counters.get(ID)?, data.into()))
}

/// The table of the counters.
struct Counters(ReadOnlyTable<&'static str, u64>);

impl Counters {
    fn get(&self, name: &'static str) -> Result<u64, Error> {
        let row = self.0.get(name)?;
        Ok(row.ok_or(CatalogDamage::MissingCounter(name))?.value())
    }

    /// Returns a counter whose value has at most 32 bits.
    fn get_u32(&self, name: &'static str) -> Result<u32, Error> {
        Ok(u32::try_from(self.get(name)?).map_err(CatalogDamage::from)?)
    }
}

fn load_layers(transaction: &ReadTransaction) -> Result<BTreeMap<LayerId, Layer>, Error> {
    let mut layers = BTreeMap::new();
    for row in transaction.open_table(LAYERS)?.iter()? {
        let (id, bytes) = row?;
        let row: LayerRow = decode(bytes.value())?;
        layers.insert(id.value(), row.into_layer());
    }
    load_locations(transaction, &mut layers)?;
    Ok(layers)
}

/// The locations of one layer, in order of extents.
struct LayerLocations {
    layer: LayerId,
    entries: Vec<ExtentLocation>,
}

/// Adds all locations to their layers. Rows are in order of layers and extents, so all locations of one layer are
/// collected first, and its maps are then built in bulk.
fn load_locations(
    transaction: &ReadTransaction,
    layers: &mut BTreeMap<LayerId, Layer>,
) -> Result<(), Error> {
    let mut collected: Option<LayerLocations> = None;
    for row in transaction.open_table(LOCATIONS)?.iter()? {
        let (key, value) = row?;
        let (layer, extent) = key.value();
        let (node, slot, writable) = value.value();
        if let Some(complete) = collected.take_if(|collected| collected.layer != layer) {
            add_locations(layers, complete)?;
        }
        let collected = collected.get_or_insert_with(|| LayerLocations {
            layer,
            entries: Vec::new(),
        });
        collected.entries.push(ExtentLocation {
            extent,
            location: Location { node, slot },
            writable,
        });
    }
    if let Some(complete) = collected {
        add_locations(layers, complete)?;
    }
    Ok(())
}

fn add_locations(
    layers: &mut BTreeMap<LayerId, Layer>,
    locations: LayerLocations,
) -> Result<(), CatalogDamage> {
    let LayerLocations { layer, entries } = locations;
    let layer = layers
        .get_mut(&layer)
        .ok_or(CatalogDamage::LocationsWithoutLayer(layer))?;
    layer.writable = entries
        .iter()
        .filter(|entry| entry.writable)
        .map(|entry| entry.extent)
        .collect();
    layer.locations = entries
        .into_iter()
        .map(|entry| (entry.extent, entry.location))
        .collect();
    Ok(())
}

/// Returns the records of a table whose keys are names.
fn load_named<T: DeserializeOwned>(
    table: &impl ReadableTable<&'static str, &'static [u8]>,
) -> Result<BTreeMap<String, T>, Error> {
    let mut records = BTreeMap::new();
    for row in table.iter()? {
        let (name, bytes) = row?;
        records.insert(name.value().to_owned(), decode(bytes.value())?);
    }
    Ok(records)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CatalogDamage> {
    Ok(serde_json::from_slice(bytes)?)
}
