//! Volume of the lines of requests that succeed, against the limits of a process.

use std::collections::BTreeMap;

use reqwest::StatusCode;
use serde_json::{Value, json};

use crate::direct_system::{Timing, with_direct_system};

/// Jobs whose lines are measured.
const JOBS: usize = 20;
/// Lines and bytes that a process writes in a second about steps that succeed.
const ROUTINE_LINES_PER_SECOND: usize = 800;
const ROUTINE_BYTES_PER_SECOND: usize = 256 * 1_024 * 4 / 5;

/// Lines and bytes of an entry for a job.
struct Volume {
    lines: usize,
    bytes: usize,
}

impl Volume {
    /// Returns how many such jobs a second an entry serves without dropping a line.
    fn jobs_per_second(&self) -> usize {
        (ROUTINE_LINES_PER_SECOND / self.lines).min(ROUTINE_BYTES_PER_SECOND / self.bytes)
    }
}

/// Returns the mean volume of jobs with this number of tasks, and prints the mean length of the lines
/// by their event.
async fn volume(tasks: u32) -> Volume {
    let mut lines: BTreeMap<String, Vec<usize>> = BTreeMap::new();
    with_direct_system(&format!("volume-{tasks}"), Timing::default(), async |mut system| {
        let job = json!({ "spec": "payload", "bestEffort": true,
            "steps": [{ "count": tasks, "cpu": 1_000, "memMb": 64, "estimateMs": 100 }] });
        for n in 0..JOBS {
            let id = format!("5c0e7a21d94b36{n:02x}");
            assert_eq!(system.submit(&id, &job).await, StatusCode::OK);
            system.entry.next_line("answered");
        }
        for text in system.entry.kill_and_read().lines() {
            let line: Value = serde_json::from_str(text).expect("a line is an object");
            if line["job"].is_string() {
                let event = line["event"].as_str().expect("it is a text").to_owned();
                lines.entry(event).or_default().push(text.len() + 1);
            }
        }
    })
    .await;
    let count = |bytes: &Vec<usize>| bytes.len();
    let volume = Volume {
        lines: lines.values().map(count).sum::<usize>().div_ceil(JOBS),
        bytes: lines.values().flatten().sum::<usize>().div_ceil(JOBS),
    };
    for (event, bytes) in &lines {
        let mean = bytes.iter().sum::<usize>() / bytes.len();
        println!("{tasks} tasks: {event} {} of {mean} bytes", bytes.len());
    }
    let jobs = volume.jobs_per_second();
    println!("{tasks} tasks: {} lines, {} bytes, {jobs} jobs/s", volume.lines, volume.bytes);
    volume
}

/// Guards against lines that are so long that those of the stated load are dropped.
#[tokio::test(flavor = "multi_thread")]
async fn the_lines_of_200_jobs_of_two_tasks_a_second_stay_within_the_limits() {
    let volume = volume(2).await;
    assert!(volume.jobs_per_second() >= 200, "{} lines, {} bytes", volume.lines, volume.bytes);
}

/// Guards against a large job whose lines take the volume that other jobs need.
#[tokio::test(flavor = "multi_thread")]
async fn the_lines_of_200_tasks_a_second_in_jobs_of_any_size_stay_within_the_limits() {
    for tasks in [1, 8, 32, 33, 100] {
        let volume = volume(tasks).await;
        assert!(volume.jobs_per_second() * tasks as usize >= 200, "{tasks} tasks");
    }
}
