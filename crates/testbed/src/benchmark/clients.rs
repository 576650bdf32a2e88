//! Clients that keep commands in flight for the seconds of a phase.
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

/// Blocks of one command: 4 KiB.
const BLOCKS: u32 = 8;
/// Part of the commands that write.
const WRITE_FRACTION: f64 = 0.3;
/// Largest latency of the histogram in nanoseconds, and its significant digits.
const MAX_LATENCY_NS: u64 = 60_000_000_000;
const HISTOGRAM_DIGITS: u8 = 3;

/// A target that clients log in to.
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

/// What one phase measured.
pub(super) struct Phase {
    /// Commands a second that completed well.
    pub(super) rate: f64,
    /// Their latencies in nanoseconds.
    pub(super) latencies: Histogram<u64>,
    pub(super) rejected: u64,
}

/// Latencies in nanoseconds, up to a minute.
pub(crate) fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_NS, HISTOGRAM_DIGITS).expect("the bounds are sound")
}

/// Runs a phase with this many connections and commands in flight on each.
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
        let phase = thread.join().map_err(|_| RunError::Thread("a client"))??;
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
    let mut client = target.connect(index)?;
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    // When the command of each tag was sent.
    let mut sent_at: Vec<Option<Instant>> = vec![None; depth];
    let mut latencies = latency_histogram();
    let (mut completed, mut rejected) = (0u64, 0);
    let began = Instant::now();
    let duration = Duration::from_secs(seconds);
    loop {
        let over = began.elapsed() >= duration;
        for (tag, slot) in sent_at.iter_mut().enumerate() {
            if slot.is_none() && !over && client.conn.can_send() {
                send_random(&mut client, tag as u32, completed + 1, &mut rng);
                *slot = Some(Instant::now());
            }
        }
        if over && sent_at.iter().all(Option::is_none) {
            break;
        }
        client.exchange()?;
        while let Some(event) = client.conn.next_event() {
            let InitiatorEvent::CommandCompleted {
                tag, status: code, ..
            } = event
            else {
                continue;
            };
            let Some(at) = sent_at[tag as usize].take() else {
                continue;
            };
            if code == status::GOOD {
                latencies.saturating_record(at.elapsed().as_nanos() as u64);
                completed += 1;
            } else {
                rejected += 1;
            }
        }
    }
    Ok(Phase {
        rate: completed as f64 / began.elapsed().as_secs_f64(),
        latencies,
        rejected,
    })
}

/// Sends a read, or a write of an id, of random blocks.
fn send_random(client: &mut BlockingClient, tag: u32, write_id: u64, rng: &mut Pcg64Mcg) {
    let lba = rng.random_range(0..VOLUME_BLOCKS / u64::from(BLOCKS)) * u64::from(BLOCKS);
    let write = rng.random::<f64>() < WRITE_FRACTION;
    let data = if write {
        block::write(write_id, lba, BLOCKS)
    } else {
        Vec::new()
    };
    let read_len = if write {
        0
    } else {
        BLOCKS as usize * block::SIZE
    };
    let cdb = scsi::read_or_write_16(write, lba, BLOCKS, 0);
    client
        .conn
        .send_command(tag, 0, &cdb, read_len, data.into());
}
