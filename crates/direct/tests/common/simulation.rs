//! Simulation of entries, agents and executors whose links delay, hold up or cut off messages.

use std::{collections::VecDeque, sync::Arc};

use direct::{
    AgentHello, AgentKey, DirectJob, Dispatcher, DispatcherEffect, EntryHello, EntryMessage,
    Evacuations, JobKey, JobOutcome, Report, RunOutcome, SessionKey, StartResult, Supervisor,
    SupervisorEffect, TaskId, Timing, ToAgent, Upstream,
};
use indexmap::IndexMap;

use crate::common::{open, run_list, upstream};

pub const STEP_MS: u64 = 5;
pub const RUN_MS: u64 = 3_000;
const REDIAL_MS: u64 = 50;
const POLL_MS: u64 = 100;
/// Time that a slow reader needs for one message, milliseconds.
const SLOW_READ_MS: u64 = 300;

/// Treatment of one direction of a link for a time.
#[derive(Clone, Copy, Debug)]
pub struct Disruption {
    pub from_ms: u64,
    pub until_ms: u64,
    pub delay_ms: u64,
    /// Whether messages wait until the end of the disruption.
    pub is_cut: bool,
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

/// The link of an agent with one entry.
#[derive(Default)]
pub struct Link {
    to_agent: Vec<Disruption>,
    to_entry: Vec<Disruption>,
    connections: Vec<Connection>,
    dial_ms: u64,
    /// Time from the opening of an agent until it dials the entry, milliseconds.
    open_delay_ms: u64,
    /// Whether the entry has connected since the start of the agent's process.
    was_connected: bool,
}

impl Link {
    pub fn new(to_agent: Vec<Disruption>, to_entry: Vec<Disruption>) -> Self {
        Self { to_agent, to_entry, ..Self::default() }
    }

    fn open_connection(&mut self) -> Option<&mut Connection> {
        self.connections.last_mut().filter(|connection| !connection.to_entry.is_closed)
    }
}

/// Faults of an agent and of its executor.
#[derive(Clone, Copy, Default)]
pub struct HostFaults {
    /// Whether the agent reads slowly.
    pub is_slow: bool,
    /// Whether no stop reaches the executor.
    pub stops_are_lost: bool,
    /// Time from a stop until the run has ended, milliseconds.
    pub stop_ms: u64,
}

struct ExecutorRun {
    number: u32,
    end_ms: u64,
    is_stopped: bool,
}

/// An agent and its executor.
pub struct Host {
    n: usize,
    zone: Arc<str>,
    faults: HostFaults,
    supervisor: Supervisor,
    /// One for each entry.
    links: Vec<Link>,
    incarnation: u64,
    is_up: bool,
    /// Whether the agent may connect to entries.
    is_open: bool,
    busy_until_ms: u64,
    /// Runs of the executor.
    runs: IndexMap<TaskId, ExecutorRun>,
    /// Highest number of the runs of each task.
    run_numbers: IndexMap<TaskId, u32>,
    lease_end_ms: u64,
    ended: Vec<(TaskId, u32, RunOutcome)>,
    failed_stops: Vec<(u64, TaskId, u32)>,
    /// Tasks that were started beside a run of theirs at this executor.
    doubled: Vec<TaskId>,
    /// Times of the starts that the executor has carried out, milliseconds.
    pub started_ms: Vec<u64>,
}

impl Host {
    pub fn new(n: usize, links: Vec<Link>, faults: HostFaults) -> Self {
        Self::in_zone("mid-a", n, links, faults)
    }

    pub fn in_zone(zone: &str, n: usize, links: Vec<Link>, faults: HostFaults) -> Self {
        let mut supervisor = Supervisor::new(Timing::default(), 0);
        let up = Upstream { zone: zone.into(), ..upstream(&format!("u{n}"), 1) };
        supervisor.on_heartbeat(up, 1, 1);
        open(&mut supervisor);
        Self {
            n,
            zone: zone.into(),
            faults,
            supervisor,
            links,
            incarnation: 1,
            is_up: true,
            is_open: true,
            busy_until_ms: 0,
            runs: IndexMap::new(),
            run_numbers: IndexMap::new(),
            lease_end_ms: 0,
            ended: Vec::new(),
            failed_stops: Vec::new(),
            doubled: Vec::new(),
            started_ms: Vec::new(),
        }
    }

    /// Returns the tasks that run at the executor.
    pub fn tasks(&self) -> impl Iterator<Item = &TaskId> {
        self.runs.keys()
    }

    /// Ends the agent's process; its executor goes on.
    pub fn kill(&mut self) {
        self.is_up = false;
        self.is_open = false;
        self.failed_stops.clear();
        for connection in self.links.iter_mut().flat_map(|link| &mut link.connections) {
            connection.to_entry.is_closed = true;
            connection.to_agent.queue.clear();
            connection.session = None;
        }
    }

    /// Starts the next process of the agent.
    pub fn restart(&mut self, now_ms: u64) {
        self.incarnation += 1;
        self.is_up = true;
        self.busy_until_ms = now_ms;
        self.supervisor = Supervisor::new(Timing::default(), now_ms);
        self.links.iter_mut().for_each(|link| link.was_connected = false);
        self.note_unconnected(now_ms);
        let zone = Arc::clone(&self.zone);
        let upstream = Upstream { zone, ..upstream(&format!("u{}", self.n), 1) };
        let seq = i64::try_from(now_ms).expect("a simulation is short");
        let effects = self.supervisor.on_heartbeat(upstream, seq, now_ms);
        self.apply(effects, now_ms);
    }

    /// Sets the time from the opening of the next agent until it dials an entry.
    pub fn delay_dial(&mut self, e: usize, open_delay_ms: u64) {
        self.links[e].open_delay_ms = open_delay_ms;
    }

    /// Closes the agent's side of its connection with an entry.
    fn close(&mut self, e: usize, now_ms: u64) {
        let Some(connection) = self.links[e].open_connection() else { return };
        connection.to_entry.is_closed = true;
        connection.to_agent.queue.clear();
        if let Some(key) = connection.session {
            self.supervisor.on_disconnected(key);
        }
        self.links[e].dial_ms = now_ms + REDIAL_MS;
    }

    pub fn step(&mut self, now_ms: u64) {
        self.end_runs(now_ms);
        if !self.is_up {
            return;
        }
        self.call_executor(now_ms);
        self.note_unconnected(now_ms);
        let effects = self.supervisor.tick(now_ms);
        self.apply(effects, now_ms);
        for e in 0..self.links.len() {
            self.dial(e, now_ms);
            while now_ms >= self.busy_until_ms && self.read(e, now_ms) {}
            self.check_silence(e, now_ms);
            self.send_heartbeat(e, now_ms);
        }
    }

    /// Tells the agent whether some entry has not connected since its start.
    fn note_unconnected(&mut self, now_ms: u64) {
        let has_unconnected = self.links.iter().any(|link| !link.was_connected);
        let effects = self.supervisor.set_has_unconnected(has_unconnected);
        self.apply(effects, now_ms);
    }

    fn dial(&mut self, e: usize, now_ms: u64) {
        let link = &mut self.links[e];
        if !self.is_open || link.open_connection().is_some() || now_ms < link.dial_ms {
            return;
        }
        let mut connection =
            Connection { hello_ms: now_ms, heard_ms: now_ms, ..Default::default() };
        let hello = AgentHello {
            agent: format!("a{}", self.n).into(),
            incarnation: self.incarnation,
            entries: Vec::new(),
        };
        connection.to_entry.send(&link.to_entry, now_ms, ToEntry::Hello(hello));
        link.connections.push(connection);
    }

    /// Reads a message of an entry if there is one.
    fn read(&mut self, e: usize, now_ms: u64) -> bool {
        let Some(connection) = self.links[e].open_connection() else { return false };
        let Some(received) = connection.to_agent.receive(now_ms) else { return false };
        connection.heard_ms = now_ms;
        if let ToAgent::SetActive(is_active) = received.message {
            connection.is_active = is_active;
        }
        let effects = self.on_message(e, received, now_ms);
        self.apply(effects, now_ms);
        if self.faults.is_slow {
            self.busy_until_ms = now_ms + SLOW_READ_MS;
        }
        true
    }

    fn on_message(
        &mut self,
        e: usize,
        received: EntryMessage,
        now_ms: u64,
    ) -> Vec<SupervisorEffect> {
        let EntryMessage { reports_read, message } = received;
        let Some(connection) = self.links[e].connections.last_mut() else { return Vec::new() };
        let supervisor = &mut self.supervisor;
        match (message, connection.session) {
            (ToAgent::Hello(hello), _) => {
                let mut effects = supervisor.merge_evacuations(&hello.evacuations);
                let (key, of_session) = supervisor.on_entry_hello(
                    &hello.entry,
                    hello.incarnation,
                    &hello.attempts,
                    connection.hello_ms,
                    now_ms,
                );
                connection.session = Some(key);
                self.links[e].was_connected = true;
                effects.extend(of_session);
                effects
            }
            (message, Some(key)) => {
                supervisor.on_entry_message(key, reports_read, now_ms);
                match message {
                    ToAgent::Start(batch) => supervisor.on_attempts(key, &batch, now_ms),
                    ToAgent::Stop(ids) => supervisor.on_stop(key, &ids),
                    ToAgent::SetActive(is_active) => supervisor.set_active(key, is_active),
                    ToAgent::SetReportPeriod(period_ms) => {
                        supervisor.set_report_period(key, period_ms);
                        Vec::new()
                    }
                    ToAgent::Claim(claim) => supervisor.on_claim(key, &claim, now_ms),
                    ToAgent::EndClaim(id, end) => supervisor.on_claim_end(key, id, end, now_ms),
                    ToAgent::Evacuations(value) => supervisor.merge_evacuations(&value),
                    ToAgent::Heartbeat(_) | ToAgent::Hello(_) => Vec::new(),
                }
            }
            (_, None) => Vec::new(),
        }
    }

    fn check_silence(&mut self, e: usize, now_ms: u64) {
        let timing = Timing::default();
        let Some(connection) = self.links[e].open_connection() else { return };
        let is_short = connection.is_active || connection.session.is_none();
        let limit_ms = if is_short { timing.silence_ms } else { timing.standby_silence_ms };
        let has_unread = connection.to_agent.queue.front().is_some_and(|(ms, _)| *ms <= now_ms);
        let is_silent = now_ms - connection.heard_ms >= limit_ms && !has_unread;
        if is_silent || connection.to_agent.has_ended() {
            self.close(e, now_ms);
        }
    }

    fn send_heartbeat(&mut self, e: usize, now_ms: u64) {
        let Some(connection) = self.links[e].open_connection() else { return };
        let Some(key) = connection.session else { return };
        let reported_ms = connection.reported_ms;
        if now_ms - reported_ms >= self.supervisor.heartbeat_ms(key) {
            self.report(key, now_ms);
        }
    }

    fn report(&mut self, key: SessionKey, now_ms: u64) {
        let upstream = self.supervisor.upstream().cloned();
        let is_of_session = |link: &&mut Link| {
            link.connections.last().is_some_and(|connection| connection.session == Some(key))
        };
        let Some(link) = self.links.iter_mut().find(is_of_session) else { return };
        let Some(connection) = link.connections.last_mut() else { return };
        if connection.to_entry.is_closed {
            return;
        }
        let has_changed = connection.sent_upstream != upstream;
        let Some(report) = self.supervisor.report(key, has_changed) else { return };
        self.supervisor.record_report_sent(key, now_ms);
        connection.sent_upstream = upstream;
        connection.reported_ms = now_ms;
        connection.to_entry.send(&link.to_entry, now_ms, ToEntry::Report(report));
    }

    fn apply(&mut self, effects: Vec<SupervisorEffect>, now_ms: u64) {
        for effect in effects {
            match effect {
                SupervisorEffect::Start(start) => {
                    let may_send = self.supervisor.may_send_start(&start.task, start.run, now_ms);
                    let lease_end = self.supervisor.lease_end_ms(now_ms).filter(|_| may_send);
                    let result = match lease_end {
                        Some(end_ms) => self.start_run(&start.task, start.run, end_ms, now_ms),
                        None => StartResult::Refused,
                    };
                    let effects =
                        self.supervisor.on_start_result(&start.task, start.run, result, now_ms);
                    self.apply(effects, now_ms);
                }
                SupervisorEffect::Stop(task, run, _) if self.faults.stops_are_lost => {
                    self.failed_stops.push((now_ms + Timing::default().call_ms, task, run));
                }
                SupervisorEffect::Stop(task, run, _) => {
                    self.stop_run(&task, run, now_ms);
                    let effects = self.supervisor.on_stop_result(&task, run, true, now_ms);
                    self.apply(effects, now_ms);
                }
                SupervisorEffect::Report(key) => self.report(key, now_ms),
                SupervisorEffect::Open => {
                    self.is_open = true;
                    for link in &mut self.links {
                        link.dial_ms = now_ms + std::mem::take(&mut link.open_delay_ms);
                    }
                }
                _ => {}
            }
        }
    }

    /// Starts a run at the executor.
    fn start_run(
        &mut self,
        task: &TaskId,
        number: u32,
        lease_end_ms: u64,
        now_ms: u64,
    ) -> StartResult {
        if self.run_numbers.get(task).is_some_and(|highest| number <= *highest) {
            let is_same = self.runs.get(task).is_some_and(|run| run.number == number);
            return if is_same { StartResult::Started } else { StartResult::OldRun };
        }
        self.run_numbers.insert(task.clone(), number);
        self.started_ms.push(now_ms);
        self.lease_end_ms = self.lease_end_ms.max(lease_end_ms);
        let run = ExecutorRun { number, end_ms: now_ms + RUN_MS, is_stopped: false };
        if self.runs.insert(task.clone(), run).is_some() {
            self.doubled.push(task.clone());
        }
        StartResult::Started
    }

    fn stop_run(&mut self, task: &TaskId, number: u32, now_ms: u64) {
        let stopped_ms = now_ms + self.faults.stop_ms;
        if let Some(run) = self.runs.get_mut(task).filter(|run| run.number == number)
            && stopped_ms < run.end_ms
        {
            run.end_ms = stopped_ms;
            run.is_stopped = true;
        }
        self.end_runs(now_ms);
    }

    /// Ends the runs of the executor that are over.
    fn end_runs(&mut self, now_ms: u64) {
        let has_lapsed = now_ms >= self.lease_end_ms;
        for (task, run) in self.runs.extract_if(.., |_, run| has_lapsed || now_ms >= run.end_ms) {
            let is_done = !has_lapsed && !run.is_stopped;
            let outcome = if is_done { RunOutcome::Done } else { RunOutcome::Terminated };
            self.ended.push((task, run.number, outcome));
        }
    }

    /// Lets the calls of lost stops time out, and polls the executor.
    fn call_executor(&mut self, now_ms: u64) {
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
                self.runs.iter().map(|(task, run)| (task, run.number)).collect();
            let mut list = run_list(now_ms, &running);
            list.ended = std::mem::take(&mut self.ended);
            let effects = self.supervisor.on_run_list(&list);
            self.apply(effects, now_ms);
        }
    }
}

/// An entry.
pub struct Entry {
    /// Position among the entries, and of its link at each host.
    e: usize,
    name: Arc<str>,
    pub dispatcher: Dispatcher,
    /// Current connection of each agent: host and index.
    current: IndexMap<AgentKey, (usize, usize)>,
    pub answers: IndexMap<JobKey, JobOutcome>,
    /// Hosts to which the jobs were claimed, by the ids of the jobs, the latest ones last.
    pub claimed_at: IndexMap<Arc<str>, Vec<usize>>,
}

impl Entry {
    pub fn new(e: usize, seed: u64) -> Self {
        Self {
            e,
            name: format!("e{e}").into(),
            dispatcher: Dispatcher::new(Timing::default(), "mid-a".into(), seed),
            current: IndexMap::new(),
            answers: IndexMap::new(),
            claimed_at: IndexMap::new(),
        }
    }

    /// Submits a job, which is held until its release if `is_held`.
    pub fn submit(
        &mut self,
        hosts: &mut [Host],
        job: DirectJob,
        is_held: bool,
        now_ms: u64,
    ) -> JobKey {
        let (key, effects) = if is_held {
            self.dispatcher.submit_held(job, now_ms)
        } else {
            self.dispatcher.submit(job, now_ms)
        };
        self.apply(hosts, effects, now_ms);
        key
    }

    /// Delivers what the store or another entry says of evacuations.
    pub fn merge_evacuations(&mut self, hosts: &mut [Host], value: &Evacuations, now_ms: u64) {
        let (_, effects) = self.dispatcher.merge_evacuations(value, now_ms);
        self.apply(hosts, effects, now_ms);
    }

    pub fn release(&mut self, hosts: &mut [Host], key: JobKey, now_ms: u64) {
        let effects = self.dispatcher.release(key, now_ms);
        self.apply(hosts, effects, now_ms);
    }

    /// Delivers the end of a caller's connection.
    pub fn cancel(&mut self, hosts: &mut [Host], key: JobKey, now_ms: u64) {
        let effects = self.dispatcher.cancel(key, now_ms);
        self.apply(hosts, effects, now_ms);
    }

    pub fn step(&mut self, hosts: &mut [Host], now_ms: u64) {
        for h in 0..hosts.len() {
            for c in 0..hosts[h].links[self.e].connections.len() {
                self.read(hosts, h, c, now_ms);
            }
        }
        let effects = self.dispatcher.tick(now_ms);
        self.apply(hosts, effects, now_ms);
        for (h, c) in self.current.values().copied() {
            let connection = &mut hosts[h].links[self.e].connections[c];
            let timing = Timing::default();
            let period_ms = if connection.entry_is_active {
                timing.heartbeat_ms
            } else {
                timing.standby_heartbeat_ms
            };
            if now_ms - connection.entry_sent_ms >= period_ms {
                self.send(hosts, (h, c), ToAgent::Heartbeat(Vec::new()), now_ms);
            }
        }
    }

    fn read(&mut self, hosts: &mut [Host], h: usize, c: usize, now_ms: u64) {
        let e = self.e;
        while let Some(message) = hosts[h].links[e].connections[c].to_entry.receive(now_ms) {
            match message {
                ToEntry::Hello(hello) => {
                    let (key, attempts, effects) = self.dispatcher.on_agent_hello(&hello, now_ms);
                    if let Some((_, old)) = self.current.insert(key, (h, c)) {
                        hosts[h].links[e].connections[old].to_agent.is_closed = true;
                    }
                    hosts[h].links[e].connections[c].key = Some(key);
                    let (entry, entries) = (Arc::clone(&self.name), Vec::new());
                    let evacuations = self.dispatcher.evacuations().clone();
                    let hello =
                        EntryHello { entry, incarnation: 1, attempts, entries, evacuations };
                    self.send(hosts, (h, c), ToAgent::Hello(hello), now_ms);
                    self.apply(hosts, effects, now_ms);
                }
                ToEntry::Report(report) => {
                    let connection = &mut hosts[h].links[e].connections[c];
                    connection.reports_read += 1;
                    let key = connection.key.expect("the handshake comes first");
                    if self.current.get(&key) == Some(&(h, c)) {
                        let effects = self.dispatcher.on_report(key, report, now_ms);
                        self.apply(hosts, effects, now_ms);
                    }
                }
            }
        }
        let connection = &mut hosts[h].links[e].connections[c];
        if connection.to_entry.has_ended()
            && let Some(key) = connection.key
            && self.current.get(&key) == Some(&(h, c))
        {
            connection.to_agent.is_closed = true;
            self.current.swap_remove(&key);
            self.dispatcher.on_disconnected(key);
        }
    }

    fn apply(&mut self, hosts: &mut [Host], effects: Vec<DispatcherEffect>, now_ms: u64) {
        for effect in effects {
            match effect {
                DispatcherEffect::Send(key, message) => {
                    if let Some(at) = self.current.get(&key).copied() {
                        if let ToAgent::Claim(claim) = &message {
                            let id = Arc::clone(&claim.job.id);
                            self.claimed_at.entry(id).or_default().push(at.0);
                        }
                        self.send(hosts, at, message, now_ms);
                    }
                }
                DispatcherEffect::Answer(key, outcome) => {
                    self.answers.insert(key, outcome);
                }
                DispatcherEffect::CloseLink(key) => {
                    if let Some((h, c)) = self.current.swap_remove(&key) {
                        let connection = &mut hosts[h].links[self.e].connections[c];
                        connection.to_agent.is_closed = true;
                        connection.to_entry.queue.clear();
                        self.dispatcher.on_disconnected(key);
                    }
                }
                _ => {}
            }
        }
    }

    /// Sends a message on a connection of a host.
    fn send(&self, hosts: &mut [Host], at: (usize, usize), message: ToAgent, now_ms: u64) {
        let (h, c) = at;
        let link = &mut hosts[h].links[self.e];
        let connection = &mut link.connections[c];
        if let ToAgent::SetActive(is_active) = message {
            connection.entry_is_active = is_active;
        }
        connection.entry_sent_ms = now_ms;
        // The agent does not read a connection that it has closed.
        if !connection.to_entry.is_closed {
            let message = EntryMessage { reports_read: connection.reports_read, message };
            connection.to_agent.send(&link.to_agent, now_ms, message);
        }
    }
}

/// Returns the number of runs in progress, and the tasks that run or ran more than once at a time.
pub fn running(hosts: &[Host]) -> (usize, Vec<TaskId>) {
    let mut runs: IndexMap<&TaskId, usize> = IndexMap::new();
    for task in hosts.iter().flat_map(|host| host.runs.keys()) {
        *runs.entry(task).or_insert(0) += 1;
    }
    let twice = runs.iter().filter(|(_, count)| **count > 1).map(|(task, _)| *task);
    let doubled = hosts.iter().flat_map(|host| &host.doubled);
    (runs.values().sum(), twice.chain(doubled).cloned().collect())
}
