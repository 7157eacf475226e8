use futures::future::BoxFuture;
use types::Payload;

use crate::{ExecutorError, RunRequest};

/// An upstream that answers requests.
pub trait Executor: Send + Sync + 'static {
    /// Runs one task and returns the executor's JSON document.
    ///
    /// # Errors
    ///
    /// [`ExecutorError`] tells whether the task may have started.
    fn run(&self, req: RunRequest) -> BoxFuture<'_, Result<Payload, ExecutorError>>;
}
