//! Claims of jobs that this agent keeps for the entries.
//!
//! Load pattern: each job is claimed once, and nearly all claims are granted at once and forgotten
//! some seconds later. Only if two entries claim the same job, the one that has it is asked.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{
    Claim, ClaimEnd, ClaimId, ClaimNews, JobName, SessionKey, Timing,
    supervisor::{Supervisor, SupervisorEffect},
};

types::plain! {
    /// Claim of one entry.
    #[derive(Copy, Eq)]
    struct Claimant {
        session: SessionKey,
        id: ClaimId,
        /// Time of the claim or of its last renewal, milliseconds.
        renewed_ms: u64,
        is_running: bool,
    }

    /// Claims of one job: the first one is granted, and the others wait.
    #[derive(Default)]
    struct JobClaims {
        claimants: VecDeque<Claimant>,
        /// Time at which the holder was asked last, milliseconds.
        asked_ms: u64,
    }

    /// The claims of all jobs, in the order in which they were granted or renewed last.
    #[derive(Default)]
    pub(crate) struct Claims {
        jobs: IndexMap<JobName, JobClaims>,
        /// Time at which a session was found disconnected, milliseconds.
        gone: IndexMap<SessionKey, u64>,
        /// Time of the first handshake of an entry, milliseconds.
        first_hello_ms: Option<u64>,
        is_answering: bool,
        /// Whether some known entry has not connected since the start of this process.
        has_unconnected: bool,
        /// Time of the handshake that was awaited last, until the claims that follow it have been
        /// read, milliseconds.
        awaited_hello_ms: Option<u64>,
    }
}

impl Claims {
    /// Notes that the process of a session's entry has ended.
    pub(crate) fn on_session_end(&mut self, key: SessionKey, now_ms: u64) {
        self.gone.entry(key).or_insert(now_ms);
    }

    /// Notes that the entry of a session has connected.
    pub(crate) fn on_hello(&mut self, key: SessionKey, now_ms: u64) {
        self.gone.swap_remove(&key);
        self.first_hello_ms.get_or_insert(now_ms);
        if self.has_unconnected {
            self.awaited_hello_ms = Some(now_ms);
        }
    }

    /// Returns whether some entry may have jobs of which this agent does not know.
    pub(crate) fn awaits_entries(&self) -> bool {
        self.has_unconnected || self.awaited_hello_ms.is_some()
    }
}

impl JobClaims {
    /// Returns whether the runs of the holder have ended, because it has been silent or gone for so
    /// long.
    fn is_lost(&self, gone_ms: Option<u64>, timing: &Timing, now_ms: u64) -> bool {
        let (lost_after_ms, _) = timing.contested_claim_ms();
        let renewed_ms = self.claimants.front().map_or(0, |holder| holder.renewed_ms);
        let heard_ms = gone_ms.unwrap_or_else(|| renewed_ms.max(self.asked_ms));
        now_ms.saturating_sub(heard_ms) >= lost_after_ms
    }

    fn is_contested(&self) -> bool {
        self.claimants.len() > 1
    }

    /// Returns the question to the holder of a contested claim.
    fn question(&self, id: ClaimId) -> ClaimNews {
        let is_running = self.claimants.iter().skip(1).any(|waiting| waiting.is_running);
        if is_running { ClaimNews::AskedByRunning(id) } else { ClaimNews::Asked(id) }
    }
}

impl Supervisor {
    /// Handles a claim, which is granted unless another entry has claimed the job and may still have
    /// it.
    pub fn on_claim(
        &mut self,
        key: SessionKey,
        claim: &Claim,
        now_ms: u64,
    ) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        let job = self.claims.jobs.entry(claim.job.clone()).or_default();
        let is_expired = !job.is_contested()
            && job.claimants.front().is_some_and(|holder| {
                now_ms.saturating_sub(holder.renewed_ms) >= self.timing.claim_ttl_ms()
            });
        let gone_ms =
            job.claimants.front().and_then(|holder| self.claims.gone.get(&holder.session));
        let is_gone = gone_ms.is_some() && job.is_lost(gone_ms.copied(), &self.timing, now_ms);
        if is_expired || (is_gone && !job.is_contested()) {
            job.claimants.clear();
        }
        let claimant = Claimant {
            session: key,
            id: claim.id,
            renewed_ms: now_ms,
            is_running: claim.is_running,
        };
        let known = job.claimants.iter_mut().find(|known| known.session == key);
        // An entry starts a job again only when its earlier runs have ended, so its new claim
        // replaces the one before, which it may still renew.
        let known_id = known.map(|known| {
            let id = known.id;
            *known = Claimant { id: id.max(claim.id), ..claimant };
            id
        });
        if !self.claims.is_answering {
            if known_id.is_none() && claim.is_running {
                job.claimants.push_front(claimant);
            } else if known_id.is_none() {
                job.claimants.push_back(claimant);
            }
            return effects;
        }
        if known_id.is_none() {
            job.claimants.push_back(claimant);
        }
        let is_renewal = known_id.is_some_and(|id| id >= claim.id);
        let (holder, is_contested) = (job.claimants[0], job.is_contested());
        if holder.session == key {
            let question = job.question(claim.id);
            self.tell(key, ClaimNews::Granted(claim.id), &mut effects);
            if is_contested && !is_renewal {
                self.tell(key, question, &mut effects);
            }
            return effects;
        }
        let question = job.question(holder.id);
        self.tell(key, ClaimNews::Contested(claim.id), &mut effects);
        if known_id.is_none() {
            self.ask(&claim.job, now_ms, &mut effects);
            let (job, holder) = (claim.job.clone(), holder.session);
            effects.push(SupervisorEffect::ClaimContested { job, holder, claimant: key });
        } else if claim.is_running {
            // It may have started since, or the holder has ended its runs since the last question.
            self.tell(holder.session, question, &mut effects);
        }
        effects
    }

    /// Sets whether some entry that this agent knows, and that may have jobs, has not connected since
    /// the start of this process.
    pub fn set_has_unconnected(&mut self, has_unconnected: bool) -> Vec<SupervisorEffect> {
        let was_known = !self.claims.awaits_entries();
        self.claims.has_unconnected = has_unconnected;
        // The end is reported by `tick`, when the claims of the last entry have been read.
        if was_known && has_unconnected { self.report_all() } else { Vec::new() }
    }

    /// Returns whether claims are answered: a process that has just started first learns which jobs
    /// the entries have.
    pub fn answers_claims(&self) -> bool {
        self.claims.is_answering
    }

    /// Handles the end of a claim. If the job has ended with it, the other claimants get its
    /// outcome; otherwise the next one gets the job.
    pub fn on_claim_end(
        &mut self,
        key: SessionKey,
        id: ClaimId,
        end: ClaimEnd,
        now_ms: u64,
    ) -> Vec<SupervisorEffect> {
        let mut effects = Vec::new();
        let is_ended = |claimant: &Claimant| claimant.session == key && claimant.id == id;
        let found = self.claims.jobs.iter().find_map(|(name, job)| {
            let place = job.claimants.iter().position(is_ended)?;
            Some((name.clone(), place))
        });
        let Some((name, place)) = found else { return effects };
        if place > 0 {
            let Some(job) = self.claims.jobs.get_mut(&name) else { return effects };
            job.claimants.remove(place);
            if end == ClaimEnd::Cancelled {
                let holder = job.claimants[0];
                self.tell(holder.session, ClaimNews::Cancelled(holder.id), &mut effects);
            }
            return effects;
        }
        match end {
            ClaimEnd::Released => self.pass_on(&name, Some(end), now_ms, &mut effects),
            ClaimEnd::Succeeded | ClaimEnd::Failed | ClaimEnd::Cancelled => {
                let job = self.claims.jobs.swap_remove(&name).unwrap_or_default();
                let is_contested = job.is_contested();
                for waiting in job.claimants.into_iter().skip(1) {
                    self.tell(waiting.session, ClaimNews::Shared(waiting.id, end), &mut effects);
                }
                if is_contested {
                    let end = Some(end);
                    effects.push(SupervisorEffect::ClaimEnded { job: name, holder: key, end });
                }
            }
        }
        effects
    }

    /// Notes since when sessions have no connection. Those of a replaced entry are gone for good.
    fn note_gone_sessions(&mut self, now_ms: u64) {
        let ttl_ms = self.timing.claim_ttl_ms();
        let is_connected = |key: &SessionKey| {
            self.sessions.values().any(|(known, session)| known == key && session.is_connected)
        };
        let gone = &mut self.claims.gone;
        gone.retain(|key, ms| now_ms.saturating_sub(*ms) < ttl_ms && !is_connected(key));
        for (key, session) in self.sessions.values() {
            if !session.is_connected && now_ms.saturating_sub(session.last_heard_ms) < ttl_ms {
                gone.entry(*key).or_insert(now_ms);
            }
        }
    }

    /// Answers the claims that came while the process had just started.
    fn begin_answering(&mut self, now_ms: u64, effects: &mut Vec<SupervisorEffect>) {
        self.claims.is_answering = true;
        let jobs: Vec<(JobName, JobClaims)> =
            self.claims.jobs.iter().map(|(name, job)| (name.clone(), job.clone())).collect();
        for (name, job) in jobs {
            for (place, claimant) in job.claimants.iter().enumerate() {
                let answer = if place == 0 { ClaimNews::Granted } else { ClaimNews::Contested };
                self.tell(claimant.session, answer(claimant.id), effects);
            }
            if job.is_contested() {
                self.ask(&name, now_ms, effects);
            }
        }
    }

    /// Passes contested claims on whose holders have been silent until their runs have ended, and
    /// forgets claims that were not renewed.
    pub(crate) fn expire_claims(&mut self, now_ms: u64, effects: &mut Vec<SupervisorEffect>) {
        let grace_ms = self.timing.claim_grace_ms();
        let is_known = self.claims.first_hello_ms.is_some_and(|ms| now_ms >= ms + grace_ms);
        if !self.claims.is_answering && is_known {
            self.begin_answering(now_ms, effects);
        }
        let has_awaited = self.claims.awaits_entries();
        self.claims.awaited_hello_ms =
            self.claims.awaited_hello_ms.filter(|ms| now_ms < ms + grace_ms);
        if has_awaited && !self.claims.awaits_entries() {
            effects.extend(self.report_all());
        }
        self.note_gone_sessions(now_ms);
        let ttl_ms = self.timing.claim_ttl_ms();
        let mut lost = Vec::new();
        self.claims.jobs.retain(|name, job| {
            let Some(holder) = job.claimants.front() else { return false };
            if !job.is_contested() {
                return now_ms.saturating_sub(holder.renewed_ms) < ttl_ms;
            }
            let gone_ms = self.claims.gone.get(&holder.session).copied();
            if job.is_lost(gone_ms, &self.timing, now_ms) {
                lost.push(name.clone());
            }
            true
        });
        for name in lost {
            self.pass_on(&name, None, now_ms, effects);
        }
    }

    /// Grants a job to the claimant that has waited longest.
    fn pass_on(
        &mut self,
        name: &JobName,
        end: Option<ClaimEnd>,
        now_ms: u64,
        effects: &mut Vec<SupervisorEffect>,
    ) {
        let Some(job) = self.claims.jobs.get_mut(name) else { return };
        let Some(holder) = job.claimants.pop_front() else { return };
        let (next, is_contested) = (job.claimants.front().copied(), job.is_contested());
        let Some(next) = next else {
            self.claims.jobs.swap_remove(name);
            return;
        };
        let (job, session) = (name.clone(), holder.session);
        effects.push(SupervisorEffect::ClaimEnded { job, holder: session, end });
        if end.is_none() {
            // A job that waits elsewhere must not start later by the grant that it has lost here.
            self.tell(session, ClaimNews::Contested(holder.id), effects);
        }
        self.tell(next.session, ClaimNews::Granted(next.id), effects);
        if is_contested {
            self.ask(name, now_ms, effects);
        }
    }

    /// Asks the holder of a contested claim to renew it and to report its end.
    fn ask(&mut self, name: &JobName, now_ms: u64, effects: &mut Vec<SupervisorEffect>) {
        let Some(job) = self.claims.jobs.get_mut(name) else { return };
        job.asked_ms = now_ms;
        let Some(holder) = job.claimants.front().copied() else { return };
        let question = job.question(holder.id);
        self.tell(holder.session, question, effects);
    }

    /// Repeats what an entry must know of contested claims: it may have been lost with an earlier
    /// connection.
    pub(crate) fn repeat_claim_news(&mut self, key: SessionKey) {
        let contested = self.claims.jobs.values().filter(|job| job.is_contested());
        let news: Vec<ClaimNews> = contested
            .filter_map(|job| {
                let place = job.claimants.iter().position(|claimant| claimant.session == key)?;
                let id = job.claimants[place].id;
                Some(if place == 0 { job.question(id) } else { ClaimNews::Contested(id) })
            })
            .collect();
        if let Some(session) = self.session_mut(key) {
            let is_unsent = |item: &ClaimNews| session.unsent_claims.contains(item);
            let repeated: Vec<ClaimNews> =
                news.into_iter().filter(|item| !is_unsent(item)).collect();
            session.unsent_claims.extend(repeated);
        }
    }

    fn tell(&mut self, key: SessionKey, news: ClaimNews, effects: &mut Vec<SupervisorEffect>) {
        if let Some(session) = self.session_mut(key) {
            session.unsent_claims.push(news);
            effects.push(SupervisorEffect::Report(key));
        }
    }
}
