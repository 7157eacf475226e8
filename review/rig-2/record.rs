//! The record of a case: what was sent, answered and run, with the time in milliseconds.

use std::{fs::File, io::Write, path::Path, sync::Mutex, time::Instant};

/// A run of a task, as its executor has seen it.
#[derive(Clone, Debug)]
pub struct RunSeen {
    pub executor: String,
    pub task: String,
    pub run: u64,
    pub started_ms: u64,
    pub ended_ms: Option<u64>,
    pub how: &'static str,
}

pub struct Record {
    start: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<RunSeen>>,
}

impl Record {
    pub fn create(path: &Path) -> Result<Self, String> {
        let file = File::create(path).map_err(|e| format!("creating {}: {e}", path.display()))?;
        Ok(Self { start: Instant::now(), file: Mutex::new(file), runs: Mutex::default() })
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line; returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let now_ms = self.now_ms();
        let line = format!("{now_ms:>7} ms  {text}\n");
        print!("{line}");
        // A record that cannot be written shows as a short file.
        drop(self.file.lock().unwrap().write_all(line.as_bytes()));
        now_ms
    }

    pub fn run_started(&self, executor: &str, task: &str, run: u64) {
        let started_ms = self.line(&format!("{executor} starts {task}, run {run}"));
        let (executor, task) = (executor.to_owned(), task.to_owned());
        let run = RunSeen { executor, task, run, started_ms, ended_ms: None, how: "runs" };
        self.runs.lock().unwrap().push(run);
    }

    pub fn run_ended(&self, executor: &str, task: &str, run: u64, how: &'static str) {
        let ended_ms = self.line(&format!("{executor} ends {task}, run {run}: {how}"));
        let mut runs = self.runs.lock().unwrap();
        let seen = runs
            .iter_mut()
            .rev()
            .find(|seen| seen.executor == executor && seen.task == task && seen.run == run);
        if let Some(seen) = seen {
            seen.ended_ms = Some(ended_ms);
            seen.how = how;
        }
    }

    pub fn runs(&self) -> Vec<RunSeen> {
        self.runs.lock().unwrap().clone()
    }
}
