use super::{
    BYTES_PER_SECOND, LINES_PER_SECOND, Level, LineBudget, RESERVED_BYTES, RESERVED_LINES,
};

/// Returns how many of `lines` lines the budget admits.
fn count_admitted(budget: &mut LineBudget, level: Level, event: &'static str, lines: u32) -> u32 {
    let admitted = (0..lines).filter(|_| budget.admit(level, event)).count();
    u32::try_from(admitted).expect("the count fits")
}

#[test]
fn routine_lines_do_not_use_the_reserve_for_notable_ones() {
    let mut budget = LineBudget::default();
    budget.start_second(5_000);
    let routine = count_admitted(&mut budget, Level::Routine, "placed", 5_000);
    assert_eq!(routine, LINES_PER_SECOND - RESERVED_LINES);
    let notable = count_admitted(&mut budget, Level::Notable, "agent_lost", 5_000);
    assert_eq!(notable, RESERVED_LINES);
}

#[test]
fn dropped_lines_are_reported_once_by_event() {
    let mut budget = LineBudget::default();
    budget.start_second(5_000);
    count_admitted(&mut budget, Level::Routine, "placed", 803);
    count_admitted(&mut budget, Level::Routine, "answered", 2);
    assert!(budget.start_second(5_999).is_empty());
    let dropped: Vec<_> = budget.start_second(6_000).into_iter().collect();
    assert_eq!(dropped, [("placed", 3), ("answered", 2)]);
    assert!(budget.start_second(7_000).is_empty());
    assert!(budget.admit(Level::Routine, "placed"));
}

/// Guards against long lines of steps that succeeded, which left no bytes for the loss of an agent.
#[test]
fn routine_bytes_do_not_use_the_reserve_for_notable_lines() {
    let mut budget = LineBudget::default();
    budget.start_second(5_000);
    assert!(budget.admit(Level::Routine, "accepted"));
    budget.record_bytes(BYTES_PER_SECOND - RESERVED_BYTES);
    assert!(!budget.admit(Level::Routine, "accepted"));
    assert!(budget.admit(Level::Notable, "agent_lost"));
}

#[test]
fn the_byte_limit_holds_below_the_line_limit() {
    let mut budget = LineBudget::default();
    budget.start_second(5_000);
    assert!(budget.admit(Level::Notable, "placed"));
    budget.record_bytes(BYTES_PER_SECOND);
    assert!(!budget.admit(Level::Notable, "placed"));
    budget.start_second(6_000);
    assert!(budget.admit(Level::Notable, "placed"));
}
