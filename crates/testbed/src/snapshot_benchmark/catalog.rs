//! The catalog at sizes that need no sockets.
use crate::benchmark::median;
use crate::error::RunError;
use mallowseam_cow::messages::{ToHost, full_tree_messages};
use mallowseam_cow::tree::{Change, Location};
use mallowseam_cow::tree_replica::TreeReplica;
use mallowseam_snapshot_catalog::Catalog;
use std::path::Path;
use std::time::Instant;

/// Extents of a volume of 1 TiB in extents of 1 MiB.
const EXTENTS: u32 = 1 << 20;
/// Nodes over which extents are placed.
const NODES: u32 = 6;
/// Sparse volume: extents written, the distance between them, and those written again behind each snapshot.
const SPARSE_EXTENTS: u32 = 1_000;
const SPARSE_STRIDE: u32 = 1_000;
const REWRITTEN_EXTENTS: u32 = 100;
/// Cuts and first writes of which the median is taken.
const SAMPLES: u32 = 20;
/// Number of the first snapshot of a sample, above all others.
const FIRST_SAMPLE: u32 = 1_000_000;
/// Changes of one transaction.
const BATCH: u32 = 65_536;
const VOLUME: &str = "a";

fn open(dir: &Path) -> Result<Catalog, RunError> {
    Ok(Catalog::open(&store_path(dir))?)
}

fn store_path(dir: &Path) -> std::path::PathBuf {
    dir.join("store")
}

fn temporary_directory() -> Result<tempfile::TempDir, RunError> {
    tempfile::tempdir().map_err(RunError::io("temporary directory"))
}

fn store_bytes(dir: &Path) -> Result<u64, RunError> {
    let metadata =
        std::fs::metadata(store_path(dir)).map_err(RunError::io("the catalog's store"))?;
    Ok(metadata.len())
}

fn milliseconds_since(began: Instant) -> f64 {
    began.elapsed().as_secs_f64() * 1e3
}

fn create_volume(catalog: &mut Catalog) -> Result<(), RunError> {
    catalog.stage(Change::BranchCreated {
        branch: VOLUME.into(),
        extent_count: EXTENTS,
    })?;
    Ok(())
}

/// Places an extent in the head's layer, as a first write does.
fn place_extent(catalog: &mut Catalog, extent: u32) -> Result<(), RunError> {
    let layer = catalog.tree().branches[VOLUME].head;
    let slot = catalog.tree().layers[&layer].next_slot;
    catalog.stage(Change::SlotsAllocated {
        layer,
        first: slot,
        count: 1,
    })?;
    let location = Location {
        node: extent % NODES,
        slot,
    };
    catalog.stage(Change::ExtentPlaced {
        layer,
        extent,
        location,
    })?;
    catalog.stage(Change::ExtentWritable { layer, extent })?;
    Ok(())
}

fn cut(catalog: &mut Catalog, number: u32) -> Result<(), RunError> {
    let layer = catalog.tree().branches[VOLUME].head;
    catalog.stage(Change::HeadFrozen {
        branch: VOLUME.into(),
    })?;
    for (layer, node) in catalog.tree().pending_closes().collect::<Vec<_>>() {
        catalog.stage(Change::LayerClosed { layer, node })?;
    }
    catalog.stage(Change::SnapshotCreated {
        branch: VOLUME.into(),
        name: format!("s{number}"),
        layer,
    })?;
    Ok(())
}

/// Measures a volume of which a thousand extents are written, and a hundred again behind each snapshot.
pub(super) fn measure_sparse(snapshots: u32) -> Result<String, RunError> {
    let dir = temporary_directory()?;
    let mut catalog = open(dir.path())?;
    create_volume(&mut catalog)?;
    (0..SPARSE_EXTENTS).try_for_each(|e| place_extent(&mut catalog, e * SPARSE_STRIDE))?;
    for s in 0..snapshots {
        cut(&mut catalog, s)?;
        (0..REWRITTEN_EXTENTS)
            .try_for_each(|e| place_extent(&mut catalog, (e * 10 + s % 10) * SPARSE_STRIDE))?;
    }
    catalog.commit()?;
    let (mut cuts, mut first_writes) = (Vec::new(), Vec::new());
    for s in 0..SAMPLES {
        let began = Instant::now();
        cut(&mut catalog, FIRST_SAMPLE + s)?;
        catalog.commit()?;
        cuts.push(milliseconds_since(began));
        let began = Instant::now();
        place_extent(&mut catalog, s * SPARSE_STRIDE)?;
        catalog.commit()?;
        first_writes.push(milliseconds_since(began));
    }
    let locations: usize = catalog
        .tree()
        .layers
        .values()
        .map(|layer| layer.locations.len())
        .sum();
    let kib = store_bytes(dir.path())? / 1024;
    drop(catalog);
    let began = Instant::now();
    let _catalog = open(dir.path())?;
    let opened = milliseconds_since(began);
    let (cut, first_write) = (median(cuts.into_iter()), median(first_writes.into_iter()));
    Ok(format!(
        "catalog, 1 TiB sparse, {snapshots} snapshots: {locations} locations, {kib} KiB, opened in {opened:.1} ms; \
         committed: a cut in {cut:.2} ms, a first write in {first_write:.2} ms (medians of {SAMPLES})\n"
    ))
}

/// Measures a volume written in full: what the catalog takes, and what a host takes to replicate it.
pub(super) fn measure_full() -> Result<String, RunError> {
    let dir = temporary_directory()?;
    fill(dir.path())?;
    let mib = store_bytes(dir.path())? >> 20;
    let began = Instant::now();
    let mut catalog = open(dir.path())?;
    let opened = milliseconds_since(began);
    let began = Instant::now();
    cut(&mut catalog, 0)?;
    catalog.commit()?;
    let cut = milliseconds_since(began);
    let replication = replicate(&catalog)?;
    let began = Instant::now();
    catalog.stage(Change::SnapshotDeleted {
        snapshot: format!("{VOLUME}@s0"),
    })?;
    catalog.commit()?;
    let deleted = milliseconds_since(began);
    let Replication {
        total_ms,
        longest_ms,
        bytes,
    } = replication;
    Ok(format!(
        "catalog, 1 TiB written in full ({EXTENTS} locations): {mib} MiB, opened in {opened:.0} ms; a cut committed in \
         {cut:.2} ms, a snapshot deleted in {deleted:.2} ms; a host replicates it in {total_ms:.0} ms, \
         {longest_ms:.2} ms at most at once, {} MiB on the wire\n",
        bytes >> 20
    ))
}

fn fill(dir: &Path) -> Result<(), RunError> {
    let mut catalog = open(dir)?;
    create_volume(&mut catalog)?;
    for extent in 0..EXTENTS {
        place_extent(&mut catalog, extent)?;
        if extent % BATCH == BATCH - 1 {
            catalog.commit()?;
        }
    }
    catalog.commit()?;
    Ok(())
}

/// What a host takes to read the whole tree.
struct Replication {
    total_ms: f64,
    /// The longest time for one message.
    longest_ms: f64,
    bytes: usize,
}

fn replicate(catalog: &Catalog) -> Result<Replication, RunError> {
    let lines = full_tree_messages(1, catalog.tree())
        .map(|message| serde_json::to_string(&message))
        .collect::<Result<Vec<String>, _>>()?;
    let mut replica = TreeReplica::default();
    let began = Instant::now();
    let mut longest_ms = 0.0f64;
    for line in &lines {
        let began = Instant::now();
        match serde_json::from_str(line)? {
            ToHost::FullTree { catalog_id, tree } => replica.begin_full_tree(catalog_id, *tree),
            ToHost::Locations { layer, locations } => {
                let _ = replica.add_locations(layer, &locations);
            }
            _ => drop(replica.finish_full_tree()),
        }
        longest_ms = longest_ms.max(milliseconds_since(began));
    }
    let bytes = lines.iter().map(String::len).sum();
    Ok(Replication {
        total_ms: milliseconds_since(began),
        longest_ms,
        bytes,
    })
}
