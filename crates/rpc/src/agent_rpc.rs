use types::AttemptKey;

use crate::{
    AttemptState, CancelBatch, Hello, HelloReply, StartedQuery, StartedReport, TaskReply, TaskStart,
};

/// Calls that entries make to agents.
#[tarpc::service]
pub trait AgentRpc {
    /// Opens a link or, on an open one, updates or confirms the partitions that the entry owns.
    async fn hello(hello: Hello) -> HelloReply;
    /// Runs one attempt and replies when it has ended.
    async fn run(start: TaskStart) -> TaskReply;
    /// Recalls queued attempts and, on request, stops running ones.
    async fn cancel(batch: CancelBatch);
    /// Returns the states of attempts in the order of `keys`, or none if the agent has stopped.
    /// Attempts that the agent does not know are refused from then on.
    async fn inquire(keys: Vec<AttemptKey>) -> Vec<AttemptState>;
    /// Reports the attempts of partitions to their new owner and refuses starts by earlier owners
    /// from then on.
    async fn started(query: StartedQuery) -> StartedReport;
}
