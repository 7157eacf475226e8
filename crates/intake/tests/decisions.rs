//! Tests of the limits on incomplete bodies and connections.

use intake::{
    BudgetDecision, ByteBudget, ConnectionDecision, ConnectionKey, ConnectionLimit,
    PressureMonitor, Rejected, RequestKey,
};
use proptest::prelude::*;

const LIMIT_BYTES: usize = 1_000;
/// Largest body; a body alone may exceed the budget.
const BODY_BYTES: usize = 400;

fn granted() -> BudgetDecision {
    BudgetDecision::Granted(Vec::new())
}

/// Returns a budget with bodies of 400 and 500 bytes, started at 0 and 10 ms.
fn nearly_full() -> (ByteBudget, RequestKey, RequestKey) {
    let mut budget = ByteBudget::new(LIMIT_BYTES);
    let first = budget.begin(0);
    let second = budget.begin(10);
    assert_eq!(budget.request(first, 400, 0), granted());
    assert_eq!(budget.request(second, 500, 10), granted());
    (budget, first, second)
}

/// Guards against evicting a body that is about to complete instead of one that has stalled.
#[test]
fn the_oldest_body_is_evicted_first() {
    let (mut budget, first, second) = nearly_full();
    let third = budget.begin(2_000);
    assert_eq!(budget.request(third, 200, 2_000), BudgetDecision::Granted(vec![first]));
    assert_eq!(budget.held_bytes(), 700);
    assert_eq!(budget.request(third, 400, 2_000), BudgetDecision::Granted(vec![second]));
    assert_eq!(budget.request(first, 1, 2_000), BudgetDecision::Refused, "it was evicted");
}

/// Guards against a burst of ordinary bodies that evict each other, so that none completes.
#[test]
fn a_body_is_refused_while_all_others_are_young() {
    let (mut budget, first, _) = nearly_full();
    let third = budget.begin(900);
    assert_eq!(budget.request(third, 200, 1_000), BudgetDecision::Refused);
    assert_eq!((budget.held_bytes(), budget.len()), (900, 2), "the refused body is gone");
    let fourth = budget.begin(1_001);
    assert_eq!(budget.request(fourth, 200, 1_001), BudgetDecision::Granted(vec![first]));
}

/// Guards against a slow sender that keeps its place by evicting bodies that started after it.
#[test]
fn the_oldest_body_is_refused_when_it_requests_bytes_itself() {
    let (mut budget, first, second) = nearly_full();
    assert_eq!(budget.request(first, 200, 5_000), BudgetDecision::Refused);
    assert_eq!(budget.held_bytes(), 500);
    assert_eq!(budget.request(second, 400, 5_000), granted());
}

/// Guards against evicting bodies for a request that does not fit even then.
#[test]
fn nothing_is_evicted_for_a_body_that_is_refused() {
    let (mut budget, _, second) = nearly_full();
    let third = budget.begin(1_005);
    assert_eq!(budget.request(third, 700, 1_005), BudgetDecision::Refused);
    assert_eq!((budget.held_bytes(), budget.len()), (900, 2));
    assert_eq!(budget.request(second, 100, 1_005), granted());
}

/// Guards against many small bodies that occupy the budget: as many are evicted as are needed, and no
/// more. A body without bytes is not evicted, because it frees nothing.
#[test]
fn many_small_bodies_make_room_for_one() {
    let mut budget = ByteBudget::new(LIMIT_BYTES);
    let empty = budget.begin(0);
    let small: Vec<_> = (0..100).map(|_| budget.begin(0)).collect();
    for key in &small {
        assert_eq!(budget.request(*key, 10, 0), granted());
    }
    let large = budget.begin(5_000);
    let decision = budget.request(large, BODY_BYTES, 5_000);
    assert_eq!(decision, BudgetDecision::Granted(small[..40].to_vec()));
    assert_eq!(budget.len(), 62);
    assert_eq!(budget.request(empty, 1, 5_000), BudgetDecision::Refused, "it is the oldest");
}

/// Guards against a budget, or connections without a body, that make the largest legal body
/// impossible.
#[test]
fn a_body_that_is_alone_is_always_served() {
    let mut budget = ByteBudget::new(BODY_BYTES / 4);
    let _idle = budget.begin(0);
    let key = budget.begin(0);
    for now_ms in [0, 500, 1_500, 10_000] {
        assert_eq!(budget.request(key, BODY_BYTES / 4, now_ms), granted());
    }
    budget.end(key);
    assert_eq!(budget.held_bytes(), 0);
}

/// Guards against evicting a request that has been accepted, and against bytes of waiting jobs that no
/// longer count.
#[test]
fn a_complete_request_holds_its_bytes_until_its_end() {
    let (mut budget, first, second) = nearly_full();
    assert_eq!(budget.complete(first, 300, 10), granted());
    assert_eq!(budget.held_bytes(), 800);
    let third = budget.begin(5_000);
    assert_eq!(budget.request(third, 400, 5_000), BudgetDecision::Granted(vec![second]));
    let fourth = budget.begin(9_000);
    assert_eq!(budget.request(fourth, 800, 9_000), BudgetDecision::Refused);
    assert_eq!(budget.complete(first, 500, 9_000), granted());
    budget.end(first);
    assert_eq!(budget.held_bytes(), 400);
}

/// Guards against a job whose decoded form exceeds the budget, and against refusing one because it was
/// received slowly.
#[test]
fn a_complete_request_that_grows_evicts_incomplete_ones_or_is_refused() {
    let (mut budget, first, second) = nearly_full();
    assert_eq!(budget.complete(first, 900, 500), BudgetDecision::Refused, "second is young");
    assert_eq!((budget.held_bytes(), budget.len()), (500, 1));
    let third = budget.begin(600);
    assert_eq!(budget.request(third, 100, 600), granted());
    assert_eq!(budget.complete(second, 700, 2_000), granted());
    assert_eq!(budget.complete(second, 950, 2_000), BudgetDecision::Granted(vec![third]));
}

/// Guards against losing an answer that is ready to bodies that have just begun, and against evicting a job
/// that waits for one.
#[test]
fn a_response_evicts_young_bodies_but_no_complete_request() {
    let (mut budget, first, second) = nearly_full();
    assert_eq!(budget.complete(second, 500, 10), granted());
    let response = budget.begin(20);
    assert_eq!(budget.respond(response, 400, 20), BudgetDecision::Granted(vec![first]));
    let next = budget.begin(30);
    assert_eq!(budget.respond(next, 600, 30), BudgetDecision::Refused);
    assert_eq!(budget.respond(response, 100, 30), granted());
}

/// Guards against a limit at which one client's idle connections lock out all other callers.
#[test]
fn the_connection_that_has_waited_longest_is_closed() {
    let mut limit = ConnectionLimit::new(3);
    let [serving, idle, late, new, newer] = [1, 2, 3, 4, 5].map(ConnectionKey);
    for (key, now_ms) in [(serving, 0), (idle, 100), (late, 200)] {
        assert_eq!(limit.accept(key, now_ms), ConnectionDecision::Accepted(None));
    }
    limit.serve(serving);
    assert_eq!(limit.accept(new, 1_099), ConnectionDecision::Refused, "none has waited 1,000 ms");
    assert_eq!(limit.accept(new, 1_100), ConnectionDecision::Accepted(Some(idle)));
    limit.remove(idle);
    limit.wait(late, 1_150);
    assert_eq!(limit.accept(newer, 2_000), ConnectionDecision::Refused, "late has just replied");
    assert_eq!(limit.accept(newer, 2_100), ConnectionDecision::Accepted(Some(new)));
    limit.remove(new);
    limit.remove(late);
    assert_eq!(limit.accept(idle, 2_100), ConnectionDecision::Accepted(None));
    assert_eq!(limit.len(), 3);
}

/// Guards against a burst of new connections that is accepted faster than evicted ones are closed, so
/// that the process exceeds its descriptors.
#[test]
fn connections_that_are_being_closed_still_count() {
    let mut limit = ConnectionLimit::new(16);
    for key in 0..16 {
        limit.accept(ConnectionKey(key), 0);
    }
    let decisions: Vec<_> = (16..32).map(|key| limit.accept(ConnectionKey(key), 1_000)).collect();
    let closed = |key| ConnectionDecision::Accepted(Some(ConnectionKey(key)));
    assert_eq!(decisions[..2], [closed(15), closed(14)]);
    assert!(decisions[2..].iter().all(|decision| *decision == ConnectionDecision::Refused));
    assert_eq!(limit.len(), 18);
    limit.wait(ConnectionKey(15), 1_000);
    limit.remove(ConnectionKey(15));
    assert_eq!(limit.accept(ConnectionKey(40), 1_000), closed(13));
}

/// Guards against clients that never read their responses, and against closing a connection whose job
/// runs for long.
#[test]
fn stalled_connections_are_removed_unless_they_are_served() {
    let mut limit = ConnectionLimit::new(3);
    let [serving, stalled, young] = [1, 2, 3].map(ConnectionKey);
    limit.accept(serving, 0);
    limit.serve(serving);
    limit.accept(stalled, 0);
    limit.accept(young, 1);
    assert_eq!(limit.close_stalled(20_000, 20_000), [stalled]);
    assert_eq!(limit.close_stalled(20_000, 20_000), []);
}

/// Guards against log lines for each refusal of one overload.
#[test]
fn an_overload_is_reported_once_at_its_start_and_its_end() {
    let mut pressure = PressureMonitor::default();
    assert!(pressure.record(Rejected::EvictedRequest, 100));
    assert!(!pressure.record(Rejected::RefusedConnection, 4_000));
    assert_eq!(pressure.take_ended(8_999), None);
    let counts = pressure.take_ended(9_000).expect("nothing was rejected for 5,000 ms");
    assert_eq!((counts.since_ms, counts.last_ms), (100, 4_000));
    assert_eq!((counts.evicted_requests, counts.refused_connections), (1, 1));
    assert_eq!(pressure.take_ended(20_000), None);
    assert!(pressure.record(Rejected::RefusedRequest, 20_000));
}

proptest! {
    /// Guards against bytes that are lost or counted twice: the budget agrees with a plain sum, and it
    /// is exceeded by a body that is alone only.
    #[test]
    fn the_budget_is_kept(steps in prop::collection::vec((0..4_u8, 0..8_usize, 1..BODY_BYTES, 0..700_u64), 1..200)) {
        let mut budget = ByteBudget::new(LIMIT_BYTES);
        let mut bodies: Vec<(RequestKey, usize)> = Vec::new();
        let mut now_ms = 0;
        for (step, place, bytes, pause_ms) in steps {
            now_ms += pause_ms;
            let chosen = bodies.get(place % bodies.len().max(1)).copied();
            match (step, chosen) {
                (0, _) | (_, None) => bodies.push((budget.begin(now_ms), 0)),
                (1, Some((key, _))) => {
                    budget.end(key);
                    bodies.retain(|body| body.0 != key);
                }
                (_, Some((key, held))) => match budget.request(key, bytes, now_ms) {
                    BudgetDecision::Granted(evicted) => {
                        prop_assert!(!evicted.contains(&key));
                        bodies.retain(|body| !evicted.contains(&body.0));
                        for body in bodies.iter_mut().filter(|body| body.0 == key) {
                            body.1 = held + bytes;
                        }
                    }
                    BudgetDecision::Refused => bodies.retain(|body| body.0 != key),
                },
            }
            let sum: usize = bodies.iter().map(|body| body.1).sum();
            prop_assert_eq!(budget.held_bytes(), sum);
            prop_assert_eq!(budget.len(), bodies.len());
            let holders = bodies.iter().filter(|body| body.1 > 0).count();
            prop_assert!(sum <= LIMIT_BYTES || holders == 1);
        }
    }
}
