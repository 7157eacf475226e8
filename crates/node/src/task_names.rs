//! Fields with which decision lines name tasks, so that a search for the name that callers and
//! executors know finds them.

use direct::{JobTasks, TaskId};
use platform::encode_task_name;
use serde_json::{Value, json};

/// Most tasks of a job that a line about the whole job names; the lines about a larger one have only
/// its id, with which the names of its tasks begin.
const MAX_NAMED_TASKS: u64 = 32;

/// Returns the fields of a line about one task.
pub(crate) fn task_fields(task: &TaskId) -> [(&'static str, Value); 2] {
    [("job", json!(&*task.job)), ("task", json!(encode_task_name(task)))]
}

/// Returns the names of tasks.
pub(crate) fn names(tasks: impl IntoIterator<Item = TaskId>) -> Value {
    tasks.into_iter().map(|task| encode_task_name(&task)).collect()
}

/// Returns the fields of a line about a whole job.
pub(crate) fn job_fields(tasks: &JobTasks) -> Vec<(&'static str, Value)> {
    let mut fields = vec![("job", json!(&*tasks.job))];
    if tasks.count() <= MAX_NAMED_TASKS {
        fields.push(("names", names(tasks.ids())));
    }
    fields
}
