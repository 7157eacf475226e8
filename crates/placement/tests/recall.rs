//! Unit tests of `RecallScheduler`.

mod common;

use common::{key, location, spec};
use placement::{AgentLoad, Placer, RecallBatch, RecallScheduler, UpstreamIndex};

const EXPECTED_US: u64 = 100_000;
const DUE_US: u64 = 200_000;

fn recall_with_messages(messages: u32) -> RecallScheduler {
    let mut recall = RecallScheduler::new();
    (0..messages * 100 + 1).for_each(|_| recall.add_budget());
    recall
}

fn placer() -> Placer {
    let mut placer = Placer::new(location("mid-a", "rack-0"));
    (0..3).for_each(|n| {
        placer.register_upstream(spec(n, "mid-a", 8));
    });
    placer
}

#[test]
fn lists_attempts_by_upstream_once_they_are_due() {
    let (mut recall, placer) = (recall_with_messages(2), placer());
    [(1, 0), (2, 1), (3, 0)].iter().for_each(|(n, upstream)| {
        recall.track(0, key(*n), UpstreamIndex(*upstream), EXPECTED_US);
    });
    assert_eq!(recall.take_due(DUE_US - 1, &placer), vec![]);
    let batch = |upstream, keys| RecallBatch { upstream: UpstreamIndex(upstream), keys };
    let expected = vec![batch(0, vec![key(1), key(3)]), batch(1, vec![key(2)])];
    assert_eq!(recall.take_due(DUE_US, &placer), expected);
    assert_eq!(recall.take_due(DUE_US, &placer), vec![]);
}

#[test]
fn budget_limits_messages() {
    let (mut recall, placer) = (recall_with_messages(2), placer());
    (0..3).for_each(|n| recall.track(0, key(n), UpstreamIndex(n), EXPECTED_US));
    assert_eq!(recall.take_due(DUE_US, &placer).len(), 2);
    (0..101).for_each(|_| recall.add_budget());
    assert_eq!(recall.take_due(DUE_US, &placer).len(), 1);
}

types::cases! {
    fn returns_attempt(ended: bool, queued: u32, listed: usize) {
        let (mut recall, mut placer) = (recall_with_messages(2), placer());
        recall.track(0, key(0), UpstreamIndex(0), EXPECTED_US);
        let load = AgentLoad { queued, ..AgentLoad::default() };
        placer.set_offers(DUE_US / 2, UpstreamIndex(0), 0, load);
        if ended {
            recall.untrack(&key(0));
        }
        assert_eq!(recall.take_due(DUE_US, &placer).len(), listed);
    }
    answered: (true, 1, 0),
    started_because_the_queue_was_empty: (false, 0, 0),
    queued: (false, 1, 1),
}
