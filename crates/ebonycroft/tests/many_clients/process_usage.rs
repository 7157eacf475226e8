//! Memory and file descriptors of a process, from `/proc`.

use std::{fs, path::PathBuf, time::Duration};

use tokio::time::sleep;

/// Period of the readings, and the number of equal readings after which usage counts as settled.
const READ_PERIOD: Duration = Duration::from_millis(200);
const SETTLED_READINGS: u32 = 4;

/// What a process has used at most.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// Largest resident memory in the lifetime of the process, KiB.
    pub(crate) peak_kib: u64,
    /// Largest number of open descriptors that a reading showed.
    pub(crate) descriptors: usize,
}

impl Usage {
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
