crate::settings! {
    /// An amount of a worker's resources.
    #[derive(Copy, Eq, Default)]
    pub struct Resources {
        /// Processor time in thousandths of a core.
        #[serde(default)]
        pub milli_cores: u32,
        /// Memory in MiB.
        #[serde(default)]
        pub memory_mb: u32,
        /// Number of accelerators.
        #[serde(default)]
        pub accelerators: u32,
    }
}

impl Resources {
    /// Returns whether `self` fits into `free` in every dimension.
    pub fn fits_in(self, free: Self) -> bool {
        self.milli_cores <= free.milli_cores
            && self.memory_mb <= free.memory_mb
            && self.accelerators <= free.accelerators
    }

    /// Adds in every dimension, saturating at the largest number.
    pub fn saturating_add(self, other: Self) -> Self {
        Self {
            milli_cores: self.milli_cores.saturating_add(other.milli_cores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the larger amount in every dimension.
    #[must_use]
    pub fn max_each(self, other: Self) -> Self {
        Self {
            milli_cores: self.milli_cores.max(other.milli_cores),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller amount in every dimension.
    #[must_use]
    pub fn min_each(self, other: Self) -> Self {
        Self {
            milli_cores: self.milli_cores.min(other.milli_cores),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns what is left after `count` times `need` is subtracted, at least zero.
    #[must_use]
    pub fn less(self, need: Self, count: u32) -> Self {
        Self {
            milli_cores: self.milli_cores.saturating_sub(need.milli_cores.saturating_mul(count)),
            memory_mb: self.memory_mb.saturating_sub(need.memory_mb.saturating_mul(count)),
            accelerators: self.accelerators.saturating_sub(need.accelerators.saturating_mul(count)),
        }
    }

    /// Subtracts in every dimension, saturating at zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            milli_cores: self.milli_cores.saturating_sub(other.milli_cores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
