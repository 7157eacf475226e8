//! Fencing tokens of agents that follow each other at one upstream.

use direct::FencingToken;

/// A time of day in 2026, Unix milliseconds.
const NOW_MS: u64 = 1_796_000_000_000;
/// Maximum number of refused calls before an agent gets its orders through: at one each 10 ms well
/// below the time in which a system must serve again.
const MAX_REFUSALS: u32 = 64;

/// Returns how often an upstream that has seen `highest` refuses the token, and the token then.
fn refusals(mut token: FencingToken, highest: u64) -> (u32, u64) {
    for n in 0..MAX_REFUSALS {
        if token.value() >= highest {
            return (n, token.value());
        }
        token.raise();
    }
    panic!("fenced after {MAX_REFUSALS} refusals")
}

/// Guards against a token from the upstream's clock: after a restart of the upstream the next agent
/// was fenced for as long as the earlier incarnation had lived.
#[test]
fn a_later_agent_is_not_fenced_whatever_the_clock_of_its_upstream_says() {
    let earlier = FencingToken::new(NOW_MS);
    assert_eq!(refusals(FencingToken::new(NOW_MS + 900), earlier.value()).0, 0);
}

types::cases! {
    fn a_time_of_day_that_was_set_back_costs_a_few_refusals(incarnation: u64) {
        let (n, token) = refusals(FencingToken::new(incarnation), NOW_MS);
        assert!(n < MAX_REFUSALS && token >= NOW_MS);
    }
    by_a_millisecond: (NOW_MS - 1),
    by_five_seconds: (NOW_MS - 5_000),
    by_a_year: (NOW_MS - 31_536_000_000),
    to_the_beginning: (0),
}

#[test]
fn twenty_agents_whose_time_of_day_stands_still_all_get_through() {
    let mut highest = 0;
    for _ in 0..20 {
        let mut token = FencingToken::new(NOW_MS);
        // A token that another process has used is refused, too.
        token.raise();
        let (_, token) = refusals(token, highest + 1);
        assert!(token > highest);
        highest = token;
    }
    assert!(highest < 2 * NOW_MS, "{highest}");
}

#[test]
fn the_highest_token_does_not_overflow() {
    let mut token = FencingToken::new(u64::MAX);
    token.raise();
    assert_eq!(token.value(), u64::MAX);
}
