//! Detects from the monotonic clock that the process was paused.

use std::sync::{
    Arc, Weak,
    atomic::{AtomicU64, Ordering},
};

use tokio::time::{Duration, Instant, sleep};

const CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Shortest gap between two checks that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Time after a pause during which requests that arrived before its end may still be read.
const BACKLOG_PERIOD: Duration = Duration::from_secs(1);

/// Times of the latest check and of the latest pause.  Points in time are milliseconds since
/// `started_at`; `pause_ms` is the length of the pause.
pub(crate) struct PauseDetector {
    started_at: Instant,
    checked_ms: AtomicU64,
    pause_ms: AtomicU64,
    resumed_ms: AtomicU64,
}

impl PauseDetector {
    /// Starts a task that checks for pauses until the last reference to the detector is dropped.
    pub(crate) fn spawn() -> Arc<Self> {
        let detector = Arc::new(Self {
            started_at: Instant::now(),
            checked_ms: AtomicU64::new(0),
            pause_ms: AtomicU64::new(0),
            resumed_ms: AtomicU64::new(0),
        });
        tokio::spawn(check_periodically(Arc::downgrade(&detector)));
        detector
    }

    /// Returns how long ago a request that is read now may have arrived, not counting its time
    /// in the network.
    pub(crate) fn max_request_age(&self) -> Duration {
        self.check();
        let resumed_ms = self.resumed_ms.load(Ordering::Relaxed);
        let is_recent =
            self.now_ms().saturating_sub(resumed_ms) < BACKLOG_PERIOD.as_millis() as u64;
        let pause_ms = self.pause_ms.load(Ordering::Relaxed);
        if is_recent { Duration::from_millis(pause_ms) } else { Duration::ZERO }
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    fn check(&self) {
        let now_ms = self.now_ms();
        let gap_ms = now_ms.saturating_sub(self.checked_ms.swap(now_ms, Ordering::Relaxed));
        if gap_ms >= MIN_PAUSE.as_millis() as u64 {
            log::warn!("the process was paused for {gap_ms} ms");
            self.pause_ms.store(gap_ms, Ordering::Relaxed);
            self.resumed_ms.store(now_ms, Ordering::Relaxed);
        }
    }
}

async fn check_periodically(detector: Weak<PauseDetector>) {
    while let Some(detector) = detector.upgrade() {
        detector.check();
        drop(detector);
        sleep(CHECK_PERIOD).await;
    }
}
