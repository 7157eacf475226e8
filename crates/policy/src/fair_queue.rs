use std::{collections::BTreeSet, mem};

use indexmap::IndexMap;
use types::{TeamName, Urgency};

use crate::{
    Charge, FairQueueBuilder, JobTask, PeekedTask, PoppedTask, QueueFull, QueuedJob, QueuedTask,
    TeamBacklog, Ticket,
    class_queue::{ClassQueue, QueueEntry},
    queue_memory::QueueMemory,
    schedule::Schedule,
    team_queue::{Candidate, TeamQueue},
};

const MIN_COST_US: u64 = 1;
const MAX_COST_US: u64 = 86_400_000_000;

/// Queue of the tasks that wait for the slots of one pool.
///
/// Teams share slot time by weight (start-time fair queueing).  Within a team the most
/// urgent class is served first, while every class receives its floor; within a class tasks
/// leave in order of arrival.  The state of a team is kept for the lifetime of the queue.
#[derive(Debug)]
pub struct FairQueue<T> {
    settings: FairQueueBuilder,
    teams: IndexMap<TeamName, TeamQueue<T>>,
    schedule: Schedule,
    expiries: BTreeSet<(u64, Ticket)>,
    expired: Vec<T>,
    memory: QueueMemory,
    next_sequence: u64,
}

impl<T> FairQueue<T> {
    pub(crate) fn with_settings(settings: FairQueueBuilder) -> Self {
        Self {
            memory: QueueMemory::new(settings.max_bytes),
            settings,
            teams: IndexMap::new(),
            schedule: Schedule::default(),
            expiries: BTreeSet::new(),
            expired: Vec::new(),
            next_sequence: 0,
        }
    }

    /// Queues a task behind the earlier ones of its team and class.
    ///
    /// # Errors
    ///
    /// Fails if the team would exceed its limit of tasks or bytes; the queue is unchanged.
    pub fn push(&mut self, task: QueuedTask<T>) -> Result<Ticket, QueueFull> {
        let QueuedTask { team, weight, urgency, cost_us, deadline_us, bytes, item } = task;
        self.check_capacity(&team, weight, urgency, 1, bytes)?;
        let index = self.activate_team(&team, weight);
        Ok(self.enqueue(index, urgency, deadline_us, JobTask { cost_us, bytes, item }))
    }

    /// Queues all tasks of a job, or none of them, behind the earlier tasks of its team and
    /// class.  The tickets are in the order of the tasks.
    ///
    /// # Errors
    ///
    /// Fails if the team would exceed its limit of tasks or bytes; the queue is unchanged.
    pub fn push_job(&mut self, job: QueuedJob<T>) -> Result<Vec<Ticket>, QueueFull> {
        let QueuedJob { team, weight, urgency, deadline_us, tasks } = job;
        let bytes = tasks.iter().map(|task| task.bytes).sum();
        self.check_capacity(&team, weight, urgency, tasks.len(), bytes)?;
        if tasks.is_empty() {
            return Ok(Vec::new());
        }
        let index = self.activate_team(&team, weight);
        let tasks = tasks.into_iter();
        Ok(tasks.map(|task| self.enqueue(index, urgency, deadline_us, task)).collect())
    }

    /// Checks whether a number of tasks of one class can be queued together; `bytes` is
    /// their total size.
    ///
    /// # Errors
    ///
    /// Fails if the team would exceed its limit of tasks or bytes of the class.
    pub fn check_capacity(
        &self,
        team: &TeamName,
        weight: u32,
        urgency: Urgency,
        tasks: usize,
        bytes: usize,
    ) -> Result<(), QueueFull> {
        let queue = self.teams.get(team);
        let class = queue.map(|queue| queue.class(urgency));
        let limit = self.settings.max_tasks_per_class;
        if class.map_or(0, ClassQueue::len).saturating_add(tasks) > limit {
            return Err(QueueFull::Tasks { team: team.clone(), limit });
        }
        let class_bytes = class.map_or(0, ClassQueue::bytes);
        let waiting_weight = queue.filter(|queue| !queue.is_empty()).map_or(0, |q| q.weight);
        let limit = self.memory.limit(class_bytes, weight.max(1), waiting_weight, bytes);
        if class_bytes.saturating_add(bytes) > limit {
            return Err(QueueFull::Bytes { team: team.clone(), limit });
        }
        Ok(())
    }

    /// Removes the task to start next and charges its team with the predicted slot time.
    /// Teams for which `is_blocked` returns true are skipped and gain no credit from it.
    /// Tasks that can no longer meet their deadline are never returned; see
    /// [`FairQueue::expire`].
    pub fn pop(
        &mut self,
        now_us: u64,
        is_blocked: impl FnMut(&TeamName) -> bool,
    ) -> Option<PoppedTask<T>> {
        self.collect_expired(now_us);
        let index = self.next_team(is_blocked)?;
        self.schedule.advance_to(index);
        let candidate = self.teams[index].candidate()?;
        let cost_us = self.teams[index].head(candidate.ticket.urgency)?.cost_us;
        self.charge(&candidate, cost_us);
        let entry = self.remove_entry(candidate.ticket)?;
        let (name, _) = self.teams.get_index(index)?;
        let charge = Charge {
            team: name.clone(),
            urgency: candidate.ticket.urgency,
            cost_us,
            by_floor: candidate.by_floor,
        };
        Some(PoppedTask {
            ticket: candidate.ticket,
            charge,
            deadline_us: entry.deadline_us,
            item: entry.item,
        })
    }

    /// Returns the task that [`FairQueue::pop`] would remove with the same arguments.
    pub fn peek(
        &mut self,
        now_us: u64,
        is_blocked: impl FnMut(&TeamName) -> bool,
    ) -> Option<PeekedTask<'_, T>> {
        self.collect_expired(now_us);
        let index = self.next_team(is_blocked)?;
        let (team, queue) = self.teams.get_index(index)?;
        let ticket = queue.candidate()?.ticket;
        let entry = queue.head(ticket.urgency)?;
        Some(PeekedTask {
            ticket,
            team,
            urgency: ticket.urgency,
            cost_us: entry.cost_us,
            deadline_us: entry.deadline_us,
            item: &entry.item,
        })
    }

    /// Removes a task that is no longer needed, free of charge; returns `None` if it has
    /// already left the queue.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.remove_entry(ticket).map(|entry| entry.item)
    }

    /// Removes the tasks whose deadline can no longer be met by a start now, free of
    /// charge, and returns them in the order of their latest possible start.
    pub fn expire(&mut self, now_us: u64) -> Vec<T> {
        self.collect_expired(now_us);
        mem::take(&mut self.expired)
    }

    /// Corrects a charge once the slot time that the task used is known; `actual_us` is 0
    /// for a task that was not run.
    pub fn settle(&mut self, charge: &Charge, actual_us: u64) {
        let Some(index) = self.teams.get_index_of(&charge.team) else { return };
        let actual_us = actual_us.min(MAX_COST_US);
        let excess_us = actual_us.cast_signed() - charge.cost_us.cast_signed();
        let max_lead_us = self.settings.max_lead_us;
        let team = &mut self.teams[index];
        self.schedule.settle(index, team.weight, charge.cost_us, actual_us, max_lead_us);
        team.accrue(excess_us, self.settings.floors);
        if charge.by_floor {
            team.correct_floor(charge.urgency, excess_us, max_lead_us);
        }
    }

    /// Returns the predicted slot time of a team's queued tasks in microseconds.
    pub fn backlog_us(&self, team: &TeamName) -> u64 {
        self.teams.get(team).map_or(0, |queue| queue.backlog_by_class_us().iter().sum())
    }

    /// Returns the predicted slot time of a team's queued tasks of one class in microseconds.
    pub fn class_backlog_us(&self, team: &TeamName, urgency: Urgency) -> u64 {
        self.teams.get(team).map_or(0, |queue| queue.backlog_by_class_us()[urgency.index()])
    }

    /// Iterates over the teams that have queued tasks.
    pub fn backlogs(&self) -> impl Iterator<Item = TeamBacklog<'_>> {
        self.schedule.waiting().filter_map(|index| {
            let (team, queue) = self.teams.get_index(index)?;
            let by_class_us = queue.backlog_by_class_us();
            Some(TeamBacklog { team, weight: queue.weight, by_class_us })
        })
    }

    /// Returns the number of queued tasks.
    pub fn len(&self) -> usize {
        self.expiries.len()
    }

    /// Returns whether no task is queued.
    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    /// Returns the memory held by queued tasks, in bytes.
    pub fn bytes(&self) -> usize {
        self.memory.bytes()
    }

    /// Marks a team as waiting, with its present weight, and returns its index.  The caller
    /// must queue a task of the team next.
    fn activate_team(&mut self, team: &TeamName, weight: u32) -> usize {
        let index = self.team_index(team);
        self.set_weight(index, weight.max(1));
        self.start_waiting_if_idle(index);
        index
    }

    fn enqueue(
        &mut self,
        index: usize,
        urgency: Urgency,
        deadline_us: u64,
        task: JobTask<T>,
    ) -> Ticket {
        let ticket = Ticket { sequence: self.next_sequence, team: index, urgency };
        self.next_sequence += 1;
        let cost_us = task.cost_us.clamp(MIN_COST_US, MAX_COST_US);
        let entry = QueueEntry { cost_us, deadline_us, bytes: task.bytes, item: task.item };
        self.memory.reserve(entry.bytes);
        self.expiries.insert((entry.expires_us(), ticket));
        self.teams[index].push(ticket, entry);
        ticket
    }

    fn team_index(&mut self, team: &TeamName) -> usize {
        if let Some(index) = self.teams.get_index_of(team) {
            return index;
        }
        let index = self.teams.len();
        self.teams.insert(team.clone(), TeamQueue::new(index));
        self.schedule.add_team();
        index
    }

    fn set_weight(&mut self, index: usize, weight: u32) {
        let team = &mut self.teams[index];
        let previous = mem::replace(&mut team.weight, weight);
        if !team.is_empty() {
            self.memory.subtract_weight(previous);
            self.memory.add_weight(weight);
        }
    }

    fn start_waiting_if_idle(&mut self, index: usize) {
        let team = &self.teams[index];
        if team.is_empty() {
            self.schedule.start_waiting(index);
            self.memory.add_weight(team.weight);
        }
    }

    fn next_team(&self, mut is_blocked: impl FnMut(&TeamName) -> bool) -> Option<usize> {
        let mut waiting = self.schedule.waiting();
        waiting
            .find(|&index| self.teams.get_index(index).is_some_and(|(team, _)| !is_blocked(team)))
    }

    fn charge(&mut self, candidate: &Candidate, cost_us: u64) {
        let index = candidate.ticket.team;
        let team = &mut self.teams[index];
        team.charge(candidate, cost_us, self.settings.floors);
        self.schedule.charge(index, team.weight, cost_us);
    }

    fn collect_expired(&mut self, now_us: u64) {
        while let Some(&(expires_us, ticket)) = self.expiries.first() {
            if expires_us > now_us {
                return;
            }
            let entry = self.remove_entry(ticket);
            self.expired.extend(entry.map(|entry| entry.item));
        }
    }

    fn remove_entry(&mut self, ticket: Ticket) -> Option<QueueEntry<T>> {
        let (_, team) = self.teams.get_index_mut(ticket.team)?;
        let entry = team.remove(ticket)?;
        self.expiries.remove(&(entry.expires_us(), ticket));
        self.memory.release(entry.bytes);
        if team.is_empty() {
            self.schedule.stop_waiting(ticket.team);
            self.memory.subtract_weight(team.weight);
        }
        Some(entry)
    }
}
