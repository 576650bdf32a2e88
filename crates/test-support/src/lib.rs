//! What the tests of several packages share. A development dependency only: no program contains it.
//!
//! A pinned test feeds seeded random events to a package, adds all its decisions to a [`Digest`], and compares that
//! with a recorded value. Both are defined here and not taken from a library, whose next version could change the
//! numbers.
#![warn(missing_docs)]

/// Initial value of FNV-1a for 64 bits.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of FNV-1a for 64 bits.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A random number generator (`SplitMix64`: Steele, Lea, Flood 2014) with the same sequence for the same seed on every
/// machine.
#[derive(Clone, Debug)]
pub struct SeededRng(u64);

impl SeededRng {
    /// A generator for a seed.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        SeededRng(seed)
    }

    /// A number out of all of `u64`.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number in `0..bound`; 0 where the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next_u64() % bound.max(1)
    }

    /// True once in `odds` calls on average.
    pub fn one_in(&mut self, odds: u64) -> bool {
        self.below(odds) == 0
    }

    /// One of the choices, if there are any.
    pub fn choose<'a, T>(&mut self, choices: &'a [T]) -> Option<&'a T> {
        if choices.is_empty() {
            return None;
        }
        choices.get(self.below(choices.len() as u64) as usize)
    }

    /// One of the choices.
    ///
    /// # Panics
    /// There are no choices.
    pub fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        *self.choose(choices).expect("at least one choice")
    }
}

/// A digest of 64 bits (FNV-1a): cheap, simple, and the same on every machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(FNV_OFFSET_BASIS)
    }
}

impl Digest {
    /// Digest of a text alone, as 16 hexadecimal digits.
    #[must_use]
    pub fn of_text(text: &str) -> String {
        let mut digest = Digest::default();
        digest.add_bytes(text.as_bytes());
        format!("{:016x}", digest.value())
    }

    /// Adds bytes, without their number.
    pub fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }

    /// Adds a number as eight bytes, the lowest first.
    pub fn add(&mut self, value: u64) {
        self.add_bytes(&value.to_le_bytes());
    }

    /// Adds a number that may be absent.
    pub fn add_option(&mut self, value: Option<u64>) {
        self.add(u64::from(value.is_some()));
        self.add(value.unwrap_or(0));
    }

    /// The digest of all that was added.
    #[must_use]
    pub fn value(&self) -> u64 {
        self.0
    }
}

/// Runs a seeded scenario for each recorded value, seed 1 first, and compares all of them at once.
///
/// # Panics
/// A digest differs from the recorded one. The message lists all measured ones.
#[track_caller]
pub fn assert_pinned(recorded: &[u64], scenario: impl Fn(&mut SeededRng, &mut Digest)) {
    let run = |seed: u64| {
        let (mut rng, mut digest) = (SeededRng::new(seed), Digest::default());
        scenario(&mut rng, &mut digest);
        digest.value()
    };
    let measured: Vec<u64> = (1..=recorded.len() as u64).map(run).collect();
    let text: Vec<String> = measured
        .iter()
        .map(|value| format!("{value:#018x}"))
        .collect();
    assert!(
        measured == recorded,
        "decisions changed; measured:\n{}",
        text.join(",\n")
    );
}
