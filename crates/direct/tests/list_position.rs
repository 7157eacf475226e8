//! Acknowledgement of ended runs over a restart of the upstream.

use direct::ListPosition;

#[test]
fn the_highest_number_of_an_incarnation_is_acknowledged() {
    let mut position = ListPosition::default();
    position.on_reply(Some(1), Some(7));
    position.on_reply(Some(1), None);
    position.on_reply(Some(1), Some(5));
    assert_eq!(position.seq(), 7);
    position.on_reply(Some(2), Some(3));
    assert_eq!(position.seq(), 3);
}

/// Guards against an acknowledgement that reaches the next incarnation of the upstream, which then
/// lists none of its ends up to that number: all of its runs counted as lost.
#[test]
fn nothing_is_acknowledged_after_a_failed_call() {
    let mut position = ListPosition::default();
    position.on_reply(Some(1), Some(365));
    position.on_failure();
    assert_eq!(position.seq(), 0);
}
