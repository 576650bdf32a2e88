//! Reads snapshots and clones back at the end of a rehearsal, writes to the clones, and reads all again.
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

/// Number of the client that reads back, which no client of the load has.
const CLIENT_INDEX: u32 = 900;
/// Ids of what is written to clones, which no client uses.
const CLONE_WRITE_IDS: u64 = 1 << 48;
const IDS_PER_CLONE: u64 = 100;
/// Writes to each clone, the blocks of each, and the distance between them.
const CLONE_WRITES: u64 = 8;
const CLONE_WRITE_BLOCKS: u32 = 8;
const CLONE_WRITE_STRIDE: u64 = 200;
const WRITE_ATTEMPTS: u32 = 20;
/// Blocks of one read, how often it is tried, and the pause between.
const READ_BLOCKS: u64 = 256;
const READ_ATTEMPTS: u32 = 50;
const READ_PAUSE: Duration = Duration::from_millis(50);

/// Per block the id of the write it shows.
type Shown = Vec<Option<u64>>;

/// A snapshot that was read once.
struct SnapshotUnit {
    request: CatalogRequest,
    name: String,
    lun: u32,
}

/// A clone that was read once.
struct CloneUnit {
    name: String,
    snapshot: String,
    lun: u32,
    shown: Shown,
}

/// What was read before anything was written to clones.
#[derive(Default)]
struct FirstReading {
    snapshots: Vec<SnapshotUnit>,
    clones: Vec<CloneUnit>,
    /// What each snapshot showed, by its name.
    shown: BTreeMap<String, Shown>,
}

impl Rehearsal<'_> {
    /// Reads every snapshot and clone back, and fills the layout with the catalog's extent locations.
    pub(super) fn read_back(&mut self, layout: &mut Layout) -> SnapshotReport {
        self.join_requesters();
        let mut report = SnapshotReport::default();
        let mut client =
            match BlockingClient::open(self.host_addresses[0], Some(TARGET), CLIENT_INDEX) {
                Ok(client) => client,
                Err(e) => {
                    self.failures.push(format!("reading back: {e}"));
                    return report;
                }
            };
        match self.catalog_tree() {
            Ok(tree) => self.locate_extents(&tree, layout),
            Err(e) => self.failures.push(format!("the catalog's tree: {e}")),
        }
        let FirstReading {
            snapshots,
            clones,
            shown,
        } = self.read_first(&mut client, &mut report);
        for (number, clone) in (0..).zip(&clones) {
            check_clone(&mut client, number, clone, &shown, &mut report);
        }
        for snapshot in snapshots {
            self.read_again(&mut client, snapshot, &shown, &mut report);
        }
        client.conn.send_logout_request();
        // The session ends in either way.
        let _ = client.flush();
        report
    }

    /// Reads every snapshot and clone once.
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
                Err(CatalogRefusal(why)) => {
                    report.refused.push(format!("{name}: {why}"));
                    continue;
                }
            };
            let shown = match read_unit(client, lun, self.block_count(request.change.volume())) {
                Ok(shown) => shown,
                Err(e) => {
                    self.failures.push(format!("reading {name} back: {e}"));
                    continue;
                }
            };
            if let CatalogChange::Clone { snapshot, .. } = &request.change {
                reading.clones.push(CloneUnit {
                    name,
                    snapshot: snapshot.clone(),
                    lun,
                    shown,
                });
            } else {
                report
                    .grant_ms
                    .push((request.answered_at - request.requested_at) / 1000);
                reading.shown.insert(name.clone(), shown);
                reading.snapshots.push(SnapshotUnit { request, name, lun });
            }
        }
        reading
    }

    fn catalog_tree(&self) -> Result<Tree, RunError> {
        let text = send_request(&self.dir.join("catalog.sock"), "tree")?;
        Ok(serde_json::from_str(&text)?)
    }

    /// Where the extents of mapped volumes are, in their heads and snapshots.
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
                        let place = (volume, u64::from(*extent));
                        mapped_volumes.locations.insert(key, place);
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

    /// What a snapshot shows stays the same, whatever its clones write; the second reading is what is judged.
    fn read_again(
        &mut self,
        client: &mut BlockingClient,
        snapshot: SnapshotUnit,
        first_reading: &BTreeMap<String, Shown>,
        report: &mut SnapshotReport,
    ) {
        let SnapshotUnit { request, name, lun } = snapshot;
        let volume = request.change.volume();
        let blocks = match read_unit(client, lun, self.block_count(volume)) {
            Ok(blocks) => blocks,
            Err(e) => return self.failures.push(format!("reading {name} again: {e}")),
        };
        if first_reading.get(&name) != Some(&blocks) {
            report.wrong_clones.push(format!("{name} has changed"));
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

/// A clone shows its snapshot, then its own writes and nobody else's.
fn check_clone(
    client: &mut BlockingClient,
    number: u64,
    clone: &CloneUnit,
    first_reading: &BTreeMap<String, Shown>,
    report: &mut SnapshotReport,
) {
    report.clones += 1;
    let mut expected = first_reading
        .get(&clone.snapshot)
        .cloned()
        .unwrap_or_default();
    let mut wrong = (clone.shown != expected).then(|| "does not show its snapshot".to_owned());
    for i in 0..CLONE_WRITES {
        let id = CLONE_WRITE_IDS + number * IDS_PER_CLONE + i;
        let lba = i * CLONE_WRITE_STRIDE;
        match write_clone(client, clone.lun, id, lba) {
            Ok(status::GOOD) => {
                expected[lba as usize..lba as usize + CLONE_WRITE_BLOCKS as usize].fill(Some(id));
            }
            answer => wrong = wrong.or_else(|| Some(format!("takes no write: {answer:?}"))),
        }
    }
    match read_unit(client, clone.lun, expected.len() as u64) {
        Ok(shown) if shown == expected => {}
        Ok(_) => wrong = wrong.or_else(|| Some("does not show its own writes alone".into())),
        Err(e) => wrong = wrong.or_else(|| Some(e.to_string())),
    }
    match wrong {
        Some(why) => report.wrong_clones.push(format!("{}: {why}", clone.name)),
        None => report.isolated_clones += 1,
    }
}

/// Writes to a clone, and again where it is shed; the last status.
fn write_clone(
    client: &mut BlockingClient,
    lun: u32,
    id: u64,
    lba: u64,
) -> Result<u8, ClientError> {
    let cdb = read_or_write_16(true, lba, CLONE_WRITE_BLOCKS, EXTENT_COPY_GROUP);
    let mut write = || client.execute(lun, &cdb, 0, block::write(id, lba, CLONE_WRITE_BLOCKS));
    let mut answer = write();
    for _ in 1..WRITE_ATTEMPTS {
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

/// Which write each block of a unit shows. Shed reads are tried again for a while.
fn read_unit(client: &mut BlockingClient, lun: u32, blocks: u64) -> Result<Shown, RunError> {
    let mut shown = Shown::new();
    let mut lba = 0;
    while lba < blocks {
        let count = (blocks - lba).min(READ_BLOCKS) as u32;
        let data = read_blocks(client, lun, lba, count)?;
        shown.extend(
            data.chunks(block::SIZE)
                .zip(lba..)
                .map(|(b, at)| block::read(b, at)),
        );
        lba += u64::from(count);
    }
    Ok(shown)
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
        std::thread::sleep(READ_PAUSE);
        if attempt == READ_ATTEMPTS {
            return Err(RunError::CommandFailed { status, sense });
        }
        attempt += 1;
    }
}
