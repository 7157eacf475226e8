//! Simulation of a pool of slots with its queue, driven by open-loop sources of jobs.

use std::{collections::BTreeMap, ops::Range};

use policy::{Admission, Charge, FairQueueBuilder, JobDemand, QueuedTask};
use types::{TeamName, Urgency};

pub(crate) const SLOTS: usize = 8;
pub(crate) const TASK_US: u64 = 200_000;
pub(crate) const RUN_US: u64 = 120_000_000;
const WARM_UP_US: u64 = 10_000_000;
const SECOND_US: u64 = 1_000_000;

/// Source of one job every `every_us` from `from_us` on.  The queue is given `declared_us` as
/// the cost of a task, which runs for `actual_us`.
#[derive(Clone, Copy)]
pub(crate) struct Source {
    pub(crate) team: &'static str,
    pub(crate) weight: u32,
    pub(crate) urgency: Urgency,
    pub(crate) tasks: u64,
    pub(crate) every_us: u64,
    pub(crate) declared_us: u64,
    pub(crate) actual_us: u64,
    pub(crate) from_us: u64,
    pub(crate) slack_us: u64,
}

impl Source {
    /// Creates a source whose load is a number of slots, in jobs of one task of [`TASK_US`].
    pub(crate) fn of_slots(team: &'static str, urgency: Urgency, slots: f64) -> Self {
        Self {
            team,
            weight: 1,
            urgency,
            tasks: 1,
            every_us: (TASK_US as f64 / slots) as u64,
            declared_us: TASK_US,
            actual_us: TASK_US,
            from_us: 0,
            slack_us: 10 * RUN_US,
        }
    }

    fn arrivals(self) -> impl Iterator<Item = u64> {
        (self.from_us..RUN_US).step_by(self.every_us as usize)
    }

    fn task(self, deadline_us: u64, job: usize) -> QueuedTask<usize> {
        QueuedTask {
            team: team_name(self.team),
            weight: self.weight,
            urgency: self.urgency,
            cost_us: self.declared_us,
            deadline_us,
            bytes: 100,
            item: job,
        }
    }

    fn demand(self, deadline_us: u64) -> JobDemand {
        JobDemand {
            team: team_name(self.team),
            weight: self.weight,
            quota_slots: None,
            urgency: self.urgency,
            total_cost_us: self.tasks * self.declared_us,
            longest_task_us: self.actual_us,
            deadline_us,
        }
    }
}

/// Results of a source's jobs; the counts leave out the warm-up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) offered: usize,
    pub(crate) refused: usize,
    pub(crate) in_time: usize,
    used_us: Vec<u64>,
}

impl Report {
    /// Returns the mean number of slots that the source used between two seconds.
    pub(crate) fn slots(&self, seconds: Range<usize>) -> f64 {
        let span_us = seconds.len() as f64 * SECOND_US as f64;
        self.used_us[seconds].iter().sum::<u64>() as f64 / span_us
    }

    /// Returns the mean number of slots that the source used once the load was steady.
    pub(crate) fn steady_slots(&self) -> f64 {
        self.slots(20..100)
    }
}

struct Job {
    source: usize,
    deadline_us: u64,
    tasks_left: u64,
}

pub(crate) fn team_name(team: &str) -> TeamName {
    team.parse().expect("valid name")
}

/// Simulates the sources, with admission if it is given.  With admission, tasks are
/// settled by their declared time, which is their slot time at speed 1.
pub(crate) fn simulate(sources: &[Source], mut admission: Option<Admission>) -> Vec<Report> {
    let seconds = (RUN_US / SECOND_US) as usize;
    let mut reports =
        vec![Report { used_us: vec![0; seconds], ..Report::default() }; sources.len()];
    let mut arrivals: Vec<(u64, usize)> = (0..sources.len())
        .flat_map(|source| sources[source].arrivals().map(move |at| (at, source)))
        .collect();
    arrivals.sort_unstable();
    let mut arrivals = arrivals.into_iter().peekable();
    let mut queue = FairQueueBuilder::default().max_tasks_per_class(5_000).build();
    let mut running: BTreeMap<(u64, usize), (Charge, usize)> = BTreeMap::new();
    let (mut jobs, mut starts) = (Vec::new(), 0);
    loop {
        let next_arrival = arrivals.peek().map_or(u64::MAX, |&(at, _)| at);
        let next_end = running.first_key_value().map_or(u64::MAX, |(&(at, _), _)| at);
        let now_us = next_arrival.min(next_end);
        if now_us >= RUN_US {
            return reports;
        }
        while let Some(entry) = running.first_entry().filter(|entry| entry.key().0 == now_us) {
            let (charge, job) = entry.remove();
            let job: &mut Job = &mut jobs[job];
            let Source { declared_us, actual_us, .. } = sources[job.source];
            let report = &mut reports[job.source];
            let settled_us = if admission.is_some() { declared_us } else { actual_us };
            queue.settle(&charge, settled_us);
            admission
                .iter_mut()
                .for_each(|admission| admission.on_finished(&charge.team, settled_us, now_us));
            report.used_us[(now_us / SECOND_US) as usize] += actual_us;
            job.tasks_left -= 1;
            let is_in_time = job.tasks_left == 0 && now_us <= job.deadline_us;
            report.in_time += usize::from(is_in_time && now_us > WARM_UP_US);
        }
        while let Some((_, source)) = arrivals.next_if(|&(at, _)| at == now_us) {
            let Source { slack_us, tasks, .. } = sources[source];
            let (report, is_counted) = (&mut reports[source], usize::from(now_us > WARM_UP_US));
            let deadline_us = now_us + slack_us;
            let demand = sources[source].demand(deadline_us);
            report.offered += is_counted;
            let decide = |admission: &mut Admission| {
                admission.check(&demand, queue.backlogs(), SLOTS as f64, now_us, 0)
            };
            if admission.as_mut().is_some_and(|admission| decide(admission).is_err()) {
                report.refused += is_counted;
                continue;
            }
            jobs.push(Job { source, deadline_us, tasks_left: tasks });
            for _ in 0..tasks {
                let _dropped_when_full =
                    queue.push(sources[source].task(deadline_us, jobs.len() - 1));
            }
        }
        queue.expire(now_us);
        while running.len() < SLOTS {
            let Some(popped) = queue.pop(now_us, |_| false) else { break };
            let ends_us = now_us + sources[jobs[popped.item].source].actual_us;
            running.insert((ends_us, starts), (popped.charge, popped.item));
            starts += 1;
        }
        admission
            .iter_mut()
            .for_each(|admission| admission.set_backlogged(!queue.is_empty(), now_us));
    }
}
