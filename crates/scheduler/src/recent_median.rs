//! The median of the most recent samples.

/// The most recent `N` samples and their median, which is 0 before the first sample.
pub(crate) struct RecentMedian<const N: usize> {
    samples: [f64; N],
    count: usize,
    median: f64,
}

impl<const N: usize> Default for RecentMedian<N> {
    fn default() -> Self {
        RecentMedian {
            samples: [0.0; N],
            count: 0,
            median: 0.0,
        }
    }
}

impl<const N: usize> RecentMedian<N> {
    /// Adds a sample, which replaces the oldest one once there are `N`.
    pub(crate) fn add(&mut self, sample: f64) {
        self.samples[self.count % N] = sample;
        self.count += 1;
        let mut sorted = self.samples;
        let kept = self.count.min(N);
        self.median = *sorted[..kept]
            .select_nth_unstable_by(kept / 2, f64::total_cmp)
            .1;
    }

    /// Returns the median of the retained samples.
    pub(crate) fn get(&self) -> f64 {
        self.median
    }
}
