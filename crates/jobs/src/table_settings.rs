types::plain! {
    /// Limits of a [`crate::JobTable`]; they must be the same on every entry of a deployment.
    #[derive(Copy, Eq)]
    pub struct TableSettings {
        pub(crate) window_ms: u64,
        pub(crate) clock_skew_ms: u64,
        pub(crate) late_submission_ms: u64,
        pub(crate) confirmation_validity_ms: u64,
        pub(crate) max_answer_bytes: usize,
        pub(crate) max_finished: usize,
        pub(crate) max_recorded_payload_bytes: usize,
    }

    /// Builder of [`TableSettings`].
    #[derive(Copy, Eq)]
    pub struct TableSettingsBuilder(TableSettings);
}

impl TableSettings {
    /// Returns a builder that starts from the defaults.
    pub fn builder() -> TableSettingsBuilder {
        TableSettingsBuilder(Self::default())
    }

    /// Returns the age in milliseconds beyond which nothing is stored about a job id: the
    /// window plus the clock skew.
    pub fn retention_ms(&self) -> u64 {
        self.window_ms.saturating_add(self.clock_skew_ms)
    }

    /// Returns the time in milliseconds for which a confirmation of ownership is valid; an
    /// owner may start attempts only within it.
    pub fn confirmation_validity_ms(&self) -> u64 {
        self.confirmation_validity_ms
    }
}

impl Default for TableSettings {
    fn default() -> Self {
        Self {
            window_ms: 600_000,
            clock_skew_ms: 2_000,
            late_submission_ms: 10_000,
            confirmation_validity_ms: 1_000,
            max_answer_bytes: 64 * 1024 * 1024,
            max_finished: 1_000_000,
            max_recorded_payload_bytes: 4 * 1024,
        }
    }
}

impl TableSettingsBuilder {
    /// Sets the window in milliseconds for which submissions are remembered.
    pub fn window_ms(mut self, window_ms: u64) -> Self {
        self.0.window_ms = window_ms;
        self
    }

    /// Sets the largest expected difference between two wall clocks, in milliseconds.
    pub fn clock_skew_ms(mut self, clock_skew_ms: u64) -> Self {
        self.0.clock_skew_ms = clock_skew_ms;
        self
    }

    /// Sets the age of a job id in milliseconds beyond which its acceptance record must be
    /// durable before the first start, whatever the kind of job requires.
    pub fn late_submission_ms(mut self, late_submission_ms: u64) -> Self {
        self.0.late_submission_ms = late_submission_ms;
        self
    }

    /// Sets the time in milliseconds for which a confirmation of ownership is valid. Only
    /// within it may an owner start attempts and claim that a job was not run.
    pub fn confirmation_validity_ms(mut self, confirmation_validity_ms: u64) -> Self {
        self.0.confirmation_validity_ms = confirmation_validity_ms;
        self
    }

    /// Sets the limit in bytes for the answers of finished jobs.
    pub fn max_answer_bytes(mut self, max_answer_bytes: usize) -> Self {
        self.0.max_answer_bytes = max_answer_bytes;
        self
    }

    /// Sets the largest number of finished jobs that are remembered; beyond it, the oldest ids
    /// count as expired.
    pub fn max_finished(mut self, max_finished: usize) -> Self {
        self.0.max_finished = max_finished;
        self
    }

    /// Sets the largest total of payload bytes that the acceptance record of a job includes;
    /// payloads are recorded only if the caller does not wait for the outcome.
    pub fn max_recorded_payload_bytes(mut self, max_recorded_payload_bytes: usize) -> Self {
        self.0.max_recorded_payload_bytes = max_recorded_payload_bytes;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> TableSettings {
        self.0
    }
}
