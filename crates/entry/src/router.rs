//! Routes each request about a job to the entry that owns its partition, and to the new owner when
//! the ownership changes.

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

const OWNER_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time after the deadline of a request for which its reply is still accepted.
const REPLY_MARGIN: Duration = Duration::from_millis(500);
const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

/// Routes requests about jobs to their owners.
pub(crate) struct Router {
    pub(crate) entry: EntryIdentity,
    pub(crate) dispatcher: ActorRef<Dispatcher>,
    pub(crate) config: watch::Receiver<Arc<SharedConfig>>,
    pub(crate) owners: watch::Receiver<Owners>,
    pub(crate) peers: PeerClients,
    pub(crate) partitions: PartitionCount,
}

/// Outcome of one request to the current owner.
enum RequestOutcome {
    Answered(Result<JobStatus, Refusal>),
    /// The entry does not serve the partition, or the owner is not known.
    NotOwner,
    /// No reply arrived; the owner may have acted on the request.
    NoReply(EntryIdentity),
}

impl Router {
    pub(crate) fn config(&self) -> Arc<SharedConfig> {
        Arc::clone(&self.config.borrow())
    }

    fn owner(&self, id: JobId) -> Option<EntryIdentity> {
        let partition = Partition::of(id, self.partitions);
        self.owners.borrow().get(usize::from(partition.0)).cloned().flatten()
    }

    /// Submits a job to its owner, and repeats the submission until there is a reply or the
    /// deadline has passed.  Repeating is safe because the owner joins a repeated submission to the
    /// job.
    pub(crate) async fn submit(&self, job: ForwardedJob) -> Result<JobStatus, Refusal> {
        let deadline = Instant::now() + Duration::from_millis(job.timeout_ms);
        let mut lost = None;
        while Instant::now() < deadline {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let job =
                ForwardedJob { timeout_ms: remaining.as_millis().max(1) as u64, ..job.clone() };
            match self.try_submit(job, deadline).await {
                RequestOutcome::Answered(answer) => return answer,
                RequestOutcome::NotOwner => {}
                RequestOutcome::NoReply(owner) => lost = Some(owner),
            }
            sleep(OWNER_RETRY_DELAY).await;
        }
        match lost {
            Some(owner) => Err(Refusal::OwnerUnreachable { owner: owner.name }),
            None => Err(Refusal::OutcomeUnknown),
        }
    }

    async fn try_submit(&self, job: ForwardedJob, deadline: Instant) -> RequestOutcome {
        match self.owner(job.id) {
            None => RequestOutcome::NotOwner,
            Some(owner) if owner == self.entry => {
                self.request_local(|tx| self.dispatcher.tell(Submit { job, tx })).await
            }
            Some(owner) => {
                metrics::counter!(metric_names::FORWARDED).increment(1);
                let id = job.id;
                let handle = self.peers.get_or_open(owner.addr);
                let connection = tokio::select! {
                    connection = handle.connection(deadline) => connection,
                    () = self.owner_changes(id, &owner) => None,
                };
                let Some(connection) = connection else {
                    return RequestOutcome::NotOwner;
                };
                let answer = connection.client.submit(context_until(deadline + REPLY_MARGIN), job);
                tokio::select! {
                    answer = answer => remote_outcome(answer, owner),
                    () = self.owner_changes(id, &owner) => RequestOutcome::NoReply(owner),
                    () = handle.replaced(&connection) => RequestOutcome::NoReply(owner),
                }
            }
        }
    }

    /// Submits a job that another entry has forwarded to this one.
    pub(crate) async fn submit_here(&self, job: ForwardedJob) -> Result<JobStatus, Refusal> {
        local_result(self.request_local(|tx| self.dispatcher.tell(Submit { job, tx })).await)
    }

    /// Returns the state of a job that this entry owns.
    pub(crate) async fn status_here(&self, query: JobQuery) -> Result<JobStatus, Refusal> {
        let wait = Duration::from_millis(query.wait_ms);
        let waiting =
            self.request_local(|tx| self.dispatcher.tell(Status { query: query.clone(), tx }));
        if let Ok(outcome) = timeout(wait.max(CONTROL_TIMEOUT), waiting).await {
            return local_result(outcome);
        }
        let query = JobQuery { wait_ms: 0, ..query };
        local_result(self.request_local(|tx| self.dispatcher.tell(Status { query, tx })).await)
    }

    /// Cancels a job that this entry owns.
    pub(crate) async fn cancel_here(&self, query: JobQuery) -> Result<JobStatus, Refusal> {
        local_result(self.request_local(|tx| self.dispatcher.tell(Cancel { query, tx })).await)
    }

    /// Completes when the partition of a job has another owner.
    async fn owner_changes(&self, id: JobId, owner: &EntryIdentity) {
        let partition = usize::from(Partition::of(id, self.partitions).0);
        let mut owners = self.owners.clone();
        let is_other =
            |owners: &Owners| owners.get(partition).and_then(Option::as_ref) != Some(owner);
        let _ = owners.wait_for(is_other).await;
    }

    async fn request_local<'a, F, Fut, E>(&self, send: F) -> RequestOutcome
    where
        F: FnOnce(StatusTx) -> Fut + 'a,
        Fut: IntoFuture<Output = Result<(), E>>,
    {
        let (tx, rx) = oneshot::channel();
        if send(tx).await.is_err() {
            return RequestOutcome::NotOwner;
        }
        match rx.await {
            Ok(Err(Refusal::OwnerChanging { .. })) => RequestOutcome::NotOwner,
            Ok(answer) => RequestOutcome::Answered(answer),
            Err(_) => RequestOutcome::NoReply(self.entry.clone()),
        }
    }

    /// Returns the state of a job, after waiting up to `wait_ms` of the query for its outcome.
    pub(crate) async fn status(&self, query: JobQuery) -> Result<JobStatus, Refusal> {
        let wait = Duration::from_millis(query.wait_ms);
        let waiting = self.request(query.clone(), RequestKind::Status);
        match timeout(wait, waiting).await {
            Ok(status) => status,
            Err(_) => self.request(JobQuery { wait_ms: 0, ..query }, RequestKind::Status).await,
        }
    }

    /// Cancels a job at its owner and returns its state.
    pub(crate) async fn cancel(&self, query: JobQuery) -> Result<JobStatus, Refusal> {
        self.request(query, RequestKind::Cancel).await
    }

    async fn request(
        &self,
        query: JobQuery,
        request_kind: RequestKind,
    ) -> Result<JobStatus, Refusal> {
        let wait = Duration::from_millis(query.wait_ms) + CONTROL_TIMEOUT;
        let deadline = Instant::now() + wait;
        let mut owner = None;
        while Instant::now() < deadline {
            match self.try_request(query.clone(), request_kind, deadline).await {
                RequestOutcome::Answered(answer) => return answer,
                RequestOutcome::NotOwner => {}
                RequestOutcome::NoReply(lost) => owner = Some(lost.name),
            }
            sleep(OWNER_RETRY_DELAY).await;
        }
        Err(owner.map_or(Refusal::OutcomeUnknown, |owner| Refusal::OwnerUnreachable { owner }))
    }

    async fn try_request(
        &self,
        query: JobQuery,
        request_kind: RequestKind,
        deadline: Instant,
    ) -> RequestOutcome {
        match self.owner(query.id) {
            None => RequestOutcome::NotOwner,
            Some(owner) if owner == self.entry => match request_kind {
                RequestKind::Status => {
                    self.request_local(|tx| self.dispatcher.tell(Status { query, tx })).await
                }
                RequestKind::Cancel => {
                    self.request_local(|tx| self.dispatcher.tell(Cancel { query, tx })).await
                }
            },
            Some(owner) => {
                let handle = self.peers.get_or_open(owner.addr);
                let Some(connection) = handle.connection(deadline).await else {
                    return RequestOutcome::NoReply(owner);
                };
                let client = &connection.client;
                let cx = context_until(deadline + REPLY_MARGIN);
                let answer = async {
                    match request_kind {
                        RequestKind::Status => client.status(cx, query).await,
                        RequestKind::Cancel => client.cancel(cx, query).await,
                    }
                };
                tokio::select! {
                    answer = timeout_at(deadline, answer) => match answer {
                        Ok(answer) => remote_outcome(answer, owner),
                        Err(_) => RequestOutcome::NoReply(owner),
                    },
                    () = handle.replaced(&connection) => RequestOutcome::NoReply(owner),
                }
            }
        }
    }
}

#[derive(Clone, Copy)]
enum RequestKind {
    Status,
    Cancel,
}

fn local_result(outcome: RequestOutcome) -> Result<JobStatus, Refusal> {
    match outcome {
        RequestOutcome::Answered(answer) => answer,
        RequestOutcome::NotOwner | RequestOutcome::NoReply(_) => {
            Err(Refusal::OwnerChanging { retry_after_ms: 0 })
        }
    }
}

fn remote_outcome(
    answer: Result<Result<JobStatus, Refusal>, tarpc::client::RpcError>,
    owner: EntryIdentity,
) -> RequestOutcome {
    match answer {
        Ok(Err(Refusal::OwnerChanging { .. })) => RequestOutcome::NotOwner,
        Ok(answer) => RequestOutcome::Answered(answer),
        Err(_) => RequestOutcome::NoReply(owner),
    }
}

fn context_until(deadline: Instant) -> context::Context {
    let mut cx = context::current();
    cx.deadline = deadline.into_std();
    cx
}
