//! Measures commits against a log in the same process whose appends take 5 ms: latency at
//! several rates and numbers of writers, appends a second, bytes per body, and memory
//! through an outage.
//!
//! `cargo run --release -p journal --example commit_latency`

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use futures::{
    future::{BoxFuture, FutureExt},
    stream::{FuturesUnordered, StreamExt},
};
use hdrhistogram::Histogram;
use journal::{Writer, WriterSettings};
use ports::{CallBudget, Log, LogError, LogPage, Offset, StreamName};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};
use types::{Digest, Incarnation, JobId, KindName, Peer, ServiceName, StepError, TeamName};

const APPEND_TIME: Duration = Duration::from_millis(5);
const APPENDS_PER_SECOND: f64 = 300.0;
const RUN_TIME: Duration = Duration::from_secs(5);
const TICK: Duration = Duration::from_millis(1);
const OUTAGE_TIME: Duration = Duration::from_secs(10);
const MAX_LATENCY_US: u64 = 60_000_000;
const MAX_BACKLOG_BYTES: usize = 8 * 1024 * 1024;

/// Body like that of the record that accepts a job.
#[derive(Clone, Serialize, Deserialize)]
struct Accepted {
    job: JobId,
    team: TeamName,
    service: ServiceName,
    kind: KindName,
    tasks: u32,
    deadline_ms: u64,
    digest: Digest,
}

/// A log that counts appends and bytes, and stores no records.
#[derive(Default)]
struct CountingLog {
    appends: AtomicU64,
    bytes: AtomicU64,
    is_down: AtomicBool,
}

impl Log for CountingLog {
    fn append<'a>(
        &'a self,
        _: &'a StreamName,
        data: Vec<u8>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        async move {
            sleep(APPEND_TIME).await;
            if self.is_down.load(Ordering::Relaxed) {
                return Err(LogError::Refused(StepError::new("appending", Peer::Local, "down")));
            }
            self.bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
            Ok(Offset(self.appends.fetch_add(1, Ordering::Relaxed)))
        }
        .boxed()
    }

    fn read<'a>(
        &'a self,
        _: &'a StreamName,
        _: Offset,
        _: u64,
    ) -> BoxFuture<'a, Result<LogPage, LogError>> {
        async { Err(LogError::Refused(StepError::new("reading", Peer::Local, "not kept"))) }.boxed()
    }
}

fn acceptance() -> Accepted {
    Accepted {
        job: JobId::from_parts(1_700_000_000_000, [7; 10]),
        team: "midlands".parse().expect("a valid name"),
        service: "recipe".parse().expect("a valid name"),
        kind: "scale".parse().expect("a valid name"),
        tasks: 100,
        deadline_ms: 1_000,
        digest: Digest::of_bytes(b"payload"),
    }
}

fn writer(log: &Arc<CountingLog>, writers: usize) -> Writer<Accepted> {
    let budget = CallBudget::new(APPENDS_PER_SECOND, writers);
    let settings = WriterSettings::new(StreamName::claims(), Incarnation::generate(), budget)
        .max_backlog_bytes(MAX_BACKLOG_BYTES);
    Writer::spawn(log.clone() as Arc<dyn Log>, settings)
}

/// Commits at a steady rate and returns the latencies in microseconds.
async fn commit_at(writer: Writer<Accepted>, per_second: u64) -> Histogram<u64> {
    let mut latencies = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are allowed");
    let mut commits = FuturesUnordered::new();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let body = acceptance();
    let (started, mut sent) = (Instant::now(), 0);
    while started.elapsed() < RUN_TIME {
        tokio::select! {
            _ = ticks.tick() => {
                let due = started.elapsed().as_micros() as u64 * per_second / 1_000_000;
                for _ in sent..due {
                    commits.push(timed_commit(writer.clone(), body.clone()));
                }
                sent = due.max(sent);
            }
            Some(latency) = commits.next() => latencies.saturating_record(latency),
        }
    }
    while let Some(latency) = commits.next().await {
        latencies.saturating_record(latency);
    }
    latencies
}

async fn timed_commit(writer: Writer<Accepted>, body: Accepted) -> u64 {
    let started = Instant::now();
    writer.commit(&body).await.expect("the log is up");
    started.elapsed().as_micros() as u64
}

async fn measure_commits(writers: usize, per_second: u64) {
    let log = Arc::new(CountingLog::default());
    let started = Instant::now();
    let runs = (0..writers)
        .map(|_| tokio::spawn(commit_at(writer(&log, writers), per_second / writers as u64)));
    let mut latencies =
        Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are allowed");
    for run in runs.collect::<Vec<_>>() {
        latencies += run.await.expect("the run ends");
    }
    let seconds = started.elapsed().as_secs_f64();
    let appends = log.appends.load(Ordering::Relaxed) as f64;
    let bytes = log.bytes.load(Ordering::Relaxed) as f64;
    let ms = |quantile| latencies.value_at_quantile(quantile) as f64 / 1_000.0;
    println!(
        "{writers:>7} {:>9.0} {:>8.2} {:>8.2} {:>8.2} {:>9.1} {:>10.1} {:>10.1}",
        latencies.len() as f64 / seconds,
        ms(0.5),
        ms(0.99),
        ms(1.0),
        appends / seconds,
        latencies.len() as f64 / appends,
        bytes / latencies.len() as f64,
    );
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok()).unwrap_or_default()
}

async fn measure_outage() {
    let log = Arc::new(CountingLog::default());
    log.is_down.store(true, Ordering::Relaxed);
    let writer = writer(&log, 1);
    let body = acceptance();
    let (before, started) = (resident_kib(), Instant::now());
    let (mut accepted, mut refused) = (0_u64, 0_u64);
    while started.elapsed() < OUTAGE_TIME {
        for _ in 0..100 {
            let is_accepted = writer.enqueue(&body).is_ok();
            accepted += u64::from(is_accepted);
            refused += u64::from(!is_accepted);
        }
        sleep(TICK).await;
    }
    println!(
        "outage: {accepted} accepted, {refused} refused, backlog {} KiB, resident memory grew {} KiB",
        writer.state().backlog_bytes / 1024,
        resident_kib().saturating_sub(before),
    );
    log.is_down.store(false, Ordering::Relaxed);
    let started = Instant::now();
    writer.flush().await.expect("the writer runs");
    println!("outage: backlog written {:.2} s after its end", started.elapsed().as_secs_f64());
}

#[tokio::main]
async fn main() {
    println!("append {APPEND_TIME:?}, budget {APPENDS_PER_SECOND} appends/s for all writers");
    measure_outage().await;
    println!("writers commits/s   p50 ms   p99 ms   max ms appends/s bodies/app bytes/body");
    for (writers, per_second) in [
        (1, 100),
        (1, 1_000),
        (1, 10_000),
        (1, 31_000),
        (3, 1_000),
        (3, 31_000),
        (10, 1_000),
        (10, 31_000),
    ] {
        measure_commits(writers, per_second).await;
    }
}
