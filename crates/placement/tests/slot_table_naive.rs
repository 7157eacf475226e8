//! Differential test of the slot table against a recount from history.

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
    Hello(usize),
    Start { entry: usize, uses_offer: bool, memory_mb: u32, rank: u64 },
    Finish(usize),
    Recall(usize),
    Forget(usize),
    Drain,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Running,
    Ended,
}

/// Every attempt that was ever taken, and what each entry counts as its offers.
#[derive(Default)]
struct History {
    attempts: Vec<(AttemptKey, usize, Resources, State)>,
    views: [i32; ENTRIES],
    greeted: [bool; ENTRIES],
}

impl History {
    fn in_state(&self, state: State) -> Vec<(AttemptKey, usize, Resources)> {
        let matching = self.attempts.iter().filter(|attempt| attempt.3 == state);
        matching.map(|attempt| (attempt.0, attempt.1, attempt.2)).collect()
    }

    fn set(&mut self, key: AttemptKey, state: State) {
        self.attempts.iter_mut().filter(|attempt| attempt.0 == key).for_each(|a| a.3 = state);
    }

    fn used(&self) -> Resources {
        let charges = self.in_state(State::Running).into_iter().map(|(_, _, charge)| charge);
        charges.fold(Resources::default(), Resources::saturating_add)
    }

    fn start_all(&mut self, keys: &[AttemptKey]) {
        keys.iter().for_each(|key| self.set(*key, State::Running));
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
        2 => (0..ENTRIES).prop_map(Op::Hello),
        12 => start,
        10 => (0..8_usize).prop_map(Op::Finish),
        2 => (0..8_usize).prop_map(Op::Recall),
        1 => (0..ENTRIES).prop_map(Op::Forget),
        1 => prop::bool::weighted(0.1).prop_map(|drain| if drain { Op::Drain } else { Op::Hello(0) }),
    ]
}

fn apply(table: &mut SlotTable, history: &mut History, op: &Op) {
    match *op {
        Op::Hello(e) => {
            history.views[e] = table.connect_entry(&entry(e)) as i32;
            history.greeted[e] = true;
        }
        Op::Start { entry: e, uses_offer, memory_mb, rank } => {
            let uses_offer = uses_offer && history.greeted[e] && history.views[e] > 0;
            let key = key(history.attempts.len() as u32);
            let charge = size(1_000, memory_mb);
            let req = StartRequest { key, entry: entry(e), charge, uses_offer, rank };
            history.views[e] -= i32::from(uses_offer);
            let fits = charge.fits_in(CAPACITY.saturating_sub(history.used()));
            let has_slot = (history.in_state(State::Running).len() as u32) < SLOTS;
            let waiting = history.in_state(State::Waiting).len() as u32;
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
            let running = history.in_state(State::Running);
            let Some((key, e, _)) = running.get(n % running.len().max(1)).copied() else { return };
            let finished = table.finish(&key).unwrap();
            history.set(key, State::Ended);
            history.start_all(&finished.start_next);
            if history.greeted[e] {
                history.views[e] += finished.offers_delta;
                assert_eq!(history.views[e], table.reserved(&entry(e)) as i32);
            }
        }
        Op::Recall(n) => {
            let waiting = history.in_state(State::Waiting);
            let Some((key, ..)) = waiting.get(n % waiting.len().max(1)).copied() else { return };
            let recalled = table.recall(&key);
            assert!(recalled.removed);
            history.set(key, State::Ended);
            history.start_all(&recalled.start_next);
        }
        Op::Forget(e) => {
            table.disconnect_entry(&entry(e));
            history.greeted[e] = false;
            assert_eq!(table.reserved(&entry(e)), 0);
        }
        Op::Drain => {
            let mut returned = table.drain();
            let mut waiting: Vec<_> =
                history.in_state(State::Waiting).iter().map(|(key, ..)| *key).collect();
            returned.sort();
            waiting.sort();
            assert_eq!(returned, waiting);
            waiting.iter().for_each(|key| history.set(*key, State::Ended));
        }
    }
}

fn check(table: &SlotTable, history: &History) {
    let running = history.in_state(State::Running).len() as u32;
    let waiting = history.in_state(State::Waiting);
    let promised: u32 = (0..ENTRIES).map(|e| table.reserved(&entry(e))).sum();
    let load = table.load();
    assert_eq!((load.running, load.queued), (running, waiting.len() as u32));
    assert_eq!(table.used(), history.used());
    assert!(history.used().fits_in(CAPACITY));
    assert!(running + promised <= SLOTS);
    assert!(running + promised + load.free <= SLOTS);
    let free = CAPACITY.saturating_sub(history.used());
    let none_fits = !waiting.iter().any(|(_, _, charge)| charge.fits_in(free));
    let is_blocked_head = waiting.len() > 1;
    assert!(running == SLOTS || none_fits || is_blocked_head);
}

proptest! {
    #![proptest_config(seeded(512))]

    #[test]
    fn accounts_match_a_recount(ops in prop::collection::vec(op(), 1..80)) {
        let limits = SlotLimits::new(SLOTS, CAPACITY).connections(64).queue_len(QUEUE_LEN);
        let mut table = SlotTable::new(limits);
        let mut history = History::default();
        for op in &ops {
            apply(&mut table, &mut history, op);
            check(&table, &history);
        }
    }
}
