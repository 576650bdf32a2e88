//! Snapshot catalog that aborts at one step of its work and is started again, for each step in turn. Guards against
//! lost or repeated changes and leaked slots after a crash between two steps.
use crate::site::{Site, write};
use mallowseam_audit::block;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::scsi::status;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Number of blocks of the volume that are written to.
const BLOCKS: usize = 64;
/// Number of threads, each of which tests one step at a time.
const THREADS: usize = 32;
/// Parts of error texts of requests whose answer was lost because the catalog aborted.
const LOST_ANSWER_ERRORS: [&str; 4] =
    ["reset", "before the answer was complete", "refused", "pipe"];

/// Id of the last acknowledged write to each block.
type AcknowledgedIds = [u64; BLOCKS];

/// Run with a catalog that aborts at one step and is started again.
struct CrashRun {
    step: u64,
    site: Site,
    client: BlockingClient,
    last_id: u64,
}

impl CrashRun {
    fn start(step: u64) -> CrashRun {
        let mut site = Site::with(1, Some(step));
        site.restart_crashed();
        let client = site.client(0);
        CrashRun {
            step,
            site,
            client,
            last_id: 0,
        }
    }

    /// Writes eight blocks, and repeats the write while it is shed because the catalog does not run. A shed write was
    /// not sent to a node.
    fn write(&mut self, lun: u32, lba: u64, acknowledged: &mut AcknowledgedIds) {
        self.last_id += 1;
        let (step, id) = (self.step, self.last_id);
        let began = Instant::now();
        while write(&mut self.client, lun, id, lba, 8).status != status::GOOD {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "step {step}: write {id} did not complete within 20 s"
            );
            self.site.restart_crashed();
        }
        acknowledged[lba as usize..lba as usize + 8].fill(id);
    }

    /// Sends a request and, like an operator whose request failed, checks the catalog's list and repeats the request
    /// unless the list shows that it was carried out.
    fn request(&mut self, line: &str, entry: &str, listed_after: bool) {
        while let Err(error) = self.site.request(line) {
            let rejected = error.contains("in use") || error.contains("no such");
            let lost = LOST_ANSWER_ERRORS.iter().any(|text| error.contains(text));
            assert!(rejected || lost, "step {}: {error}", self.step);
            if self.site.list().contains(entry) == listed_after {
                return;
            }
        }
    }

    fn lun(&mut self, name: &str) -> u32 {
        let list = self.site.list();
        let line = list
            .lines()
            .find(|line| line.starts_with(&format!("{name} ")))
            .expect("name is not in the catalog's list");
        let lun = line
            .split("LUN ")
            .nth(1)
            .and_then(|rest| rest.split(' ').next()?.parse().ok());
        lun.expect("no LUN in the entry of the list")
    }

    /// Reads a logical unit, with retries until the host knows the unit and the catalog runs.
    fn read(&mut self, lun: u32) -> Vec<u64> {
        let began = Instant::now();
        loop {
            if let Some(ids) = try_read_ids(&mut self.client, lun) {
                return ids;
            }
            assert!(
                began.elapsed() < Duration::from_secs(30),
                "step {}: LUN {lun} could not be read within 30 s",
                self.step
            );
            self.site.restart_crashed();
        }
    }

    fn wait_for_locations(&mut self, count: usize) {
        let began = Instant::now();
        while self.site.location_count() != count {
            let found = self.site.location_count();
            assert!(
                began.elapsed() < Duration::from_secs(30),
                "step {}: {found} extent locations",
                self.step
            );
            std::thread::sleep(Duration::from_millis(20));
            self.site.restart_crashed();
        }
    }

    fn verify(&mut self) {
        self.site.kill_catalog();
        let (code, text) = self.site.run(&["verify"], &[]);
        let clean = text.contains("places 6, of which hold data 6; leaked 0; faults 0");
        assert!(clean && code == 0, "step {}: {text}", self.step);
    }
}

/// Takes snapshots, makes and deletes clones while the catalog aborts at a step, and checks that all that was granted
/// and acknowledged exists at the end, whichever requests had to be repeated. Returns whether the catalog reached the
/// step.
fn run_day_with_crash_at(step: u64) -> bool {
    let mut run = CrashRun::start(step);
    let mut volume: AcknowledgedIds = [0; BLOCKS];
    for lba in [0, 28, 40] {
        run.write(0, lba, &mut volume);
    }
    run.request("snapshot a m1", "a@m1", true);
    let first_snapshot = volume;
    for lba in [8, 32] {
        run.write(0, lba, &mut volume);
    }
    run.request("clone a@m1 c", "c  LUN", true);
    run.request("snapshot a m2", "a@m2", true);
    assert_ne!(volume, first_snapshot);
    run.write(0, 0, &mut volume);
    run.site.restart_crashed();
    let mut clone = first_snapshot;
    let clone_lun = run.lun("c");
    run.read(clone_lun);
    run.write(clone_lun, 28, &mut clone);
    run.request("delete a@m2", "a@m2", false);
    run.site.restart_crashed();
    let first_lun = run.lun("a@m1");
    assert!(
        !run.site.list().contains("a@m2"),
        "step {step}: deleted snapshot is listed"
    );
    for (lun, expected) in [(0, volume), (first_lun, first_snapshot), (clone_lun, clone)] {
        assert_eq!(run.read(lun), expected, "step {step}: LUN {lun}");
    }
    // Of the two extents in the deleted snapshot's layer, the volume still shows one; the other is reclaimed.
    run.wait_for_locations(6);
    run.verify();
    run.site.crashes > 0
}

fn try_read_ids(client: &mut BlockingClient, lun: u32) -> Option<Vec<u64>> {
    let cdb = scsi::read_or_write_16(false, 0, BLOCKS as u32, 0);
    let answer = client
        .execute(lun, &cdb, BLOCKS * block::SIZE, vec![])
        .expect("no answer to the request");
    let id = |(lba, bytes): (u64, &[u8])| block::read(bytes, lba).expect("block is corrupt");
    (answer.status == status::GOOD)
        .then(|| (0..).zip(answer.data.chunks(block::SIZE)).map(id).collect())
}

#[test]
fn catalog_crash_at_any_step_loses_nothing_and_leaks_nothing() {
    let next_step = AtomicU64::new(1);
    let last_reached = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let step = next_step.fetch_add(1, Ordering::Relaxed);
                    if !run_day_with_crash_at(step) {
                        return;
                    }
                    last_reached.fetch_max(step, Ordering::Relaxed);
                }
            });
        }
    });
    assert!(
        last_reached.load(Ordering::Relaxed) > 30,
        "only {last_reached:?} steps were reached"
    );
}
