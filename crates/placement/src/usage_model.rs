use types::Resources;

use crate::{log_histogram::LogHistogram, moving_mean::MovingMean};

/// Number of observations that the declared processor time counts as.
const PRIOR_WEIGHT: f64 = 2.0;

/// Largest number of observations that the mean processor time counts as.
const MAX_WEIGHT: f64 = 128.0;

/// Fraction of tasks whose memory usage stays within the charge.
const MEMORY_QUANTILE: f64 = 0.95;

/// Number of observations from which on the learned quantile replaces the declared memory.
const MIN_OBSERVATIONS: u32 = 20;

/// Estimated resource usage of one kind.  Memory is charged at a high quantile because a worker
/// cannot reclaim it, processor time at the mean because tasks can share it, and accelerators
/// as declared because they are whole devices.
#[derive(Clone, Debug)]
pub(crate) struct UsageModel {
    declared: Resources,
    milli_cores: MovingMean,
    memory_mb: LogHistogram,
}

impl UsageModel {
    pub(crate) fn new(declared: Resources) -> Self {
        Self {
            declared,
            milli_cores: MovingMean::new(f64::from(declared.milli_cores), PRIOR_WEIGHT, MAX_WEIGHT),
            memory_mb: LogHistogram::new(),
        }
    }

    pub(crate) fn observe(&mut self, used: Resources) {
        self.milli_cores.observe(f64::from(used.milli_cores));
        self.memory_mb.observe(f64::from(used.memory_mb));
    }

    pub(crate) fn charge(&self) -> Resources {
        Resources {
            milli_cores: self.milli_cores.value().ceil() as u32,
            memory_mb: self.memory_mb(),
            accelerators: self.declared.accelerators,
        }
    }

    fn memory_mb(&self) -> u32 {
        match self.memory_mb.total() {
            0 => self.declared.memory_mb,
            n if n < MIN_OBSERVATIONS => {
                let highest = self.memory_mb.quantile(1.0).ceil() as u32;
                highest.max(self.declared.memory_mb)
            }
            _ => self.memory_mb.quantile(MEMORY_QUANTILE).ceil() as u32,
        }
    }
}
