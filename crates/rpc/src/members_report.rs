use crate::Announcement;

types::wire! {
    /// Agents that an entry knows.  An entry that starts reads them from another entry.
    pub struct MembersReport {
        /// The latest announcement of each agent.
        pub announcements: Vec<Announcement>,
    }
}
