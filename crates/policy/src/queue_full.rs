use thiserror::Error;
use types::TeamName;

/// Reason for which a queue accepts no more tasks of a team.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum QueueFull {
    /// The team would exceed its limit of queued tasks of the class.
    #[error("team {team} may queue at most {limit} tasks of one class")]
    Tasks {
        /// The team.
        team: TeamName,
        /// Most tasks that the team may queue in one class.
        limit: usize,
    },
    /// The team would exceed its limit of bytes of the class, which depends on the free
    /// memory of the queue.
    #[error("team {team} may queue at most {limit} bytes of one class at present")]
    Bytes {
        /// The team.
        team: TeamName,
        /// Most bytes that the team may queue in the class at present.
        limit: usize,
    },
}
