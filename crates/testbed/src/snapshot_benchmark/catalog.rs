//! Measurements of the snapshot catalog alone, without sockets, at large sizes.
use crate::benchmark::median;
use crate::error::RunError;
use mallowseam_cow::messages::{ToHost, full_tree_messages};
use mallowseam_cow::tree::{Change, Location};
use mallowseam_cow::tree_replica::TreeReplica;
use mallowseam_snapshot_catalog::Catalog;
use std::path::Path;
use std::time::Instant;

/// Number of extents of a 1 TiB volume with extents of 1 MiB.
const EXTENTS: u32 = 1 << 20;
/// Number of nodes over which extents are placed.
const NODES: u32 = 6;
/// Number of extents written in the sparse volume.
const SPARSE_EXTENTS: u32 = 1_000;
/// Distance between two written extents of the sparse volume, in extents.
const SPARSE_STRIDE: u32 = 1_000;
/// Number of extents of the sparse volume that are written again after each snapshot.
const REWRITTEN_EXTENTS: u32 = 100;
/// Number of snapshots and of first writes of which the median is taken.
const SAMPLES: u32 = 20;
/// Number in the name of the first measured snapshot, above those of the other snapshots.
const FIRST_SAMPLE_NUMBER: u32 = 1_000_000;
/// Number of extents placed in one transaction.
const EXTENTS_PER_COMMIT: u32 = 65_536;
/// Name of the volume.
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
    let metadata = std::fs::metadata(store_path(dir))
        .map_err(RunError::io("store of the snapshot catalog"))?;
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

/// Stages the changes of a first write to an extent: allocates a slot in the head's layer and places the extent there.
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

/// Stages all changes of a snapshot: freezes the head, closes its layers at their nodes, and creates the snapshot.
fn stage_snapshot(catalog: &mut Catalog, number: u32) -> Result<(), RunError> {
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

/// Measures a volume of which a thousand extents are written, and a hundred of them again after each snapshot.
pub(super) fn measure_sparse(snapshots: u32) -> Result<String, RunError> {
    let dir = temporary_directory()?;
    let mut catalog = open(dir.path())?;
    create_volume(&mut catalog)?;
    (0..SPARSE_EXTENTS).try_for_each(|e| place_extent(&mut catalog, e * SPARSE_STRIDE))?;
    for s in 0..snapshots {
        stage_snapshot(&mut catalog, s)?;
        (0..REWRITTEN_EXTENTS)
            .try_for_each(|e| place_extent(&mut catalog, (e * 10 + s % 10) * SPARSE_STRIDE))?;
    }
    catalog.commit()?;
    let mut snapshot_times = Vec::new();
    let mut first_write_times = Vec::new();
    for s in 0..SAMPLES {
        let began = Instant::now();
        stage_snapshot(&mut catalog, FIRST_SAMPLE_NUMBER + s)?;
        catalog.commit()?;
        snapshot_times.push(milliseconds_since(began));
        let began = Instant::now();
        place_extent(&mut catalog, s * SPARSE_STRIDE)?;
        catalog.commit()?;
        first_write_times.push(milliseconds_since(began));
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
    let open_ms = milliseconds_since(began);
    let snapshot_ms = median(snapshot_times.into_iter());
    let first_write_ms = median(first_write_times.into_iter());
    Ok(format!(
        "catalog, 1 TiB sparse, {snapshots} snapshots: {locations} locations, {kib} KiB, opened in {open_ms:.1} ms; \
         committed: a cut in {snapshot_ms:.2} ms, a first write in {first_write_ms:.2} ms (medians of {SAMPLES})\n"
    ))
}

/// Measures a volume that is written in full: size and times of the catalog, and the time that a host takes to
/// replicate it.
pub(super) fn measure_full() -> Result<String, RunError> {
    let dir = temporary_directory()?;
    fill(dir.path())?;
    let mib = store_bytes(dir.path())? >> 20;
    let began = Instant::now();
    let mut catalog = open(dir.path())?;
    let open_ms = milliseconds_since(began);
    let began = Instant::now();
    stage_snapshot(&mut catalog, 0)?;
    catalog.commit()?;
    let snapshot_ms = milliseconds_since(began);
    let replication = replicate(&catalog)?;
    let began = Instant::now();
    catalog.stage(Change::SnapshotDeleted {
        snapshot: format!("{VOLUME}@s0"),
    })?;
    catalog.commit()?;
    let deletion_ms = milliseconds_since(began);
    let Replication {
        total_ms,
        longest_ms,
        bytes,
    } = replication;
    Ok(format!(
        "catalog, 1 TiB written in full ({EXTENTS} locations): {mib} MiB, opened in {open_ms:.0} ms; a cut committed \
         in {snapshot_ms:.2} ms, a snapshot deleted in {deletion_ms:.2} ms; a host replicates it in {total_ms:.0} ms, \
         {longest_ms:.2} ms at most at once, {} MiB on the wire\n",
        bytes >> 20
    ))
}

/// Places all extents of the volume.
fn fill(dir: &Path) -> Result<(), RunError> {
    let mut catalog = open(dir)?;
    create_volume(&mut catalog)?;
    for extent in 0..EXTENTS {
        place_extent(&mut catalog, extent)?;
        if extent % EXTENTS_PER_COMMIT == EXTENTS_PER_COMMIT - 1 {
            catalog.commit()?;
        }
    }
    catalog.commit()?;
    Ok(())
}

/// Cost of replicating the whole tree at a host.
struct Replication {
    total_ms: f64,
    /// Longest time for one message, in milliseconds.
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
