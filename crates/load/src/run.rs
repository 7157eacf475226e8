use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use settings::{InvalidFields, Validate};
use tokio::{
    task::{AbortHandle, JoinSet},
    time::{interval, sleep_until},
};
use types::StepError;

use crate::{
    CancelWave, FaultStep, LoadError, LoadPlan, Progress, Report, Schedule,
    counters::CounterReader,
    pacer::{self, DueJob},
    run_state::RunState,
    starts_check,
};

/// Delay between the set-up of a run and the start of its schedule.
const START_DELAY: Duration = Duration::from_millis(50);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Runs a plan to its end; `progress` is called every 5 seconds.
///
/// # Errors
///
/// When the plan is invalid, when its schedule has too many jobs, or when the counters cannot
/// be read. Failures of single requests are counted in the report.
pub async fn run(
    plan: LoadPlan,
    progress: impl Fn(&Progress) + Send + 'static,
) -> Result<Report, LoadError> {
    check(&plan)?;
    let schedule = Schedule::new(&plan)?;
    let counters = CounterReader::new(plan.metrics.clone())?;
    let before = counters.read().await?;
    let start = Instant::now() + START_DELAY;
    let state = Arc::new(RunState::new(plan, start)?);
    let _reporter = AbortOnDrop::spawn(report_progress(Arc::clone(&state), progress));
    let steps = spawn_steps(&state);
    send_all(&state, schedule, start).await;
    let faults_not_set = steps.join_all().await.into_iter().flatten().collect();
    let elapsed_s = start.elapsed().as_secs_f64();
    let after = counters.read().await?;
    let sent = std::mem::take(&mut *state.sent_jobs());
    let starts = starts_check::check(&state.plan().executors, &sent).await?;
    let statistics = state.statistics();
    Ok(Report {
        windows: statistics.window_reports(state.plan()),
        total: statistics.total(),
        resubmitted: state.resubmitted(),
        cancels: state.cancels(),
        send_lag_ms: statistics.send_lag_ms(),
        starts,
        counters: counters.growth(&before, &after),
        faults_not_set,
        error_samples: state.error_samples(),
        elapsed_s,
    })
}

fn check(plan: &LoadPlan) -> Result<(), LoadError> {
    let mut errors = InvalidFields::default();
    plan.validate(&mut errors);
    match errors.into_vec() {
        found if found.is_empty() => Ok(()),
        found => Err(LoadError::Plan(settings::SettingsError::Invalid(found))),
    }
}

/// Sends every job at its planned time and waits for the last reply.
async fn send_all(state: &Arc<RunState>, schedule: Schedule, start: Instant) {
    let mut due_jobs = pacer::spawn(schedule.jobs, start);
    let mut jobs = JoinSet::new();
    while let Some(DueJob { job, due }) = due_jobs.recv().await {
        jobs.spawn(Arc::clone(state).send(job, due));
        while jobs.try_join_next().is_some() {}
    }
    while jobs.join_next().await.is_some() {}
}

/// Starts the faults and cancel waves of the plan; each step returns its error, if any.
fn spawn_steps(state: &Arc<RunState>) -> JoinSet<Option<String>> {
    let plan = state.plan();
    let faults = plan.faults.iter().cloned().map(|step| fault_step(Arc::clone(state), step));
    let mut steps: JoinSet<Option<String>> = faults.collect();
    plan.cancel_waves.iter().cloned().for_each(|wave| {
        steps.spawn(cancel_wave(Arc::clone(state), wave));
    });
    steps
}

async fn fault_step(state: Arc<RunState>, step: FaultStep) -> Option<String> {
    sleep_until(state.instant(step.at_s)).await;
    state.set_fault(&step).await.err().map(|e: StepError| e.to_string())
}

async fn cancel_wave(state: Arc<RunState>, wave: CancelWave) -> Option<String> {
    sleep_until(state.instant(wave.at_s)).await;
    state.cancel(&wave).await;
    None
}

async fn report_progress(state: Arc<RunState>, progress: impl Fn(&Progress) + Send) {
    let mut ticks = interval(PROGRESS_INTERVAL);
    ticks.tick().await;
    loop {
        ticks.tick().await;
        progress(&state.progress());
    }
}

/// A task that is aborted when the handle is dropped.
struct AbortOnDrop(AbortHandle);

impl AbortOnDrop {
    fn spawn(task: impl Future<Output = ()> + Send + 'static) -> Self {
        Self(tokio::spawn(task).abort_handle())
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
