//! Which jobs crash upstreams.
//!
//! Load pattern: a few tasks crash every upstream that starts them. A job that is started again
//! without limit takes down one upstream after the other, and a dozen runs of other jobs are lost
//! with each, so that sharing a crash proves little. A job is given up only when one of its tasks
//! was there in at least two crashes that leave no other suspect, or in three of which one does.
//! Upstreams that crash at the same moment have a cause of their own and nobody is suspected.

use std::collections::VecDeque;

use indexmap::IndexMap;

use crate::{Crash, JobName, Suspect, dispatcher::AgentKey};

/// Number of crashes without another suspect that prove a task to be the cause.
const PROVING_CRASHES: u32 = 2;
/// Number of crashes that prove it if there was no other suspect of one of them.
const MAX_CRASHES: u32 = 3;
/// Number of crashes within a time, milliseconds, that have a common cause outside.
const COMMON_CAUSE_CRASHES: usize = 3;
const COMMON_CAUSE_MS: u64 = 10;
/// How long crashes are remembered, milliseconds: longer than callers resubmit a job.
const MEMORY_MS: u64 = 30_000;
/// Maximum number of crashes that are remembered.
const MAX_CRASHES_KEPT: usize = 512;

types::plain! {
    /// What the crashes say about a job.
    #[derive(Copy, Eq)]
    pub(crate) enum Suspicion {
        /// No upstream has crashed under it.
        None,
        /// It may have crashed an upstream.
        Suspected,
        /// It has crashed upstreams and is not started any more.
        Proven,
    }

    /// One crash.
    struct SeenCrash {
        agent: AgentKey,
        incarnation: u64,
        at_ms: u64,
        suspects: Vec<Suspect>,
    }

    /// Crashes in which one task was suspected.
    #[derive(Copy, Default)]
    struct TaskCrashes {
        crashes: u32,
        /// Crashes without suspects of another job.
        sole: u32,
    }

    /// The crashes that this entry has learned of.
    #[derive(Default)]
    pub(crate) struct CrashLedger {
        seen: VecDeque<SeenCrash>,
        /// Suspected tasks of each job, by step and position.
        jobs: IndexMap<JobName, IndexMap<(u16, u32), TaskCrashes>>,
    }
}

impl CrashLedger {
    /// Records a crash; returns whether it was unknown.
    pub(crate) fn record(&mut self, agent: AgentKey, crash: Crash, now_ms: u64) -> bool {
        let is_known =
            |seen: &SeenCrash| seen.agent == agent && seen.incarnation == crash.incarnation;
        if self.seen.iter().any(is_known) {
            return false;
        }
        self.seen.retain(|seen| now_ms < seen.at_ms + MEMORY_MS);
        if self.seen.len() >= MAX_CRASHES_KEPT {
            self.seen.pop_front();
        }
        let at_ms = now_ms.saturating_sub(crash.age_ms);
        let Crash { incarnation, suspects, .. } = crash;
        self.seen.push_back(SeenCrash { agent, incarnation, at_ms, suspects });
        let is_near = |seen: &SeenCrash| seen.at_ms.abs_diff(at_ms) <= COMMON_CAUSE_MS;
        if self.seen.iter().filter(|seen| is_near(seen)).count() >= COMMON_CAUSE_CRASHES {
            let near = self.seen.iter_mut().filter(|seen| is_near(seen));
            near.for_each(|seen| seen.suspects.clear());
        }
        self.count();
        true
    }

    /// Returns the suspects of the latest crash.
    pub(crate) fn last_suspects(&self) -> &[Suspect] {
        self.seen.back().map_or(&[], |seen| &seen.suspects)
    }

    /// Withdraws a crash that has turned out to be none.
    pub(crate) fn refute(&mut self, agent: AgentKey, incarnation: u64) {
        self.seen.retain(|seen| seen.agent != agent || seen.incarnation != incarnation);
        self.count();
    }

    /// Returns what the crashes say about a job.
    pub(crate) fn suspicion(&self, job: &JobName) -> Suspicion {
        let is_proof = |task: &TaskCrashes| {
            task.sole >= PROVING_CRASHES || (task.sole > 0 && task.crashes >= MAX_CRASHES)
        };
        match self.jobs.get(job) {
            None => Suspicion::None,
            Some(tasks) if tasks.values().any(is_proof) => Suspicion::Proven,
            Some(_) => Suspicion::Suspected,
        }
    }

    fn count(&mut self) {
        self.jobs.clear();
        for seen in &self.seen {
            let is_sole =
                seen.suspects.windows(2).all(|two| two[0].job_name() == two[1].job_name());
            for suspect in &seen.suspects {
                let tasks = self.jobs.entry(suspect.job_name()).or_default();
                let known = tasks.entry((suspect.task.step, suspect.task.index)).or_default();
                known.crashes += 1;
                known.sole += u32::from(is_sole);
            }
        }
    }
}
