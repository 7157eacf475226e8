types::settings! {
    /// Fair share and quota of a team.
    pub struct TeamConfig {
        /// Weight of the team's fair share.
        pub weight: u32,
        /// Most slots that the team's tasks may occupy at once, summed over all entries; no
        /// limit if absent.
        #[serde(default)]
        pub quota_slots: Option<u32>,
    }
}
