//! Resource usage of the process: totals at one time, and the cost between two such samples.

use std::{fs, time::Instant};

use indexmap::IndexMap;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::{
    counting_log::CountingLog,
    fleet::{AGENT_THREAD, ENTRY_THREAD},
};

/// Calls that carry callers' tasks and answers; all others are control traffic.
const PAYLOAD_CALLS: [&str; 3] = ["run", "submit", "status"];
/// Bytes of the IP header and of the TCP header with timestamps.
const HEADER_BYTES: u64 = 52;
/// A request and its reply are acknowledged by one segment without data.
const MESSAGES_PER_ACK: u64 = 2;
const PAGE_KB: u64 = 4;
const NS_PER_MS: f64 = 1e6;

/// Traffic of one RPC call in a period.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) name: String,
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

impl Call {
    /// Returns the bytes on the wire, with headers and acknowledgements.
    pub(crate) fn wire_bytes(&self) -> u64 {
        self.bytes + HEADER_BYTES * (self.messages + self.messages / MESSAGES_PER_ACK)
    }
}

/// Totals of the messages that were sent for one RPC call.
#[derive(Default)]
struct Traffic {
    messages: u64,
    bytes: u64,
}

/// Totals since the start of the process.
pub(crate) struct Sample {
    at: Instant,
    entry_cpu_ns: u64,
    agent_cpu_ns: u64,
    rss_kb: u64,
    appends: u64,
    append_bytes: u64,
    reads: u64,
    traffic: IndexMap<String, Traffic>,
}

/// Usage between two samples.
#[derive(Debug)]
pub(crate) struct Cost {
    seconds: f64,
    entry_cpu_ns: u64,
    agent_cpu_ns: u64,
    pub(crate) rss_kb: u64,
    appends: u64,
    append_bytes: u64,
    reads: u64,
    pub(crate) calls: Vec<Call>,
}

impl Sample {
    pub(crate) fn take(metrics: &PrometheusHandle, log: &CountingLog) -> Self {
        Self {
            at: Instant::now(),
            entry_cpu_ns: cpu_ns(ENTRY_THREAD),
            agent_cpu_ns: cpu_ns(AGENT_THREAD),
            rss_kb: rss_kb(),
            appends: log.appends(),
            append_bytes: log.append_bytes(),
            reads: log.reads(),
            traffic: traffic(&metrics.render()),
        }
    }

    /// Returns the usage since an earlier sample.
    pub(crate) fn since(&self, before: &Self) -> Cost {
        let calls = self.traffic.iter().map(|(name, now)| {
            let earlier = before.traffic.get(name);
            Call {
                name: name.clone(),
                messages: now.messages - earlier.map_or(0, |earlier| earlier.messages),
                bytes: now.bytes - earlier.map_or(0, |earlier| earlier.bytes),
            }
        });
        Cost {
            seconds: self.at.duration_since(before.at).as_secs_f64(),
            entry_cpu_ns: self.entry_cpu_ns - before.entry_cpu_ns,
            agent_cpu_ns: self.agent_cpu_ns.saturating_sub(before.agent_cpu_ns),
            rss_kb: self.rss_kb,
            appends: self.appends - before.appends,
            append_bytes: self.append_bytes - before.append_bytes,
            reads: self.reads - before.reads,
            calls: calls.filter(|call| call.messages > 0).collect(),
        }
    }
}

impl Cost {
    pub(crate) const HEADER: &str = "phase,agents,entries,entry_cpu_ms_per_s,agent_cpu_ms_per_s,\
        rss_mb,control_msgs_per_s,control_bytes_per_s,run_msgs_per_s,appends_per_s,\
        append_bytes_per_s,log_reads_per_s";

    fn control_calls(&self) -> impl Iterator<Item = &Call> {
        self.calls.iter().filter(|call| !PAYLOAD_CALLS.contains(&call.name.as_str()))
    }

    fn per_s(&self, count: u64) -> f64 {
        count as f64 / self.seconds
    }

    pub(crate) fn control_bytes_per_s(&self) -> f64 {
        self.per_s(self.control_calls().map(Call::wire_bytes).sum())
    }

    pub(crate) fn entry_cpu_ms_per_s(&self) -> f64 {
        self.entry_cpu_ns as f64 / NS_PER_MS / self.seconds
    }

    pub(crate) fn agent_cpu_ms_per_s(&self) -> f64 {
        self.agent_cpu_ns as f64 / NS_PER_MS / self.seconds
    }

    /// Formats the cost of all roles as one row under [`Cost::HEADER`].
    pub(crate) fn row(&self, phase: &str, agents: usize, entries: usize) -> String {
        const KB_PER_MB: f64 = 1_024.0;
        let runs = self.calls.iter().filter(|call| call.name == "run").map(|call| call.messages);
        format!(
            "{phase},{agents},{entries},{:.2},{:.2},{:.1},{:.1},{:.0},{:.0},{:.1},{:.0},{:.1}",
            self.entry_cpu_ms_per_s(),
            self.agent_cpu_ms_per_s(),
            self.rss_kb as f64 / KB_PER_MB,
            self.per_s(self.control_calls().map(|call| call.messages).sum()),
            self.control_bytes_per_s(),
            self.per_s(runs.sum()),
            self.per_s(self.appends),
            self.per_s(self.append_bytes),
            self.per_s(self.reads),
        )
    }
}

/// Returns the processor time of all threads whose name begins with `thread`, nanoseconds.
fn cpu_ns(thread: &str) -> u64 {
    let tasks = fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let named = tasks.map(|task| task.path()).filter(|path| {
        fs::read_to_string(path.join("comm")).is_ok_and(|name| name.starts_with(thread))
    });
    let times = named.filter_map(|path| fs::read_to_string(path.join("schedstat")).ok());
    times.filter_map(|times| times.split(' ').next()?.parse::<u64>().ok()).sum()
}

/// Returns the resident memory of the process, or 0 when it cannot be read.
fn rss_kb() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * PAGE_KB
}

/// Parses the counters of sent messages from the text of the metrics.
fn traffic(text: &str) -> IndexMap<String, Traffic> {
    let mut traffic: IndexMap<String, Traffic> = IndexMap::new();
    for line in text.lines().filter(|line| line.contains("direction=\"sent\"")) {
        let call = line.split("call=\"").nth(1).and_then(|rest| rest.split('"').next());
        let value = line.rsplit(' ').next().and_then(|value| value.parse::<u64>().ok());
        let (Some(call), Some(value)) = (call, value) else { continue };
        let entry = traffic.entry(call.to_owned()).or_default();
        if line.starts_with("ebonycroft_rpc_messages_total") {
            entry.messages += value;
        } else if line.starts_with("ebonycroft_rpc_bytes_total") {
            entry.bytes += value;
        }
    }
    traffic
}
