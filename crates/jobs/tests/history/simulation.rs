use std::collections::BTreeMap;

use indexmap::IndexMap;
use jobs::{
    AttemptEffects, CancelEffects, Claim, ClaimRecord, FencedJob, FinishedJob, JobRecord,
    PartitionClaim, PositionedClaim, ResumePlan, ResumeStep, RetryDecision, StartPermit,
    Submission, SubmitDecision, TableSettings, Takeover,
};
use ports::Offset;
use rpc::{EntryIdentity, OwnedPartition, StartedReport};
use types::{Incarnation, PartitionCount, TaskIndex, TaskKey};

use crate::{
    Step,
    agent::{Agent, Reply},
    common::{NOW_MS, entry, job_id, submission},
    entry_process::{EntryProcess, Sent},
    model::Model,
};

const COUNT: PartitionCount = PartitionCount(2);
const ENTRIES: usize = 3;
const AGENTS: usize = 3;
const MAX_TASKS: u32 = 2;

#[derive(Clone)]
enum Message {
    Submit { job: u8, entry: usize },
    Start { from: Incarnation, agent: usize, incarnation: Incarnation, permit: StartPermit },
    Reply(Reply),
    Query { from: Incarnation, owned: Vec<OwnedPartition>, agent: usize },
    Report { to: Incarnation, queried: Vec<OwnedPartition>, agent: usize, report: StartedReport },
}

#[derive(Default)]
struct Stream {
    records: Vec<JobRecord>,
    is_truncated: bool,
}

/// Simulation of entries, agents, one log and the messages between them.
pub(crate) struct Simulation {
    now_ms: u64,
    settings: TableSettings,
    processes: Vec<EntryProcess>,
    agents: Vec<Agent>,
    claims: Vec<PositionedClaim>,
    streams: IndexMap<EntryIdentity, Stream>,
    is_log_available: bool,
    messages: Vec<Message>,
    requests: BTreeMap<u8, Submission>,
    incarnations: u128,
    model: Model,
}

impl Simulation {
    pub(crate) fn new() -> Self {
        let settings = TableSettings::builder()
            .window_ms(60_000)
            .clock_skew_ms(100)
            .late_submission_ms(1_000)
            .confirmation_validity_ms(500)
            .build();
        let mut simulation = Self {
            now_ms: NOW_MS,
            settings,
            processes: (0..ENTRIES)
                .map(|n| EntryProcess::new(entry(n as u8, n as u128), settings, COUNT))
                .collect(),
            agents: (0..AGENTS).map(|n| Agent::new(n, 1, NOW_MS - 100_000)).collect(),
            claims: Vec::new(),
            streams: IndexMap::new(),
            is_log_available: true,
            messages: Vec::new(),
            requests: BTreeMap::new(),
            incarnations: ENTRIES as u128,
            model: Model::default(),
        };
        simulation.take_over(0, u8::MAX, settings.confirmation_validity_ms());
        simulation
    }

    pub(crate) fn reached(&self) -> &BTreeMap<&'static str, u32> {
        &self.model.reached
    }

    pub(crate) fn violation(&self) -> Option<&String> {
        self.model.violation.as_ref()
    }

    pub(crate) fn apply(&mut self, step: Step) {
        match step {
            Step::Submit { job, entry, age_ms } => self.submit(job, entry, age_ms),
            Step::Resubmit { entry } => {
                let jobs: Vec<_> = self.requests.keys().copied().collect();
                jobs.into_iter().for_each(|job| self.on_submission(job, entry));
            }
            Step::Deliver { message, refuse } => {
                if let Some(n) = message.checked_rem(self.messages.len()) {
                    let message = self.messages.swap_remove(n);
                    self.deliver(message, refuse);
                }
            }
            Step::DeliverAll => {
                for message in std::mem::take(&mut self.messages) {
                    self.deliver(message, false);
                }
            }
            Step::Duplicate { message } => {
                if let Some(n) = message.checked_rem(self.messages.len()) {
                    let message = self.messages[n].clone();
                    // The transport delivers a request once; copies of starts come from
                    // resends.
                    if !matches!(message, Message::Start { .. }) {
                        self.messages.push(message);
                    }
                }
            }
            Step::Lose { message } => {
                if let Some(n) = message.checked_rem(self.messages.len()) {
                    self.messages.swap_remove(n);
                }
            }
            Step::End { agent, attempt, ok } => {
                let replies = self.agents[agent].end_attempt(attempt, ok, &mut self.model);
                self.messages.extend(replies.into_iter().map(Message::Reply));
            }
            Step::DiscardAnswers { agent } => self.agents[agent].discard_answers(),
            Step::Dispatch { entry, agent } => self.dispatch(entry, agent),
            Step::ConfirmAndDispatch { entry, agent, flush } => {
                self.confirm(entry);
                if flush {
                    self.flush(entry, false);
                }
                self.dispatch(entry, agent);
            }
            Step::SubmitEverywhere { job, agent } => {
                self.add_request(job, 0);
                for entry in 0..ENTRIES {
                    self.on_submission(job, entry);
                    self.dispatch(entry, (agent + entry) % AGENTS);
                }
            }
            Step::Resend { entry, attempt } => {
                if let Some(n) = attempt.checked_rem(self.processes[entry].sent.len()) {
                    self.resend(entry, self.processes[entry].sent[n]);
                }
            }
            Step::Flush { entry, is_reply_lost } => self.flush(entry, is_reply_lost),
            Step::ReadClaims { entry } => self.read_claims(entry),
            Step::Confirm { entry } => self.confirm(entry),
            Step::Claim { entry, reads_claims } => self.claim(entry, reads_claims),
            Step::ReadStreams { entry } => self.read_streams(entry),
            Step::Serve { entry } => self.serve(entry),
            Step::Takeover { entry, reporting, wait_ms } => {
                self.take_over(entry, reporting, wait_ms);
            }
            Step::Cancel { entry, job } => self.cancel(entry, job),
            Step::Expire { entry } => {
                let ended = self.processes[entry].table.expire(self.now_ms);
                ended.into_iter().for_each(|job| self.on_finished(entry, job));
            }
            Step::RestartAgent { agent } => self.restart_agent(agent),
            Step::RestartEntry { entry: n } => {
                self.incarnations += 1;
                let identity = entry(n as u8, self.incarnations);
                self.processes[n] = EntryProcess::new(identity, self.settings, COUNT);
            }
            Step::Log { up } => self.is_log_available = up,
            Step::Truncate { stream, records } => self.truncate(stream, records),
            Step::Tick { ms } => self.now_ms += ms,
        }
    }

    fn submit(&mut self, job: u8, entry: usize, age_ms: u64) {
        self.add_request(job, age_ms);
        self.messages.push(Message::Submit { job, entry });
    }

    fn add_request(&mut self, job: u8, age_ms: u64) {
        let id = job_id(self.now_ms - age_ms, job);
        let tasks = 1 + u32::from(job) % MAX_TASKS;
        self.requests.entry(job).or_insert_with(|| {
            let mut request = submission(id, tasks, !job.is_multiple_of(3), NOW_MS);
            request.wait = job != 5;
            request
        });
    }

    fn process_index(&self, incarnation: Incarnation) -> Option<usize> {
        self.processes.iter().position(|process| process.identity.incarnation == incarnation)
    }

    fn deliver(&mut self, message: Message, refuse: bool) {
        match message {
            Message::Submit { job, entry } => self.on_submission(job, entry),
            Message::Start { from, agent, incarnation, permit } => {
                let job = permit.key.task.job;
                let request = self.requests.values().find(|request| request.terms.id == job);
                let idempotent = request.unwrap().terms.idempotent;
                let agent = &mut self.agents[agent];
                let reply =
                    agent.start(from, incarnation, permit, idempotent, refuse, &mut self.model);
                self.messages.extend(reply.map(Message::Reply));
            }
            Message::Reply(reply) => self.on_reply(reply),
            Message::Query { from, owned, agent } => {
                let report = self.agents[agent].report(&owned, COUNT, self.now_ms);
                let message = report.map(|report| Message::Report {
                    to: from,
                    queried: owned,
                    agent,
                    report,
                });
                self.messages.extend(message);
            }
            Message::Report { to, queried, agent, report } => {
                let upstream = &self.agents[agent].upstream;
                let process =
                    self.processes.iter_mut().find(|process| process.identity.incarnation == to);
                // A report is received only over a connection to the incarnation that sent it.
                let is_connected = report.incarnation == self.agents[agent].incarnation;
                if let Some(takeover) = process.and_then(|process| process.takeover.as_mut())
                    && is_connected
                {
                    takeover.on_agent_report(upstream, &queried, report, self.now_ms);
                }
            }
        }
    }

    fn on_submission(&mut self, job: u8, entry: usize) {
        let mut request = self.requests[&job].clone();
        let id = request.terms.id;
        request.terms.accepted_ms = self.now_ms;
        request.terms.deadline_ms = self.now_ms + 3_000;
        let process = &mut self.processes[entry];
        if process.table.owns(id) {
            self.model.on_arrival(id);
        }
        match process.table.submit(request.clone(), self.now_ms) {
            SubmitDecision::Start(record) => {
                process.unwritten.push(record);
                process.table.add_waiter(id, job);
            }
            SubmitDecision::Join => {
                process.table.add_waiter(id, job);
            }
            SubmitDecision::Resume(plan) => {
                process.table.add_waiter(id, job);
                plan.steps.iter().for_each(|step| self.model.count(situation(step)));
                self.resume(entry, &plan);
            }
            SubmitDecision::Finished(outcome) => self.model.on_outcome(&request, id, &outcome),
            SubmitDecision::Refuse(refusal) => self.model.on_refusal(id, &refusal),
            SubmitDecision::NotOwner => {}
        }
    }

    fn resume(&mut self, entry: usize, plan: &ResumePlan) {
        for step in &plan.steps {
            if let ResumeStep::JoinAttempt(target) = step {
                let agent = self.agents.iter().position(|a| a.upstream == target.upstream);
                let sent =
                    Sent { key: target.key, agent: agent.unwrap(), incarnation: target.agent };
                self.processes[entry].sent.push(sent);
                self.resend(entry, sent);
            }
        }
    }

    fn dispatch(&mut self, entry: usize, agent: usize) {
        let process = &mut self.processes[entry];
        let (upstream, incarnation) =
            (self.agents[agent].upstream.clone(), self.agents[agent].incarnation);
        for request in self.requests.values() {
            for index in (0..request.terms.tasks).map(TaskIndex) {
                let key = TaskKey { job: request.terms.id, index };
                let permit =
                    process.table.begin_attempt(key, upstream.clone(), incarnation, self.now_ms);
                if let Ok(permit) = permit {
                    process.sent.push(Sent { key: permit.key, agent, incarnation });
                    let from = process.identity.incarnation;
                    self.messages.push(Message::Start { from, agent, incarnation, permit });
                }
            }
        }
    }

    fn resend(&mut self, entry: usize, sent: Sent) {
        let process = &mut self.processes[entry];
        let Sent { key, agent, incarnation } = sent;
        let upstream = &self.agents[agent].upstream;
        if let Ok(permit) = process.table.resend_attempt(key, upstream, self.now_ms) {
            let from = process.identity.incarnation;
            self.messages.push(Message::Start { from, agent, incarnation, permit });
        }
    }

    fn on_reply(&mut self, reply: Reply) {
        let Some(entry) = self.process_index(reply.requester.entry) else { return };
        let table = &mut self.processes[entry].table;
        let effects = table.on_attempt_result(reply.result, RetryDecision::Retry, self.now_ms);
        if let AttemptEffects::Finished(job) = effects {
            self.on_finished(entry, job);
        }
    }

    fn on_finished(&mut self, entry: usize, job: FinishedJob<u8>) {
        for waiter in job.waiters {
            self.model.on_outcome(&self.requests[&waiter], job.id, &job.outcome);
        }
        self.processes[entry].unwritten.push(JobRecord::Finished(job.record));
    }

    fn cancel(&mut self, entry: usize, job: u8) {
        let Some(request) = self.requests.get(&job).cloned() else { return };
        let table = &mut self.processes[entry].table;
        let id = request.terms.id;
        match table.cancel(id, &request.terms.team, self.now_ms) {
            Ok(CancelEffects::Finished(job)) => {
                self.model.on_outcome(&request, id, &job.outcome);
                self.on_finished(entry, job);
            }
            Ok(CancelEffects::AlreadyFinished(outcome)) => {
                self.model.on_outcome(&request, id, &outcome);
            }
            Err(_) => {}
        }
    }

    fn flush(&mut self, entry: usize, is_reply_lost: bool) {
        if !self.is_log_available {
            return;
        }
        let process = &mut self.processes[entry];
        let records = std::mem::take(&mut process.unwritten);
        process.durable.extend(records.iter().filter_map(|record| match record {
            JobRecord::Accepted(accepted) => Some(accepted.terms.id),
            JobRecord::Finished(_) | JobRecord::Served(_) | JobRecord::Marked { .. } => None,
        }));
        self.streams.entry(process.identity.clone()).or_default().records.extend(records);
        if !is_reply_lost {
            self.read_claims(entry);
            let process = &mut self.processes[entry];
            for id in std::mem::take(&mut process.durable) {
                process.table.mark_recorded(id);
            }
        }
    }

    fn read_claims(&mut self, entry: usize) {
        if !self.is_log_available {
            return;
        }
        let process = &mut self.processes[entry];
        process.claims_read_ms = self.now_ms;
        self.claims.iter().for_each(|claim| {
            process.ownership.apply(claim);
        });
        let lost: Vec<_> = process
            .ownership
            .iter()
            .filter(|(_, part)| part.owner() != Some(&process.identity))
            .map(|(partition, part)| (partition, part.epoch()))
            .collect();
        let has_lost = !lost.is_empty();
        let fenced: Vec<_> = lost
            .into_iter()
            .flat_map(|(partition, epoch)| process.table.fence(partition, epoch))
            .collect();
        if has_lost {
            process.takeover = None;
        }
        process.table.confirm(&process.table.owned(), self.now_ms);
        for job in fenced {
            self.model.count("fenced");
            self.on_fenced(entry, job);
        }
    }

    /// Forwards a fenced job to the owner that the log names, or refuses it if there is none.
    fn on_fenced(&mut self, entry: usize, job: FencedJob<u8>) {
        let process = &self.processes[entry];
        let owner = process.ownership.iter().find_map(|(_, part)| part.owner());
        let owner = owner.and_then(|owner| self.process_index(owner.incarnation));
        for waiter in job.waiters {
            match owner {
                Some(entry) => self.messages.push(Message::Submit { job: waiter, entry }),
                None => self.model.on_refusal(job.id, &job.refusal),
            }
        }
    }

    fn confirm(&mut self, entry: usize) {
        let EntryProcess { table, claims_read_ms, .. } = &mut self.processes[entry];
        let owned = table.owned();
        let is_current = |agent: &&Agent| {
            agent.started_ms < *claims_read_ms
                && owned.iter().all(|part| agent.epoch(part.partition) <= part.epoch)
        };
        if self.agents.iter().filter(is_current).count() * 2 > AGENTS {
            table.confirm(&owned, self.now_ms);
        }
    }

    fn claim(&mut self, entry: usize, reads_claims: bool) {
        if !self.is_log_available || self.processes[entry].takeover.is_some() {
            return;
        }
        if reads_claims {
            self.read_claims(entry);
        }
        let process = &mut self.processes[entry];
        let partitions: Vec<_> = process
            .ownership
            .iter()
            .filter(|(_, part)| part.owner() != Some(&process.identity))
            .map(|(partition, part)| PartitionClaim { partition, replaces: part.epoch() })
            .collect();
        let claim = Claim {
            owner: process.identity.clone(),
            partitions: partitions.clone(),
            claimed_ms: self.now_ms,
        };
        let offset = Offset(self.claims.len() as u64);
        self.claims.push(PositionedClaim { offset, record: ClaimRecord::Claim(claim) });
        self.read_claims(entry);
        let process = &mut self.processes[entry];
        let owned: Vec<_> = process
            .ownership
            .owned_by(&process.identity)
            .into_iter()
            .filter(|part| partitions.iter().any(|p| p.partition == part.partition))
            .collect();
        if owned.is_empty() {
            return;
        }
        let mut takeover =
            Takeover::new(self.settings, COUNT, &owned, &process.ownership, self.now_ms);
        for (n, agent) in self.agents.iter().enumerate() {
            takeover.expect_agent(agent.upstream.clone());
            let from = process.identity.incarnation;
            self.messages.push(Message::Query { from, owned: owned.clone(), agent: n });
        }
        process.takeover = Some(Box::new(takeover));
    }

    fn read_streams(&mut self, entry: usize) {
        let Some(takeover) =
            self.processes[entry].takeover.as_mut().filter(|_| self.is_log_available)
        else {
            return;
        };
        let owners: Vec<_> = takeover.unread_streams().into_iter().cloned().collect();
        for owner in owners {
            let stream = self.streams.entry(owner.clone()).or_default();
            stream.records.iter().for_each(|record| takeover.add_record(&owner, record.clone()));
            takeover.on_stream_read(&owner, !stream.is_truncated);
        }
    }

    fn serve(&mut self, entry: usize) {
        let process = &mut self.processes[entry];
        match process.takeover.take().map(|takeover| takeover.finish(self.now_ms)) {
            Some(Ok(restored)) => {
                self.model.count("served");
                let effects = process.table.restore(restored);
                process.unwritten.extend(effects.records);
                effects.resume.iter().for_each(|plan| self.resume(entry, plan));
            }
            Some(Err(takeover)) => process.takeover = Some(takeover),
            None => {}
        }
    }

    fn take_over(&mut self, entry: usize, reporting: u8, wait_ms: u64) {
        self.claim(entry, true);
        self.read_streams(entry);
        let process = &self.processes[entry];
        let (from, identity) = (process.identity.incarnation, process.identity.clone());
        let owned = process.ownership.owned_by(&identity);
        for agent in (0..AGENTS).filter(|agent| reporting & (1 << agent) != 0) {
            self.messages.push(Message::Query { from, owned: owned.clone(), agent });
            let query = self.messages.pop().unwrap();
            let before = self.messages.len();
            self.deliver(query, false);
            let reports = self.messages.split_off(before);
            reports.into_iter().for_each(|report| self.deliver(report, false));
        }
        self.now_ms += wait_ms;
        self.serve(entry);
        self.read_claims(entry);
    }

    fn restart_agent(&mut self, n: usize) {
        self.incarnations += 1;
        let mut agent = Agent::new(n, self.incarnations, self.now_ms);
        for process in &mut self.processes {
            process.table.owned().into_iter().for_each(|owned| agent.fence(owned));
            if let Some(takeover) = &mut process.takeover {
                takeover.on_agent_incarnation(&agent.upstream, agent.incarnation);
            }
        }
        self.agents[n] = agent;
    }

    fn truncate(&mut self, stream: usize, records: usize) {
        let Some(n) = stream.checked_rem(self.streams.len()) else { return };
        let stream = &mut self.streams[n];
        let records = records.min(stream.records.len());
        stream.records.drain(..records);
        stream.is_truncated |= records > 0;
    }
}

fn situation(step: &ResumeStep) -> &'static str {
    match step {
        ResumeStep::Dispatch(_) => "resume by dispatch",
        ResumeStep::JoinAttempt(_) => "resume by joining",
        ResumeStep::AlreadyAnswered(_) => "resume with an answer",
    }
}
