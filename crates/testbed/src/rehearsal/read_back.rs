//! Check of snapshots and clones at the end of a rehearsal: reads them, writes to the clones, and reads all of them
//! again.
use super::snapshots::{CatalogChange, CatalogRefusal, CatalogRequest};
use super::{Rehearsal, SnapshotReport, TARGET};
use crate::blocking_client::{Answer, BlockingClient, ClientError};
use crate::error::RunError;
use mallowseam_audit::block;
use mallowseam_audit::rehearsal::{EXTENT_COPY_GROUP, Layout, MappedVolumes};
use mallowseam_audit::trace::TraceEvent;
use mallowseam_control_protocol::send_request;
use mallowseam_cow::tree::Tree;
use mallowseam_iscsi::scsi::{read_or_write_16, status};
use std::collections::{BTreeMap, HashMap};
use std::sync::PoisonError;
use std::time::Duration;

/// Index of the client that reads back, distinct from those of the load's clients.
const CLIENT_INDEX: u32 = 900;
/// First id of writes to clones, above the ids of the load's writes.
const FIRST_CLONE_WRITE_ID: u64 = 1 << 48;
/// Number of write ids reserved for each clone.
const IDS_PER_CLONE: u64 = 100;
/// Number of writes to each clone.
const CLONE_WRITES: u64 = 8;
/// Blocks of each write to a clone.
const CLONE_WRITE_BLOCKS: u32 = 8;
/// Distance between the first blocks of two writes to a clone, in blocks.
const CLONE_WRITE_STRIDE: u64 = 200;
/// Maximum number of attempts at a write.
const MAX_WRITE_ATTEMPTS: u32 = 20;
/// Maximum number of blocks of one read.
const MAX_READ_BLOCKS: u64 = 256;
/// Maximum number of attempts at a read.
const MAX_READ_ATTEMPTS: u32 = 50;
/// Pause between two attempts at a read.
const READ_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Id of the write that each block shows: 0 for a block that was never written, `None` for a corrupt block.
type WriteIds = Vec<Option<u64>>;

/// Snapshot that was read once.
struct SnapshotUnit {
    request: CatalogRequest,
    name: String,
    lun: u32,
}

/// Clone that was read once, before any write to a clone.
struct CloneUnit {
    name: String,
    snapshot: String,
    lun: u32,
    write_ids: WriteIds,
}

/// Contents of snapshots and clones before any write to a clone.
#[derive(Default)]
struct FirstReading {
    snapshots: Vec<SnapshotUnit>,
    clones: Vec<CloneUnit>,
    /// Contents of each snapshot, by its name.
    snapshot_ids: BTreeMap<String, WriteIds>,
}

impl Rehearsal<'_> {
    /// Reads every snapshot and clone back, and adds the catalog's extent locations to the layout.
    pub(super) fn read_back(&mut self, layout: &mut Layout) -> SnapshotReport {
        self.join_request_threads();
        let mut report = SnapshotReport::default();
        let mut client =
            match BlockingClient::open(self.host_addresses[0], Some(TARGET), CLIENT_INDEX) {
                Ok(client) => client,
                Err(e) => {
                    self.failures.push(format!(
                        "cannot log in to read snapshots and clones back: {e}"
                    ));
                    return report;
                }
            };
        match self.catalog_tree() {
            Ok(tree) => self.locate_extents(&tree, layout),
            Err(e) => self
                .failures
                .push(format!("cannot read the tree of the snapshot catalog: {e}")),
        }
        let FirstReading {
            snapshots,
            clones,
            snapshot_ids,
        } = self.read_first(&mut client, &mut report);
        for (number, clone) in (0..).zip(&clones) {
            check_clone(&mut client, number, clone, &snapshot_ids, &mut report);
        }
        for snapshot in snapshots {
            self.read_again(&mut client, snapshot, &snapshot_ids, &mut report);
        }
        client.conn.send_logout_request();
        // The session ends whether the logout request is sent or not.
        let _ = client.flush();
        report
    }

    /// Reads every snapshot and clone for the first time.
    fn read_first(
        &mut self,
        client: &mut BlockingClient,
        report: &mut SnapshotReport,
    ) -> FirstReading {
        let mut reading = FirstReading::default();
        for request in self.take_catalog_requests() {
            let name = request.change.listed_name();
            let lun = match &request.lun {
                Ok(lun) => *lun,
                Err(CatalogRefusal(reason)) => {
                    report.refused.push(format!("{name}: {reason}"));
                    continue;
                }
            };
            let write_ids = match read_unit(client, lun, self.block_count(request.change.volume()))
            {
                Ok(write_ids) => write_ids,
                Err(e) => {
                    self.failures.push(format!("cannot read {name} back: {e}"));
                    continue;
                }
            };
            if let CatalogChange::Clone { snapshot, .. } = &request.change {
                reading.clones.push(CloneUnit {
                    name,
                    snapshot: snapshot.clone(),
                    lun,
                    write_ids,
                });
            } else {
                report
                    .grant_ms
                    .push((request.answered_at - request.requested_at) / 1000);
                reading.snapshot_ids.insert(name.clone(), write_ids);
                reading.snapshots.push(SnapshotUnit { request, name, lun });
            }
        }
        reading
    }

    fn catalog_tree(&self) -> Result<Tree, RunError> {
        let text = send_request(&self.dir.join("catalog.sock"), "tree")?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Adds the locations of mapped volumes' extents, in their heads and snapshots, to the layout.
    fn locate_extents(&self, tree: &Tree, layout: &mut Layout) {
        let catalog = self.scenario.catalog.as_ref();
        let mut mapped_volumes = MappedVolumes {
            extent_blocks: catalog.map_or(1, |catalog| catalog.extent),
            locations: HashMap::new(),
        };
        for (volume, mapped) in self
            .config
            .volumes
            .iter()
            .enumerate()
            .filter(|v| v.1.mapped)
        {
            let head = tree.branches.get(&mapped.name).map(|branch| branch.head);
            let snapshots = tree
                .snapshots
                .values()
                .filter(|s| s.branch == mapped.name)
                .map(|s| s.layer);
            for root in head.into_iter().chain(snapshots) {
                for (layer_id, layer) in tree.ancestors(root) {
                    for (extent, location) in &layer.locations {
                        let key = (layer_id, location.node, u64::from(location.slot));
                        let volume_extent = (volume, u64::from(*extent));
                        mapped_volumes.locations.insert(key, volume_extent);
                    }
                }
            }
        }
        layout.mapped = Some(mapped_volumes);
    }

    fn take_catalog_requests(&self) -> Vec<CatalogRequest> {
        std::mem::take(
            &mut *self
                .catalog_requests
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }

    fn block_count(&self, volume: &str) -> u64 {
        self.config
            .volumes
            .iter()
            .find(|v| v.name == volume)
            .map_or(0, |v| v.block_count)
    }

    /// Reads a snapshot a second time, after the writes to its clones, and compares it with the first reading. The
    /// audit checks the second reading.
    fn read_again(
        &mut self,
        client: &mut BlockingClient,
        snapshot: SnapshotUnit,
        first_reading: &BTreeMap<String, WriteIds>,
        report: &mut SnapshotReport,
    ) {
        let SnapshotUnit { request, name, lun } = snapshot;
        let volume = request.change.volume();
        let blocks = match read_unit(client, lun, self.block_count(volume)) {
            Ok(blocks) => blocks,
            Err(e) => return self.failures.push(format!("cannot read {name} again: {e}")),
        };
        if first_reading.get(&name) != Some(&blocks) {
            report.wrong_clones.push(format!(
                "snapshot {name} has changed after writes to clones"
            ));
        }
        let volume = self
            .config
            .volumes
            .iter()
            .position(|v| v.name == volume)
            .unwrap_or(0) as u32;
        let requested_at = request.requested_at;
        let event = TraceEvent::SnapshotRead {
            volume,
            name,
            requested_at,
            blocks,
        };
        self.trace.record_at(request.answered_at, event);
    }
}

/// Checks that a clone shows its snapshot, and after writes to it the snapshot and its own writes alone.
fn check_clone(
    client: &mut BlockingClient,
    number: u64,
    clone: &CloneUnit,
    first_reading: &BTreeMap<String, WriteIds>,
    report: &mut SnapshotReport,
) {
    report.clones += 1;
    let mut expected = first_reading
        .get(&clone.snapshot)
        .cloned()
        .unwrap_or_default();
    let mut problem = (clone.write_ids != expected)
        .then(|| "does not show the contents of its snapshot".to_owned());
    for i in 0..CLONE_WRITES {
        let id = FIRST_CLONE_WRITE_ID + number * IDS_PER_CLONE + i;
        let lba = i * CLONE_WRITE_STRIDE;
        match write_clone(client, clone.lun, id, lba) {
            Ok(status::GOOD) => {
                expected[lba as usize..lba as usize + CLONE_WRITE_BLOCKS as usize].fill(Some(id));
            }
            answer => problem = problem.or_else(|| Some(format!("rejects a write: {answer:?}"))),
        }
    }
    match read_unit(client, clone.lun, expected.len() as u64) {
        Ok(write_ids) if write_ids == expected => {}
        Ok(_) => problem = problem.or_else(|| Some("wrong contents after own writes".into())),
        Err(e) => problem = problem.or_else(|| Some(e.to_string())),
    }
    match problem {
        Some(problem) => report
            .wrong_clones
            .push(format!("{}: {problem}", clone.name)),
        None => report.isolated_clones += 1,
    }
}

/// Writes to a clone, with retries while the write fails, and returns the last status.
fn write_clone(
    client: &mut BlockingClient,
    lun: u32,
    id: u64,
    lba: u64,
) -> Result<u8, ClientError> {
    let cdb = read_or_write_16(true, lba, CLONE_WRITE_BLOCKS, EXTENT_COPY_GROUP);
    let mut write = || client.execute(lun, &cdb, 0, block::write(id, lba, CLONE_WRITE_BLOCKS));
    let mut answer = write();
    for _ in 1..MAX_WRITE_ATTEMPTS {
        if answer
            .as_ref()
            .is_ok_and(|answer| answer.status == status::GOOD)
        {
            break;
        }
        answer = write();
    }
    answer.map(|answer| answer.status)
}

/// Reads a whole logical unit and returns the id of the last write to each block. Failed reads are retried.
fn read_unit(client: &mut BlockingClient, lun: u32, blocks: u64) -> Result<WriteIds, RunError> {
    let mut write_ids = WriteIds::new();
    let mut lba = 0;
    while lba < blocks {
        let count = (blocks - lba).min(MAX_READ_BLOCKS) as u32;
        let data = read_blocks(client, lun, lba, count)?;
        write_ids.extend(
            data.chunks(block::SIZE)
                .zip(lba..)
                .map(|(b, at)| block::read(b, at)),
        );
        lba += u64::from(count);
    }
    Ok(write_ids)
}

fn read_blocks(
    client: &mut BlockingClient,
    lun: u32,
    lba: u64,
    count: u32,
) -> Result<Vec<u8>, RunError> {
    let cdb = read_or_write_16(false, lba, count, EXTENT_COPY_GROUP);
    let mut attempt = 1;
    loop {
        let Answer {
            status,
            sense,
            data,
            ..
        } = client.execute(lun, &cdb, count as usize * block::SIZE, Vec::new())?;
        if status == status::GOOD {
            return Ok(data);
        }
        std::thread::sleep(READ_RETRY_PAUSE);
        if attempt == MAX_READ_ATTEMPTS {
            return Err(RunError::CommandFailed { status, sense });
        }
        attempt += 1;
    }
}
