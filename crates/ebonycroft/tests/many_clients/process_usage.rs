//! Memory and file descriptors of a process, from `/proc`.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use tokio::time::sleep;

/// Period of the readings, and the number of equal readings after which usage counts as settled.
const READ_PERIOD: Duration = Duration::from_millis(200);
const SETTLED_READINGS: u32 = 4;
/// Period of the readings of memory and unread bytes. Both change within milliseconds.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);
/// State of a listener in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// What a process has used at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Largest resident memory in the lifetime of the process, KiB.
    pub(crate) peak_kib: u64,
    /// Largest number of open descriptors that a reading showed.
    pub(crate) descriptors: usize,
}

impl Usage {
    /// Checks that the usage of a process is below the memory and the descriptors of its host. Checks
    /// nothing without a reading.
    pub(crate) fn check(usage: Option<Self>, memory_mb: u64, max_descriptors: usize) {
        let Some(usage) = usage else {
            eprintln!("memory and descriptors are not checked: this system has no /proc");
            return;
        };
        eprintln!("{usage:?}");
        let is_in_memory = usage.peak_kib < memory_mb * 1_024;
        assert!(is_in_memory, "the memory of the host is exhausted: {usage:?}");
        assert!(usage.descriptors < max_descriptors, "no descriptor is left: {usage:?}");
    }

    /// Reads the usage of a process; `None` on a system without `/proc`. Panics if the process has
    /// ended.
    fn read(process: u32) -> Option<Self> {
        if !PathBuf::from("/proc/self/status").exists() {
            return None;
        }
        let dir = PathBuf::from(format!("/proc/{process}"));
        let status = fs::read_to_string(dir.join("status")).expect("the process is there");
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.expect("the process has not ended").trim().trim_end_matches(" kB");
        let descriptors = fs::read_dir(dir.join("fd")).expect("the process is there").count();
        Some(Self { peak_kib: peak.parse().expect("it is a number"), descriptors })
    }

    /// Reads the usage until it no longer grows, and returns the maxima of all readings; `None` on a
    /// system without `/proc`.
    pub(crate) async fn read_until_settled(process: u32) -> Option<Self> {
        let mut usage = Self::default();
        let mut equal_readings = 0;
        while equal_readings < SETTLED_READINGS {
            let read = Self::read(process)?;
            let max = Self {
                peak_kib: usage.peak_kib.max(read.peak_kib),
                descriptors: usage.descriptors.max(read.descriptors),
            };
            equal_readings = if max == usage { equal_readings + 1 } else { 0 };
            usage = max;
            sleep(READ_PERIOD).await;
        }
        Some(usage)
    }
}

/// What a process and its unread bytes have used at most, of several readings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SumUsage {
    /// Resident memory and unread bytes of the same reading, KiB.
    pub(crate) sum_kib: u64,
    /// Bytes that were received for a listener's connections and not read, KiB.
    pub(crate) unread_kib: u64,
    /// Open descriptors.
    pub(crate) descriptors: usize,
}

impl SumUsage {
    fn max(self, other: Self) -> Self {
        Self {
            sum_kib: self.sum_kib.max(other.sum_kib),
            unread_kib: self.unread_kib.max(other.unread_kib),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// Readings of the resident memory of a process together with the bytes that it has not read.
pub(crate) struct MemoryPeak {
    process: u32,
    listener: SocketAddr,
    max: Option<SumUsage>,
}

impl MemoryPeak {
    /// Creates readings without a maximum, of a process and the connections of one of its listeners.
    pub(crate) fn new(process: u32, listener: SocketAddr) -> Self {
        Self { process, listener, max: None }
    }

    /// Returns the maxima of all readings; `None` on a system without `/proc`.
    pub(crate) fn usage(&self) -> Option<SumUsage> {
        self.max
    }

    /// Reads until neither the memory nor the unread bytes change. Panics if the process has ended.
    pub(crate) async fn read_until_settled(&mut self) {
        let mut last = None;
        let mut equal_readings = 0;
        while equal_readings < SETTLED_READINGS {
            let Some(read) = self.read() else { return };
            self.max = Some(self.max.unwrap_or_default().max(read));
            equal_readings = if last == Some(read) { equal_readings + 1 } else { 0 };
            last = Some(read);
            sleep(SAMPLE_PERIOD).await;
        }
    }

    fn read(&self) -> Option<SumUsage> {
        if !PathBuf::from("/proc/self/status").exists() {
            return None;
        }
        let dir = PathBuf::from(format!("/proc/{}", self.process));
        let status = fs::read_to_string(dir.join("status")).expect("the process is there");
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let resident = resident.expect("the process has not ended").trim().trim_end_matches(" kB");
        let resident_kib: u64 = resident.parse().expect("it is a number");
        let unread_kib = self.unread_bytes() / 1_024;
        let descriptors = fs::read_dir(dir.join("fd")).expect("the process is there").count();
        Some(SumUsage { sum_kib: resident_kib + unread_kib, unread_kib, descriptors })
    }

    /// Returns the sum of the receive queues of the listener's connections, accepted or not.
    fn unread_bytes(&self) -> u64 {
        let table = fs::read_to_string("/proc/net/tcp").expect("the table can be read");
        let port = format!(":{:04X}", self.listener.port());
        let unread = |line: &str| {
            let mut columns = line.split_whitespace();
            let is_local = columns.nth(1).is_some_and(|local| local.ends_with(&port));
            let state = columns.nth(1)?;
            let queues = columns.next()?;
            let (_, received) = queues.split_once(':')?;
            let is_connection = state != LISTENING;
            (is_local && is_connection).then(|| u64::from_str_radix(received, 16).ok())?
        };
        table.lines().skip(1).filter_map(unread).sum()
    }
}
