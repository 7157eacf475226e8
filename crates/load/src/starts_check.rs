use std::time::Duration;

use emulator::{StartCount, StartsBody};
use indexmap::{IndexMap, IndexSet};
use reqwest::Client;
use types::{AttemptKey, JobId, Peer, StepError, TaskKey};

use crate::StartsReport;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// The jobs of a run, with the facts against which the starts at the executors are checked.
#[derive(Debug, Default)]
pub(crate) struct SentJobs {
    /// Whether the kind of each job is idempotent.
    pub(crate) idempotent: IndexMap<JobId, bool>,
    /// Jobs that were reported as not run.
    pub(crate) not_run: IndexSet<JobId>,
}

/// Reads the starts from the executors and compares them with the jobs of the run. Executors
/// that cannot be read are counted in the report.
pub(crate) async fn check(
    executors: &[String],
    sent: &SentJobs,
) -> Result<StartsReport, StepError> {
    let client = Client::builder()
        .no_proxy()
        .timeout(ANSWER_TIMEOUT)
        .build()
        .map_err(|e| StepError::new("building the starts reader", Peer::Local, e))?;
    let bodies = executors.iter().map(|url| read(&client, url));
    let bodies = futures::future::join_all(bodies).await;
    let unread = bodies.iter().filter(|body| body.is_err()).count();
    let own = bodies
        .into_iter()
        .flatten()
        .flat_map(|body| body.starts)
        .filter(|count| sent.idempotent.contains_key(&count.job))
        .collect::<Vec<_>>();
    Ok(StartsReport { silent_executors: unread as u64, ..build_report(&own, sent) })
}

async fn read(client: &Client, url: &str) -> reqwest::Result<StartsBody> {
    client.get(format!("{url}/starts")).send().await?.error_for_status()?.json().await
}

fn build_report(counts: &[StartCount], sent: &SentJobs) -> StartsReport {
    let attempts = sum_by(counts, |c| AttemptKey { task: task_key(c), attempt: c.attempt });
    let tasks = sum_by(counts, task_key);
    let repeated = || tasks.iter().filter(|(_, starts)| **starts > 1);
    let is_not_idempotent = |task: &TaskKey| sent.idempotent.get(&task.job) == Some(&false);
    let started: IndexSet<JobId> = counts.iter().map(|c| c.job).collect();
    StartsReport {
        starts: tasks.values().sum(),
        tasks: tasks.len() as u64,
        repeated_tasks: repeated().count() as u64,
        repeated_attempts: attempts.values().filter(|starts| **starts > 1).count() as u64,
        repeated_not_idempotent: repeated().filter(|(task, _)| is_not_idempotent(task)).count()
            as u64,
        false_not_run: sent.not_run.intersection(&started).count() as u64,
        silent_executors: 0,
    }
}

fn task_key(count: &StartCount) -> TaskKey {
    TaskKey { job: count.job, index: count.index }
}

fn sum_by<K: std::hash::Hash + Eq>(
    counts: &[StartCount],
    key: impl Fn(&StartCount) -> K,
) -> IndexMap<K, u64> {
    counts.iter().fold(IndexMap::new(), |mut sums, count| {
        *sums.entry(key(count)).or_default() += u64::from(count.starts);
        sums
    })
}
