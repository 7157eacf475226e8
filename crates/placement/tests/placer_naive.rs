//! Differential test of `Placer` against a naive implementation that scans all upstreams.

mod common;

use common::{location, seeded, size, spec};
use placement::{
    AgentLoad, Choice, Dispatch, HealthWeight, JobSpread, Placer, TaskRequirements, UpstreamIndex,
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use types::{Incarnation, Resources};

const UPSTREAMS: usize = 8;
const ENTRIES: u32 = 3;
const STEP_US: u64 = 700;
const ZONES: [&str; 2] = ["mid-a", "mid-b"];
const ROUND_TRIP_US: [f64; 2] = [500.0, 2_500.0];
const EXPECTED_US: u64 = 5_000_000;
const RATE_TIME_CONSTANT_US: f64 = 10_000_000.0;

#[derive(Clone, Debug)]
enum Op {
    Choose { memory_mb: u32, avoid: usize, queue_len: u32, job_remaining_us: u64 },
    Reply { nth: usize, delta: i32, running: u32, queued: u32 },
    Lose(usize),
    Offers { upstream: usize, offers: u32 },
    Speed { upstream: usize, eighths: i32 },
    Eject { upstream: usize, is_ejected: bool },
    Drain(usize),
    Up { upstream: usize, is_restart: bool },
    Down(usize),
}

/// State of an upstream in the naive implementation.
#[derive(Clone, Copy, Debug)]
struct NaiveUpstream {
    incarnation: u128,
    generation: u32,
    is_serving: bool,
    is_ejected: bool,
    speed: f64,
    offers: i32,
    load: Option<AgentLoad>,
}

impl NaiveUpstream {
    fn reset(&mut self) {
        *self = Self { generation: self.generation + 1, offers: 0, load: None, ..*self };
    }
}

/// A dispatch with the generation of its upstream.
#[derive(Clone, Copy)]
struct SentTask {
    dispatch: Dispatch,
    generation: u32,
    sent_us: u64,
    may_be_queued: bool,
}

struct NaivePlacer {
    now_us: u64,
    upstreams: [NaiveUpstream; UPSTREAMS],
    outstanding: Vec<SentTask>,
    sent_us: Vec<u64>,
}

impl NaivePlacer {
    fn outstanding_at(&self, i: usize) -> impl Iterator<Item = &SentTask> {
        let current = self.upstreams[i].generation;
        let is_outstanding_here = move |sent: &&SentTask| {
            sent.dispatch.upstream.0 as usize == i && sent.generation == current
        };
        self.outstanding.iter().filter(is_outstanding_here)
    }

    fn record_load(&mut self, i: usize, load: AgentLoad) {
        let (now_us, generation) = (self.now_us, self.upstreams[i].generation);
        self.upstreams[i].load = Some(load);
        let has_started = |sent: &&mut SentTask| {
            sent.dispatch.upstream.0 as usize == i
                && sent.generation == generation
                && load.queued == 0
                && now_us > sent.sent_us + ROUND_TRIP_US[i % 2] as u64
        };
        self.outstanding.iter_mut().filter(has_started).for_each(|sent| sent.may_be_queued = false);
    }

    /// Returns whether the slots of an upstream are slow and the other ones suffice for all tasks
    /// sent so far.
    fn is_slow_and_unneeded(&self, i: usize) -> bool {
        let speeds = || {
            self.upstreams
                .iter()
                .filter(|state| state.is_serving && !state.is_ejected)
                .map(|state| state.speed)
        };
        let slow = 0.5 * speeds().sum::<f64>() / speeds().count() as f64;
        let others = 8.0 * speeds().filter(|speed| *speed > slow).sum::<f64>();
        let decay =
            |sent_us: &u64| (-((self.now_us - sent_us) as f64) / RATE_TIME_CONSTANT_US).exp();
        let work = self.sent_us.iter().map(decay).sum::<f64>() * EXPECTED_US as f64
            / RATE_TIME_CONSTANT_US;
        self.upstreams[i].speed <= slow && work < 0.95 * others / f64::from(ENTRIES)
    }

    fn completion_us(&self, i: usize) -> f64 {
        EXPECTED_US as f64 / self.upstreams[i].speed + ROUND_TRIP_US[i % 2]
    }

    fn is_suitable(&self, i: usize, task: &TaskRequirements<'_>) -> bool {
        let charged = self
            .outstanding_at(i)
            .fold(Resources::default(), |sum, sent| sum.saturating_add(sent.dispatch.charge));
        let state = self.upstreams[i];
        state.is_serving
            && !state.is_ejected
            && task.charge.fits_in(size(32_000, 64_000).saturating_sub(charged))
            && !task.avoid.contains(&UpstreamIndex(i as u32))
    }

    fn should_wait_for_faster_slot(
        &self,
        i: usize,
        task: &TaskRequirements<'_>,
        queue_len: u32,
    ) -> bool {
        let completion_us = self.completion_us(i);
        let is_faster = |speed: f64| speed > self.upstreams[i].speed;
        let busy: Vec<f64> = (0..UPSTREAMS)
            .filter(|j| is_faster(self.upstreams[*j].speed))
            .flat_map(|j| self.outstanding_at(j).map(move |_| self.upstreams[j].speed))
            .collect();
        let faster_completion_us = |limit: f64| {
            let rate: f64 = busy.iter().filter(|speed| **speed >= limit).sum();
            let work_us = EXPECTED_US as f64;
            f64::from(queue_len) * work_us / rate + work_us / limit + ROUND_TRIP_US[i % 2]
        };
        completion_us > task.job_remaining_us as f64
            && self.is_slow_and_unneeded(i)
            && busy.iter().any(|limit| faster_completion_us(*limit) < completion_us - 1e-6)
    }

    /// Asserts that a choice is allowed and that no alternative is better.
    fn check(&self, choice: Choice, task: &TaskRequirements<'_>, queue_len: u32) {
        let suitable = || (0..UPSTREAMS).filter(|i| self.is_suitable(*i, task));
        let best_us = suitable()
            .filter(|i| self.upstreams[*i].offers > 0)
            .map(|i| self.completion_us(i))
            .reduce(f64::min);
        let accepts_fallback = |i: usize| {
            let is_below_fair_share =
                self.outstanding_at(i).count() < 8_usize.div_ceil(ENTRIES as usize);
            let is_idle = self.upstreams[i].load.is_some_and(|load| load.running + load.queued < 8);
            let none_queued = !self.outstanding_at(i).any(|sent| sent.may_be_queued);
            self.upstreams[i].offers <= 0 && none_queued && (is_idle || is_below_fair_share)
        };
        let should_wait = |i| self.should_wait_for_faster_slot(i, task, queue_len);
        let should_wait_for_best = || {
            let is_best = |i: &usize| {
                self.upstreams[*i].offers > 0 && Some(self.completion_us(*i)) == best_us
            };
            suitable().filter(is_best).all(should_wait)
        };
        match choice {
            Choice::Offer(upstream) => {
                let i = upstream.0 as usize;
                assert!(self.is_suitable(i, task) && self.upstreams[i].offers > 0);
                assert_eq!(Some(self.completion_us(i)), best_us);
                assert!(!should_wait(i));
            }
            Choice::Fallback(upstream) => {
                let i = upstream.0 as usize;
                assert!(self.is_suitable(i, task) && accepts_fallback(i) && !should_wait(i));
                assert!(should_wait_for_best());
            }
            Choice::Wait => {
                let awaits_reply = (0..UPSTREAMS).any(|i| self.outstanding_at(i).next().is_some());
                assert!(awaits_reply || suitable().next().is_none());
                assert!(should_wait_for_best());
                assert!(
                    !suitable().any(accepts_fallback)
                        || suitable().any(|i| accepts_fallback(i) && should_wait(i))
                );
            }
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let one = 0..UPSTREAMS;
    prop_oneof![
        12 => (1_u32..8, one.clone(), 1_u32..20, prop::sample::select(vec![0, 6_000_000])).prop_map(
            |(memory_units, avoid, queue_len, job_remaining_us)| Op::Choose {
                memory_mb: memory_units * 4_000, avoid, queue_len, job_remaining_us
            }
        ),
        8 => (0..20_usize, -1..3_i32, 5..9_u32, 0..2_u32)
            .prop_map(|(nth, delta, running, queued)| Op::Reply { nth, delta, running, queued }),
        1 => (0..20_usize).prop_map(Op::Lose),
        3 => (one.clone(), 0..4_u32).prop_map(|(upstream, offers)| Op::Offers { upstream, offers }),
        2 => (one.clone(), -8..9_i32).prop_map(|(upstream, eighths)| Op::Speed { upstream, eighths }),
        1 => (one.clone(), any::<bool>())
            .prop_map(|(upstream, is_ejected)| Op::Eject { upstream, is_ejected }),
        1 => one.clone().prop_map(Op::Drain),
        2 => (one.clone(), any::<bool>())
            .prop_map(|(upstream, is_restart)| Op::Up { upstream, is_restart }),
        1 => one.prop_map(Op::Down),
    ]
}

fn apply(placer: &mut Placer, naive: &mut NaivePlacer, rng: &mut StdRng, op: &Op) {
    let pools = [placer.pool_index(&"recipes".parse().unwrap())];
    naive.now_us += STEP_US;
    let now_us = naive.now_us;
    let upstream = |i: usize| UpstreamIndex(i as u32);
    match *op {
        Op::Choose { memory_mb, avoid, queue_len, job_remaining_us } => {
            let task = TaskRequirements {
                pools: &pools,
                charge: size(1_000, memory_mb),
                expected_us: EXPECTED_US,
                job_remaining_us,
                avoid: &[upstream(avoid)],
                spread: &JobSpread::new(),
            };
            let choice = placer.choose(now_us, rng, &task, queue_len);
            naive.check(choice, &task, queue_len);
            if let Some(dispatch) = placer.record_dispatch(now_us, choice, &task) {
                let state = &mut naive.upstreams[dispatch.upstream.0 as usize];
                state.offers -= i32::from(dispatch.uses_offer);
                state.load.iter_mut().for_each(|load| load.running += 1);
                let generation = state.generation;
                let may_be_queued = !dispatch.uses_offer;
                naive.outstanding.push(SentTask {
                    dispatch,
                    generation,
                    sent_us: now_us,
                    may_be_queued,
                });
                naive.sent_us.push(now_us);
            }
        }
        Op::Reply { nth, delta, running, queued } if nth < naive.outstanding.len() => {
            let SentTask { dispatch, generation, .. } = naive.outstanding.swap_remove(nth);
            let i = dispatch.upstream.0 as usize;
            let load = AgentLoad { running, queued, free: 0 };
            if generation == naive.upstreams[i].generation {
                naive.upstreams[i].offers += delta;
                naive.record_load(i, load);
            }
            placer.record_reply(now_us, dispatch, delta, load);
        }
        Op::Lose(nth) if nth < naive.outstanding.len() => {
            placer.record_loss(naive.outstanding.swap_remove(nth).dispatch);
        }
        Op::Reply { .. } | Op::Lose(_) => {}
        Op::Offers { upstream: i, offers } => {
            let load = AgentLoad { running: 8 - offers, ..AgentLoad::default() };
            placer.set_offers(now_us, upstream(i), offers, load);
            naive.upstreams[i].offers = offers as i32;
            naive.record_load(i, load);
        }
        Op::Speed { upstream: i, eighths } => {
            naive.upstreams[i].speed = (f64::from(eighths) / 8.0).exp2();
            placer.set_speed(upstream(i), naive.upstreams[i].speed);
        }
        Op::Eject { upstream: i, is_ejected } => {
            naive.upstreams[i].is_ejected = is_ejected;
            let health = if is_ejected { HealthWeight::Ejected } else { HealthWeight::Weight(1.0) };
            placer.set_health(upstream(i), health);
        }
        Op::Drain(i) => {
            naive.upstreams[i].is_serving = false;
            placer.mark_draining(upstream(i));
        }
        Op::Up { upstream: i, is_restart } => {
            let state = &mut naive.upstreams[i];
            state.is_serving = true;
            if is_restart {
                state.reset();
                state.incarnation += 1;
            }
            let incarnation = Incarnation::from_u128(state.incarnation);
            placer.register_upstream(placement::UpstreamSpec {
                incarnation,
                ..spec(i, ZONES[i % 2], 8)
            });
        }
        Op::Down(i) => {
            naive.upstreams[i].is_serving = false;
            naive.upstreams[i].reset();
            placer.mark_down(upstream(i));
        }
    }
    (0..UPSTREAMS).filter(|i| naive.upstreams[*i].is_serving).for_each(|i| {
        assert_eq!(placer.outstanding(upstream(i)) as usize, naive.outstanding_at(i).count());
        assert_eq!(placer.offers(upstream(i)), naive.upstreams[i].offers);
    });
}

proptest! {
    #![proptest_config(seeded(512))]

    #[test]
    fn choices_match_a_naive_placer(ops in prop::collection::vec(op(), 1..120)) {
        let mut placer = Placer::new(location("mid-a", "rack-0"));
        placer.set_entry_count(ENTRIES);
        (0..UPSTREAMS).for_each(|i| {
            placer.register_upstream(spec(i, ZONES[i % 2], 8));
        });
        let state = NaiveUpstream {
            incarnation: 1,
            generation: 0,
            is_serving: true,
            is_ejected: false,
            speed: 1.0,
            offers: 0,
            load: None,
        };
        let mut naive = NaivePlacer {
            now_us: 0,
            upstreams: [state; UPSTREAMS],
            outstanding: Vec::new(),
            sent_us: Vec::new(),
        };
        let mut rng = StdRng::seed_from_u64(5);
        for op in &ops {
            apply(&mut placer, &mut naive, &mut rng, op);
        }
    }
}
