//! A seeded random number generator and a digest, for tests that compare long runs with recorded values.

/// SplitMix64 (Steele, Lea, Flood 2014): the same sequence for the same seed on every machine.
pub struct SeededRng(u64);

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        SeededRng(seed)
    }

    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number in `0..bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    /// True once in `odds`.
    pub fn one_in(&mut self, odds: u64) -> bool {
        self.below(odds) == 0
    }

    pub fn pick<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }
}

/// FNV-1a over 64 bits.
pub struct Digest(u64);

impl Default for Digest {
    fn default() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }
}

impl Digest {
    pub fn add(&mut self, value: u64) {
        self.add_bytes(&value.to_le_bytes());
    }

    pub fn add_bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    /// A value that may be absent.
    pub fn add_option(&mut self, value: Option<u64>) {
        self.add(u64::from(value.is_some()));
        self.add(value.unwrap_or(0));
    }

    pub fn value(&self) -> u64 {
        self.0
    }
}

/// Runs a seeded scenario for each recorded value, seed 1 first, and compares all of them at once.
pub fn assert_pinned(recorded: &[u64], scenario: impl Fn(&mut SeededRng, &mut Digest)) {
    let run = |seed: u64| {
        let (mut rng, mut digest) = (SeededRng::new(seed), Digest::default());
        scenario(&mut rng, &mut digest);
        digest.value()
    };
    let measured: Vec<u64> = (1..=recorded.len() as u64).map(run).collect();
    let text: Vec<String> = measured.iter().map(|value| format!("{value:#018x}")).collect();
    assert!(measured == recorded, "decisions changed; measured:\n{}", text.join(",\n"));
}

/// Steps of the clock in milliseconds: mostly short, at times just short of one of `spans` or just on it, so that
/// limits are met from both sides.
pub fn step(rng: &mut SeededRng, spans: &[u64]) -> u64 {
    match rng.below(20) {
        0 => rng.pick(spans) - rng.below(2),
        1 => rng.below(500),
        _ => rng.below(3),
    }
}
