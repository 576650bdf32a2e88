//! Walks catalog and nodes and counts references: every place of the tree, and every block that nodes hold.
use crate::client::Counter;
use mallowseam_cow::tree::{FIRST_LAYER_ID, LayerId, Location, Tree};
use mallowseam_iscsi::scsi::{self, status};
use mallowseam_settings::GatewayConfig;
use mallowseam_snapshot_catalog::Catalog;
use std::collections::{BTreeMap, BTreeSet};

/// Room for one answer of a node: some thousand runs.
const ROOM: u32 = 64 * 1024;

/// What was found.
#[derive(Debug, Default)]
pub struct Found {
    pub places: usize,
    /// Places whose node holds something there. The rest read as zeros.
    pub held: usize,
    /// Places that a node holds and nothing refers to.
    pub leaked: Vec<(LayerId, Location)>,
    pub faults: Vec<String>,
}

/// Looks at a stopped catalog's store and at all nodes. `mend` gives back what nothing refers to.
pub fn run(site: &GatewayConfig, mend: bool) -> Result<Found, String> {
    let settings = site.catalog.as_ref().ok_or("no section catalog")?;
    let catalog =
        Catalog::open(&settings.store_path).map_err(|e| format!("{}: {e}", settings.store_path.display()))?;
    let tree = catalog.tree();
    let mut found = Found {
        faults: tree.inconsistencies().iter().map(ToString::to_string).collect(),
        ..Found::default()
    };
    let mut wanted: BTreeMap<u32, BTreeSet<(LayerId, u32)>> = BTreeMap::new();
    for (layer, l) in &tree.layers {
        for place in l.locations.values() {
            found.places += 1;
            if !wanted.entry(place.node).or_default().insert((*layer, place.slot)) {
                found.faults.push(format!("layer {layer}: place {} is referred to twice", place.slot));
            }
            if place.node as usize >= site.nodes.len() {
                found.faults.push(format!("layer {layer}: lies on node {}, which is not there", place.node));
            }
        }
    }
    for (n, node) in site.nodes.iter().enumerate() {
        let address = node.address.expect("checked");
        let mut client = Counter::open(address, Some(&node.target), std::process::id())
            .map_err(|e| format!("{}: {e}", node.name))?;
        let wanted = wanted.remove(&(n as u32)).unwrap_or_default();
        // Layers that are gone may have left something as well: all that were ever made are asked for.
        for layer in made(tree) {
            let numbers = held(&mut client, layer, settings.extent_blocks)
                .map_err(|e| format!("{}: {e}", node.name))?;
            for number in numbers {
                if wanted.contains(&(layer, number)) {
                    found.held += 1;
                    continue;
                }
                found.leaked.push((layer, Location { node: n as u32, slot: number }));
                if mend {
                    let run = (u64::from(number) * settings.extent_blocks, settings.extent_blocks as u32);
                    let (cdb, data) = scsi::unmap(&[run]);
                    let answer =
                        client.ask(layer, &cdb, 0, data).map_err(|e| format!("{}: {e}", node.name))?;
                    if answer.status != status::GOOD {
                        found.faults.push(format!("{}: does not give place {number} back", node.name));
                    }
                }
            }
        }
    }
    Ok(found)
}

fn made(tree: &Tree) -> impl Iterator<Item = LayerId> + '_ {
    FIRST_LAYER_ID..tree.next_layer_id()
}

/// Numbers of the places that a node holds anything of.
fn held(client: &mut Counter, layer: LayerId, extent: u64) -> Result<BTreeSet<u32>, String> {
    let mut numbers = BTreeSet::new();
    let mut from = 0;
    loop {
        let cdb = scsi::get_lba_status(from, ROOM);
        let answer = client.ask(layer, &cdb, ROOM as usize, Vec::new())?;
        let runs = Some(answer.data).filter(|_| answer.status == status::GOOD);
        let runs =
            runs.as_deref().and_then(scsi::read_lba_status).ok_or("no sound answer to GET LBA STATUS")?;
        let Some((lba, blocks)) = runs.last().copied() else { return Ok(numbers) };
        for (lba, blocks) in runs {
            let last = lba + u64::from(blocks.max(1)) - 1;
            numbers.extend((lba / extent..=last / extent).map(|n| n as u32));
        }
        from = lba + u64::from(blocks.max(1));
    }
}
