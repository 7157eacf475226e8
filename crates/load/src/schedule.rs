use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::{Peer, StepError};

use crate::{LoadPlan, StreamPlan, arrival_times::ArrivalTimes};

const PERCENT: f64 = 100.0;

/// Length of the random part of a job id.
const ID_BYTES: usize = 10;

types::plain! {
    /// One job of a schedule.
    pub struct PlannedJob {
        /// Time of sending from the start of the run.
        pub at: Duration,
        /// Position of its stream in the plan.
        pub stream: usize,
        /// Random part of its id.
        pub id: [u8; ID_BYTES],
        /// Nominal run time of each task in milliseconds.
        pub run_ms: Vec<f32>,
        /// Position of the task that fails at every attempt, if any.
        pub failing_task: Option<u32>,
        /// Whether it is submitted twice.
        pub is_resubmitted: bool,
    }

    /// Every job of a run, in the order of sending.
    pub struct Schedule {
        /// The jobs.
        pub jobs: Vec<PlannedJob>,
    }
}

impl Schedule {
    /// Computes the schedule of a plan; it depends on the plan alone.
    ///
    /// # Errors
    ///
    /// When there are more jobs than `max_jobs` of the plan.
    pub fn new(plan: &LoadPlan) -> Result<Self, StepError> {
        let mut jobs: Vec<PlannedJob> = plan
            .streams
            .iter()
            .enumerate()
            .flat_map(|(index, stream)| stream_jobs(plan, index, stream))
            .take(plan.max_jobs.saturating_add(1))
            .collect();
        if jobs.len() > plan.max_jobs {
            let cause = format!("more than max_jobs = {} jobs", plan.max_jobs);
            return Err(StepError::new("scheduling", Peer::Local, cause));
        }
        jobs.sort_by_key(|job| job.at);
        Ok(Self { jobs })
    }
}

fn stream_jobs<'a>(
    plan: &'a LoadPlan,
    index: usize,
    stream: &'a StreamPlan,
) -> impl Iterator<Item = PlannedJob> + 'a {
    let seed = plan.seed.wrapping_add((index as u64) << u32::BITS);
    let mut rng = StdRng::seed_from_u64(seed);
    let times = ArrivalTimes::new(plan, stream, StdRng::seed_from_u64(!seed));
    times.map(move |at| planned_job(stream, index, at, &mut rng))
}

fn planned_job(stream: &StreamPlan, index: usize, at: Duration, rng: &mut StdRng) -> PlannedJob {
    let tasks = stream.tasks.draw(rng);
    let run_ms = (0..tasks).map(|_| stream.run_time.draw_ms(rng) as f32).collect();
    let fails = rng.random::<f64>() * PERCENT < stream.fail_percent;
    let failing_task = rng.random_range(0..tasks);
    PlannedJob {
        at,
        stream: index,
        id: rng.random(),
        run_ms,
        failing_task: fails.then_some(failing_task),
        is_resubmitted: rng.random::<f64>() * PERCENT < stream.resubmit_percent,
    }
}
