//! Simulation of links that delay, hold up or cut off messages, and of agents that read slowly.
//!
//! Guards against a start that is carried out because it has just arrived, although it was sent
//! seconds ago and its entry has started the task elsewhere since.

mod common;

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use common::{job, run_list, upstream};
use direct::{
    AgentHello, AgentKey, DirectJob, Dispatcher, DispatcherEffect, EntryMessage, Report,
    RunOutcome, SessionKey, StartResult, Supervisor, SupervisorEffect, TaskId, Timing, ToAgent,
    Upstream,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 16;
const AGENTS: usize = 3;
/// Links with disruptions.
const DISRUPTED: usize = 2;
const END_MS: u64 = 25_000;
const STEP_MS: u64 = 5;
const RUN_MS: u64 = 3_000;
const JOB_PERIOD_MS: u64 = 150;
const REDIAL_MS: u64 = 50;
const POLL_MS: u64 = 100;
/// Time that a slow reader needs for one message, milliseconds.
const SLOW_READ_MS: u64 = 300;

/// Treatment of one direction of a link for a time.
#[derive(Clone, Copy, Debug)]
struct Disruption {
    from_ms: u64,
    until_ms: u64,
    delay_ms: u64,
    /// Whether messages wait until the end of the disruption.
    is_cut: bool,
}

fn delivery_ms(disruptions: &[Disruption], sent_ms: u64) -> u64 {
    let now = disruptions.iter().find(|d| (d.from_ms..d.until_ms).contains(&sent_ms));
    match now {
        Some(d) if d.is_cut => d.until_ms + 1,
        // The delay grows, so that the gaps between messages stay short.
        Some(d) => sent_ms + (sent_ms - d.from_ms).min(d.delay_ms) + 1,
        None => sent_ms + 1,
    }
}

/// One direction of a connection: messages in order with their times of delivery, and whether the
/// sender has closed it.
struct Channel<T> {
    queue: VecDeque<(u64, T)>,
    is_closed: bool,
}

impl<T> Default for Channel<T> {
    fn default() -> Self {
        Self { queue: VecDeque::new(), is_closed: false }
    }
}

impl<T> Channel<T> {
    fn send(&mut self, disruptions: &[Disruption], now_ms: u64, message: T) {
        let last_ms = self.queue.back().map_or(0, |(ms, _)| *ms);
        self.queue.push_back((delivery_ms(disruptions, now_ms).max(last_ms), message));
    }

    fn receive(&mut self, now_ms: u64) -> Option<T> {
        self.queue.pop_front_if(|(ms, _)| *ms <= now_ms).map(|(_, message)| message)
    }

    fn has_ended(&self) -> bool {
        self.is_closed && self.queue.is_empty()
    }
}

enum ToEntry {
    Hello(AgentHello),
    Report(Report),
}

/// A connection; closing one side leaves what is under way to the other side.
#[derive(Default)]
struct Connection {
    to_agent: Channel<EntryMessage>,
    to_entry: Channel<ToEntry>,
    hello_ms: u64,
    /// State of the agent's side.
    session: Option<SessionKey>,
    is_active: bool,
    heard_ms: u64,
    reported_ms: u64,
    sent_upstream: Option<Upstream>,
    /// State of the entry's side.
    key: Option<AgentKey>,
    reports_read: u64,
    entry_is_active: bool,
    entry_sent_ms: u64,
}

/// An agent and its executor.
struct Host {
    name: Arc<str>,
    supervisor: Supervisor,
    to_agent: Vec<Disruption>,
    to_entry: Vec<Disruption>,
    connections: Vec<Connection>,
    dial_ms: u64,
    busy_until_ms: u64,
    is_slow: bool,
    /// Runs of the executor by task: number and time of their end.
    runs: HashMap<TaskId, (u32, u64)>,
    lease_end_ms: u64,
    ended: Vec<(TaskId, u32, RunOutcome)>,
    stops_are_lost: bool,
    failed_stops: Vec<(u64, TaskId, u32)>,
}

impl Host {
    fn new(n: usize, rng: &mut StdRng) -> Self {
        let mut supervisor = Supervisor::new(Timing::default(), 0);
        supervisor.on_heartbeat(upstream(&format!("u{n}"), 1), 1, 1);
        supervisor.on_run_list(&run_list(2, &[]));
        let mut disruptions = || {
            let mut start_ms = 1_000;
            let mut all = Vec::new();
            while n < DISRUPTED && start_ms < END_MS - 5_000 {
                let from_ms = start_ms + rng.random_range(0..4_000);
                let until_ms = from_ms + rng.random_range(200..10_000);
                let delay_ms = rng.random_range(200..10_000);
                all.push(Disruption { from_ms, until_ms, delay_ms, is_cut: rng.random_bool(0.4) });
                start_ms = until_ms;
            }
            all
        };
        let (to_agent, to_entry) = (disruptions(), disruptions());
        Self {
            name: format!("a{n}").into(),
            supervisor,
            to_agent,
            to_entry,
            connections: Vec::new(),
            dial_ms: 0,
            busy_until_ms: 0,
            is_slow: n < DISRUPTED && rng.random_bool(0.4),
            runs: HashMap::new(),
            lease_end_ms: 0,
            ended: Vec::new(),
            stops_are_lost: rng.random_bool(0.7),
            failed_stops: Vec::new(),
        }
    }

    fn open_connection(&mut self) -> Option<&mut Connection> {
        self.connections.last_mut().filter(|connection| !connection.to_entry.is_closed)
    }

    /// Closes the agent's side of its connection.
    fn close(&mut self, now_ms: u64) {
        let Some(connection) = self.open_connection() else { return };
        connection.to_entry.is_closed = true;
        connection.to_agent.queue.clear();
        if let Some(key) = connection.session {
            self.supervisor.on_disconnected(key);
        }
        self.dial_ms = now_ms + REDIAL_MS;
    }

    fn step(&mut self, now_ms: u64) {
        self.run_executor(now_ms);
        let effects = self.supervisor.tick(now_ms);
        self.apply(effects, now_ms);
        if self.open_connection().is_none() && now_ms >= self.dial_ms {
            let mut connection =
                Connection { hello_ms: now_ms, heard_ms: now_ms, ..Default::default() };
            let hello =
                AgentHello { agent: Arc::clone(&self.name), incarnation: 1, entries: Vec::new() };
            connection.to_entry.send(&self.to_entry, now_ms, ToEntry::Hello(hello));
            self.connections.push(connection);
        }
        while now_ms >= self.busy_until_ms && self.read(now_ms) {}
        self.check_silence(now_ms);
        self.send_heartbeat(now_ms);
    }

    /// Reads a message if there is one.
    fn read(&mut self, now_ms: u64) -> bool {
        let is_slow = self.is_slow;
        let Some(connection) = self.open_connection() else { return false };
        let Some(received) = connection.to_agent.receive(now_ms) else { return false };
        connection.heard_ms = now_ms;
        let EntryMessage { reports_read, message } = received;
        if let ToAgent::SetActive(is_active) = message {
            connection.is_active = is_active;
        }
        let (hello_ms, session) = (connection.hello_ms, connection.session);
        let supervisor = &mut self.supervisor;
        let effects = match (message, session) {
            (ToAgent::Hello(hello), _) => {
                let (key, effects) = supervisor.on_entry_hello(
                    &hello.entry,
                    hello.incarnation,
                    &hello.attempts,
                    hello_ms,
                    now_ms,
                );
                if let Some(connection) = self.connections.last_mut() {
                    connection.session = Some(key);
                }
                effects
            }
            (message, Some(key)) => {
                supervisor.on_entry_message(key, reports_read, now_ms);
                match message {
                    ToAgent::Start(batch) => supervisor.on_attempts(key, &batch, now_ms),
                    ToAgent::Stop(ids) => supervisor.on_stop(key, &ids),
                    ToAgent::SetActive(is_active) => supervisor.set_active(key, is_active),
                    ToAgent::Claim(claim) => supervisor.on_claim(key, &claim, now_ms),
                    ToAgent::EndClaim(id, end) => supervisor.on_claim_end(key, id, end, now_ms),
                    ToAgent::Heartbeat(_) | ToAgent::Hello(_) => Vec::new(),
                }
            }
            (_, None) => Vec::new(),
        };
        self.apply(effects, now_ms);
        if is_slow {
            self.busy_until_ms = now_ms + SLOW_READ_MS;
        }
        true
    }

    fn check_silence(&mut self, now_ms: u64) {
        let timing = Timing::default();
        let Some(connection) = self.open_connection() else { return };
        let is_short = connection.is_active || connection.session.is_none();
        let limit_ms = if is_short { timing.silence_ms } else { timing.standby_silence_ms };
        let has_unread = connection.to_agent.queue.front().is_some_and(|(ms, _)| *ms <= now_ms);
        let is_silent = now_ms - connection.heard_ms >= limit_ms && !has_unread;
        if is_silent || connection.to_agent.has_ended() {
            self.close(now_ms);
        }
    }

    fn send_heartbeat(&mut self, now_ms: u64) {
        let Some(connection) = self.open_connection() else { return };
        let Some(key) = connection.session else { return };
        let reported_ms = connection.reported_ms;
        if now_ms - reported_ms >= self.supervisor.heartbeat_ms(key) {
            self.report(key, now_ms);
        }
    }

    fn report(&mut self, key: SessionKey, now_ms: u64) {
        let upstream = self.supervisor.upstream().cloned();
        let Some(connection) = self.connections.last_mut() else { return };
        if connection.to_entry.is_closed || connection.session != Some(key) {
            return;
        }
        let has_changed = connection.sent_upstream != upstream;
        let Some(report) = self.supervisor.report(key, has_changed) else { return };
        self.supervisor.record_report_sent(key, now_ms);
        connection.sent_upstream = upstream;
        connection.reported_ms = now_ms;
        connection.to_entry.send(&self.to_entry, now_ms, ToEntry::Report(report));
    }

    fn apply(&mut self, effects: Vec<SupervisorEffect>, now_ms: u64) {
        for effect in effects {
            match effect {
                SupervisorEffect::Start(start) => {
                    let may_send = self.supervisor.may_send_start(&start.task, start.run, now_ms);
                    let lease_end = self.supervisor.lease_end_ms(now_ms).filter(|_| may_send);
                    let result = match lease_end {
                        Some(end_ms) => {
                            self.lease_end_ms = self.lease_end_ms.max(end_ms);
                            self.runs.insert(start.task.clone(), (start.run, now_ms + RUN_MS));
                            StartResult::Started
                        }
                        None => StartResult::Refused,
                    };
                    let effects =
                        self.supervisor.on_start_result(&start.task, start.run, result, now_ms);
                    self.apply(effects, now_ms);
                }
                SupervisorEffect::Stop(task, run, _) if self.stops_are_lost => {
                    self.failed_stops.push((now_ms + Timing::default().call_ms, task, run));
                }
                SupervisorEffect::Stop(task, run, _) => {
                    if self.runs.get(&task).is_some_and(|(number, _)| *number == run) {
                        self.runs.remove(&task);
                        self.ended.push((task.clone(), run, RunOutcome::Terminated));
                    }
                    let effects = self.supervisor.on_stop_result(&task, run, true, now_ms);
                    self.apply(effects, now_ms);
                }
                SupervisorEffect::Report(key) => self.report(key, now_ms),
                _ => {}
            }
        }
    }

    /// Ends runs, answers polls and lets the calls of lost stops time out.
    fn run_executor(&mut self, now_ms: u64) {
        let has_lapsed = now_ms >= self.lease_end_ms;
        let is_over = |end_ms: u64| has_lapsed || now_ms >= end_ms;
        for (task, (run, end_ms)) in &self.runs {
            if is_over(*end_ms) {
                let outcome = if has_lapsed { RunOutcome::Terminated } else { RunOutcome::Done };
                self.ended.push((task.clone(), *run, outcome));
            }
        }
        self.runs.retain(|_, (_, end_ms)| !is_over(*end_ms));
        let (due, later) = self.failed_stops.drain(..).partition(|(ms, ..)| *ms <= now_ms);
        self.failed_stops = later;
        for (_, task, run) in due {
            let effects = self.supervisor.on_stop_result(&task, run, false, now_ms);
            self.apply(effects, now_ms);
        }
        if now_ms.is_multiple_of(POLL_MS) {
            if let Some(end_ms) = self.supervisor.lease_end_ms(now_ms) {
                self.lease_end_ms = self.lease_end_ms.max(end_ms);
            }
            let running: Vec<(&TaskId, u32)> =
                self.runs.iter().map(|(task, (run, _))| (task, *run)).collect();
            let mut list = run_list(now_ms, &running);
            list.ended = std::mem::take(&mut self.ended);
            let effects = self.supervisor.on_run_list(&list);
            self.apply(effects, now_ms);
        }
    }
}

struct Entry {
    dispatcher: Dispatcher,
    /// Current connection of each agent: host and index.
    current: HashMap<AgentKey, (usize, usize)>,
}

impl Entry {
    fn step(&mut self, hosts: &mut [Host], now_ms: u64) {
        if now_ms.is_multiple_of(JOB_PERIOD_MS) {
            let submitted = DirectJob {
                caller_timeout_ms: 20_000,
                allowance_ms: 15_000,
                ..job(&format!("j{now_ms}"), 1)
            };
            let (_, effects) = self.dispatcher.submit(submitted, now_ms);
            self.apply(hosts, effects, now_ms);
        }
        for h in 0..hosts.len() {
            for c in 0..hosts[h].connections.len() {
                self.read(hosts, h, c, now_ms);
            }
        }
        let effects = self.dispatcher.tick(now_ms);
        self.apply(hosts, effects, now_ms);
        for (h, c) in self.current.values().copied() {
            let connection = &mut hosts[h].connections[c];
            let timing = Timing::default();
            let period_ms = if connection.entry_is_active {
                timing.heartbeat_ms
            } else {
                timing.standby_heartbeat_ms
            };
            if now_ms - connection.entry_sent_ms >= period_ms {
                send(&mut hosts[h], c, ToAgent::Heartbeat(Vec::new()), now_ms);
            }
        }
    }

    fn read(&mut self, hosts: &mut [Host], h: usize, c: usize, now_ms: u64) {
        while let Some(message) = hosts[h].connections[c].to_entry.receive(now_ms) {
            match message {
                ToEntry::Hello(hello) => {
                    let (key, attempts, effects) = self.dispatcher.on_agent_hello(&hello, now_ms);
                    if let Some((_, old)) = self.current.insert(key, (h, c)) {
                        hosts[h].connections[old].to_agent.is_closed = true;
                    }
                    hosts[h].connections[c].key = Some(key);
                    let entries = Vec::new();
                    let hello =
                        direct::EntryHello { entry: "e".into(), incarnation: 1, attempts, entries };
                    send(&mut hosts[h], c, ToAgent::Hello(hello), now_ms);
                    self.apply(hosts, effects, now_ms);
                }
                ToEntry::Report(report) => {
                    let connection = &mut hosts[h].connections[c];
                    connection.reports_read += 1;
                    let key = connection.key.expect("the handshake comes first");
                    if self.current.get(&key) == Some(&(h, c)) {
                        let effects = self.dispatcher.on_report(key, report, now_ms);
                        self.apply(hosts, effects, now_ms);
                    }
                }
            }
        }
        let connection = &mut hosts[h].connections[c];
        if connection.to_entry.has_ended()
            && let Some(key) = connection.key
            && self.current.get(&key) == Some(&(h, c))
        {
            connection.to_agent.is_closed = true;
            self.current.remove(&key);
            self.dispatcher.on_disconnected(key);
        }
    }

    fn apply(&mut self, hosts: &mut [Host], effects: Vec<DispatcherEffect>, now_ms: u64) {
        for effect in effects {
            match effect {
                DispatcherEffect::Send(key, message) => {
                    if let Some((h, c)) = self.current.get(&key).copied() {
                        send(&mut hosts[h], c, message, now_ms);
                    }
                }
                DispatcherEffect::CloseLink(key) => {
                    if let Some((h, c)) = self.current.remove(&key) {
                        let connection = &mut hosts[h].connections[c];
                        connection.to_agent.is_closed = true;
                        connection.to_entry.queue.clear();
                        self.dispatcher.on_disconnected(key);
                    }
                }
                _ => {}
            }
        }
    }
}

fn send(host: &mut Host, c: usize, message: ToAgent, now_ms: u64) {
    let connection = &mut host.connections[c];
    if let ToAgent::SetActive(is_active) = message {
        connection.entry_is_active = is_active;
    }
    connection.entry_sent_ms = now_ms;
    // The agent does not read a connection that it has closed.
    if !connection.to_entry.is_closed {
        let message = EntryMessage { reports_read: connection.reports_read, message };
        connection.to_agent.send(&host.to_agent, now_ms, message);
    }
}

#[test]
fn no_task_runs_twice_at_a_time_whatever_its_links_delay() {
    let mut runs_started = 0;
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut hosts: Vec<Host> = (0..AGENTS).map(|n| Host::new(n, &mut rng)).collect();
        let dispatcher = Dispatcher::new(Timing::default(), "mid-a".into(), seed);
        let mut entry = Entry { dispatcher, current: HashMap::new() };
        let mut seen: HashMap<TaskId, usize> = HashMap::new();
        for now_ms in (STEP_MS..END_MS).step_by(usize::try_from(STEP_MS).unwrap()) {
            hosts.iter_mut().for_each(|host| host.step(now_ms));
            entry.step(&mut hosts, now_ms);
            seen.clear();
            for (h, host) in hosts.iter().enumerate() {
                for task in host.runs.keys() {
                    let other = seen.insert(task.clone(), h);
                    assert_eq!(other, None, "seed {seed}: {task} runs twice at {now_ms} ms");
                }
            }
            runs_started = runs_started.max(seen.len());
        }
    }
    assert!(runs_started > 1, "nothing ran");
}
