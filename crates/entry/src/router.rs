//! Takes each request about a job to the owner of its partition, and on to the next owner
//! when it changes.

use std::sync::Arc;

use kameo::actor::ActorRef;
use rpc::{EntryIdentity, ForwardedJob, JobQuery, JobStatus};
use services::SharedConfig;
use tarpc::context;
use tokio::{
    sync::{oneshot, watch},
    time::{Duration, Instant, sleep, timeout, timeout_at},
};
use types::{JobId, Partition, PartitionCount, Refusal};

use crate::{
    dispatcher::Dispatcher,
    messages::{Cancel, Status, StatusTx, Submit},
    metric_names,
    ownership::{Owners, PeerClients},
};

const OWNER_RETRY: Duration = Duration::from_millis(20);
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) struct Router {
    pub(crate) entry: EntryIdentity,
    pub(crate) dispatcher: ActorRef<Dispatcher>,
    pub(crate) config: watch::Receiver<Arc<SharedConfig>>,
    pub(crate) owners: watch::Receiver<Owners>,
    pub(crate) peers: PeerClients,
    pub(crate) partitions: PartitionCount,
}

/// What one try at the present owner has shown.
enum Tried {
    Answered(Result<JobStatus, Refusal>),
    /// The owner does not serve the partition now.
    Moved,
    /// No answer came; the owner may have acted.
    Lost(EntryIdentity),
}

impl Router {
    pub(crate) fn config(&self) -> Arc<SharedConfig> {
        Arc::clone(&self.config.borrow())
    }

    fn owner(&self, id: JobId) -> Option<EntryIdentity> {
        let partition = Partition::of(id, self.partitions);
        self.owners.borrow().get(usize::from(partition.0)).cloned().flatten()
    }

    /// Submits a job to whoever owns it until its deadline.  Repeating a submission is
    /// harmless: the owner joins it to the job.
    pub(crate) async fn submit(&self, job: ForwardedJob) -> Result<JobStatus, Refusal> {
        let deadline = Instant::now() + Duration::from_millis(job.timeout_ms);
        let mut lost = None;
        while Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            let job = ForwardedJob { timeout_ms: left.as_millis().max(1) as u64, ..job.clone() };
            match self.try_submit(job, deadline).await {
                Tried::Answered(answer) => return answer,
                Tried::Moved => {}
                Tried::Lost(owner) => lost = Some(owner),
            }
            sleep(OWNER_RETRY).await;
        }
        match lost {
            Some(owner) => Err(Refusal::OwnerUnreachable { owner: owner.name }),
            None => Err(Refusal::OutcomeUnknown),
        }
    }

    async fn try_submit(&self, job: ForwardedJob, deadline: Instant) -> Tried {
        match self.owner(job.id) {
            None => Tried::Moved,
            Some(owner) if owner == self.entry => {
                self.local(|tx| self.dispatcher.tell(Submit { job, tx })).await
            }
            Some(owner) => {
                metrics::counter!(metric_names::FORWARDED).increment(1);
                let id = job.id;
                let handle = self.peers.add(owner.addr);
                let connection = tokio::select! {
                    connection = handle.connection(deadline) => connection,
                    () = self.owner_changes(id, &owner) => None,
                };
                let Some(connection) = connection else {
                    return Tried::Moved;
                };
                let answer = connection.client.submit(until(deadline + ANSWER_MARGIN), job);
                tokio::select! {
                    answer = answer => remote(answer, owner),
                    () = self.owner_changes(id, &owner) => Tried::Lost(owner),
                    () = handle.replaced(&connection) => Tried::Lost(owner),
                }
            }
        }
    }

    /// Submits a job that another entry forwards to this one as the owner.
    pub(crate) async fn submit_here(&self, job: ForwardedJob) -> Result<JobStatus, Refusal> {
        settled(self.local(|tx| self.dispatcher.tell(Submit { job, tx })).await)
    }

    /// Reports the state of a job that this entry owns.
    pub(crate) async fn status_here(&self, query: JobQuery) -> Result<JobStatus, Refusal> {
        let wait = Duration::from_millis(query.wait_ms);
        let waiting = self.local(|tx| self.dispatcher.tell(Status { query: query.clone(), tx }));
        if let Ok(tried) = timeout(wait.max(CONTROL_TIMEOUT), waiting).await {
            return settled(tried);
        }
        let query = JobQuery { wait_ms: 0, ..query };
        settled(self.local(|tx| self.dispatcher.tell(Status { query, tx })).await)
    }

    /// Cancels a job that this entry owns.
    pub(crate) async fn cancel_here(&self, query: JobQuery) -> Result<JobStatus, Refusal> {
        settled(self.local(|tx| self.dispatcher.tell(Cancel { query, tx })).await)
    }

    /// Completes when the partition of a job has another owner.
    async fn owner_changes(&self, id: JobId, owner: &EntryIdentity) {
        let partition = usize::from(Partition::of(id, self.partitions).0);
        let mut owners = self.owners.clone();
        let is_other =
            |owners: &Owners| owners.get(partition).and_then(Option::as_ref) != Some(owner);
        let _ = owners.wait_for(is_other).await;
    }

    async fn local<'a, F, Fut, E>(&self, tell: F) -> Tried
    where
        F: FnOnce(StatusTx) -> Fut + 'a,
        Fut: IntoFuture<Output = Result<(), E>>,
    {
        let (tx, rx) = oneshot::channel();
        if tell(tx).await.is_err() {
            return Tried::Moved;
        }
        match rx.await {
            Ok(Err(Refusal::OwnerChanging { .. })) => Tried::Moved,
            Ok(answer) => Tried::Answered(answer),
            Err(_) => Tried::Lost(self.entry.clone()),
        }
    }

    /// Reports the state of a job, waiting up to the given time for its end.
    pub(crate) async fn status(&self, query: JobQuery) -> Result<JobStatus, Refusal> {
        let wait = Duration::from_millis(query.wait_ms);
        let waiting = self.ask(query.clone(), Question::Status);
        match timeout(wait, waiting).await {
            Ok(status) => status,
            Err(_) => self.ask(JobQuery { wait_ms: 0, ..query }, Question::Status).await,
        }
    }

    pub(crate) async fn cancel(&self, query: JobQuery) -> Result<JobStatus, Refusal> {
        self.ask(query, Question::Cancel).await
    }

    async fn ask(&self, query: JobQuery, question: Question) -> Result<JobStatus, Refusal> {
        let wait = Duration::from_millis(query.wait_ms) + CONTROL_TIMEOUT;
        let deadline = Instant::now() + wait;
        let mut owner = None;
        while Instant::now() < deadline {
            match self.try_ask(query.clone(), question, deadline).await {
                Tried::Answered(answer) => return answer,
                Tried::Moved => {}
                Tried::Lost(lost) => owner = Some(lost.name),
            }
            sleep(OWNER_RETRY).await;
        }
        Err(owner.map_or(Refusal::OutcomeUnknown, |owner| Refusal::OwnerUnreachable { owner }))
    }

    async fn try_ask(&self, query: JobQuery, question: Question, deadline: Instant) -> Tried {
        match self.owner(query.id) {
            None => Tried::Moved,
            Some(owner) if owner == self.entry => match question {
                Question::Status => {
                    self.local(|tx| self.dispatcher.tell(Status { query, tx })).await
                }
                Question::Cancel => {
                    self.local(|tx| self.dispatcher.tell(Cancel { query, tx })).await
                }
            },
            Some(owner) => {
                let handle = self.peers.add(owner.addr);
                let Some(connection) = handle.connection(deadline).await else {
                    return Tried::Lost(owner);
                };
                let client = &connection.client;
                let cx = until(deadline + ANSWER_MARGIN);
                let answer = async {
                    match question {
                        Question::Status => client.status(cx, query).await,
                        Question::Cancel => client.cancel(cx, query).await,
                    }
                };
                tokio::select! {
                    answer = timeout_at(deadline, answer) => match answer {
                        Ok(answer) => remote(answer, owner),
                        Err(_) => Tried::Lost(owner),
                    },
                    () = handle.replaced(&connection) => Tried::Lost(owner),
                }
            }
        }
    }
}

#[derive(Clone, Copy)]
enum Question {
    Status,
    Cancel,
}

fn settled(tried: Tried) -> Result<JobStatus, Refusal> {
    match tried {
        Tried::Answered(answer) => answer,
        Tried::Moved | Tried::Lost(_) => Err(Refusal::OwnerChanging { retry_after_ms: 0 }),
    }
}

fn remote(
    answer: Result<Result<JobStatus, Refusal>, tarpc::client::RpcError>,
    owner: EntryIdentity,
) -> Tried {
    match answer {
        Ok(Err(Refusal::OwnerChanging { .. })) => Tried::Moved,
        Ok(answer) => Tried::Answered(answer),
        Err(_) => Tried::Lost(owner),
    }
}

fn until(deadline: Instant) -> context::Context {
    let mut cx = context::current();
    cx.deadline = deadline.into_std();
    cx
}
