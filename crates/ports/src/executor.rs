use futures::future::BoxFuture;
use types::Payload;

use crate::{ExecutorError, RunRequest};

/// A back-end server that runs tasks and returns their answers.
pub trait Executor: Send + Sync + 'static {
    /// Runs one task and returns the executor's JSON document.
    ///
    /// # Errors
    ///
    /// [`ExecutorError`] states whether the task may have started.
    fn run(&self, req: RunRequest) -> BoxFuture<'_, Result<Payload, ExecutorError>>;
}
