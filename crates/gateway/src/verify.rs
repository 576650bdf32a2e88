//! Verification of the snapshot catalog against the nodes: compares all locations of the tree with all blocks in which
//! nodes hold data.
use crate::blocking_client::{BlockingClient, ClientError};
use crate::startup;
use mallowseam_cow::tree::{FIRST_LAYER_ID, LayerId, Location, Tree};
use mallowseam_iscsi::scsi::{self, status};
use mallowseam_settings::GatewayConfig;
use mallowseam_settings::config::Node;
use mallowseam_snapshot_catalog::Catalog;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// Maximum size of an answer to GET LBA STATUS, in bytes: room for some thousand runs.
const LBA_STATUS_LEN: u32 = 64 * 1024;

/// Error that keeps the catalog from being verified.
#[derive(Debug, thiserror::Error)]
pub(crate) enum VerifyError {
    #[error("configuration has no section `catalog`")]
    NoCatalog,
    #[error("snapshot catalog store {}: {source}", path.display())]
    Store {
        path: PathBuf,
        source: mallowseam_snapshot_catalog::Error,
    },
    #[error("node {node}: {source}")]
    Node { node: String, source: ClientError },
    #[error("node {node}: invalid answer to GET LBA STATUS")]
    LbaStatus { node: String },
}

/// Findings of a verification.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    /// Number of locations that the tree refers to.
    pub(crate) locations: usize,
    /// Number of these locations in which the node holds data; the others read as zeros.
    pub(crate) locations_with_data: usize,
    /// Locations that a node holds and nothing refers to.
    pub(crate) leaked: Vec<(LayerId, Location)>,
    /// Contradictions, one line each.
    pub(crate) faults: Vec<String>,
}

/// Locations that the tree refers to, by node.
type References = BTreeMap<u32, NodeReferences>;
/// Layer and slot of the locations at one node that the tree refers to.
type NodeReferences = BTreeSet<(LayerId, u32)>;

/// Compares the store of a stopped catalog with all nodes. With `reclaim`, nodes unmap locations that nothing refers
/// to.
pub(crate) fn run(config: &GatewayConfig, reclaim: bool) -> Result<Findings, VerifyError> {
    let settings = config.catalog.as_ref().ok_or(VerifyError::NoCatalog)?;
    let catalog = Catalog::open(&settings.store_path).map_err(|source| VerifyError::Store {
        path: settings.store_path.clone(),
        source,
    })?;
    let tree = catalog.tree();
    let mut findings = Findings {
        faults: tree
            .inconsistencies()
            .iter()
            .map(ToString::to_string)
            .collect(),
        ..Findings::default()
    };
    let mut references = collect_references(tree, config.nodes.len(), &mut findings);
    // Removed layers may have leaked locations, too: every layer that was ever created is checked.
    let layers = FIRST_LAYER_ID..tree.next_layer_id();
    for (index, node) in config.nodes.iter().enumerate() {
        let referred = references.remove(&(index as u32)).unwrap_or_default();
        let mut verifier = NodeVerifier::open(node, index as u32, settings.extent_blocks)?;
        for layer in layers.clone() {
            verifier.check_layer(layer, &referred, reclaim, &mut findings)?;
        }
    }
    Ok(findings)
}

/// Collects and counts the tree's locations, and reports duplicate ones and those on unknown nodes.
fn collect_references(tree: &Tree, nodes: usize, findings: &mut Findings) -> References {
    let mut references = References::new();
    for (id, layer) in &tree.layers {
        for location in layer.locations.values() {
            findings.locations += 1;
            if !references
                .entry(location.node)
                .or_default()
                .insert((*id, location.slot))
            {
                findings.faults.push(format!(
                    "layer {id}: duplicate reference to place {}",
                    location.slot
                ));
            }
            if location.node as usize >= nodes {
                findings.faults.push(format!(
                    "layer {id}: reference to node {}, which the configuration lacks",
                    location.node
                ));
            }
        }
    }
    references
}

/// Verification of one node, with a session to it.
struct NodeVerifier<'a> {
    name: &'a str,
    index: u32,
    client: BlockingClient,
    extent_blocks: u64,
}

impl<'a> NodeVerifier<'a> {
    fn open(node: &'a Node, index: u32, extent_blocks: u64) -> Result<Self, VerifyError> {
        let address = startup::validated_address(node.address);
        let client = BlockingClient::open(address, Some(&node.target), std::process::id())
            .map_err(|source| VerifyError::Node {
                node: node.name.clone(),
                source,
            })?;
        Ok(NodeVerifier {
            name: &node.name,
            index,
            client,
            extent_blocks,
        })
    }

    fn error(&self, source: ClientError) -> VerifyError {
        VerifyError::Node {
            node: self.name.to_owned(),
            source,
        }
    }

    /// Compares the slots of a layer in which the node holds data with those that the tree refers to. With
    /// `reclaim`, the others are unmapped.
    fn check_layer(
        &mut self,
        layer: LayerId,
        referred: &NodeReferences,
        reclaim: bool,
        findings: &mut Findings,
    ) -> Result<(), VerifyError> {
        for slot in self.held_slots(layer)? {
            if referred.contains(&(layer, slot)) {
                findings.locations_with_data += 1;
                continue;
            }
            let node = self.index;
            findings.leaked.push((layer, Location { node, slot }));
            if reclaim && !self.unmap(layer, slot)? {
                // The output calls a slot "place"; its format is fixed.
                let fault = format!("node {}: did not unmap place {slot}", self.name);
                findings.faults.push(fault);
            }
        }
        Ok(())
    }

    /// Returns the slots of a layer in which the node holds data.
    fn held_slots(&mut self, layer: LayerId) -> Result<BTreeSet<u32>, VerifyError> {
        let mut slots = BTreeSet::new();
        let mut from = 0;
        loop {
            let cdb = scsi::get_lba_status(from, LBA_STATUS_LEN);
            let answer = self
                .client
                .execute(layer, &cdb, LBA_STATUS_LEN as usize, Vec::new());
            let answer = answer.map_err(|e| self.error(e))?;
            let data = Some(answer.data).filter(|_| answer.status == status::GOOD);
            let Some(runs) = data.as_deref().and_then(scsi::parse_lba_status) else {
                return Err(VerifyError::LbaStatus {
                    node: self.name.to_owned(),
                });
            };
            let Some((last_lba, last_blocks)) = runs.last().copied() else {
                return Ok(slots);
            };
            for (lba, blocks) in runs {
                let last = lba + u64::from(blocks.max(1)) - 1;
                let covered = lba / self.extent_blocks..=last / self.extent_blocks;
                slots.extend(covered.map(|slot| slot as u32));
            }
            from = last_lba + u64::from(last_blocks.max(1));
        }
    }

    /// Asks the node to unmap a slot, and returns whether it did.
    fn unmap(&mut self, layer: LayerId, slot: u32) -> Result<bool, VerifyError> {
        let (cdb, data) = scsi::unmap(&[(
            u64::from(slot) * self.extent_blocks,
            self.extent_blocks as u32,
        )]);
        let answer = self
            .client
            .execute(layer, &cdb, 0, data)
            .map_err(|e| self.error(e))?;
        Ok(answer.status == status::GOOD)
    }
}
