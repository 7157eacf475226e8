use types::Resources;

use crate::{JobSpread, PoolIndex, UpstreamIndex};

/// What a task needs of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct TaskRequirements<'a> {
    /// Pools whose upstreams may run it.
    pub pools: &'a [PoolIndex],
    /// Resources that it is charged with.
    pub charge: Resources,
    /// Expected run time in microseconds on an upstream of speed 1.
    pub expected_us: u64,
    /// Time in microseconds until the job's answer is expected anyway; 0 when not known.  An
    /// upstream on which the task ends within it is never too slow.
    pub job_remaining_us: u64,
    /// Upstreams on which the task failed; they are not chosen.
    pub avoid: &'a [UpstreamIndex],
    /// Racks that the job uses already.
    pub spread: &'a JobSpread,
}
