use std::fmt;

/// Error of an executor's lease clock: it may be this many percent slow.
const LEASE_CLOCK_ERROR_PERCENT: u64 = 2;

types::settings! {
    /// Times that the end of runs depends on, milliseconds.
    #[derive(Copy, Eq)]
    #[serde(default)]
    pub struct Timing {
        /// Lease that an upstream is given for everything that runs on it.
        pub lease_ms: u64,
        /// Silence of an entry after which an agent stops what runs for it.
        pub session_ms: u64,
        /// How long an upstream takes for a stop, as the platform states it.
        pub stop_ms: u64,
        /// When a client sends an unanswered job again, as the platform states it.
        pub resend_ms: u64,
        /// Period of signs of life on a connection that is otherwise idle.
        pub heartbeat_ms: u64,
        /// Silence after which a connection is replaced.
        pub silence_ms: u64,
        /// Time within which an upstream must answer a call.
        pub call_ms: u64,
        /// A jump of the clock between two events that is held for a suspension.
        pub suspension_ms: u64,
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 1_000,
            session_ms: 900,
            stop_ms: 50,
            resend_ms: 1_300,
            heartbeat_ms: 200,
            silence_ms: 550,
            call_ms: 100,
            suspension_ms: 400,
        }
    }
}

types::plain! {
    /// Bounds that do not add up, so that a task might run twice at the same time.
    #[derive(Eq)]
    pub enum BoundsError {
        /// Runs of a silent entry end later than its clients ask again.
        SessionOutlivesResend {
            /// Silence, one lost stop and the stop itself, milliseconds.
            end_ms: u64,
            /// When clients ask again, milliseconds.
            resend_ms: u64,
        },
        /// A connection is replaced later than the session on it ends.
        SilenceOutlivesSession,
    }
}

impl fmt::Display for BoundsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SessionOutlivesResend { end_ms, resend_ms } => write!(
                f,
                "runs of a silent entry end after {end_ms} ms, but clients ask again after \
                 {resend_ms} ms; shorten session_ms, stop_ms or call_ms"
            ),
            Self::SilenceOutlivesSession => {
                f.write_str("silence_ms must be shorter than session_ms")
            }
        }
    }
}

impl Timing {
    /// Returns when everything has ended on an upstream whose last lease was given now.
    pub fn lease_end_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms * LEASE_CLOCK_ERROR_PERCENT / 100 + self.stop_ms
    }

    /// Returns when every run of an entry has ended that has fallen silent now.
    pub fn session_end_ms(&self) -> u64 {
        self.session_ms + self.call_ms + self.stop_ms
    }

    /// Checks that runs of a dead sender have ended before its clients ask again.
    ///
    /// # Errors
    ///
    /// When the bounds do not add up.
    pub fn check(&self) -> Result<(), BoundsError> {
        if self.session_end_ms() > self.resend_ms {
            let (end_ms, resend_ms) = (self.session_end_ms(), self.resend_ms);
            return Err(BoundsError::SessionOutlivesResend { end_ms, resend_ms });
        }
        if self.silence_ms >= self.session_ms {
            return Err(BoundsError::SilenceOutlivesSession);
        }
        Ok(())
    }
}
