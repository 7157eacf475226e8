//! Benchmark of placement decisions with 1,000 upstreams, 20 teams and jobs of 370 tasks.
//!
//! An upstream is chosen for every task, and the dispatch and the answer are recorded.  The
//! agents are not simulated; each answer carries the same load.  Prints the nanoseconds per task
//! of each step.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use placement::{
    AgentLoad, Choice, DeclaredSize, Dispatch, JobSpread, KindIndex, Learner, Placer, PoolIndex,
    TaskRequirements, UpstreamSpec, longest_first,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::{Incarnation, Location, Resources};

const UPSTREAMS: u32 = 1_000;
const ZONES: u32 = 5;
const ZONES_IN_FIRST_REGION: u32 = 3;
const RACK_SIZE: u32 = 3;
const TEAMS: u32 = 20;
const JOB_TASKS: usize = 370;
const JOBS: u32 = 3_000;
const SLOTS: u32 = 8;
const ENTRIES: u32 = 3;

#[derive(Default)]
struct Cost {
    order: Duration,
    choose: Duration,
    dispatched: Duration,
    replied: Duration,
    learned: Duration,
    tasks: u32,
    offers: u32,
    fallbacks: u32,
    waits: u32,
}

struct Bench {
    placer: Placer,
    learner: Learner,
    kinds: Vec<KindIndex>,
    pools: [PoolIndex; 1],
    outstanding: VecDeque<Dispatch>,
    now_us: u64,
    rng: StdRng,
    cost: Cost,
    max_outstanding: usize,
}

fn location(n: u32) -> Location {
    let zone = n % ZONES;
    let region = if zone < ZONES_IN_FIRST_REGION { "midlands" } else { "flanders" };
    Location {
        region: region.parse().unwrap(),
        zone: format!("zone-{zone}").parse().unwrap(),
        rack: format!("rack-{}", n / ZONES / RACK_SIZE).parse().unwrap(),
    }
}

fn spec(n: u32) -> UpstreamSpec {
    let scale = 1 + n % 2;
    UpstreamSpec {
        name: format!("upstream-{n}").parse().unwrap(),
        incarnation: Incarnation::from_u128(1),
        pool: "recipes".parse().unwrap(),
        location: location(n),
        slots: SLOTS,
        connections: 64,
        capacity: Resources {
            milli_cores: 32_000 * scale,
            memory_mb: 64_000 * scale,
            accelerators: 0,
        },
    }
}

fn timed<T>(total: &mut Duration, step: impl FnOnce() -> T) -> T {
    let started = Instant::now();
    let result = step();
    *total += started.elapsed();
    result
}

impl Bench {
    fn new(max_outstanding: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(5);
        let mut placer = Placer::new(location(0));
        placer.set_entry_count(ENTRIES);
        for n in 0..UPSTREAMS {
            let upstream = placer.register_upstream(spec(n));
            placer.set_speed(upstream, rng.random_range(0.5..2.0));
            placer.set_offers(0, upstream, SLOTS / ENTRIES, AgentLoad::default());
        }
        let mut learner = Learner::new();
        let declared = DeclaredSize { run_us: 250_000, resources: Resources::default() };
        let kind_of = |n| {
            let service = format!("service-{n}").parse().unwrap();
            learner.kind_index(&service, &"scale".parse().unwrap(), declared)
        };
        let kinds = (0..TEAMS).map(kind_of).collect();
        let pools = [placer.pool_index(&"recipes".parse().unwrap())];
        let (outstanding, cost) = (VecDeque::new(), Cost::default());
        Self { placer, learner, kinds, pools, outstanding, now_us: 0, rng, cost, max_outstanding }
    }

    fn run_job(&mut self, job: u32) {
        let kind = self.kinds[(job % TEAMS) as usize];
        let sizes: Vec<u64> =
            (0..JOB_TASKS).map(|_| self.rng.random_range(50_000..1_000_000)).collect();
        let order = timed(&mut self.cost.order, || longest_first(&sizes));
        let mut spread = JobSpread::new();
        for (placed, i) in order.iter().enumerate() {
            let left = (JOB_TASKS - placed) as u32;
            self.place(kind, sizes[*i as usize], left, &mut spread);
        }
    }

    /// Places one task, recording replies to earlier ones while it has to wait.
    fn place(&mut self, kind: KindIndex, expected_us: u64, queue_len: u32, spread: &mut JobSpread) {
        loop {
            self.now_us += 1;
            let task = TaskRequirements {
                pools: &self.pools,
                charge: Resources { milli_cores: 1_000, memory_mb: 500, accelerators: 0 },
                expected_us,
                job_remaining_us: 0,
                avoid: &[],
                spread,
            };
            let choice = timed(&mut self.cost.choose, || {
                self.placer.choose(self.now_us, &mut self.rng, &task, queue_len)
            });
            let dispatch = timed(&mut self.cost.dispatched, || {
                self.placer.record_dispatch(self.now_us, choice, &task)
            });
            self.count(choice);
            if let Some(dispatch) = dispatch {
                spread.add(self.placer.rack(dispatch.upstream));
                self.outstanding.push_back(dispatch);
            }
            if dispatch.is_none() || self.outstanding.len() > self.max_outstanding {
                self.reply(kind, expected_us);
            }
            if dispatch.is_some() {
                return;
            }
        }
    }

    fn reply(&mut self, kind: KindIndex, run_us: u64) {
        let n = self.rng.random_range(0..self.outstanding.len());
        let Some(dispatch) = self.outstanding.swap_remove_back(n) else { return };
        let load = AgentLoad { running: SLOTS - 1, queued: 0, free: 0 };
        timed(&mut self.cost.replied, || self.placer.record_reply(self.now_us, dispatch, 1, load));
        timed(&mut self.cost.learned, || {
            self.learner.record_run(self.now_us, kind, dispatch.upstream, run_us);
        });
    }

    fn count(&mut self, choice: Choice) {
        match choice {
            Choice::Offer(_) => self.cost.offers += 1,
            Choice::Fallback(_) => self.cost.fallbacks += 1,
            Choice::Wait => self.cost.waits += 1,
        }
        self.cost.tasks += u32::from(choice != Choice::Wait);
    }
}

fn main() {
    let fair_share = (UPSTREAMS * SLOTS / ENTRIES) as usize;
    measure("3 of 4 slots in use", fair_share * 3 / 4);
    measure("every slot in use, so that choices wait for replies", usize::MAX);
}

fn measure(state: &str, max_outstanding: usize) {
    let mut bench = Bench::new(max_outstanding);
    (0..JOBS).for_each(|job| bench.run_job(job));
    let cost = &bench.cost;
    let tasks = f64::from(cost.tasks);
    let steps = [
        ("dispatch order", cost.order),
        ("choose", cost.choose),
        ("dispatched", cost.dispatched),
        ("replied", cost.replied),
        ("learned", cost.learned),
    ];
    println!(
        "{state}: tasks {tasks}, offers {}, fallbacks {}, waits {}",
        cost.offers, cost.fallbacks, cost.waits
    );
    for (step, total) in steps {
        println!("{step:<20} {:>8.0} ns a task", total.as_nanos() as f64 / tasks);
    }
    let total: Duration = steps.iter().map(|(_, total)| *total).sum();
    println!("{:<20} {:>8.0} ns a task", "all", total.as_nanos() as f64 / tasks);
    println!("{:<20} {:>8.0} tasks/s", "one core", tasks / total.as_secs_f64());
}
