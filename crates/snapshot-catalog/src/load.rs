//! Reading the tree from the tables.
use crate::rows::{
    BRANCHES, COUNTERS, ID, LAYERS, LAYERS_CREATED, LOCATIONS, LUNS_ASSIGNED, LayerRow, SNAPSHOTS,
    VERSION,
};
use crate::{CatalogDamage, Error};
use mallowseam_cow::tree::{ExtentLocation, Layer, LayerId, Location, Tree, TreeData};
use mallowseam_durable_store::DurableStore;
use redb::{ReadTransaction, ReadableTable};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// The id of the catalog, and its tree.
pub(crate) fn load(store: &DurableStore) -> Result<(u64, Tree), Error> {
    let transaction = store.begin_read()?;
    let counters = transaction.open_table(COUNTERS)?;
    let counter = |name: &'static str| -> Result<u64, Error> {
        Ok(counters
            .get(name)?
            .ok_or(CatalogDamage::MissingCounter(name))?
            .value())
    };
    let small_counter = |name: &'static str| -> Result<u32, Error> {
        Ok(u32::try_from(counter(name)?).map_err(CatalogDamage::from)?)
    };
    let data = TreeData {
        version: counter(VERSION)?,
        layers_created: small_counter(LAYERS_CREATED)?,
        luns_assigned: small_counter(LUNS_ASSIGNED)?,
        layers: load_layers(&transaction)?,
        branches: load_named(&transaction.open_table(BRANCHES)?)?,
        snapshots: load_named(&transaction.open_table(SNAPSHOTS)?)?,
    };
    Ok((counter(ID)?, data.into()))
}

fn load_layers(transaction: &ReadTransaction) -> Result<BTreeMap<LayerId, Layer>, Error> {
    let mut layers = BTreeMap::new();
    for row in transaction.open_table(LAYERS)?.iter()? {
        let (id, bytes) = row?;
        let row: LayerRow = decode(bytes.value())?;
        let (parent, frozen, next_slot, closed_nodes) = row;
        layers.insert(
            id.value(),
            Layer {
                parent,
                frozen,
                next_slot,
                closed_nodes,
                ..Layer::default()
            },
        );
    }
    // Rows are in order of layers and extents: collecting those of one layer first builds its maps in bulk.
    let mut run: (LayerId, Vec<ExtentLocation>) = (0, Vec::new());
    for row in transaction.open_table(LOCATIONS)?.iter()? {
        let (key, value) = row?;
        let ((layer, extent), (node, slot, writable)) = (key.value(), value.value());
        if layer != run.0 {
            add_locations(
                &mut layers,
                std::mem::replace(&mut run, (layer, Vec::new())),
            )?;
        }
        run.1.push(ExtentLocation {
            extent,
            location: Location { node, slot },
            writable,
        });
    }
    add_locations(&mut layers, run)?;
    Ok(layers)
}

fn add_locations(
    layers: &mut BTreeMap<LayerId, Layer>,
    (id, entries): (LayerId, Vec<ExtentLocation>),
) -> Result<(), CatalogDamage> {
    if entries.is_empty() {
        return Ok(());
    }
    let layer = layers
        .get_mut(&id)
        .ok_or(CatalogDamage::LocationsWithoutLayer(id))?;
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
