//! Generated messages of links: whatever an agent or an entry reads, it does not panic, its state
//! stays bounded, and the next message is served. `PROPTEST_CASES` runs more cases.

mod common;

use std::sync::Arc;

use common::{cores, job, open, report, submit, upstream};
use direct::{
    AgentHello, Attempt, AttemptBatch, AttemptId, AttemptOutcome, Claim, ClaimEnd, ClaimId,
    ClaimNews, Crash, CrashNotice, Dispatcher, EntryMessage, Evacuations, JobName, Load, Report,
    Supervisor, SupervisorEffect, Suspect, TaskId, Timing, ToAgent, UnsettledAttempts,
    UpstreamState, ZoneRecord,
};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use types::Resources;

/// Seed of the generator, so that every run checks the same cases.
const SEED: u64 = 37;

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![0..4_u64, Just(u64::MAX), any::<u64>()]
}

fn number32() -> impl Strategy<Value = u32> {
    prop_oneof![0..4_u32, Just(u32::MAX), any::<u32>()]
}

fn resources() -> impl Strategy<Value = Resources> {
    let parts = (number32(), number32(), number32());
    prop_oneof![
        (0..3_u32).prop_map(cores),
        parts.prop_map(|(milli_cores, memory_mb, accelerators)| Resources {
            milli_cores,
            memory_mb,
            accelerators
        }),
    ]
}

fn batch() -> impl Strategy<Value = AttemptBatch> {
    let attempt = (number(), number32(), number32()).prop_map(|(id, index, run)| Attempt {
        id: AttemptId(id),
        index,
        run,
    });
    (any::<bool>(), any::<u16>(), resources(), vec(attempt, 0..4), 0..3_u8).prop_map(
        |(is_suspect, step, need, attempts, n)| AttemptBatch {
            job: format!("j{n}").into(),
            kind: "scale".into(),
            is_suspect,
            step,
            payload: "".into(),
            need,
            attempts,
        },
    )
}

fn to_agent() -> impl Strategy<Value = ToAgent> {
    prop_oneof![
        batch().prop_map(ToAgent::Start),
        vec(number().prop_map(AttemptId), 0..4).prop_map(ToAgent::Stop),
        any::<bool>().prop_map(ToAgent::SetActive),
        any::<u16>().prop_map(ToAgent::SetReportPeriod),
        Just(ToAgent::Heartbeat(Vec::new())),
        claim().prop_map(ToAgent::Claim),
        (0..6_u64, claim_end()).prop_map(|(id, end)| ToAgent::EndClaim(ClaimId(id), end)),
    ]
}

/// Highest offset of generated records, so that a later one can end all evacuations.
const MAX_OFFSET: u64 = 100;

fn evacuations() -> impl Strategy<Value = Evacuations> {
    let zone = prop_oneof![Just("mid-a"), Just("mid-b")];
    let record = (zone, 0..=MAX_OFFSET, any::<bool>()).prop_map(|(zone, offset, is_evacuated)| {
        (Arc::from(zone), ZoneRecord { offset, is_evacuated })
    });
    (0..=MAX_OFFSET, vec(record, 0..3))
        .prop_map(|(end, records)| Evacuations::from_listing(Some(end), records))
}

fn outcome() -> impl Strategy<Value = AttemptOutcome> {
    prop_oneof![
        number32().prop_map(|run_ms| AttemptOutcome::Done { run_ms }),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::NotStarted),
        Just(AttemptOutcome::Lost),
        Just(AttemptOutcome::Crashed),
    ]
}

fn crash() -> impl Strategy<Value = CrashNotice> {
    let suspect =
        |index| Suspect { task: TaskId { job: "j".into(), step: 0, index }, kind: "scale".into() };
    let crashed = (number(), number(), vec(number32().prop_map(suspect), 0..3))
        .prop_map(|(incarnation, age_ms, suspects)| Crash { incarnation, age_ms, suspects });
    prop_oneof![crashed.prop_map(CrashNotice::Crashed), number().prop_map(CrashNotice::Refuted)]
}

fn claim_end() -> impl Strategy<Value = ClaimEnd> {
    prop_oneof![
        Just(ClaimEnd::Released),
        Just(ClaimEnd::Succeeded),
        Just(ClaimEnd::Failed),
        Just(ClaimEnd::Cancelled)
    ]
}

fn claim() -> impl Strategy<Value = Claim> {
    (0..6_u64, 0..3_u8, any::<bool>()).prop_map(|(id, job, is_running)| {
        let job = JobName { queue: "scale".into(), id: format!("j{job}").into() };
        Claim { id: ClaimId(id), job, is_running }
    })
}

fn claim_news() -> impl Strategy<Value = ClaimNews> {
    let id = || (0..6_u64).prop_map(ClaimId);
    prop_oneof![
        id().prop_map(ClaimNews::Granted),
        id().prop_map(ClaimNews::Contested),
        (id(), claim_end()).prop_map(|(id, end)| ClaimNews::Shared(id, end)),
        id().prop_map(ClaimNews::Asked),
        id().prop_map(ClaimNews::AskedByRunning)
    ]
}

fn any_report() -> impl Strategy<Value = Report> {
    let load = (resources(), number(), number(), any::<bool>()).prop_map(
        |(free, batches_seen, switches_seen, is_open)| Load {
            free,
            batches_seen,
            switches_seen,
            is_open,
            awaits_entries: is_open,
        },
    );
    let up = proptest::option::of((resources(), resources(), any::<bool>(), number()));
    let outcomes = vec((0..6_u64, outcome()), 0..6);
    let news = (vec(crash(), 0..3), vec(claim_news(), 0..4));
    (up, load, outcomes, news).prop_map(|(up, load, outcomes, (crashes, claims))| Report {
        upstream: up.map(|(capacity, largest, is_ready, incarnation)| {
            let state = if is_ready { UpstreamState::Ready } else { UpstreamState::Draining };
            let mut up = upstream("u", incarnation);
            (up.capacity, up.largest_capacity, up.state) = (capacity, largest, state);
            up
        }),
        load,
        outcomes: outcomes.into_iter().map(|(id, outcome)| (AttemptId(id), outcome)).collect(),
        crashes,
        claims,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn bytes_are_decoded_or_refused(bytes in vec(any::<u8>(), 0..200)) {
        // The result does not matter: a message that cannot be decoded ends its connection.
        let _ = postcard::from_bytes::<EntryMessage>(&bytes);
        let _ = postcard::from_bytes::<Report>(&bytes);
        let _ = postcard::from_bytes::<AgentHello>(&bytes);
    }

    #[test]
    fn evacuations_survive_their_encoding(value in evacuations()) {
        let message = EntryMessage { reports_read: 0, message: ToAgent::Evacuations(value) };
        let bytes = postcard::to_stdvec(&message).expect("it can be encoded");
        prop_assert_eq!(postcard::from_bytes::<EntryMessage>(&bytes), Ok(message));
    }

    #[test]
    fn an_agent_refuses_starts_exactly_while_it_knows_an_order(values in vec(evacuations(), 0..12)) {
        let mut agent = Supervisor::new(Timing::default(), 0);
        agent.on_heartbeat(upstream("u", 1), 1, 1);
        open(&mut agent);
        let none = UnsettledAttempts::default();
        let (entry, _) = agent.on_entry_hello(&Arc::from("e1"), 1, &none, 2, 2);
        let last = Evacuations::from_listing(Some(MAX_OFFSET + 1), []);
        for (n, value) in values.iter().chain([&last]).enumerate() {
            agent.merge_evacuations(value);
            let batch = common::batch(&format!("j{n}"), &[n as u64], Resources::default());
            let effects = agent.on_attempts(entry, &batch, 3);
            let has_started =
                effects.iter().any(|effect| matches!(effect, SupervisorEffect::Start(_)));
            prop_assert_eq!(has_started, !agent.evacuations().is_evacuated("mid-a"));
        }
        prop_assert!(!agent.evacuations().is_evacuated("mid-a"), "the last order has ended");
    }

    #[test]
    fn a_message_survives_its_encoding(reports_read in number(), message in to_agent()) {
        let message = EntryMessage { reports_read, message };
        let bytes = postcard::to_stdvec(&message).expect("it can be encoded");
        prop_assert_eq!(postcard::from_bytes::<EntryMessage>(&bytes), Ok(message));
    }

    #[test]
    fn an_agent_serves_the_next_message(messages in vec((number(), to_agent(), 0..700_u64), 0..24)) {
        let mut agent = Supervisor::new(Timing::default(), 0);
        agent.on_heartbeat(upstream("u", 1), 1, 1);
        open(&mut agent);
        let none = UnsettledAttempts::default();
        let (entry, _) = agent.on_entry_hello(&Arc::from("e1"), 1, &none, 2, 2);
        let mut now_ms = 2;
        for (reports_read, message, gap_ms) in messages {
            now_ms += gap_ms;
            agent.record_report_sent(entry, now_ms);
            agent.on_entry_message(entry, reports_read, now_ms);
            match message {
                ToAgent::Start(batch) => agent.on_attempts(entry, &batch, now_ms),
                ToAgent::Stop(ids) => agent.on_stop(entry, &ids),
                ToAgent::SetActive(is_active) => agent.set_active(entry, is_active),
                ToAgent::SetReportPeriod(period_ms) => {
                    agent.set_report_period(entry, period_ms);
                    Vec::new()
                }
                ToAgent::Claim(claim) => agent.on_claim(entry, &claim, now_ms),
                ToAgent::EndClaim(id, end) => agent.on_claim_end(entry, id, end, now_ms),
                ToAgent::Evacuations(value) => agent.merge_evacuations(&value),
                ToAgent::Heartbeat(_) | ToAgent::Hello(_) => Vec::new(),
            };
            agent.tick(now_ms);
            prop_assert!(agent.free().fits_in(cores(8)));
            prop_assert!(agent.lease_end_ms(now_ms).is_none_or(|ms| ms <= now_ms + 1_000));
        }
        // All runs end, and a fresh start is served.
        now_ms += 1_000;
        agent.tick(now_ms);
        agent.on_heartbeat(upstream("u", 2), 1, now_ms);
        let number = agent.record_report_sent(entry, now_ms);
        agent.on_entry_message(entry, number, now_ms);
        // Time in which a suspected job keeps others from starting.
        agent.tick(now_ms + 100);
        agent.tick(now_ms + 200);
        let batch = common::batch("fresh", &[77], cores(1));
        let effects = agent.on_attempts(entry, &batch, now_ms + 200);
        prop_assert!(effects.iter().any(|effect| matches!(effect, SupervisorEffect::Start(_))));
    }

    #[test]
    fn an_entry_serves_the_next_report(reports in vec((any_report(), 0..700_u64), 0..24)) {
        let mut entry = Dispatcher::new(Timing::default(), "mid-a".into(), 1);
        let hello = |name: &str| AgentHello { agent: name.into(), incarnation: 1, entries: vec![] };
        let (odd, _, _) = entry.on_agent_hello(&hello("odd"), 0);
        let mut now_ms = 0;
        for (n, (report, gap_ms)) in reports.into_iter().enumerate() {
            now_ms += gap_ms;
            entry.on_report(odd, report, now_ms);
            submit(&mut entry, job(&format!("j{n}"), 2), now_ms);
            entry.tick(now_ms);
        }
        entry.on_disconnected(odd);
        let (sound, _, _) = entry.on_agent_hello(&hello("sound"), now_ms);
        entry.on_report(sound, report(Some(upstream("v", 1)), cores(8), 0), now_ms);
        let mut other = job("other", 1);
        other.kind = "label".into();
        let (_, effects) = submit(&mut entry, other, now_ms + 10_000);
        let is_served = |effects: &[_]| common::attempts(effects).iter().any(|(a, _)| *a == sound);
        let mut served = is_served(&effects);
        for at_ms in [now_ms + 10_001, now_ms + 10_030] {
            let report = report(Some(upstream("v", 1)), cores(8), u64::MAX);
            served |= is_served(&entry.on_report(sound, report, at_ms));
        }
        prop_assert!(served);
    }
}
