//! Differential test of the fair queue against a naive model that keeps one list of tasks
//! and scans all of it.

use policy::{Charge, ClassFloors, FairQueueBuilder, JobTask, QueuedJob, Ticket};
use proptest::{prelude::*, test_runner::RngSeed};
use types::{TeamName, Urgency};

const TEAMS: usize = 4;
const MAX_LEAD_US: u64 = 5_000;
const MAX_BYTES: usize = 4_000;
const MAX_TASKS: usize = 12;

#[derive(Clone, Debug)]
enum Operation {
    Push { team: usize, weight: u32, class: usize, costs_us: Vec<u64>, slack_us: u64, bytes: usize },
    Pop { blocked: [bool; TEAMS] },
    Remove { nth: usize },
    Expire,
    Settle { nth: usize, actual_us: u64 },
    Wait { us: u64 },
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (0..TEAMS, 0..4u32, 0..3usize, prop::collection::vec(0..500u64, 1..4), 0..20_000u64, 0..300usize).prop_map(
            |(team, weight, class, costs_us, slack_us, bytes)| Operation::Push {
                team, weight, class, costs_us, slack_us, bytes
            }
        ),
        6 => any::<[bool; TEAMS]>().prop_map(|blocked| Operation::Pop { blocked }),
        2 => Just(Operation::Pop { blocked: [false; TEAMS] }),
        1 => any::<usize>().prop_map(|nth| Operation::Remove { nth }),
        1 => Just(Operation::Expire),
        2 => (any::<usize>(), 0..2_500u64).prop_map(|(nth, actual_us)| Operation::Settle { nth, actual_us }),
        2 => (0..2_000u64).prop_map(|us| Operation::Wait { us }),
    ]
}

struct NaiveTask {
    id: usize,
    team: usize,
    class: usize,
    cost_us: u64,
    deadline_us: u64,
    bytes: usize,
}

#[derive(Clone, Copy, Default)]
struct NaiveTeam {
    weight: u32,
    tag: u128,
    credit: [i64; 3],
}

#[derive(Default)]
struct NaiveQueue {
    tasks: Vec<NaiveTask>,
    teams: [NaiveTeam; TEAMS],
    known_teams: Vec<usize>,
    virtual_time: u128,
    expired: Vec<usize>,
}

fn span(us: u64, weight: u32) -> u128 {
    (u128::from(us) << 20) / u128::from(weight)
}

fn floor(class: usize) -> i64 {
    [0, 10, 5][class]
}

impl NaiveQueue {
    fn tasks_of(&self, team: usize) -> impl Iterator<Item = &NaiveTask> {
        self.tasks.iter().filter(move |task| task.team == team)
    }

    fn head(&self, team: usize, class: usize) -> Option<&NaiveTask> {
        self.tasks_of(team).find(|task| task.class == class)
    }

    fn push(&mut self, tasks: Vec<NaiveTask>, weight: u32) -> bool {
        let weight = weight.max(1);
        let (team, class) = (tasks[0].team, tasks[0].class);
        let queued = || self.tasks_of(team).filter(|queued| queued.class == class);
        let queued_bytes: usize = queued().map(|task| task.bytes).sum();
        let bytes: usize = tasks.iter().map(|task| task.bytes).sum();
        let free = MAX_BYTES - self.bytes();
        let others =
            (0..TEAMS).filter(|&other| other != team && self.tasks_of(other).next().is_some());
        let sum = others.map(|other| self.teams[other].weight).sum::<u32>() + weight;
        let threshold = free.saturating_sub(bytes) * weight as usize / sum as usize / 3;
        let is_first = queued_bytes == 0 && bytes <= free / 2;
        let is_within = queued_bytes + bytes <= threshold || is_first;
        if queued().count() + tasks.len() > MAX_TASKS || !is_within {
            return false;
        }
        let is_idle = self.tasks_of(team).next().is_none();
        let state = &mut self.teams[team];
        state.weight = weight;
        state.tag = if is_idle { state.tag.max(self.virtual_time) } else { state.tag };
        if !self.known_teams.contains(&team) {
            self.known_teams.push(team);
        }
        self.tasks.extend(tasks);
        true
    }

    fn bytes(&self) -> usize {
        self.tasks.iter().map(|task| task.bytes).sum()
    }

    fn remove(&mut self, id: usize) -> Option<NaiveTask> {
        let at = self.tasks.iter().position(|task| task.id == id)?;
        let task = self.tasks.remove(at);
        if self.head(task.team, task.class).is_none() {
            let credit = &mut self.teams[task.team].credit[task.class];
            *credit = (*credit).min(0);
        }
        Some(task)
    }

    fn expire(&mut self, now_us: u64) {
        let is_late = |task: &&NaiveTask| now_us + task.cost_us > task.deadline_us;
        let late = self.tasks.iter().filter(is_late);
        let mut late: Vec<_> = late
            .map(|task| ((task.deadline_us + 1).saturating_sub(task.cost_us), task.id))
            .collect();
        late.sort_unstable();
        for (_, id) in late {
            self.remove(id);
            self.expired.push(id);
        }
    }

    fn pop(&mut self, now_us: u64, blocked: [bool; TEAMS]) -> Option<(usize, usize, bool)> {
        self.expire(now_us);
        let order = |&team: &usize| {
            (self.teams[team].tag, self.known_teams.iter().position(|&t| t == team))
        };
        let waiting = (0..TEAMS).filter(|&team| self.tasks_of(team).next().is_some());
        let team = waiting.filter(|&team| !blocked[team]).min_by_key(order)?;
        let tag = self.teams[team].tag;
        self.virtual_time = self.virtual_time.max(tag);
        for other in 0..TEAMS {
            if self.tasks_of(other).next().is_some() {
                self.teams[other].tag = self.teams[other].tag.max(tag);
            }
        }
        let first = (0..3).find(|&class| self.head(team, class).is_some())?;
        let class_with_credit = (0..3).find(|&class| {
            let cost = self.head(team, class).map(|task| task.cost_us as i64 * 100);
            cost.is_some_and(|cost| self.teams[team].credit[class] >= cost)
        });
        let class = class_with_credit.unwrap_or(first);
        let (id, cost_us) = self.head(team, class).map(|task| (task.id, task.cost_us))?;
        self.accrue(team, cost_us as i64);
        let credit = &mut self.teams[team].credit[class];
        let spent = *credit - cost_us as i64 * 100;
        *credit = if class == first { spent.max((*credit).min(0)) } else { spent };
        self.teams[team].tag += span(cost_us, self.teams[team].weight);
        self.remove(id);
        Some((id, team, class != first))
    }

    fn accrue(&mut self, team: usize, us: i64) {
        for class in (0..3).filter(|&class| floor(class) > 0) {
            if self.head(team, class).is_some() {
                let credit = &mut self.teams[team].credit[class];
                *credit += us * floor(class);
            }
        }
    }

    fn settle(&mut self, team: usize, class: usize, charge: &Charge, actual_us: u64) {
        let NaiveTeam { weight, tag, .. } = self.teams[team];
        let lead = span(MAX_LEAD_US, weight);
        self.teams[team].tag = if actual_us >= charge.cost_us {
            (tag + span(actual_us - charge.cost_us, weight)).min(self.virtual_time + lead).max(tag)
        } else {
            let earlier = tag.saturating_sub(span(charge.cost_us - actual_us, weight));
            earlier.max(self.virtual_time.saturating_sub(lead)).min(tag)
        };
        let excess_us = actual_us as i64 - charge.cost_us as i64;
        self.accrue(team, excess_us);
        if charge.by_floor() {
            let is_idle = self.head(team, class).is_none();
            let credit = &mut self.teams[team].credit[class];
            let paid = (*credit - excess_us * 100).max(-(MAX_LEAD_US as i64) * 100);
            *credit = if is_idle { paid.min(0) } else { paid };
        }
    }
}

fn team_name(team: usize) -> TeamName {
    ["a", "b", "c", "d"][team].parse().expect("valid name")
}

fn check(operations: Vec<Operation>) -> Result<(), TestCaseError> {
    let mut queue = FairQueueBuilder::default()
        .max_bytes(MAX_BYTES)
        .max_tasks_per_class(MAX_TASKS)
        .max_lead_us(MAX_LEAD_US)
        .floors(ClassFloors::new(10, 5).expect("floors add up"))
        .build();
    let mut naive = NaiveQueue::default();
    let mut tickets: Vec<(usize, Ticket)> = Vec::new();
    let mut charges: Vec<Charge> = Vec::new();
    let mut now_us = 0;
    for (id, operation) in operations.into_iter().enumerate() {
        match operation {
            Operation::Push { team, weight, class, costs_us, slack_us, bytes } => {
                let deadline_us = now_us + slack_us;
                let ids = id * MAX_TASKS..;
                let naive_tasks = costs_us.iter().map(|&cost_us| cost_us.max(1)).zip(ids.clone());
                let naive_tasks = naive_tasks.map(|(cost_us, id)| NaiveTask {
                    id,
                    team,
                    class,
                    cost_us,
                    deadline_us,
                    bytes,
                });
                let expected = naive.push(naive_tasks.collect(), weight);
                let tasks = costs_us.into_iter().zip(ids.clone());
                let job = QueuedJob {
                    team: team_name(team),
                    weight,
                    urgency: Urgency::ALL[class],
                    deadline_us,
                    tasks: tasks.map(|(cost_us, item)| JobTask { cost_us, bytes, item }).collect(),
                };
                let pushed = queue.push_job(job);
                prop_assert_eq!(pushed.is_ok(), expected);
                tickets.extend(ids.zip(pushed.unwrap_or_default()));
            }
            Operation::Pop { blocked } => {
                let is_blocked =
                    |name: &TeamName| (0..TEAMS).any(|t| blocked[t] && *name == team_name(t));
                let peeked = queue.peek(now_us, is_blocked).map(|peeked| *peeked.item);
                let popped = queue.pop(now_us, is_blocked);
                prop_assert_eq!(peeked, popped.as_ref().map(|popped| popped.item));
                let actual =
                    popped.as_ref().map(|p| (p.item, p.charge.team.clone(), p.charge.by_floor()));
                let expected = naive.pop(now_us, blocked);
                prop_assert_eq!(
                    actual,
                    expected.map(|(id, team, by_floor)| (id, team_name(team), by_floor))
                );
                charges.extend(popped.map(|popped| popped.charge));
            }
            Operation::Remove { nth } if !tickets.is_empty() => {
                let (id, ticket) = tickets[nth % tickets.len()];
                prop_assert_eq!(queue.remove(ticket), naive.remove(id).map(|task| task.id));
            }
            Operation::Expire => {
                naive.expire(now_us);
                prop_assert_eq!(queue.expire(now_us), std::mem::take(&mut naive.expired));
            }
            Operation::Settle { nth, actual_us } if !charges.is_empty() => {
                let charge = charges.swap_remove(nth % charges.len());
                let team = (0..TEAMS).find(|&team| charge.team == team_name(team)).expect("known");
                naive.settle(team, charge.urgency.index(), &charge, actual_us);
                queue.settle(&charge, actual_us);
            }
            Operation::Wait { us } => now_us += us,
            Operation::Remove { .. } | Operation::Settle { .. } => {}
        }
        prop_assert_eq!(queue.len(), naive.tasks.len());
        prop_assert_eq!(queue.bytes(), naive.bytes());
        for team in 0..TEAMS {
            let backlog_us: u64 = naive.tasks_of(team).map(|task| task.cost_us).sum();
            prop_assert_eq!(queue.backlog_us(&team_name(team)), backlog_us);
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn queue_agrees_with_the_naive_model(operations in prop::collection::vec(operation(), 1..250)) {
        check(operations)?;
    }
}
