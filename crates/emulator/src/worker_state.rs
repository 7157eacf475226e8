use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use indexmap::{IndexMap, map::Entry};
use ports::{LeaseId, LeaseStart, LeaseStatus, LeaseUsage, WorkerUsage};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use types::{Answer, AttemptKey, Payload, Resources};

use crate::{
    Capacity, FaultControl, Processor, StartCount, WorkerFaults, WorkerSettings,
    answers::{AnswerState, Function},
    connections::Connections,
    lease::Lease,
    start_counts::StartCounts,
    task::Task,
    usage_history::UsageHistory,
};

/// State of one worker that its request handlers share: leases, counts of starts and faults.
#[derive(Debug)]
pub(crate) struct WorkerState {
    settings: WorkerSettings,
    faults: FaultControl<WorkerFaults>,
    connections: Arc<Connections>,
    processor: Processor,
    starts: StartCounts,
    answers: AnswerState,
    leases: Mutex<IndexMap<LeaseId, Arc<Lease>>>,
    usage: Mutex<UsageHistory>,
}

/// A task that is to run under a lease.
struct LeasedTask {
    id: LeaseId,
    key: AttemptKey,
    demand: Resources,
    task: Task,
    reset: CancellationToken,
}

impl WorkerState {
    pub(crate) fn new(
        settings: WorkerSettings,
        faults: FaultControl<WorkerFaults>,
        connections: Arc<Connections>,
    ) -> Self {
        let capacity = Capacity { tasks: u32::MAX, resources: settings.capacity };
        let lag = Duration::from_millis(settings.usage_lag_ms);
        Self {
            processor: Processor::new(capacity, settings.speed),
            settings,
            faults,
            connections,
            starts: StartCounts::default(),
            answers: AnswerState::default(),
            leases: Mutex::default(),
            usage: Mutex::new(UsageHistory::new(lag, Instant::now())),
        }
    }

    pub(crate) fn faults(&self) -> &FaultControl<WorkerFaults> {
        &self.faults
    }

    pub(crate) fn starts(&self) -> Vec<StartCount> {
        self.starts.snapshot()
    }

    pub(crate) fn running(&self) -> u32 {
        self.processor.running()
    }

    pub(crate) fn lease(&self, id: LeaseId) -> Option<Arc<Lease>> {
        self.leases().get(&id).cloned()
    }

    /// Starts a task under a lease; does nothing when the lease is already known. The error is the
    /// reason why the start had no effect.
    pub(crate) fn start(self: &Arc<Self>, start: LeaseStart) -> Result<(), String> {
        let (service, kind) = (start.service.as_str(), start.kind.as_str());
        let function =
            Function::find(service, kind).ok_or_else(|| format!("no kind {service}/{kind}"))?;
        let body = start.payload.as_str().as_bytes();
        let task =
            Task::parse(function, body, self.settings.default_run_ms).map_err(|e| e.to_string())?;
        let done_ms = start.checkpoint.map_or(0, |c| c.done_ms.max(0.0) as u64);
        let lease = Arc::new(Lease::new(
            task.nominal(),
            Duration::from_millis(done_ms),
            Duration::from_millis(start.lease_ms),
        ));
        match self.leases().entry(start.lease) {
            Entry::Occupied(_) => return Ok(()),
            Entry::Vacant(vacant) => vacant.insert(Arc::clone(&lease)),
        };
        self.starts.record_start(start.key, start.traceparent);
        let demand = task.demand(start.resources);
        let reset = self.connections.tokens().reset;
        let leased = LeasedTask { id: start.lease, key: start.key, demand, task, reset };
        tokio::spawn(Arc::clone(self).supervise(lease, leased));
        Ok(())
    }

    /// Returns the usage report, which is older by the lag in the settings.
    pub(crate) fn usage(&self) -> WorkerUsage {
        let factor = self.faults.get().usage_factor;
        let leases = self.usage_history().reported(Instant::now());
        let scaled = |l: LeaseUsage| LeaseUsage { used: scale(l.used, factor), ..l };
        WorkerUsage {
            age_ms: self.settings.usage_lag_ms,
            capacity: self.settings.capacity,
            leases: leases.into_iter().map(scaled).collect(),
        }
    }

    /// Runs a task until it ends, it is stopped, its lease lapses or the connections are reset; a
    /// reset removes the lease.
    async fn supervise(self: Arc<Self>, lease: Arc<Lease>, leased: LeasedTask) {
        let LeasedTask { id, key, demand, .. } = leased;
        let reset = leased.reset.clone();
        self.usage_history().add(LeaseUsage { lease: id, used: demand }, Instant::now());
        let status = tokio::select! {
            () = reset.cancelled() => None,
            () = lease.stopped() => Some(LeaseStatus::Stopped),
            () = lease.lapsed() => Some(LeaseStatus::Lapsed),
            status = self.run(&lease, leased) => Some(status),
        };
        self.usage_history().remove(id, Instant::now());
        match status {
            Some(status) => self.finish(&lease, key, status),
            None => drop(self.leases().shift_remove(&id)),
        }
    }

    async fn run(&self, lease: &Lease, leased: LeasedTask) -> LeaseStatus {
        if self.faults.get().fail_all {
            return LeaseStatus::Failed("worker fails".to_owned());
        }
        let start = Instant::now();
        let (demand, faults) = (leased.demand, self.faults.watch());
        let result =
            leased.task.run(&self.processor, demand, lease.control(), faults, &self.answers).await;
        match result {
            Ok(answer) => LeaseStatus::Finished(Answer {
                payload: Payload::from_json(answer.to_string()),
                run_us: start.elapsed().as_micros() as u64,
            }),
            Err(e) => LeaseStatus::Failed(e.to_string()),
        }
    }

    fn finish(&self, lease: &Lease, key: AttemptKey, status: LeaseStatus) {
        if matches!(status, LeaseStatus::Finished(_) | LeaseStatus::Failed(_)) {
            self.starts.record_finish(key);
        }
        lease.complete(status);
    }

    fn leases(&self) -> MutexGuard<'_, IndexMap<LeaseId, Arc<Lease>>> {
        self.leases.lock().expect("no holder of the lock panics")
    }

    fn usage_history(&self) -> MutexGuard<'_, UsageHistory> {
        self.usage.lock().expect("no holder of the lock panics")
    }
}

fn scale(used: Resources, factor: f64) -> Resources {
    let scaled = |amount: u32| (f64::from(amount) * factor).round() as u32;
    Resources {
        milli_cores: scaled(used.milli_cores),
        memory_mb: scaled(used.memory_mb),
        accelerators: scaled(used.accelerators),
    }
}
