use thiserror::Error;
use types::Resources;

types::plain! {
    /// Reason why no upstream could ever run a task.
    #[derive(Copy, Eq, Error)]
    pub enum NeverFits {
        /// More processor time than any upstream has.
        #[error("needs {needed} thousandths of a core, the largest upstream has {largest}")]
        Cores {
            /// Thousandths of a core that the task needs.
            needed: u32,
            /// Thousandths of a core of the largest upstream.
            largest: u32,
        },
        /// More memory than any upstream has.
        #[error("needs {needed} MiB of memory, the largest upstream has {largest}")]
        Memory {
            /// MiB that the task needs.
            needed: u32,
            /// MiB of the largest upstream.
            largest: u32,
        },
        /// More accelerators than any upstream has.
        #[error("needs {needed} accelerators, the largest upstream has {largest}")]
        Accelerators {
            /// Accelerators that the task needs.
            needed: u32,
            /// Accelerators of the largest upstream.
            largest: u32,
        },
        /// Each resource fits some upstream, but no upstream has enough of all of them.
        #[error("no upstream has the cores, memory and accelerators together")]
        Combination,
    }
}

impl NeverFits {
    /// Compares a charge with the capacities of upstreams.  Returns `None` if one of them
    /// suffices or there are none.
    pub(crate) fn check(
        charge: Resources,
        capacities: impl Iterator<Item = Resources> + Clone,
    ) -> Option<Self> {
        let mut known = capacities.clone().peekable();
        known.peek()?;
        if known.any(|capacity| charge.fits_in(capacity)) {
            return None;
        }
        let largest = capacities.fold(Resources::default(), largest_of);
        Some(Self::reason(charge, largest))
    }

    fn reason(charge: Resources, largest: Resources) -> Self {
        if charge.milli_cores > largest.milli_cores {
            Self::Cores { needed: charge.milli_cores, largest: largest.milli_cores }
        } else if charge.memory_mb > largest.memory_mb {
            Self::Memory { needed: charge.memory_mb, largest: largest.memory_mb }
        } else if charge.accelerators > largest.accelerators {
            Self::Accelerators { needed: charge.accelerators, largest: largest.accelerators }
        } else {
            Self::Combination
        }
    }
}

fn largest_of(a: Resources, b: Resources) -> Resources {
    Resources {
        milli_cores: a.milli_cores.max(b.milli_cores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
    }
}
