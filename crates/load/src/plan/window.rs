types::settings! {
    /// A part of the run that is reported separately. A job belongs to the window that contains
    /// its planned time of sending.
    pub struct Window {
        /// Name in the report.
        pub name: String,
        /// Start in seconds from the start of the run.
        pub from_s: f64,
        /// End in seconds from the start of the run.
        pub to_s: f64,
    }
}

impl Window {
    pub(crate) fn contains(&self, at_s: f64) -> bool {
        (self.from_s..self.to_s).contains(&at_s)
    }

    pub(crate) fn length_s(&self) -> f64 {
        self.to_s - self.from_s
    }
}
