//! Shares of slot time in simulated schedules (floods, lending of unused shares, floors),
//! expiry of tasks and sharing of memory.

use crate::support::{SLOTS, Source, TASK_US, simulate, team_name};
use policy::{FairQueueBuilder, QueueFull, QueuedTask};
use types::Urgency;

fn task(team: &str, deadline_us: u64, item: usize) -> QueuedTask<usize> {
    let (weight, urgency) = (1, Urgency::Normal);
    QueuedTask {
        team: team_name(team),
        weight,
        urgency,
        cost_us: TASK_US,
        deadline_us,
        bytes: 100,
        item,
    }
}

types::cases! {
    fn flood_leaves_other_teams_their_share(urgency: Urgency, declared_divisor: u64) {
        let flood = Source {
            declared_us: TASK_US / declared_divisor,
            ..Source::of_slots("flood", urgency, 80.0)
        };
        let others = ["a", "b", "c"].map(|team| Source::of_slots(team, Urgency::Normal, 1.6));
        let reports = simulate(&[flood, others[0], others[1], others[2]], None);
        let others_slots: f64 = (1..=3).map(|source| reports[source].steady_slots()).sum();
        println!("other teams used {others_slots:.2} of 4.8 slots, flood got {:.2}", reports[0].steady_slots());
        assert!(others_slots >= 0.95 * 4.8, "other teams used {others_slots:.2} of 4.8 slots");
        assert!(reports[0].steady_slots() >= 0.95 * 3.2, "flooding team got {:.2}", reports[0].steady_slots());
    }
    flood_of_the_least_urgent: (Urgency::Background, 1),
    flood_of_the_most_urgent: (Urgency::Urgent, 1),
    flood_that_declares_a_fifth_of_its_time: (Urgency::Urgent, 5),
}

types::cases! {
    fn time_is_shared_by_weight(weight: u32, long_us: u64, declared_us: u64, expected: f64) {
        let heavy = Source {
            weight,
            actual_us: long_us,
            declared_us,
            ..Source::of_slots("heavy", Urgency::Normal, 80.0)
        };
        let reports = simulate(&[heavy, Source::of_slots("light", Urgency::Normal, 80.0)], None);
        let share = reports[0].steady_slots() / (reports[0].steady_slots() + reports[1].steady_slots());
        assert!((share - expected).abs() < 0.02, "share of the heavy team is {share:.3}");
    }
    equal_weights: (1, TASK_US, TASK_US, 0.5),
    three_to_one: (3, TASK_US, TASK_US, 0.75),
    long_tasks_gain_nothing: (1, 10 * TASK_US, 10 * TASK_US, 0.5),
    underdeclared_tasks_gain_nothing: (1, 5 * TASK_US, TASK_US, 0.5),
    overdeclared_tasks_lose_nothing: (1, TASK_US, 5 * TASK_US, 0.5),
}

#[test]
fn unused_share_is_lent_and_returns_at_once_without_credit() {
    let lender =
        Source { from_us: 60_000_000, ..Source::of_slots("lender", Urgency::Normal, 80.0) };
    let reports = simulate(&[Source::of_slots("borrower", Urgency::Normal, 80.0), lender], None);
    assert!(reports[0].slots(20..60) > 7.9);
    let second = reports[1].slots(61..62);
    assert!((3.5..=4.5).contains(&second), "lender used {second} slots after one second");
    let later = reports[1].slots(62..100);
    assert!((3.9..=4.1).contains(&later), "lender used {later} slots");
}

types::cases! {
    fn every_class_keeps_its_floor(declared_us: u64, tolerance: f64) {
        let classes = Urgency::ALL.map(|urgency| Source {
            declared_us,
            ..Source::of_slots("team", urgency, 30.0)
        });
        let reports = simulate(&classes, None);
        for (class, floor) in [(1, 0.10), (2, 0.05)] {
            let share = reports[class].steady_slots() / SLOTS as f64;
            println!("class {class} used {share:.3}");
            assert!((share - floor).abs() <= tolerance, "class {class} used {share:.3}");
        }
    }
    floors_with_exact_declarations: (TASK_US, 0.01),
    floors_with_declarations_five_times_too_long: (5 * TASK_US, 0.02),
    floors_with_declarations_five_times_too_short: (TASK_US / 5, 0.02),
}

types::cases! {
    fn expired_work_is_not_started(now_us: u64, expected: Vec<usize>) {
        let mut queue = FairQueueBuilder::default().build();
        for (item, slack_us) in [0, 10, 20].into_iter().enumerate() {
            queue.push(task("team", TASK_US + slack_us, item)).expect("free capacity");
        }
        let started = queue.pop(now_us, |_| false).map(|popped| popped.item);
        assert_eq!(queue.expire(now_us), expected);
        assert_eq!(started, (expected.len() < 3).then_some(expected.len()));
        assert_eq!(queue.backlog_us(&team_name("team")), queue.len() as u64 * TASK_US);
    }
    nothing_expires_at_the_latest_start: (0, vec![]),
    the_first_expires_after_its_latest_start: (1, vec![0]),
    all_expire: (21, vec![0, 1, 2]),
}

#[test]
fn a_flooding_team_leaves_memory_to_others() {
    let mut queue = FairQueueBuilder::default().max_bytes(100_000).build();
    let refused = (0..1_000).find_map(|item| queue.push(task("flood", u64::MAX, item)).err());
    assert!(matches!(refused, Some(QueueFull::Bytes { .. })));
    for team in ["a", "b", "c", "d"] {
        let queued = (0..1_000).take_while(|&item| queue.push(task(team, u64::MAX, item)).is_ok());
        assert!(queued.count() >= 30, "team {team} could queue too few tasks");
    }
    assert!(queue.bytes() <= 100_000);
}
