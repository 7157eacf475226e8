use types::Resources;

use crate::{JobSpread, PoolIndex, UpstreamIndex};

/// Requirements of a task for the choice of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct TaskRequirements<'a> {
    /// Pools whose upstreams may run the task.
    pub pools: &'a [PoolIndex],
    /// Resources that the task is charged with.
    pub charge: Resources,
    /// Expected run time in microseconds on an upstream of speed 1.
    pub expected_us: u64,
    /// Expected time in microseconds until the job completes regardless of this task; 0 if
    /// unknown.  An upstream on which the task ends within this time is never too slow.
    pub job_remaining_us: u64,
    /// Upstreams on which the task failed; they are excluded from the choice.
    pub avoid: &'a [UpstreamIndex],
    /// Racks that the job's other tasks were placed on.
    pub spread: &'a JobSpread,
}
