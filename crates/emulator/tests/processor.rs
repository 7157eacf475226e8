//! Run times of tasks on a shared processor, in tokio's paused time.

use std::time::Duration;

use emulator::{Capacity, ExecutorFaults, Processor, TaskControl};
use rstest::rstest;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};
use types::Resources;

const NOMINAL: Duration = Duration::from_millis(100);
const TOLERANCE: Duration = Duration::from_millis(5);

fn cores(milli_cores: u32) -> Resources {
    Resources { milli_cores, ..Default::default() }
}

fn faults() -> watch::Sender<ExecutorFaults> {
    watch::Sender::new(ExecutorFaults::default())
}

fn assert_near(actual: Duration, expected_ms: u64) {
    let expected = Duration::from_millis(expected_ms);
    assert!(actual.abs_diff(expected) <= TOLERANCE, "{actual:?} instead of {expected:?}");
}

#[rstest]
#[case::free(2, 8, 1.0, 100)]
#[case::full(8, 8, 1.0, 100)]
#[case::twice_the_slots(16, 8, 1.0, 200)]
#[case::fast(8, 8, 2.0, 50)]
#[case::slow_with_twice_the_slots(4, 2, 0.5, 400)]
#[tokio::test(start_paused = true)]
async fn tasks_beyond_the_slots_share_the_speed(
    #[case] tasks: u32,
    #[case] slots: u32,
    #[case] speed: f64,
    #[case] expected_ms: u64,
) {
    let processor =
        Processor::new(Capacity { tasks: slots, resources: Resources::default() }, speed);
    let faults = faults();
    let start = Instant::now();
    let controls: Vec<TaskControl> = (0..tasks).map(|_| TaskControl::new(NOMINAL)).collect();
    let run = |control| processor.run(Resources::default(), control, faults.subscribe());
    futures::future::join_all(controls.iter().map(run)).await;
    assert_near(start.elapsed(), expected_ms);
    assert_eq!(processor.running(), 0);
}

#[rstest]
#[case::cores(cores(48_000), 150)]
#[case::memory(Resources { memory_mb: 128, ..Default::default() }, 200)]
#[case::fits(cores(32_000), 100)]
#[tokio::test(start_paused = true)]
async fn demand_beyond_the_resources_slows_tasks_down(
    #[case] demand: Resources,
    #[case] expected_ms: u64,
) {
    let capacity = Resources { milli_cores: 32_000, memory_mb: 64, accelerators: 0 };
    let processor = Processor::new(Capacity { tasks: u32::MAX, resources: capacity }, 1.0);
    let start = Instant::now();
    processor.run(demand, &TaskControl::new(NOMINAL), faults().subscribe()).await;
    assert_near(start.elapsed(), expected_ms);
}

#[tokio::test(start_paused = true)]
async fn task_that_starts_later_slows_the_rest_of_a_run() {
    let processor = Processor::new(Capacity { tasks: 1, resources: Resources::default() }, 1.0);
    let faults = faults();
    let start = Instant::now();
    let (first, second) = (TaskControl::new(NOMINAL), TaskControl::new(NOMINAL));
    let run = |control| processor.run(Resources::default(), control, faults.subscribe());
    let (first_end, second_end) = tokio::join!(
        async {
            run(&first).await;
            start.elapsed()
        },
        async {
            sleep(NOMINAL / 2).await;
            run(&second).await;
            start.elapsed()
        },
    );
    assert_near(first_end, 150);
    assert_near(second_end, 200);
}

#[tokio::test(start_paused = true)]
async fn slow_factor_applies_to_running_tasks() {
    let processor = Processor::new(Capacity { tasks: 1, resources: Resources::default() }, 1.0);
    let (faults, control) = (faults(), TaskControl::new(NOMINAL));
    let start = Instant::now();
    let slow_down = async {
        sleep(NOMINAL / 2).await;
        faults.send_modify(|f| f.slow_factor = 10.0);
    };
    tokio::join!(processor.run(Resources::default(), &control, faults.subscribe()), slow_down);
    assert_near(start.elapsed(), 550);
}
