use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use futures::future::join_all;
use reqwest::Client;
use types::{JobId, Peer, StepError};

use crate::{
    CancelWave, FaultStep, LoadPlan, PlannedJob, Progress, StreamPlan,
    caller::Caller,
    counts::{JobResult, Outcome},
    in_flight::InFlight,
    reply::Reply,
    starts_check::SentJobs,
    statistics::Statistics,
    submission::Submission,
};

/// Timeout of a request that sets faults.
const FAULT_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_ERROR_SAMPLES: usize = 5;

/// A reply, and the time from the planned sending to it.
struct TimedReply {
    reply: Reply,
    response: Duration,
}

/// State of a run that its tasks share.
#[derive(Debug)]
pub(crate) struct RunState {
    plan: LoadPlan,
    start: Instant,
    start_unix: Duration,
    caller: Caller,
    fault_client: Client,
    in_flight: InFlight,
    statistics: Mutex<Statistics>,
    sent: Mutex<SentJobs>,
    errors: Mutex<Vec<String>>,
    resubmitted: AtomicU64,
    cancels: AtomicU64,
}

impl RunState {
    pub(crate) fn new(plan: LoadPlan, start: Instant) -> Result<Self, StepError> {
        let fault_client = Client::builder()
            .no_proxy()
            .timeout(FAULT_TIMEOUT)
            .build()
            .map_err(|e| StepError::new("building the fault client", Peer::Local, e))?;
        Ok(Self {
            caller: Caller::new(plan.targets.clone())?,
            fault_client,
            in_flight: InFlight::new(plan.max_in_flight, plan.streams.len()),
            statistics: Mutex::new(Statistics::new(&plan)),
            sent: Mutex::default(),
            errors: Mutex::default(),
            resubmitted: AtomicU64::new(0),
            cancels: AtomicU64::new(0),
            start,
            start_unix: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
            plan,
        })
    }

    pub(crate) fn plan(&self) -> &LoadPlan {
        &self.plan
    }

    pub(crate) fn statistics(&self) -> MutexGuard<'_, Statistics> {
        self.statistics.lock().expect("no holder of the lock panics")
    }

    pub(crate) fn sent_jobs(&self) -> MutexGuard<'_, SentJobs> {
        self.sent.lock().expect("no holder of the lock panics")
    }

    /// Returns the first distinct causes of broken replies.
    pub(crate) fn error_samples(&self) -> Vec<String> {
        self.errors.lock().expect("no holder of the lock panics").clone()
    }

    pub(crate) fn resubmitted(&self) -> u64 {
        self.resubmitted.load(Ordering::Relaxed)
    }

    pub(crate) fn cancels(&self) -> u64 {
        self.cancels.load(Ordering::Relaxed)
    }

    pub(crate) fn progress(&self) -> Progress {
        Progress {
            elapsed_s: self.start.elapsed().as_secs_f64(),
            in_flight: self.in_flight.len() as u64,
            counts: self.statistics().total(),
        }
    }

    /// Returns the instant `at_s` seconds after the start of the run.
    pub(crate) fn instant(&self, at_s: f64) -> tokio::time::Instant {
        (self.start + Duration::from_secs_f64(at_s)).into()
    }

    /// Sends a job and records its result.
    pub(crate) async fn send(self: Arc<Self>, job: PlannedJob, due: Instant) {
        let stream = &self.plan.streams[job.stream];
        let created_ms = (self.start_unix + job.at).as_millis() as u64;
        let result = match Submission::new(stream, &job, created_ms) {
            Ok(submission) if self.in_flight.add(submission.id, job.stream) => {
                self.statistics().record_send_lag(due.elapsed());
                self.submit(stream, &job, &submission, due).await
            }
            _ => JobResult::unsent(),
        };
        self.statistics().record(&job, result);
    }

    /// Posts the faults of a step to its emulated server.
    pub(crate) async fn set_fault(&self, step: &FaultStep) -> Result<(), StepError> {
        let error = |e| StepError::new("setting faults", Peer::Named(step.url.clone()), e);
        let req = self.fault_client.post(format!("{}/faults", step.url)).json(&step.set);
        let resp = req.send().await.map_err(error)?;
        resp.error_for_status().map(drop).map_err(error)
    }

    /// Cancels a percentage of a team's jobs in progress.
    pub(crate) async fn cancel(&self, wave: &CancelWave) {
        let is_of_team = |stream: usize| self.plan.streams[stream].team == wave.team;
        let ids = self.in_flight.cancel(wave.percent, is_of_team);
        let token = self.plan.streams.iter().find(|s| s.team == wave.team).map(|s| &s.token);
        let Some(token) = token else {
            return;
        };
        join_all(ids.into_iter().map(|id| self.cancel_job(token, id))).await;
    }

    async fn cancel_job(&self, token: &str, id: JobId) {
        if self.caller.cancel(token, id).await {
            self.cancels.fetch_add(1, Ordering::Relaxed);
        } else {
            self.in_flight.clear_cancelled(id);
        }
    }

    async fn submit(
        &self,
        stream: &StreamPlan,
        job: &PlannedJob,
        submission: &Submission,
        due: Instant,
    ) -> JobResult {
        self.sent_jobs().idempotent.insert(submission.id, stream.idempotent);
        let first = async {
            let reply = self.caller.submit(stream, submission).await;
            TimedReply { reply, response: due.elapsed() }
        };
        let duplicate = self.resubmit(stream, job, submission);
        let (TimedReply { reply, response }, duplicate) = tokio::join!(first, duplicate);
        let is_cancelled = self.in_flight.remove(submission.id);
        self.record_not_run(submission.id, [Some(&reply), duplicate.as_ref()]);
        self.record_error(&reply);
        let outcome = classify(submission, &reply, duplicate.as_ref(), is_cancelled);
        JobResult { outcome, response, longest_run: reply.longest_run() }
    }

    /// Submits a job a second time when the schedule requires it.
    async fn resubmit(
        &self,
        stream: &StreamPlan,
        job: &PlannedJob,
        submission: &Submission,
    ) -> Option<Reply> {
        if !job.is_resubmitted {
            return None;
        }
        tokio::time::sleep(Duration::from_millis(stream.resubmit_after_ms)).await;
        self.resubmitted.fetch_add(1, Ordering::Relaxed);
        Some(self.caller.submit(stream, submission).await)
    }

    /// Records the cause of a broken reply, unless it is known or enough causes were recorded.
    fn record_error(&self, reply: &Reply) {
        let Reply::Broken(cause) = reply else {
            return;
        };
        let mut errors = self.errors.lock().expect("no holder of the lock panics");
        if errors.len() < MAX_ERROR_SAMPLES && !errors.contains(cause) {
            errors.push(cause.clone());
        }
    }

    /// Records a job as not run when every reply reports it so.
    fn record_not_run(&self, id: JobId, replies: [Option<&Reply>; 2]) {
        if replies.into_iter().flatten().all(is_not_run) {
            self.sent_jobs().not_run.insert(id);
        }
    }
}

fn is_not_run(reply: &Reply) -> bool {
    matches!(reply, Reply::Failed { not_run: true } | Reply::Refused { not_run: true })
}

/// Returns the outcome of a job from the reply to it and that to its duplicate.
fn classify(
    submission: &Submission,
    reply: &Reply,
    duplicate: Option<&Reply>,
    is_cancelled: bool,
) -> Outcome {
    let is_mismatched = |reply: &&Reply| matches!(reply, Reply::Complete(answers) if !submission.is_answered_by(answers));
    if [Some(reply), duplicate].iter().flatten().any(is_mismatched) {
        return Outcome::Mismatched;
    }
    match (reply, duplicate) {
        (Reply::Complete(first), Some(Reply::Complete(second))) if first != second => {
            Outcome::DuplicatesDiffer
        }
        (Reply::Complete(_), Some(Reply::Failed { .. }))
        | (Reply::Failed { .. }, Some(Reply::Complete(_))) => Outcome::DuplicatesDiffer,
        (Reply::Complete(_), _) => Outcome::Complete,
        (Reply::Failed { .. }, _) if is_cancelled => Outcome::Cancelled,
        (Reply::Failed { .. }, _) => Outcome::Failed,
        (Reply::Refused { not_run: true }, _) => Outcome::Refused,
        (Reply::Refused { not_run: false }, _) => Outcome::RefusedUnsure,
        (Reply::Broken(_), _) => Outcome::Error,
    }
}
