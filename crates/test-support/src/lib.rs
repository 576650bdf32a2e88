//! Utilities for the tests of several packages. This package is a development dependency only, so that no program contains
//! it.
//!
//! A pinned test feeds seeded random events to the code under test, adds all its decisions to a [`Digest`], and compares
//! the result with a recorded value. The generator and the digest are implemented here, since a new version of a library
//! could change their output.
#![warn(missing_docs)]

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A pseudorandom number generator (`SplitMix64`: Steele, Lea, Flood 2014) whose sequence for a seed is the same on every
/// machine.
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    /// Creates a generator from a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        SeededRng(seed)
    }

    /// Returns a number from the full range of `u64`.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number in `0..bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    /// Returns true with a probability of 1/`odds`.
    pub fn one_in(&mut self, odds: u64) -> bool {
        self.below(odds) == 0
    }

    /// Returns one of the choices, or `None` if there are none.
    pub fn choose<'a, T>(&mut self, choices: &'a [T]) -> Option<&'a T> {
        if choices.is_empty() {
            return None;
        }
        choices.get(self.below(choices.len() as u64) as usize)
    }

    /// Returns one of the choices.
    ///
    /// # Panics
    /// Panics if there are no choices.
    pub fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        *self.choose(choices).expect("at least one choice")
    }
}

/// A 64-bit FNV-1a digest, whose value is the same on every machine. It is not cryptographically secure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(FNV_OFFSET_BASIS)
    }
}

impl Digest {
    /// Returns the digest of a text as 16 hexadecimal digits.
    #[must_use]
    pub fn of_text(text: &str) -> String {
        let mut digest = Digest::default();
        digest.add_bytes(text.as_bytes());
        format!("{:016x}", digest.value())
    }

    /// Adds bytes. Their number is not added, so that consecutive calls are equal to one call with all bytes.
    pub fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Adds a number as eight bytes in little-endian order.
    pub fn add(&mut self, value: u64) {
        self.add_bytes(&value.to_le_bytes());
    }

    /// Adds an optional number, so that `None` differs from every number.
    pub fn add_option(&mut self, value: Option<u64>) {
        self.add(u64::from(value.is_some()));
        self.add(value.unwrap_or(0));
    }

    /// Returns the digest of all data added so far.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.0
    }
}

/// Runs a scenario once per recorded digest, with seeds from 1 in order, and asserts that each digest is the recorded one.
///
/// # Panics
/// Panics if a digest differs from the recorded one. The message lists the actual digests of all seeds.
#[track_caller]
pub fn assert_pinned(recorded: &[u64], scenario: impl Fn(&mut SeededRng, &mut Digest)) {
    let run = |seed: u64| {
        let (mut rng, mut digest) = (SeededRng::new(seed), Digest::default());
        scenario(&mut rng, &mut digest);
        digest.value()
    };
    let actual: Vec<u64> = (1..=recorded.len() as u64).map(run).collect();
    let text: Vec<String> = actual
        .iter()
        .map(|value| format!("{value:#018x}"))
        .collect();
    assert!(
        actual == recorded,
        "digests differ from the recorded ones; actual digests:\n{}",
        text.join(",\n")
    );
}
