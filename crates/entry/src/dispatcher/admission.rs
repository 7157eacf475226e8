//! Admission control: a job that can never run or would miss its deadline is refused before any
//! of its tasks starts.

use policy::{AdmissionError, JobDemand};
use rand::RngExt;
use types::Refusal;

use crate::dispatcher::{
    Dispatcher, fleet::MemberPhase, job_info::JobInfo, pool_queue::QueueIndex,
};

const QUEUE_FULL_RETRY_MS: u64 = 1_000;

impl Dispatcher {
    /// Decides whether a new job is admitted.
    ///
    /// # Errors
    ///
    /// The refusal, when the job fits no upstream, its queue is full, its team or the entry is
    /// overloaded, or its deadline is too short.
    pub(crate) fn admit(&mut self, info: &JobInfo, tasks: u32) -> Result<(), Refusal> {
        let charge = self.learner.charge(info.kind_index);
        let expected_us = self.learner.expected_us(info.kind_index);
        let capacity_slots = self.capacity_slots(info.queue);
        let now_us = self.clock.now_us();
        let random = self.rng.random();
        let queue = self.queues.get_mut(info.queue);
        if let Some(reason) = self.placer.never_fits(&queue.pools, charge) {
            return Err(Refusal::NeverFits(reason.to_string()));
        }
        let bytes = info.task_bytes * tasks as usize;
        queue
            .tasks
            .check_capacity(&info.team, info.weight, info.terms.urgency, tasks as usize, bytes)
            .map_err(|_| Refusal::Overloaded { retry_after_ms: QUEUE_FULL_RETRY_MS })?;
        if capacity_slots <= 0.0 {
            return Ok(());
        }
        let demand = JobDemand {
            team: info.team.clone(),
            weight: info.weight,
            quota_slots: self.quotas.get(&info.team).map(|quota| quota.limit()),
            urgency: info.terms.urgency,
            total_cost_us: expected_us.saturating_mul(u64::from(tasks)),
            longest_task_us: expected_us,
            deadline_us: info.deadline_us,
        };
        let backlogs = queue.tasks.backlogs();
        let checked = queue.admission.check(&demand, backlogs, capacity_slots, now_us, random);
        checked.map(drop).map_err(|e| match e {
            AdmissionError::Overloaded { retry_after_ms } => Refusal::Overloaded { retry_after_ms },
            AdmissionError::DeadlineTooShort { .. } => Refusal::NeverFits(e.to_string()),
        })
    }

    /// Returns this entry's share of the slots of a queue's pools, in slots of speed 1.
    fn capacity_slots(&self, queue: QueueIndex) -> f64 {
        let now_us = self.clock.now_us();
        let pools = self.queues.pools(queue);
        let slots: f64 = self
            .members
            .values()
            .filter(|member| member.phase == MemberPhase::Serving)
            .filter(|member| pools.contains(&member.identity.pool))
            .filter_map(|member| {
                let index = self.placer.upstream_index(&member.identity.upstream)?;
                Some(f64::from(member.identity.slots) * self.learner.speed(now_us, index))
            })
            .sum();
        let owned = self.table.owned().len() as f64;
        slots * owned / f64::from(self.partitions.0)
    }
}
