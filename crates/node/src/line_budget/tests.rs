use super::{BYTES_PER_SECOND, LINES_PER_SECOND, Level, LineBudget, RESERVED_LINES};

/// Offers lines of one kind; returns how many were allowed.
fn offer(budget: &mut LineBudget, level: Level, event: &'static str, lines: u32) -> u32 {
    let allowed = (0..lines).filter(|_| budget.allows(level, event)).count();
    u32::try_from(allowed).expect("it is small")
}

#[test]
fn a_flood_of_successes_leaves_room_for_failures() {
    let mut budget = LineBudget::default();
    budget.begin(5_000);
    let routine = offer(&mut budget, Level::Routine, "placed", 5_000);
    assert_eq!(routine, LINES_PER_SECOND - RESERVED_LINES);
    let notable = offer(&mut budget, Level::Notable, "agent_lost", 5_000);
    assert_eq!(notable, RESERVED_LINES);
}

#[test]
fn what_was_left_out_is_told_once_by_event() {
    let mut budget = LineBudget::default();
    budget.begin(5_000);
    offer(&mut budget, Level::Routine, "placed", 803);
    offer(&mut budget, Level::Routine, "answered", 2);
    assert!(budget.begin(5_999).is_empty());
    let told: Vec<_> = budget.begin(6_000).into_iter().collect();
    assert_eq!(told, [("placed", 3), ("answered", 2)]);
    assert!(budget.begin(7_000).is_empty());
    assert!(budget.allows(Level::Routine, "placed"));
}

#[test]
fn long_lines_end_the_second_before_its_lines() {
    let mut budget = LineBudget::default();
    budget.begin(5_000);
    assert!(budget.allows(Level::Notable, "placed"));
    budget.written(BYTES_PER_SECOND);
    assert!(!budget.allows(Level::Notable, "placed"));
    budget.begin(6_000);
    assert!(budget.allows(Level::Notable, "placed"));
}
