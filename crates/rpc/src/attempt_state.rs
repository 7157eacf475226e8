use crate::TaskResult;

types::wire! {
    /// State of an attempt, reported by its agent.
    pub enum AttemptState {
        /// The attempt never started, and the agent refuses it from now on.
        NeverStarted,
        /// The attempt waits in the agent's queue.
        Queued,
        /// The attempt is running.
        Running,
        /// The attempt has ended.
        Ended(TaskResult),
        /// The attempt has ended and the agent has discarded its answer.
        AnswerGone,
    }
}
