use indexmap::IndexMap;
use types::{KindName, Resources, ServiceName};

use crate::{
    DeclaredSize, KindIndex, UpstreamIndex, run_time_model::RunTimeModel, speed_model::SpeedModel,
    usage_model::UsageModel,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct KindKey {
    service: ServiceName,
    kind: KindName,
}

#[derive(Clone, Debug)]
struct KindModel {
    declared: DeclaredSize,
    run_time: RunTimeModel,
    usage: UsageModel,
}

impl KindModel {
    fn new(declared: DeclaredSize) -> Self {
        Self {
            declared,
            run_time: RunTimeModel::new(declared.run_us),
            usage: UsageModel::new(declared.resources),
        }
    }
}

/// Online estimates of the run time and resource usage of kinds and the speed of upstreams;
/// each observation takes constant time.
///
/// The geometric mean of the learned speeds is kept at 1, because otherwise the run times of
/// kinds and the speeds of upstreams could drift together.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    kinds: IndexMap<KindKey, KindModel>,
    speeds: Vec<Option<SpeedModel>>,
    log_speed_sum: f64,
    known_speeds: u32,
}

impl Learner {
    /// Creates a learner without observations.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the index of a kind, and adds the kind if it is new.  Its estimates are reset
    /// when the declared size changes.
    pub fn kind_index(
        &mut self,
        service: &ServiceName,
        kind: &KindName,
        declared: DeclaredSize,
    ) -> KindIndex {
        let key = KindKey { service: service.clone(), kind: kind.clone() };
        let entry = self.kinds.entry(key);
        let index = KindIndex(entry.index() as u32);
        let model = entry.or_insert_with(|| KindModel::new(declared));
        if model.declared != declared {
            *model = KindModel::new(declared);
        }
        index
    }

    /// Updates the estimates with the run time in microseconds of a task that was answered.
    /// Failed tasks must not be recorded, because a fast failure would count as high speed.
    pub fn record_run(
        &mut self,
        now_us: u64,
        kind: KindIndex,
        upstream: UpstreamIndex,
        run_us: u64,
    ) {
        let run_us = run_us.max(1) as f64;
        let speed = self.speed(now_us, upstream);
        let run_time = &mut self.kinds[kind.as_usize()].run_time;
        let log_speed = run_time.log_speed(run_us);
        run_time.observe(run_us * speed);
        if let Some(log_speed) = log_speed {
            self.observe_speed(now_us, upstream, log_speed);
        }
    }

    /// Updates the estimate of a kind's usage with the reported usage of a task.  The report
    /// may come long after the end of the task.
    pub fn record_usage(&mut self, kind: KindIndex, used: Resources) {
        self.kinds[kind.as_usize()].usage.observe(used);
    }

    /// Returns the expected run time in microseconds on an upstream of speed 1.
    pub fn expected_us(&self, kind: KindIndex) -> u64 {
        self.kinds[kind.as_usize()].run_time.expected_us()
    }

    /// Returns the resources that a task of the kind is charged with.
    pub fn charge(&self, kind: KindIndex) -> Resources {
        self.kinds[kind.as_usize()].usage.charge()
    }

    /// Returns the estimated speed of an upstream, 1 if there are no observations.  The estimate
    /// decays towards 1 while the upstream answers no task.
    pub fn speed(&self, now_us: u64, upstream: UpstreamIndex) -> f64 {
        let model = self.speeds.get(upstream.as_usize()).and_then(Option::as_ref);
        model.map_or(1.0, |model| {
            let centered = model.last_value() - self.log_speed_mean();
            (centered * model.retained_fraction(now_us)).exp()
        })
    }

    /// Discards the estimated speed of an upstream, for example after a move to another machine.
    pub fn reset_speed(&mut self, upstream: UpstreamIndex) {
        let model = self.speeds.get_mut(upstream.as_usize()).and_then(Option::take);
        if let Some(model) = model {
            self.known_speeds -= 1;
            self.log_speed_sum -= model.last_value();
        }
    }

    fn log_speed_mean(&self) -> f64 {
        self.log_speed_sum / f64::from(self.known_speeds.max(1))
    }

    fn observe_speed(&mut self, now_us: u64, upstream: UpstreamIndex, log_speed: f64) {
        if self.speeds.len() <= upstream.as_usize() {
            self.speeds.resize(upstream.as_usize() + 1, None);
        }
        let model = &mut self.speeds[upstream.as_usize()];
        self.known_speeds += u32::from(model.is_none());
        let model = model.get_or_insert_with(SpeedModel::new);
        self.log_speed_sum -= model.last_value();
        model.observe(now_us, log_speed);
        self.log_speed_sum += model.last_value();
    }
}
