//! Differential test of `SlotTable` against counts that are recomputed from the history of all
//! attempts.

mod common;

use common::{entry, key, seeded, size};
use placement::{SlotDecision, SlotLimits, SlotRefusal, SlotTable, StartRequest};
use proptest::prelude::*;
use types::{AttemptKey, Resources};

const ENTRIES: usize = 3;
const SLOTS: u32 = 4;
const QUEUE_LEN: u32 = 3;
const CAPACITY: Resources = Resources { milli_cores: 8_000, memory_mb: 8_000, accelerators: 0 };

#[derive(Clone, Debug)]
enum Op {
    Connect(usize),
    Start { entry: usize, uses_offer: bool, memory_mb: u32, rank: u64 },
    Finish(usize),
    Recall(usize),
    Disconnect(usize),
    Drain,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Running,
    Ended,
}

/// Every attempt that the table accepted, and the offers that each entry counts.
#[derive(Default)]
struct History {
    attempts: Vec<(AttemptKey, usize, Resources, State)>,
    offer_counts: [i32; ENTRIES],
    connected: [bool; ENTRIES],
}

impl History {
    fn attempts_in(&self, state: State) -> Vec<(AttemptKey, usize, Resources)> {
        let matching = self.attempts.iter().filter(|attempt| attempt.3 == state);
        matching.map(|attempt| (attempt.0, attempt.1, attempt.2)).collect()
    }

    fn set_state(&mut self, key: AttemptKey, state: State) {
        self.attempts.iter_mut().filter(|attempt| attempt.0 == key).for_each(|a| a.3 = state);
    }

    fn used(&self) -> Resources {
        let charges = self.attempts_in(State::Running).into_iter().map(|(_, _, charge)| charge);
        charges.fold(Resources::default(), Resources::saturating_add)
    }

    fn start_all(&mut self, keys: &[AttemptKey]) {
        keys.iter().for_each(|key| self.set_state(*key, State::Running));
    }
}

fn op() -> impl Strategy<Value = Op> {
    let start = (0..ENTRIES, any::<bool>(), 1_u32..6, 0_u64..3).prop_map(
        |(entry, uses_offer, memory, rank)| Op::Start {
            entry,
            uses_offer,
            memory_mb: memory * 1_000,
            rank,
        },
    );
    prop_oneof![
        2 => (0..ENTRIES).prop_map(Op::Connect),
        12 => start,
        10 => (0..8_usize).prop_map(Op::Finish),
        2 => (0..8_usize).prop_map(Op::Recall),
        1 => (0..ENTRIES).prop_map(Op::Disconnect),
        1 => prop::bool::weighted(0.1).prop_map(|drain| if drain { Op::Drain } else { Op::Connect(0) }),
    ]
}

fn apply(table: &mut SlotTable, history: &mut History, op: &Op) {
    match *op {
        Op::Connect(e) => {
            history.offer_counts[e] = table.connect_entry(&entry(e)) as i32;
            history.connected[e] = true;
        }
        Op::Start { entry: e, uses_offer, memory_mb, rank } => {
            let uses_offer = uses_offer && history.connected[e] && history.offer_counts[e] > 0;
            let key = key(history.attempts.len() as u32);
            let charge = size(1_000, memory_mb);
            let req = StartRequest { key, entry: entry(e), charge, uses_offer, rank };
            history.offer_counts[e] -= i32::from(uses_offer);
            let fits = charge.fits_in(CAPACITY.saturating_sub(history.used()));
            let has_slot = (history.attempts_in(State::Running).len() as u32) < SLOTS;
            let waiting = history.attempts_in(State::Waiting).len() as u32;
            match table.request_start(req) {
                SlotDecision::Start => {
                    assert!(fits && has_slot);
                    history.attempts.push((key, e, charge, State::Running));
                }
                SlotDecision::Queue => {
                    assert!(!fits || !has_slot || waiting > 0);
                    assert!(waiting < QUEUE_LEN);
                    history.attempts.push((key, e, charge, State::Waiting));
                }
                SlotDecision::Refuse(SlotRefusal::QueueFull) => assert_eq!(waiting, QUEUE_LEN),
                SlotDecision::Refuse(reason) => assert_eq!(reason, SlotRefusal::Leaving),
            }
        }
        Op::Finish(n) => {
            let running = history.attempts_in(State::Running);
            let Some((key, e, _)) = running.get(n % running.len().max(1)).copied() else { return };
            let finished = table.finish(&key).unwrap();
            history.set_state(key, State::Ended);
            history.start_all(&finished.start_next);
            if history.connected[e] {
                history.offer_counts[e] += finished.offers_delta;
                assert_eq!(history.offer_counts[e], table.reserved(&entry(e)) as i32);
            }
        }
        Op::Recall(n) => {
            let waiting = history.attempts_in(State::Waiting);
            let Some((key, ..)) = waiting.get(n % waiting.len().max(1)).copied() else { return };
            let recalled = table.recall(&key);
            assert!(recalled.removed);
            history.set_state(key, State::Ended);
            history.start_all(&recalled.start_next);
        }
        Op::Disconnect(e) => {
            table.disconnect_entry(&entry(e));
            history.connected[e] = false;
            assert_eq!(table.reserved(&entry(e)), 0);
        }
        Op::Drain => {
            let mut returned = table.drain();
            let mut waiting: Vec<_> =
                history.attempts_in(State::Waiting).iter().map(|(key, ..)| *key).collect();
            returned.sort();
            waiting.sort();
            assert_eq!(returned, waiting);
            waiting.iter().for_each(|key| history.set_state(*key, State::Ended));
        }
    }
}

fn check(table: &SlotTable, history: &History) {
    let running = history.attempts_in(State::Running).len() as u32;
    let waiting = history.attempts_in(State::Waiting);
    let reserved: u32 = (0..ENTRIES).map(|e| table.reserved(&entry(e))).sum();
    let load = table.load();
    assert_eq!((load.running, load.queued), (running, waiting.len() as u32));
    assert_eq!(table.used(), history.used());
    assert!(history.used().fits_in(CAPACITY));
    assert!(running + reserved <= SLOTS);
    assert!(running + reserved + load.free <= SLOTS);
    let free = CAPACITY.saturating_sub(history.used());
    let none_fits = !waiting.iter().any(|(_, _, charge)| charge.fits_in(free));
    let is_blocked_head = waiting.len() > 1;
    assert!(running == SLOTS || none_fits || is_blocked_head);
}

proptest! {
    #![proptest_config(seeded(512))]

    #[test]
    fn counts_match_the_history(ops in prop::collection::vec(op(), 1..80)) {
        let limits = SlotLimits::new(SLOTS, CAPACITY).connections(64).queue_len(QUEUE_LEN);
        let mut table = SlotTable::new(limits);
        let mut history = History::default();
        for op in &ops {
            apply(&mut table, &mut history, op);
            check(&table, &history);
        }
    }
}
