//! A catalog that aborts at each step of a day.
use crate::site::{Site, write};
use mallowseam_audit::block;
use mallowseam_iscsi::scsi;
use mallowseam_iscsi::scsi::status;
use mallowseam_testbed::blocking_client::BlockingClient;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Blocks of the volume that the day writes to.
const BLOCKS: usize = 64;
/// Threads that try steps beside each other.
const THREADS: usize = 32;
/// The error of a request whose answer was lost with the catalog contains one of these.
const LOST_ANSWERS: [&str; 4] = ["reset", "whole", "refused", "pipe"];

/// Per block the id of the last write that was acknowledged.
type Written = [u64; BLOCKS];

/// One volume's day with a catalog that aborts at a step, and is started again.
struct Day {
    step: u64,
    site: Site,
    client: BlockingClient,
    last_id: u64,
}

impl Day {
    fn start(step: u64) -> Day {
        let mut site = Site::with(1, Some(step));
        site.restart_crashed();
        let client = site.client(0);
        Day {
            step,
            site,
            client,
            last_id: 0,
        }
    }

    /// Writes eight blocks, again while the write is shed because the catalog is away: nothing was sent then.
    fn write(&mut self, lun: u32, lba: u64, written: &mut Written) {
        self.last_id += 1;
        let (step, id) = (self.step, self.last_id);
        let began = Instant::now();
        while write(&mut self.client, lun, id, lba, 8).status != status::GOOD {
            assert!(
                began.elapsed() < Duration::from_secs(20),
                "step {step}: write {id} never completes"
            );
            self.site.restart_crashed();
        }
        written[lba as usize..lba as usize + 8].fill(id);
    }

    /// Does what an operator does whose request came to nothing: looks at the list, and requests it again.
    fn request(&mut self, line: &str, entry: &str, listed_after: bool) {
        while let Err(why) = self.site.request(line) {
            let rejected = why.contains("in use") || why.contains("no such");
            let lost = LOST_ANSWERS.iter().any(|text| why.contains(text));
            assert!(rejected || lost, "step {}: {why}", self.step);
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
            .expect("listed");
        let lun = line
            .split("LUN ")
            .nth(1)
            .and_then(|rest| rest.split(' ').next()?.parse().ok());
        lun.expect("a LUN")
    }

    /// Reads a unit, once the host knows it and the catalog is back.
    fn read(&mut self, lun: u32) -> Vec<u64> {
        let began = Instant::now();
        loop {
            if let Some(ids) = try_read_ids(&mut self.client, lun) {
                return ids;
            }
            assert!(
                began.elapsed() < Duration::from_secs(30),
                "step {}: LUN {lun} never reads",
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
                "step {}: {found} locations",
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
        assert!(clean && code == 0, "{}: {text}", self.step);
    }
}

/// Plays a day in which the catalog aborts at a step: what was granted and acknowledged is there at the end, whatever
/// the operator had to request again. False: that step was never reached.
fn run_day_with_crash_at(step: u64) -> bool {
    let mut day = Day::start(step);
    let mut volume: Written = [0; BLOCKS];
    for lba in [0, 28, 40] {
        day.write(0, lba, &mut volume);
    }
    day.request("snapshot a m1", "a@m1", true);
    let first_snapshot = volume;
    for lba in [8, 32] {
        day.write(0, lba, &mut volume);
    }
    day.request("clone a@m1 c", "c  LUN", true);
    day.request("snapshot a m2", "a@m2", true);
    assert_ne!(volume, first_snapshot);
    day.write(0, 0, &mut volume);
    day.site.restart_crashed();
    let mut clone = first_snapshot;
    let clone_lun = day.lun("c");
    day.read(clone_lun);
    day.write(clone_lun, 28, &mut clone);
    day.request("delete a@m2", "a@m2", false);
    day.site.restart_crashed();
    let first_lun = day.lun("a@m1");
    assert!(!day.site.list().contains("a@m2"), "step {step}: deleted");
    for (lun, expected) in [(0, volume), (first_lun, first_snapshot), (clone_lun, clone)] {
        assert_eq!(day.read(lun), expected, "step {step}: LUN {lun}");
    }
    // Of the deleted snapshot, the volume still shows one extent and not the other.
    day.wait_for_locations(6);
    day.verify();
    day.site.crashes > 0
}

fn try_read_ids(client: &mut BlockingClient, lun: u32) -> Option<Vec<u64>> {
    let cdb = scsi::read_or_write_16(false, 0, BLOCKS as u32, 0);
    let answer = client
        .execute(lun, &cdb, BLOCKS * block::SIZE, vec![])
        .expect("an answer");
    let id = |(lba, bytes): (u64, &[u8])| block::read(bytes, lba).expect("a whole write");
    (answer.status == status::GOOD)
        .then(|| (0..).zip(answer.data.chunks(block::SIZE)).map(id).collect())
}

#[test]
fn catalog_crash_at_any_step_loses_nothing_and_leaks_nothing() {
    let next_step = AtomicU64::new(1);
    let reached = AtomicU64::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let step = next_step.fetch_add(1, Ordering::Relaxed);
                    if !run_day_with_crash_at(step) {
                        return;
                    }
                    reached.fetch_max(step, Ordering::Relaxed);
                }
            });
        }
    });
    assert!(reached.load(Ordering::Relaxed) > 30, "{reached:?} steps");
}
