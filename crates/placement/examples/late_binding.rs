//! Discrete-event simulation that compares late binding with round robin and the power of two
//! choices: 3 entries, 11 agents of 8 slots whose speeds differ by up to a factor of 4, and
//! Poisson arrivals of jobs.
//!
//! Prints the ratio of the response time to the ideal one (the longest task at mean speed plus a
//! round trip), and the messages per task beyond one dispatch and one answer.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use placement::{
    AgentLoad, DeclaredSize, Dispatch, JobSpread, KindIndex, Learner, Placer, PoolIndex,
    SlotDecision, SlotLimits, SlotTable, StartRequest, TaskRequirements, UpstreamIndex,
    UpstreamSpec, longest_first,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use types::{
    AttemptKey, AttemptNumber, EntryName, Incarnation, JobId, Location, Resources, TaskIndex,
    TaskKey,
};

const ENTRIES: usize = 3;
const AGENTS: usize = 11;
const SLOTS: u32 = 8;
const ONE_WAY_DELAY_US: u64 = 1_000;
const JOBS: usize = 60_000;
const WARM_UP_JOBS: usize = 6_000;
/// Mean run time in microseconds and frequency in percent of each kind.
const KINDS: [(u64, u32); 4] = [(80_000, 40), (250_000, 40), (700_000, 18), (3_000_000, 2)];
const POOLS: [PoolIndex; 1] = [PoolIndex(0)];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Scheme {
    LateBinding,
    RoundRobin,
    PowerOfTwo,
    PowerOfTwoBySpeed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Start { task: usize },
    End { task: usize },
    Reply { task: usize, delta: i32, running: u32, queued: u32, free: u32, run_us: u64 },
}

const SCHEMES: [Scheme; 4] =
    [Scheme::LateBinding, Scheme::PowerOfTwoBySpeed, Scheme::PowerOfTwo, Scheme::RoundRobin];

struct Task {
    job: usize,
    kind: usize,
    work_us: u64,
    agent: usize,
    dispatch: Option<Dispatch>,
    started_us: u64,
}

struct Job {
    arrived_us: u64,
    ideal_us: u64,
    longest_expected_us: u64,
    unanswered: usize,
}

struct Entry {
    placer: Placer,
    learner: Learner,
    kinds: Vec<KindIndex>,
    queue: VecDeque<usize>,
    loads: [u32; AGENTS],
    next_agent: usize,
}

struct Simulation {
    scheme: Scheme,
    max_tasks: usize,
    mean_interarrival_us: f64,
    rng: StdRng,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    sequence: usize,
    tasks: Vec<Task>,
    jobs: Vec<Job>,
    agents: Vec<SlotTable>,
    entries: Vec<Entry>,
    response_ratios: Vec<f64>,
    extra_messages: usize,
}

fn speed(agent: usize) -> f64 {
    0.4 + 1.2 * agent as f64 / (AGENTS - 1) as f64
}

fn entry_name(n: usize) -> EntryName {
    format!("entry-{n}").parse().unwrap()
}

fn location(n: usize) -> Location {
    Location {
        region: "midlands".parse().unwrap(),
        zone: "mid-a".parse().unwrap(),
        rack: format!("rack-{}", n / 3).parse().unwrap(),
    }
}

fn key(task: usize) -> AttemptKey {
    let task = TaskKey { job: JobId::from_parts(0, [0; 10]), index: TaskIndex(task as u32) };
    AttemptKey { task, attempt: AttemptNumber::FIRST }
}

fn charge() -> Resources {
    Resources { milli_cores: 1_000, memory_mb: 500, accelerators: 0 }
}

fn capacity() -> Resources {
    Resources { milli_cores: 32_000, memory_mb: 64_000, accelerators: 0 }
}

impl Entry {
    fn new() -> Self {
        let mut placer = Placer::new(location(0));
        placer.set_entry_count(ENTRIES as u32);
        (0..AGENTS).for_each(|n| {
            placer.register_upstream(UpstreamSpec {
                name: format!("upstream-{n}").parse().unwrap(),
                incarnation: Incarnation::from_u128(1),
                pool: "recipes".parse().unwrap(),
                location: location(n),
                slots: SLOTS,
                connections: 64,
                capacity: capacity(),
            });
        });
        let mut learner = Learner::new();
        let kind = |(i, (run_us, _)): (usize, &(u64, u32))| {
            let declared = DeclaredSize { run_us: *run_us, resources: charge() };
            let name = format!("kind-{i}").parse().unwrap();
            learner.kind_index(&"recipes".parse().unwrap(), &name, declared)
        };
        let kinds = KINDS.iter().enumerate().map(kind).collect();
        Self { placer, learner, kinds, queue: VecDeque::new(), loads: [0; AGENTS], next_agent: 0 }
    }
}

impl Simulation {
    fn new(scheme: Scheme, load: f64, max_tasks: usize) -> Self {
        let queue_len = if scheme == Scheme::LateBinding { 8 } else { u32::MAX };
        let limits = SlotLimits::new(SLOTS, capacity()).connections(64).queue_len(queue_len);
        let mean_work_us: f64 =
            KINDS.iter().map(|(mean, percent)| *mean as f64 * f64::from(*percent) / 100.0).sum();
        let mean_tasks = (1 + max_tasks) as f64 / 2.0;
        let slots = (AGENTS as u32 * SLOTS) as f64;
        let mut simulation = Self {
            scheme,
            max_tasks,
            mean_interarrival_us: mean_tasks * mean_work_us / (load * slots),
            rng: StdRng::seed_from_u64(5),
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            tasks: Vec::new(),
            jobs: Vec::new(),
            agents: vec![SlotTable::new(limits); AGENTS],
            entries: (0..ENTRIES).map(|_| Entry::new()).collect(),
            response_ratios: Vec::new(),
            extra_messages: 0,
        };
        if scheme == Scheme::LateBinding {
            (0..ENTRIES).for_each(|e| simulation.connect(e));
        }
        simulation
    }

    fn connect(&mut self, e: usize) {
        for (n, agent) in self.agents.iter_mut().enumerate() {
            let offers = agent.connect_entry(&entry_name(e));
            let upstream = UpstreamIndex(n as u32);
            self.entries[e].placer.set_offers(0, upstream, offers, agent.load());
            self.extra_messages += 2;
        }
    }

    fn run(mut self) -> Self {
        self.schedule(0, Event::Arrive);
        while let Some(Reverse((time_us, _, event))) = self.events.pop() {
            self.now_us = time_us;
            match event {
                Event::Arrive => self.on_arrival(),
                Event::Start { task } => self.on_start_request(task),
                Event::End { task } => self.on_end(task),
                Event::Reply { task, delta, running, queued, free, run_us } => {
                    self.on_reply(task, delta, AgentLoad { running, queued, free }, run_us);
                }
            }
        }
        self
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now_us + delay_us, self.sequence, event)));
    }

    fn new_task(&mut self, job: usize) -> usize {
        let percentile = self.rng.random_range(0..100);
        let below = |kind: &usize| KINDS[..=*kind].iter().map(|(_, p)| p).sum::<u32>() > percentile;
        let kind = (0..KINDS.len()).find(below).unwrap();
        let work_us = (KINDS[kind].0 as f64 * self.rng.random_range(0.5..1.5)) as u64;
        self.tasks.push(Task { job, kind, work_us, agent: 0, dispatch: None, started_us: 0 });
        self.tasks.len() - 1
    }

    fn on_arrival(&mut self) {
        let job = self.jobs.len();
        let count = self.rng.random_range(1..=self.max_tasks);
        let tasks: Vec<usize> = (0..count).map(|_| self.new_task(job)).collect();
        let longest_us = tasks.iter().map(|task| self.tasks[*task].work_us).max().unwrap();
        let ideal_us = longest_us + 2 * ONE_WAY_DELAY_US;
        let expected: Vec<u64> = tasks.iter().map(|t| KINDS[self.tasks[*t].kind].0).collect();
        let longest_expected_us = expected.iter().copied().max().unwrap();
        let arrived_us = self.now_us;
        self.jobs.push(Job { arrived_us, ideal_us, longest_expected_us, unanswered: count });
        let e = job % ENTRIES;
        let order = longest_first(&expected);
        self.entries[e].queue.extend(order.iter().map(|i| tasks[*i as usize]));
        self.dispatch_all(e);
        if job + 1 < JOBS {
            let delay_us = -self.mean_interarrival_us * (1.0 - self.rng.random::<f64>()).ln();
            self.schedule(delay_us as u64, Event::Arrive);
        }
    }

    fn dispatch_all(&mut self, e: usize) {
        while let Some(task) = self.entries[e].queue.front().copied() {
            if !self.dispatch(e, task) {
                return;
            }
            self.entries[e].queue.pop_front();
            self.schedule(ONE_WAY_DELAY_US, Event::Start { task });
        }
    }

    /// Chooses an agent for a task; returns false if the task has to wait.
    fn dispatch(&mut self, e: usize, task: usize) -> bool {
        let entry = &mut self.entries[e];
        let agent = match self.scheme {
            Scheme::RoundRobin => entry.next_agent % AGENTS,
            Scheme::PowerOfTwo | Scheme::PowerOfTwoBySpeed => {
                let weight = |agent: usize| match self.scheme {
                    Scheme::PowerOfTwoBySpeed => speed(agent),
                    _ => 1.0,
                };
                let cost = |agent: usize| f64::from(entry.loads[agent] + 1) / weight(agent);
                let (a, b) = (self.rng.random_range(0..AGENTS), self.rng.random_range(0..AGENTS));
                if cost(a) <= cost(b) { a } else { b }
            }
            Scheme::LateBinding => {
                let kind = entry.kinds[self.tasks[task].kind];
                let requirements = TaskRequirements {
                    pools: &POOLS,
                    charge: charge(),
                    expected_us: entry.learner.expected_us(kind),
                    job_remaining_us: self.jobs[self.tasks[task].job].longest_expected_us,
                    avoid: &[],
                    spread: &JobSpread::new(),
                };
                let queue_len = entry.queue.len() as u32;
                let choice =
                    entry.placer.choose(self.now_us, &mut self.rng, &requirements, queue_len);
                let Some(dispatch) =
                    entry.placer.record_dispatch(self.now_us, choice, &requirements)
                else {
                    return false;
                };
                self.tasks[task].dispatch = Some(dispatch);
                dispatch.upstream.0 as usize
            }
        };
        entry.next_agent += 1;
        entry.loads[agent] += 1;
        self.tasks[task].agent = agent;
        true
    }

    fn on_start_request(&mut self, task: usize) {
        let Task { job, agent, dispatch, .. } = self.tasks[task];
        let decision = self.agents[agent].request_start(StartRequest {
            key: key(task),
            entry: entry_name(job % ENTRIES),
            charge: charge(),
            uses_offer: dispatch.is_some_and(|dispatch| dispatch.uses_offer),
            rank: 0,
        });
        match decision {
            SlotDecision::Start => self.start_run(task),
            SlotDecision::Queue => {}
            SlotDecision::Refuse(_) => {
                self.extra_messages += 2;
                let delta = self.agents[agent].take_offers_delta(&entry_name(job % ENTRIES));
                self.send_reply(task, delta, 0);
            }
        }
    }

    fn start_run(&mut self, task: usize) {
        self.tasks[task].started_us = self.now_us;
        let run_us = self.tasks[task].work_us as f64 / speed(self.tasks[task].agent);
        self.schedule(run_us as u64, Event::End { task });
    }

    fn on_end(&mut self, task: usize) {
        let finished = self.agents[self.tasks[task].agent].finish(&key(task)).unwrap();
        for next in finished.start_next {
            self.start_run(next.task.index.0 as usize);
        }
        let run_us = self.now_us - self.tasks[task].started_us;
        self.send_reply(task, finished.offers_delta, run_us);
    }

    fn send_reply(&mut self, task: usize, delta: i32, run_us: u64) {
        let AgentLoad { running, queued, free } = self.agents[self.tasks[task].agent].load();
        self.schedule(
            ONE_WAY_DELAY_US,
            Event::Reply { task, delta, running, queued, free, run_us },
        );
    }

    fn on_reply(&mut self, task: usize, delta: i32, load: AgentLoad, run_us: u64) {
        let Task { job, agent, kind, dispatch, .. } = self.tasks[task];
        let e = job % ENTRIES;
        let entry = &mut self.entries[e];
        entry.loads[agent] = load.running + load.queued;
        if let Some(dispatch) = dispatch {
            entry.placer.record_reply(self.now_us, dispatch, delta, load);
        }
        if run_us == 0 {
            entry.queue.push_front(task);
        } else {
            let upstream = UpstreamIndex(agent as u32);
            entry.learner.record_run(self.now_us, entry.kinds[kind], upstream, run_us);
            entry.placer.set_speed(upstream, entry.learner.speed(self.now_us, upstream));
            self.task_answered(job);
        }
        self.dispatch_all(e);
    }

    fn task_answered(&mut self, job: usize) {
        let Job { arrived_us, ideal_us, unanswered, .. } = &mut self.jobs[job];
        *unanswered -= 1;
        if *unanswered == 0 && job >= WARM_UP_JOBS {
            self.response_ratios.push((self.now_us - *arrived_us) as f64 / *ideal_us as f64);
        }
    }
}

fn main() {
    println!("scheme              load  tasks a job   mean    p99  extra messages a task");
    for (load, max_tasks) in [(0.3, 1), (0.8, 1), (0.8, 8), (0.9, 1), (3.0, 1)] {
        for scheme in SCHEMES {
            let mut simulation = Simulation::new(scheme, load, max_tasks).run();
            simulation.response_ratios.sort_by(f64::total_cmp);
            let count = simulation.response_ratios.len();
            let mean = simulation.response_ratios.iter().sum::<f64>() / count as f64;
            let p99 = simulation.response_ratios[count * 99 / 100];
            let extra = simulation.extra_messages as f64 / simulation.tasks.len() as f64;
            let name = format!("{scheme:?}");
            println!("{name:<18} {load:>5.1} {max_tasks:>12} {mean:>6.2} {p99:>6.2} {extra:>10.4}");
        }
    }
}
