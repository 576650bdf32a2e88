//! Digests recorded in the course of each run, by which a run that departs is told where it does.
use std::fmt;

/// Events between two recorded digests.
pub const EVENTS_PER_CHECKPOINT: usize = 8;
/// Hexadecimal digits that are recorded of each digest: its lowest 16 bits.
const DIGITS: usize = 4;

/// The recorded digests of one run, in the order of its events.
pub struct Checkpoints(&'static str);

/// The first checkpoint at which a run differs from the recorded one.
#[derive(Debug)]
pub struct Departure {
    /// Events up to this checkpoint.
    events: usize,
    /// The recorded digest; none where the recorded run was over.
    expected: Option<&'static str>,
    measured: String,
    /// What the scheduler asked for since the checkpoint before, which was as recorded.
    actions: Vec<String>,
}

impl Checkpoints {
    /// The recorded digests of the run with this seed.
    pub fn of_seed(seed: u64) -> Self {
        let mut lines = include_str!("checkpoints.txt").lines();
        let line = lines.nth(seed as usize);
        Checkpoints(line.expect("a line for each seed"))
    }

    /// The departure, if the digest after so many events is not the recorded one.
    pub fn compare(&self, events: usize, digest: u64, actions: Vec<String>) -> Option<Departure> {
        let start = (events / EVENTS_PER_CHECKPOINT - 1) * DIGITS;
        let expected = self.0.get(start..start + DIGITS);
        let measured = format!("{:04x}", digest as u16);
        if expected == Some(measured.as_str()) {
            return None;
        }
        Some(Departure {
            events,
            expected,
            measured,
            actions,
        })
    }
}

impl fmt::Display for Departure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.events - EVENTS_PER_CHECKPOINT + 1;
        let expected = self.expected.unwrap_or("the end of the run");
        writeln!(
            f,
            "departs in events {first} to {}: digest {expected} expected, {} measured; actions there:",
            self.events, self.measured
        )?;
        for action in &self.actions {
            writeln!(f, "  {action}")?;
        }
        Ok(())
    }
}
