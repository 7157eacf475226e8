//! Property test of the guarantees to callers, over generated histories of several entries,
//! agents and one log. The model counts what the agents started and compares it with what
//! callers receive: a task that is not idempotent starts at most once, a retry follows only a
//! failure, and no job that was reported as not run has started.

mod agent;
#[path = "../common/mod.rs"]
mod common;
mod entry_process;
mod model;
mod simulation;

use std::collections::BTreeMap;

use common::config;
use proptest::{prelude::*, strategy::ValueTree, test_runner::TestRunner};
use simulation::Simulation;

/// One event of a history. Indices are taken modulo the number of existing items.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// A caller sends a copy of a submission to an entry; the first copy determines the age of
    /// the job id.
    Submit {
        job: u8,
        entry: usize,
        age_ms: u64,
    },
    /// Every caller sends another copy of its submission to one entry.
    Resubmit {
        entry: usize,
    },
    /// A message arrives. With `refuse`, an agent refuses an attempt that it would start.
    Deliver {
        message: usize,
        refuse: bool,
    },
    /// All messages arrive, in order.
    DeliverAll,
    Duplicate {
        message: usize,
    },
    Lose {
        message: usize,
    },
    /// A running attempt ends.
    End {
        agent: usize,
        attempt: usize,
        ok: bool,
    },
    /// An agent discards the answers that it retains.
    DiscardAnswers {
        agent: usize,
    },
    /// An entry sends every attempt that may start to one agent.
    Dispatch {
        entry: usize,
        agent: usize,
    },
    /// An entry requests a confirmation, may write its records, and sends every attempt that
    /// may start to one agent.
    ConfirmAndDispatch {
        entry: usize,
        agent: usize,
        flush: bool,
    },
    /// A submission reaches every entry at the same time, and each entry dispatches it
    /// independently.
    SubmitEverywhere {
        job: u8,
        agent: usize,
    },
    Resend {
        entry: usize,
        attempt: usize,
    },
    /// An entry writes its records; the reply of the log may be lost.
    Flush {
        entry: usize,
        is_reply_lost: bool,
    },
    ReadClaims {
        entry: usize,
    },
    /// An entry is confirmed if more than half of the agents have run since before it last read
    /// the claims and know no newer epoch.
    Confirm {
        entry: usize,
    },
    /// An entry claims all partitions that it does not own, with or without reading the claims
    /// first.
    Claim {
        entry: usize,
        reads_claims: bool,
    },
    ReadStreams {
        entry: usize,
    },
    Serve {
        entry: usize,
    },
    /// A whole takeover, in which the agents in the bit set `reporting` report and some time
    /// passes.
    Takeover {
        entry: usize,
        reporting: u8,
        wait_ms: u64,
    },
    Cancel {
        entry: usize,
        job: u8,
    },
    Expire {
        entry: usize,
    },
    RestartAgent {
        agent: usize,
    },
    RestartEntry {
        entry: usize,
    },
    Log {
        up: bool,
    },
    /// Retention removes the oldest records of a stream.
    Truncate {
        stream: usize,
        records: usize,
    },
    Tick {
        ms: u64,
    },
}

const JOBS: u8 = 40;

fn step() -> impl Strategy<Value = Step> {
    let entry = 0..3usize;
    let agent = 0..3usize;
    let item = 0..64usize;
    let frequent = prop_oneof![
        8 => (0..JOBS, entry.clone(), prop::sample::select(vec![0, 0, 0, 0, 0, 50, 900, 3_000]))
            .prop_map(|(job, entry, age_ms)| Step::Submit { job, entry, age_ms }),
        2 => entry.clone().prop_map(|entry| Step::Resubmit { entry }),
        6 => (item.clone(), prop::bool::weighted(0.1))
            .prop_map(|(message, refuse)| Step::Deliver { message, refuse }),
        4 => Just(Step::DeliverAll),
        1 => item.clone().prop_map(|message| Step::Duplicate { message }),
        1 => item.clone().prop_map(|message| Step::Lose { message }),
        6 => (agent.clone(), item.clone(), prop::bool::weighted(0.6))
            .prop_map(|(agent, attempt, ok)| Step::End { agent, attempt, ok }),
        6 => (entry.clone(), agent.clone())
            .prop_map(|(entry, agent)| Step::Dispatch { entry, agent }),
        12 => (entry.clone(), agent.clone(), prop::bool::weighted(0.3))
            .prop_map(|(entry, agent, flush)| Step::ConfirmAndDispatch { entry, agent, flush }),
        4 => (0..JOBS, agent.clone())
            .prop_map(|(job, agent)| Step::SubmitEverywhere { job, agent }),
        3 => (entry.clone(), item.clone())
            .prop_map(|(entry, attempt)| Step::Resend { entry, attempt }),
        4 => (entry.clone(), prop::bool::weighted(0.2))
            .prop_map(|(entry, is_reply_lost)| Step::Flush { entry, is_reply_lost }),
        2 => entry.clone().prop_map(|entry| Step::ReadClaims { entry }),
        3 => entry.clone().prop_map(|entry| Step::Confirm { entry }),
        1 => (entry.clone(), 0..JOBS).prop_map(|(entry, job)| Step::Cancel { entry, job }),
        1 => entry.clone().prop_map(|entry| Step::Expire { entry }),
        4 => (1..500u64).prop_map(|ms| Step::Tick { ms }),
    ];
    let rare = prop_oneof![
        2 => (entry.clone(), any::<bool>())
            .prop_map(|(entry, reads_claims)| Step::Claim { entry, reads_claims }),
        2 => entry.clone().prop_map(|entry| Step::ReadStreams { entry }),
        6 => entry.clone().prop_map(|entry| Step::Serve { entry }),
        4 => (entry.clone(), 0..8u8, prop::sample::select(vec![0, 499, 500, 500]))
            .prop_map(|(entry, reporting, wait_ms)| Step::Takeover { entry, reporting, wait_ms }),
        1 => agent.clone().prop_map(|agent| Step::DiscardAnswers { agent }),
        2 => agent.prop_map(|agent| Step::RestartAgent { agent }),
        1 => entry.prop_map(|entry| Step::RestartEntry { entry }),
        1 => prop::bool::weighted(0.7).prop_map(|up| Step::Log { up }),
        1 => (item, 1..4usize).prop_map(|(stream, records)| Step::Truncate { stream, records }),
    ];
    prop_oneof![20 => frequent, 1 => rare]
}

fn history() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec(step(), 1..300)
}

proptest! {
    #![proptest_config(config(3_000))]

    #[test]
    fn guarantees_hold(steps in history()) {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply(step);
            prop_assert_eq!(simulation.violation(), None);
        }
    }
}

#[test]
fn histories_reach_every_situation() {
    let mut runner = TestRunner::new(config(1));
    let mut reached: BTreeMap<&str, u32> = BTreeMap::new();
    for _ in 0..1_000 {
        let mut simulation = Simulation::new();
        let steps = history().new_tree(&mut runner).unwrap().current();
        steps.into_iter().for_each(|step| simulation.apply(step));
        simulation.reached().iter().for_each(|(key, n)| *reached.entry(key).or_default() += n);
    }
    println!("{reached:#?}");
    let expected = [
        "ambiguous",
        "answer gone",
        "complete",
        "failed",
        "fenced",
        "not run",
        "outcome unknown",
        "resume by dispatch",
        "resume by joining",
        "resume with an answer",
        "retry",
        "served",
        "start",
    ];
    assert_eq!(reached.keys().copied().collect::<Vec<_>>(), expected);
}
