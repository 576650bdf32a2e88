//! Clients that keep commands in flight during a phase.
use super::{Options, VOLUME_BLOCKS};
use crate::blocking_client::{BlockingClient, ClientError};
use crate::error::RunError;
use hdrhistogram::Histogram;
use mallowseam_audit::block;
use mallowseam_iscsi::initiator::InitiatorEvent;
use mallowseam_iscsi::scsi::{self, status};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of blocks of one command: 4 KiB.
pub(crate) const BLOCKS: u32 = 8;
/// Fraction of commands that are writes.
const WRITE_FRACTION: f64 = 0.3;
/// Largest latency that histograms distinguish, in nanoseconds.
const MAX_LATENCY_NS: u64 = 60_000_000_000;
/// Significant decimal digits of latencies in histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// iSCSI target that clients log in to.
#[derive(Clone, Copy)]
pub(super) struct Target {
    pub(super) address: SocketAddr,
    pub(super) name: &'static str,
}

impl Target {
    pub(super) fn connect(&self, index: u32) -> Result<BlockingClient, ClientError> {
        BlockingClient::open(self.address, Some(self.name), index)
    }
}

/// Measurements of one phase.
pub(super) struct Phase {
    /// Commands that completed with status GOOD, per second.
    pub(super) rate: f64,
    /// Latencies of commands that completed with status GOOD, in nanoseconds.
    pub(super) latencies: Histogram<u64>,
    /// Number of commands that completed with another status.
    pub(super) rejected: u64,
}

/// Returns an empty histogram of latencies in nanoseconds, up to one minute.
pub(crate) fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_NS, HISTOGRAM_DIGITS)
        .expect("the histogram bounds are valid")
}

/// Runs a phase with `connections` connections and `depth` commands in flight on each.
pub(super) fn phase(
    target: Target,
    options: &Options,
    connections: u32,
    depth: usize,
    seconds: u64,
) -> Result<Phase, RunError> {
    let threads: Vec<_> = (0..connections)
        .map(|index| {
            let seed = options.seed + u64::from(index);
            std::thread::spawn(move || drive_connection(target, index, depth, seconds, seed))
        })
        .collect();
    let mut all = Phase {
        rate: 0.0,
        latencies: latency_histogram(),
        rejected: 0,
    };
    for thread in threads {
        let phase = thread
            .join()
            .map_err(|_| RunError::ThreadPanicked("client thread"))??;
        all.rate += phase.rate;
        all.rejected += phase.rejected;
        all.latencies
            .add(&phase.latencies)
            .expect("the histograms have the same bounds");
    }
    Ok(all)
}

fn drive_connection(
    target: Target,
    index: u32,
    depth: usize,
    seconds: u64,
    seed: u64,
) -> Result<Phase, RunError> {
    let mut connection = Connection {
        client: target.connect(index)?,
        rng: Pcg64Mcg::seed_from_u64(seed),
        sent_at: vec![None; depth],
        latencies: latency_histogram(),
        completed: 0,
        rejected: 0,
    };
    let began = Instant::now();
    let duration = Duration::from_secs(seconds);
    while began.elapsed() < duration {
        connection.fill();
        connection.exchange()?;
    }
    while connection.has_commands_in_flight() {
        connection.exchange()?;
    }
    Ok(Phase {
        rate: connection.completed as f64 / began.elapsed().as_secs_f64(),
        latencies: connection.latencies,
        rejected: connection.rejected,
    })
}

/// Connection of a phase, and the measurements of its commands.
struct Connection {
    client: BlockingClient,
    rng: Pcg64Mcg,
    /// Time at which the command with each tag was sent; `None` if no command with this tag is in flight.
    sent_at: Vec<Option<Instant>>,
    latencies: Histogram<u64>,
    completed: u64,
    rejected: u64,
}

impl Connection {
    fn has_commands_in_flight(&self) -> bool {
        self.sent_at.iter().any(Option::is_some)
    }

    /// Sends commands until all tags are in flight or the target's command window is full.
    fn fill(&mut self) {
        for tag in 0..self.sent_at.len() {
            if self.sent_at[tag].is_none() && self.client.conn.can_send() {
                self.send_random(tag as u32);
                self.sent_at[tag] = Some(Instant::now());
            }
        }
    }

    /// Sends a read or write of random blocks.
    fn send_random(&mut self, tag: u32) {
        let lba = self.rng.random_range(0..VOLUME_BLOCKS / u64::from(BLOCKS)) * u64::from(BLOCKS);
        let write = self.rng.random::<f64>() < WRITE_FRACTION;
        let write_id = write.then_some(self.completed + 1);
        send_command(&mut self.client, tag, lba, write_id);
    }

    fn exchange(&mut self) -> Result<(), RunError> {
        self.client.exchange()?;
        while let Some(event) = self.client.conn.next_event() {
            if let InitiatorEvent::CommandCompleted { tag, status, .. } = event {
                self.on_completed(tag, status);
            }
        }
        Ok(())
    }

    fn on_completed(&mut self, tag: u32, code: u8) {
        let Some(at) = self.sent_at[tag as usize].take() else {
            return;
        };
        if code == status::GOOD {
            self.latencies
                .saturating_record(at.elapsed().as_nanos() as u64);
            self.completed += 1;
        } else {
            self.rejected += 1;
        }
    }
}

/// Sends a read of [`BLOCKS`] blocks, or a write of them if there is a write id.
pub(crate) fn send_command(client: &mut BlockingClient, tag: u32, lba: u64, write_id: Option<u64>) {
    let cdb = scsi::read_or_write_16(write_id.is_some(), lba, BLOCKS, 0);
    let read_len = BLOCKS as usize * block::SIZE;
    match write_id {
        Some(id) => {
            let data = block::write(id, lba, BLOCKS);
            client.conn.send_command(tag, 0, &cdb, 0, data.into());
        }
        None => {
            client
                .conn
                .send_command(tag, 0, &cdb, read_len, Vec::new().into());
        }
    }
}
