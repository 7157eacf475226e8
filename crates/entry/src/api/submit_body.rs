use std::fmt;

use serde::{
    Deserialize, Deserializer,
    de::{self, DeserializeSeed, SeqAccess, Visitor},
};
use serde_json::value::RawValue;
use types::{Digest, JobId, KindName, ServiceName};

/// Body of a submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SubmitBody<'a> {
    id: String,
    kind: String,
    #[serde(default)]
    pub(crate) deadline_ms: Option<u64>,
    #[serde(borrow)]
    tasks: &'a RawValue,
}

impl<'a> SubmitBody<'a> {
    pub(crate) fn job_id(&self) -> Result<JobId, String> {
        self.id.parse().map_err(|e| format!("id: {e}"))
    }

    pub(crate) fn kind(&self) -> Result<KindName, String> {
        self.kind.parse().map_err(|e| format!("kind: {e}"))
    }

    /// Returns the tasks, of which there must be 1 to `max`.
    pub(crate) fn tasks(&self, max: usize) -> Result<Vec<&'a RawValue>, String> {
        let mut deserializer = serde_json::Deserializer::from_str(self.tasks.get());
        let tasks = TaskList { max }.deserialize(&mut deserializer);
        let tasks = tasks.map_err(|e| format!("tasks: {e}"))?;
        if tasks.is_empty() {
            return Err("tasks: must hold at least one task".to_owned());
        }
        Ok(tasks)
    }

    /// Returns the digest of the service, the kind and the tasks, which a resubmission must repeat.
    pub(crate) fn digest(&self, service: &ServiceName, tasks: &[&RawValue]) -> Digest {
        let head = [service.as_str().as_bytes(), self.kind.as_bytes()];
        let tasks = tasks.iter().map(|task| task.get().as_bytes());
        Digest::of_parts(head.into_iter().chain(tasks))
    }
}

/// A list of at most `max` tasks. Longer lists are not read to their end: each element of a list of
/// small ones takes a multiple of its text.
struct TaskList {
    max: usize,
}

impl<'de> DeserializeSeed<'de> for TaskList {
    type Value = Vec<&'de RawValue>;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for TaskList {
    type Value = Vec<&'de RawValue>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of tasks")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Self::Value, A::Error> {
        let mut tasks = Vec::new();
        while let Some(task) = seq.next_element()? {
            if tasks.len() == self.max {
                return Err(de::Error::custom(format!("must hold at most {} tasks", self.max)));
            }
            tasks.push(task);
        }
        Ok(tasks)
    }
}
