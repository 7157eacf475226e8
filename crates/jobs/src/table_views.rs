use types::JobId;

use crate::{JobTable, Submission};

impl<W> JobTable<W> {
    /// Returns a job in progress as it was submitted, or `None` if it is not in progress.
    pub fn submission(&self, id: JobId) -> Option<Submission> {
        let job = self.live.get(&id)?;
        Some(Submission {
            terms: job.terms.clone(),
            payloads: job.payloads.clone(),
            wait: job.wait,
        })
    }
}
