use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use tokio::{sync::watch, time::Instant};

/// Progress of one running task, and the throttle that slows it down.
#[derive(Debug)]
pub struct TaskControl {
    throttle: watch::Sender<f64>,
    progress: Mutex<Progress>,
}

/// Work that remained at an instant, and the rate at which it has been done since.
#[derive(Clone, Copy, Debug)]
struct Progress {
    remaining: Duration,
    since: Instant,
    rate: f64,
}

impl TaskControl {
    /// Creates the control of a task with the given nominal work remaining.
    pub fn new(remaining: Duration) -> Self {
        let progress = Progress { remaining, since: Instant::now(), rate: 0.0 };
        Self { throttle: watch::Sender::new(1.0), progress: Mutex::new(progress) }
    }

    /// Slows the task down to a fraction of its speed, from 0 (paused) to 1.
    pub fn set_throttle(&self, fraction: f64) {
        self.throttle.send_replace(fraction.clamp(0.0, 1.0));
    }

    /// Returns the nominal work that remains at an instant.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.progress().remaining(now)
    }

    pub(crate) fn throttle(&self) -> watch::Receiver<f64> {
        self.throttle.subscribe()
    }

    /// Sets the rate from now on and returns the nominal work that remains.
    pub(crate) fn set_rate(&self, rate: f64, now: Instant) -> Duration {
        let mut progress = self.progress();
        let remaining = progress.remaining(now);
        *progress = Progress { remaining, since: now, rate };
        remaining
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().expect("no holder of the lock panics")
    }
}

impl Progress {
    fn remaining(&self, now: Instant) -> Duration {
        self.remaining.saturating_sub(now.duration_since(self.since).mul_f64(self.rate))
    }
}
