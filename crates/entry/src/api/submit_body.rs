use serde::Deserialize;
use serde_json::value::RawValue;
use types::{Digest, JobId, KindName, Payload, ServiceName};

/// Body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SubmitBody {
    id: String,
    kind: String,
    #[serde(default)]
    pub(crate) deadline_ms: Option<u64>,
    tasks: Vec<Box<RawValue>>,
}

impl SubmitBody {
    pub(crate) fn job_id(&self) -> Result<JobId, String> {
        self.id.parse().map_err(|e| format!("id: {e}"))
    }

    pub(crate) fn kind(&self) -> Result<KindName, String> {
        self.kind.parse().map_err(|e| format!("kind: {e}"))
    }

    /// Returns the digest of the service, the kind and the tasks, which a resubmission must repeat.
    pub(crate) fn digest(&self, service: &ServiceName) -> Digest {
        let head = [service.as_str().as_bytes(), self.kind.as_bytes()];
        let tasks = self.tasks.iter().map(|task| task.get().as_bytes());
        Digest::of_parts(head.into_iter().chain(tasks))
    }

    pub(crate) fn into_tasks(self) -> Vec<Payload> {
        self.tasks.into_iter().map(|task| Payload::from_json(task.get())).collect()
    }
}
