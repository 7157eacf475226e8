const BUCKETS: usize = 64;
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Number of observations at which all counts are halved, so that older ones weigh less.
const MAX_TOTAL: u32 = 512;

/// Histogram of values from 1 to 2^16 with logarithmic buckets; recent values weigh more.
#[derive(Clone, Debug)]
pub(crate) struct LogHistogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl LogHistogram {
    pub(crate) fn new() -> Self {
        Self { counts: [0; BUCKETS], total: 0 }
    }

    pub(crate) fn total(&self) -> u32 {
        self.total
    }

    pub(crate) fn observe(&mut self, value: f64) {
        let bucket = (value.max(1.0).log2() * BUCKETS_PER_OCTAVE).ceil() as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1;
        self.total += 1;
        if self.total >= MAX_TOTAL {
            self.halve();
        }
    }

    /// Returns the upper bound of the bucket that contains a quantile; `fraction` is from 0 to 1.
    pub(crate) fn quantile(&self, fraction: f64) -> f64 {
        let rank = (f64::from(self.total) * fraction).ceil() as u32;
        let cumulative = self.counts.iter().scan(0, |sum, count| {
            *sum += count;
            Some(*sum)
        });
        let bucket = cumulative.take_while(|sum| *sum < rank).count();
        (bucket as f64 / BUCKETS_PER_OCTAVE).exp2()
    }

    fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2);
        self.total = self.counts.iter().sum();
    }
}
