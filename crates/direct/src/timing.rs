use std::fmt;

/// Maximum error of an executor's lease clock: it may run this many percent slow.
const LEASE_CLOCK_ERROR_PERCENT: u64 = 2;

types::settings! {
    /// Timeouts and periods that bound when runs end, milliseconds.
    #[derive(Copy, Eq)]
    #[serde(default)]
    pub struct Timing {
        /// Maximum duration of a lease, which an upstream gets for all its runs together.
        pub lease_ms: u64,
        /// Time after which an agent stops the runs of an entry, counted from the sending of the
        /// agent's last report that the entry had read when it sent its last message.
        pub session_ms: u64,
        /// Time that an upstream needs to stop a run, as the platform specifies it.
        pub stop_ms: u64,
        /// Time by which an upstream on a busy machine may end a run too late: a period of the quota of
        /// a process that has used up its processor time.
        pub upstream_delay_ms: u64,
        /// Time after which a caller resubmits an unanswered job, as the platform specifies it.
        pub resend_ms: u64,
        /// Heartbeat period on an active link without other messages.
        pub heartbeat_ms: u64,
        /// Time without a message after which the connection of an active link is replaced.
        pub silence_ms: u64,
        /// Heartbeat period on a link on standby.
        pub standby_heartbeat_ms: u64,
        /// Time without a message after which the connection of a link on standby is replaced.
        pub standby_silence_ms: u64,
        /// Time for which a job whose request may have been held up is held: if its caller has gone,
        /// the end of the connection follows the request within a round trip.
        pub end_wait_ms: u64,
        /// Time that an entry waits for the answer to a claim before the job starts without one: a
        /// period of the processor quota of an agent that has used it up.
        pub claim_wait_ms: u64,
        /// Timeout of a call to an upstream.
        pub call_ms: u64,
        /// Gap between two readings of the clock that counts as a suspension of the process.
        pub suspension_ms: u64,
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 1_000,
            session_ms: 900,
            stop_ms: 50,
            upstream_delay_ms: 100,
            resend_ms: 1_300,
            heartbeat_ms: 200,
            silence_ms: 550,
            standby_heartbeat_ms: 3_000,
            standby_silence_ms: 8_000,
            end_wait_ms: 10,
            claim_wait_ms: 100,
            call_ms: 100,
            suspension_ms: 400,
        }
    }
}

types::plain! {
    /// Inconsistent timeouts, with which two runs of a task might overlap.
    #[derive(Eq)]
    pub enum BoundsError {
        /// Runs of an unresponsive entry may end after its callers resubmit their jobs.
        SessionOutlivesResend {
            /// Time from an entry's last message until its runs have ended, if one stop call is
            /// lost, milliseconds.
            end_ms: u64,
            /// Time after which callers resubmit, milliseconds.
            resend_ms: u64,
        },
        /// A connection without messages is replaced only after the session on it has ended.
        SilenceOutlivesSession,
        /// A healthy link is replaced between two of its heartbeats.
        HeartbeatOutlivesSilence,
    }
}

impl fmt::Display for BoundsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SessionOutlivesResend { end_ms, resend_ms } => write!(
                f,
                "runs of a silent entry end after {end_ms} ms, but clients ask again after \
                 {resend_ms} ms; shorten session_ms, stop_ms, upstream_delay_ms or call_ms"
            ),
            Self::SilenceOutlivesSession => {
                f.write_str("silence_ms must be shorter than session_ms")
            }
            Self::HeartbeatOutlivesSilence => f.write_str(
                "heartbeat_ms must be shorter than silence_ms, and standby_heartbeat_ms than \
                 standby_silence_ms",
            ),
        }
    }
}

impl Timing {
    /// Returns the duration of the leases that are granted, milliseconds. A longer one would keep a
    /// run whose entry was alive one heartbeat ago from starting within its limit.
    pub fn granted_lease_ms(&self) -> u64 {
        self.lease_ms.min(self.run_limit_ms().saturating_sub(self.heartbeat_ms))
    }

    /// Returns the time from granting an upstream's last lease until all its runs have ended,
    /// milliseconds. An upstream that does not answer is probably late with that, too.
    pub fn lease_end_ms(&self) -> u64 {
        let lease_ms = self.granted_lease_ms();
        lease_ms + lease_ms * LEASE_CLOCK_ERROR_PERCENT / 100 + self.stop_end_ms()
    }

    /// Returns the time from the last proof that an entry lives until all its runs have ended, if
    /// their stops are answered, milliseconds.
    pub fn session_end_ms(&self) -> u64 {
        self.session_ms + self.call_ms + self.stop_end_ms()
    }

    /// Returns the age at which an agent no longer carries out a start, milliseconds: the time since
    /// the sending of its last report that the entry had read when it sent the start.
    pub fn max_start_age_ms(&self) -> u64 {
        self.silence_ms
    }

    /// Returns the age below which a request cannot have been sent again by the time at which a run
    /// that it starts has been stopped, milliseconds. The start may be under way for as long as its
    /// agent accepts it.
    pub fn max_request_age_ms(&self) -> u64 {
        let stopped_ms = self.max_start_age_ms() + self.call_ms + self.stop_end_ms();
        self.resend_ms.saturating_sub(stopped_ms)
    }

    /// Returns the time from the last proof that an entry lives after which no lease may protect its
    /// runs any more, milliseconds: whatever happens to their stops, they end before the callers
    /// resubmit, at a late upstream too.
    pub fn run_limit_ms(&self) -> u64 {
        let limit_ms = self.resend_ms.saturating_sub(self.stop_end_ms());
        limit_ms * 100 / (100 + LEASE_CLOCK_ERROR_PERCENT)
    }

    /// Returns the time from an agent's last report until all runs of the entry that read it have
    /// ended, milliseconds: no lease protects a run beyond its limit.
    pub fn lost_after_ms(&self) -> u64 {
        self.resend_ms
    }

    /// Returns the time after the acknowledgement of a stop from which the run has ended if nothing is
    /// known of it, milliseconds.
    pub fn stop_end_ms(&self) -> u64 {
        self.stop_ms + self.upstream_delay_ms
    }

    /// Returns the time after which a run counts as ended that the lists of its upstream omit without
    /// having shown its end, milliseconds. An upstream may omit a run while it ends, so this is only
    /// for ends that are lost or cannot be decoded.
    pub fn missing_after_ms(&self) -> u64 {
        self.lost_after_ms()
    }

    /// Returns the time after which a claim that is not renewed is forgotten, milliseconds.
    pub fn claim_ttl_ms(&self) -> u64 {
        2 * self.claim_renewal_ms() + self.claim_wait_ms
    }

    /// Returns the period in which an entry renews the claim of a job that has not ended,
    /// milliseconds: rarely, because most jobs end within it.
    pub fn claim_renewal_ms(&self) -> u64 {
        2 * self.resend_ms
    }

    /// Returns the time for which an agent that has just connected answers no claims, milliseconds:
    /// within it, the other entries connect and claim the jobs that they have. Shorter than the wait
    /// for an answer.
    pub fn claim_grace_ms(&self) -> u64 {
        self.claim_wait_ms / 2
    }

    /// Returns the time after which the runs of a holder that does not renew a contested claim have
    /// ended, milliseconds, and the period in which the holder renews it.
    pub fn contested_claim_ms(&self) -> (u64, u64) {
        (self.lost_after_ms(), self.heartbeat_ms)
    }

    /// Checks that the runs of a failed entry end before its callers resubmit their jobs.
    ///
    /// # Errors
    ///
    /// Returns the inconsistency if the runs of a session end too late, if a connection is
    /// replaced only after its session has ended, or if a healthy connection is replaced.
    pub fn check(&self) -> Result<(), BoundsError> {
        // All runs of an upstream share a lease, so those of a failed entry must have ended by its
        // limit; otherwise the runs of other entries end with them.
        let limit_ms = self.run_limit_ms();
        if self.session_ms + self.call_ms > limit_ms {
            let end_ms = self.session_end_ms()
                + self.resend_ms.saturating_sub(limit_ms + self.stop_end_ms());
            return Err(BoundsError::SessionOutlivesResend { end_ms, resend_ms: self.resend_ms });
        }
        if self.silence_ms >= self.session_ms {
            return Err(BoundsError::SilenceOutlivesSession);
        }
        if self.heartbeat_ms >= self.silence_ms
            || self.standby_heartbeat_ms >= self.standby_silence_ms
        {
            return Err(BoundsError::HeartbeatOutlivesSilence);
        }
        Ok(())
    }
}
