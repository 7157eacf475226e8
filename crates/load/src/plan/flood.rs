use types::TeamName;

types::settings! {
    /// A period during which a team sends at a multiple of its rate.
    pub struct Flood {
        /// The team.
        pub team: TeamName,
        /// Start in seconds from the start of the run.
        pub from_s: f64,
        /// End in seconds from the start of the run.
        pub to_s: f64,
        /// Factor on the rate of every stream of the team.
        pub factor: f64,
    }
}
