//! How much of a pool one kind of job may take down.
//!
//! Load pattern: a tenth of the jobs of one kind crash the upstreams that start them, several a
//! second, and an upstream that has crashed is away for seconds. Giving up each of these jobs after
//! two crashes does not help: their first starts alone take down the whole pool, and all other
//! kinds with it. A kind whose jobs keep crashing upstreams is therefore contained: its jobs start
//! only on some upstreams of the pool, as large a part as the kind's part of the work, and the
//! other kinds use these only where there is nothing else. All entries choose the same upstreams,
//! by the hashes of their names.

use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use indexmap::IndexMap;

use crate::dispatcher::AgentKey;

/// Logarithm of the likelihood ratio from which a kind is held to cause the crashes: 10 to 1.
const GUILTY_SCORE: f64 = 2.3;
/// Maximum of that logarithm, so that it falls again soon when crashes come without the kind.
const MAX_SCORE: f64 = 4.0;
/// Change with a crash for which no task of the kind is suspected.
const ABSENT_SCORE: f64 = -2.0;
/// Minimum part of all starts that a kind counts for, so that a rare kind is not held guilty after
/// a single crash.
const MIN_START_SHARE: f64 = 0.15;
/// How long a kind stays contained after the last crash under it, milliseconds.
const CONTAINED_MS: u64 = 5_000;
/// Minimum part of the pool's upstreams for a contained kind.
const MIN_POOL_SHARE: f64 = 0.25;
/// Time in which the weight of starts halves, milliseconds.
const HALVING_MS: u64 = 5_000;

types::plain! {
    /// State of one kind of job.
    #[derive(Default)]
    struct Kind {
        /// Pool that runs the kind's tasks.
        pool: Arc<str>,
        /// Decayed number and work of the starts; work is in milli-core milliseconds.
        starts: f64,
        work: f64,
        score: f64,
        contained_until_ms: u64,
        /// Upstreams for the kind's suspected jobs, and for all of its jobs while it is contained.
        members: BTreeSet<AgentKey>,
    }

    /// Kinds of jobs, by what they start and what crashes under them.
    #[derive(Default)]
    pub(crate) struct Containment {
        kinds: IndexMap<Arc<str>, Kind>,
        halved_ms: u64,
        contained_until_ms: u64,
    }
}

impl Containment {
    /// Records that tasks of a kind are sent to an agent of the pool.
    pub(crate) fn record_start(
        &mut self,
        kind: &Arc<str>,
        pool: &Arc<str>,
        work: f64,
        now_ms: u64,
    ) {
        if now_ms >= self.halved_ms + HALVING_MS {
            self.halved_ms = now_ms;
            self.kinds.values_mut().for_each(|kind| {
                kind.starts /= 2.0;
                kind.work /= 2.0;
            });
        }
        let known = self.kinds.entry(Arc::clone(kind)).or_default();
        known.pool = Arc::clone(pool);
        known.starts += 1.0;
        known.work += work;
    }

    /// Records a crash in a pool with the kinds of the suspected jobs, one for each job. A kind that
    /// is there gains by how improbable this is if the crash has another cause.
    pub(crate) fn record_crash(&mut self, pool: &Arc<str>, suspects: &[Arc<str>], now_ms: u64) {
        if suspects.is_empty() {
            return;
        }
        for name in suspects {
            self.kinds.entry(Arc::clone(name)).or_default().pool = Arc::clone(pool);
        }
        let total = self.sum(pool, |kind| kind.starts);
        let jobs = i32::try_from(suspects.len()).unwrap_or(i32::MAX);
        for (name, kind) in self.kinds.iter_mut().filter(|(_, kind)| kind.pool == *pool) {
            let share = (kind.starts / total).clamp(MIN_START_SHARE, 1.0);
            let by_chance = 1.0 - (1.0 - share).powi(jobs);
            let change = if suspects.contains(name) { -by_chance.ln() } else { ABSENT_SCORE };
            kind.score = (kind.score + change).clamp(0.0, MAX_SCORE);
            if kind.score >= GUILTY_SCORE && suspects.contains(name) {
                kind.contained_until_ms = now_ms + CONTAINED_MS;
                self.contained_until_ms = kind.contained_until_ms;
            }
        }
    }

    /// Records that a job of the kind is proven to crash upstreams.
    pub(crate) fn record_proof(&mut self, kind: &Arc<str>, now_ms: u64) {
        let known = self.kinds.entry(Arc::clone(kind)).or_default();
        known.score = MAX_SCORE;
        known.contained_until_ms = now_ms + CONTAINED_MS;
        self.contained_until_ms = known.contained_until_ms;
    }

    /// Chooses the upstreams of a kind out of those of its pool.
    pub(crate) fn choose_members(&mut self, kind: &str, pool: &[(AgentKey, Arc<str>)]) {
        let Some(known) = self.kinds.get(kind) else { return };
        let total = self.sum(&known.pool, |kind| kind.work);
        let Some(known) = self.kinds.get_mut(kind) else { return };
        let share = (known.work / total).clamp(MIN_POOL_SHARE, 1.0);
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let count = (pool.len() as f64 * share).ceil() as usize;
        let mut ranked: Vec<(u64, AgentKey)> =
            pool.iter().map(|(key, name)| (rank(kind, name), *key)).collect();
        ranked.sort_unstable();
        known.members = ranked.into_iter().take(count).map(|(_, key)| key).collect();
    }

    /// Returns the kinds that have upstreams for their suspected jobs, with their pools.
    pub(crate) fn kinds_with_members(&self) -> Vec<(Arc<str>, Arc<str>)> {
        let known = self.kinds.iter().filter(|(_, kind)| !kind.members.is_empty());
        known.map(|(name, kind)| (Arc::clone(name), Arc::clone(&kind.pool))).collect()
    }

    /// Returns the sum of a figure over the kinds of a pool, at least 1.
    fn sum(&self, pool: &str, figure: impl Fn(&Kind) -> f64) -> f64 {
        let kinds = self.kinds.values().filter(|kind| *kind.pool == *pool);
        kinds.map(figure).sum::<f64>().max(1.0)
    }

    /// Returns whether a kind is contained.
    pub(crate) fn is_contained(&self, kind: &str, now_ms: u64) -> bool {
        now_ms < self.contained_until_ms
            && self.kinds.get(kind).is_some_and(|known| now_ms < known.contained_until_ms)
    }

    /// Returns the names of the contained kinds.
    pub(crate) fn contained(&self, now_ms: u64) -> Vec<Arc<str>> {
        let contained = self.kinds.iter().filter(|(_, kind)| now_ms < kind.contained_until_ms);
        contained.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Returns whether an upstream is one for a kind's contained or suspected jobs.
    pub(crate) fn is_member(&self, kind: &str, agent: AgentKey) -> bool {
        self.kinds.get(kind).is_some_and(|known| known.members.contains(&agent))
    }

    /// Returns whether an upstream is one for the jobs of another kind that is contained.
    pub(crate) fn is_ceded(&self, kind: &str, agent: AgentKey, now_ms: u64) -> bool {
        now_ms < self.contained_until_ms
            && self.kinds.iter().any(|(name, known)| {
                **name != *kind
                    && now_ms < known.contained_until_ms
                    && known.members.contains(&agent)
            })
    }
}

fn rank(kind: &str, agent: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (kind, agent).hash(&mut hasher);
    hasher.finish()
}
