//! Differential test of the placer against a linear scan over all upstreams.

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
const RATE_TIME_US: f64 = 10_000_000.0;

#[derive(Clone, Debug)]
enum Op {
    Choose { memory_mb: u32, avoid: usize, queue_len: u32, job_remaining_us: u64 },
    Reply { nth: usize, delta: i32, running: u32, queued: u32 },
    Lose(usize),
    Offers { upstream: usize, offers: u32 },
    Speed { upstream: usize, eighths: i32 },
    Eject { upstream: usize, out: bool },
    Drain(usize),
    Up { upstream: usize, is_restart: bool },
    Down(usize),
}

/// What the naive version keeps of an upstream.
#[derive(Clone, Copy, Debug)]
struct Row {
    incarnation: u128,
    generation: u32,
    up: bool,
    ejected: bool,
    speed: f64,
    offers: i32,
    load: Option<AgentLoad>,
}

impl Row {
    fn reset(&mut self) {
        *self = Self { generation: self.generation + 1, offers: 0, load: None, ..*self };
    }
}

/// A dispatch with the generation of its upstream.
#[derive(Clone, Copy)]
struct Sent {
    dispatch: Dispatch,
    generation: u32,
    sent_us: u64,
    may_wait: bool,
}

struct Naive {
    now_us: u64,
    rows: [Row; UPSTREAMS],
    outstanding: Vec<Sent>,
    sent_us: Vec<u64>,
}

impl Naive {
    fn own(&self, i: usize) -> impl Iterator<Item = &Sent> {
        let current = self.rows[i].generation;
        let is_own = move |sent: &&Sent| {
            sent.dispatch.upstream.0 as usize == i && sent.generation == current
        };
        self.outstanding.iter().filter(is_own)
    }

    fn report(&mut self, i: usize, load: AgentLoad) {
        let (now_us, generation) = (self.now_us, self.rows[i].generation);
        self.rows[i].load = Some(load);
        let has_started = |sent: &&mut Sent| {
            sent.dispatch.upstream.0 as usize == i
                && sent.generation == generation
                && load.queued == 0
                && now_us > sent.sent_us + ROUND_TRIP_US[i % 2] as u64
        };
        self.outstanding.iter_mut().filter(has_started).for_each(|sent| sent.may_wait = false);
    }

    /// Returns whether a slot is slow and the others carry all work sent so far.
    fn is_dispensable(&self, i: usize) -> bool {
        let speeds = || self.rows.iter().filter(|row| row.up && !row.ejected).map(|row| row.speed);
        let slow = 0.5 * speeds().sum::<f64>() / speeds().count() as f64;
        let others = 8.0 * speeds().filter(|speed| *speed > slow).sum::<f64>();
        let decay = |sent_us: &u64| (-((self.now_us - sent_us) as f64) / RATE_TIME_US).exp();
        let work = self.sent_us.iter().map(decay).sum::<f64>() * EXPECTED_US as f64 / RATE_TIME_US;
        self.rows[i].speed <= slow && work < 0.95 * others / f64::from(ENTRIES)
    }

    fn completion_us(&self, i: usize) -> f64 {
        EXPECTED_US as f64 / self.rows[i].speed + ROUND_TRIP_US[i % 2]
    }

    fn is_suitable(&self, i: usize, need: &TaskRequirements<'_>) -> bool {
        let charged = self
            .own(i)
            .fold(Resources::default(), |sum, sent| sum.saturating_add(sent.dispatch.charge));
        let row = self.rows[i];
        row.up
            && !row.ejected
            && need.charge.fits_in(size(32_000, 64_000).saturating_sub(charged))
            && !need.avoid.contains(&UpstreamIndex(i as u32))
    }

    fn pays_to_wait(&self, i: usize, need: &TaskRequirements<'_>, queue_len: u32) -> bool {
        let completion_us = self.completion_us(i);
        let is_faster = |speed: f64| speed > self.rows[i].speed;
        let busy: Vec<f64> = (0..UPSTREAMS)
            .filter(|j| is_faster(self.rows[*j].speed))
            .flat_map(|j| self.own(j).map(move |_| self.rows[j].speed))
            .collect();
        let ends_us = |limit: f64| {
            let rate: f64 = busy.iter().filter(|speed| **speed >= limit).sum();
            let work_us = EXPECTED_US as f64;
            f64::from(queue_len) * work_us / rate + work_us / limit + ROUND_TRIP_US[i % 2]
        };
        completion_us > need.job_remaining_us as f64
            && self.is_dispensable(i)
            && busy.iter().any(|limit| ends_us(*limit) < completion_us - 1e-6)
    }

    /// Checks a choice against every alternative.
    fn check(&self, choice: Choice, need: &TaskRequirements<'_>, queue_len: u32) {
        let suitable = || (0..UPSTREAMS).filter(|i| self.is_suitable(*i, need));
        let best_us = suitable()
            .filter(|i| self.rows[*i].offers > 0)
            .map(|i| self.completion_us(i))
            .reduce(f64::min);
        let may_fall_back = |i: usize| {
            let is_below_part = self.own(i).count() < 8_usize.div_ceil(ENTRIES as usize);
            let is_idle = self.rows[i].load.is_some_and(|load| load.running + load.queued < 8);
            let none_waits = !self.own(i).any(|sent| sent.may_wait);
            self.rows[i].offers <= 0 && none_waits && (is_idle || is_below_part)
        };
        let pays = |i| self.pays_to_wait(i, need, queue_len);
        let best_pays = || {
            let is_best =
                |i: &usize| self.rows[*i].offers > 0 && Some(self.completion_us(*i)) == best_us;
            suitable().filter(is_best).all(pays)
        };
        match choice {
            Choice::Offer(upstream) => {
                let i = upstream.0 as usize;
                assert!(self.is_suitable(i, need) && self.rows[i].offers > 0);
                assert_eq!(Some(self.completion_us(i)), best_us);
                assert!(!pays(i));
            }
            Choice::Fallback(upstream) => {
                let i = upstream.0 as usize;
                assert!(self.is_suitable(i, need) && may_fall_back(i) && !pays(i));
                assert!(best_pays());
            }
            Choice::Wait => {
                let awaits_reply = (0..UPSTREAMS).any(|i| self.own(i).next().is_some());
                assert!(awaits_reply || suitable().next().is_none());
                assert!(best_pays());
                assert!(
                    !suitable().any(may_fall_back)
                        || suitable().any(|i| may_fall_back(i) && pays(i))
                );
            }
        }
    }
}

fn op() -> impl Strategy<Value = Op> {
    let one = 0..UPSTREAMS;
    prop_oneof![
        12 => (1_u32..8, one.clone(), 1_u32..20, prop::sample::select(vec![0, 6_000_000])).prop_map(
            |(gib, avoid, queue_len, job_remaining_us)| Op::Choose {
                memory_mb: gib * 4_000, avoid, queue_len, job_remaining_us
            }
        ),
        8 => (0..20_usize, -1..3_i32, 5..9_u32, 0..2_u32)
            .prop_map(|(nth, delta, running, queued)| Op::Reply { nth, delta, running, queued }),
        1 => (0..20_usize).prop_map(Op::Lose),
        3 => (one.clone(), 0..4_u32).prop_map(|(upstream, offers)| Op::Offers { upstream, offers }),
        2 => (one.clone(), -8..9_i32).prop_map(|(upstream, eighths)| Op::Speed { upstream, eighths }),
        1 => (one.clone(), any::<bool>()).prop_map(|(upstream, out)| Op::Eject { upstream, out }),
        1 => one.clone().prop_map(Op::Drain),
        2 => (one.clone(), any::<bool>()).prop_map(|(upstream, is_restart)| Op::Up { upstream, is_restart }),
        1 => one.prop_map(Op::Down),
    ]
}

fn apply(placer: &mut Placer, naive: &mut Naive, rng: &mut StdRng, op: &Op) {
    let pools = [placer.pool_index(&"recipes".parse().unwrap())];
    naive.now_us += STEP_US;
    let now_us = naive.now_us;
    let upstream = |i: usize| UpstreamIndex(i as u32);
    match *op {
        Op::Choose { memory_mb, avoid, queue_len, job_remaining_us } => {
            let need = TaskRequirements {
                pools: &pools,
                charge: size(1_000, memory_mb),
                expected_us: EXPECTED_US,
                job_remaining_us,
                avoid: &[upstream(avoid)],
                spread: &JobSpread::new(),
            };
            let choice = placer.choose(now_us, rng, &need, queue_len);
            naive.check(choice, &need, queue_len);
            if let Some(dispatch) = placer.record_dispatch(now_us, choice, &need) {
                let row = &mut naive.rows[dispatch.upstream.0 as usize];
                row.offers -= i32::from(dispatch.uses_offer);
                row.load.iter_mut().for_each(|load| load.running += 1);
                let generation = row.generation;
                let may_wait = !dispatch.uses_offer;
                naive.outstanding.push(Sent { dispatch, generation, sent_us: now_us, may_wait });
                naive.sent_us.push(now_us);
            }
        }
        Op::Reply { nth, delta, running, queued } if nth < naive.outstanding.len() => {
            let Sent { dispatch, generation, .. } = naive.outstanding.swap_remove(nth);
            let i = dispatch.upstream.0 as usize;
            let load = AgentLoad { running, queued, free: 0 };
            if generation == naive.rows[i].generation {
                naive.rows[i].offers += delta;
                naive.report(i, load);
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
            naive.rows[i].offers = offers as i32;
            naive.report(i, load);
        }
        Op::Speed { upstream: i, eighths } => {
            naive.rows[i].speed = (f64::from(eighths) / 8.0).exp2();
            placer.set_speed(upstream(i), naive.rows[i].speed);
        }
        Op::Eject { upstream: i, out } => {
            naive.rows[i].ejected = out;
            let health = if out { HealthWeight::Ejected } else { HealthWeight::Weight(1.0) };
            placer.set_health(upstream(i), health);
        }
        Op::Drain(i) => {
            naive.rows[i].up = false;
            placer.mark_draining(upstream(i));
        }
        Op::Up { upstream: i, is_restart } => {
            let row = &mut naive.rows[i];
            row.up = true;
            if is_restart {
                row.reset();
                row.incarnation += 1;
            }
            let incarnation = Incarnation::from_u128(row.incarnation);
            placer.register_upstream(placement::UpstreamSpec {
                incarnation,
                ..spec(i, ZONES[i % 2], 8)
            });
        }
        Op::Down(i) => {
            naive.rows[i].up = false;
            naive.rows[i].reset();
            placer.mark_down(upstream(i));
        }
    }
    (0..UPSTREAMS).filter(|i| naive.rows[*i].up).for_each(|i| {
        assert_eq!(placer.outstanding(upstream(i)) as usize, naive.own(i).count());
        assert_eq!(placer.offers(upstream(i)), naive.rows[i].offers);
    });
}

proptest! {
    #![proptest_config(seeded(512))]

    #[test]
    fn choices_match_a_linear_scan(ops in prop::collection::vec(op(), 1..120)) {
        let mut placer = Placer::new(location("mid-a", "rack-0"));
        placer.set_entry_count(ENTRIES);
        (0..UPSTREAMS).for_each(|i| {
            placer.register_upstream(spec(i, ZONES[i % 2], 8));
        });
        let row = Row { incarnation: 1, generation: 0, up: true, ejected: false, speed: 1.0, offers: 0, load: None };
        let mut naive = Naive {
            now_us: 0,
            rows: [row; UPSTREAMS],
            outstanding: Vec::new(),
            sent_us: Vec::new(),
        };
        let mut rng = StdRng::seed_from_u64(5);
        for op in &ops {
            apply(&mut placer, &mut naive, &mut rng, op);
        }
    }
}
