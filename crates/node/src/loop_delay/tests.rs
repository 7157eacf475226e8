use super::{LineLimit, MAX_LINES_PER_SECOND, Unreported};

#[test]
fn delays_beyond_the_limit_are_counted_in_the_next_line() {
    let mut limit = LineLimit::default();
    let none = Unreported { count: 0, longest_ms: 0 };
    for _ in 0..MAX_LINES_PER_SECOND {
        assert_eq!(limit.admit(30, 5_000), Some(none));
    }
    assert_eq!(limit.admit(90, 5_500), None);
    assert_eq!(limit.admit(40, 5_999), None);
    assert_eq!(limit.admit(25, 6_000), Some(Unreported { count: 2, longest_ms: 90 }));
    assert_eq!(limit.admit(25, 6_001), Some(none));
}
