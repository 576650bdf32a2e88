//! Digests recorded during each run, which show where a run starts to differ from the recorded one.
use std::fmt;

/// Number of events between two recorded digests.
pub const EVENTS_PER_CHECKPOINT: usize = 8;
/// Number of hexadecimal digits recorded of each digest (its lowest 16 bits).
const DIGITS: usize = 4;

/// The recorded digests of one run, in order of its events.
pub struct Checkpoints(&'static str);

/// The first checkpoint at which a run differs from the recorded one.
#[derive(Debug)]
pub struct Divergence {
    /// Number of events up to this checkpoint.
    events: usize,
    /// The recorded digest; `None` if the recorded run had ended.
    expected: Option<&'static str>,
    measured: String,
    /// Actions since the previous checkpoint, which matched the recorded one.
    actions: Vec<String>,
}

impl Checkpoints {
    /// Returns the recorded digests of the run with this seed.
    pub fn of_seed(seed: u64) -> Self {
        let mut lines = include_str!("checkpoints.txt").lines();
        let line = lines.nth(seed as usize);
        Checkpoints(line.expect("checkpoints.txt has a line for each seed"))
    }

    /// Returns the divergence, if the digest after this many events differs from the recorded one.
    pub fn compare(&self, events: usize, digest: u64, actions: Vec<String>) -> Option<Divergence> {
        let start = (events / EVENTS_PER_CHECKPOINT - 1) * DIGITS;
        let expected = self.0.get(start..start + DIGITS);
        let measured = format!("{:04x}", digest as u16);
        if expected == Some(measured.as_str()) {
            return None;
        }
        Some(Divergence {
            events,
            expected,
            measured,
            actions,
        })
    }
}

impl fmt::Display for Divergence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.events - EVENTS_PER_CHECKPOINT + 1;
        let expected = self.expected.unwrap_or("none (end of the recorded run)");
        writeln!(
            f,
            "differs in events {first} to {}: expected digest {expected}, measured {}; actions in these events:",
            self.events, self.measured
        )?;
        for action in &self.actions {
            writeln!(f, "  {action}")?;
        }
        Ok(())
    }
}
