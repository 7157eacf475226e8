use settings::{InvalidFields, Validate};

use crate::{
    FaultStep, LoadPlan, Rate, RunTime, ServiceCapacity, StreamPlan, Window, loopback::is_loopback,
};

const MAX_DURATION_S: f64 = 3_600.0;
const MAX_JOBS: usize = 5_000_000;
const MAX_TASKS: u32 = 1_000;
const PERCENT: std::ops::RangeInclusive<f64> = 0.0..=100.0;

impl Validate for LoadPlan {
    fn validate(&self, errors: &mut InvalidFields) {
        let is_bounded = self.duration_s > 0.0 && self.duration_s <= MAX_DURATION_S;
        errors.require(is_bounded, "duration_s", "must be above 0 and at most 3600");
        let is_bounded = (1..=MAX_JOBS).contains(&self.max_jobs);
        errors.require(is_bounded, "max_jobs", "must be 1 to 5000000");
        errors.require(self.max_in_flight > 0, "max_in_flight", "must be above 0");
        errors.require(!self.targets.is_empty(), "targets", "must name an entry");
        errors.require(!self.streams.is_empty(), "streams", "must name a stream");
        require_loopback(errors, "targets", &self.targets);
        require_loopback(errors, "executors", &self.executors);
        require_loopback(errors, "metrics.urls", &self.metrics.urls);
        self.services.iter().for_each(|(name, capacity)| {
            validate_capacity(capacity, &format!("services.{name}"), errors);
        });
        each(&self.streams, "streams", |s, path| self.validate_stream(s, path, errors));
        each(&self.faults, "faults", |f, path| self.validate_fault(f, path, errors));
        each(&self.windows, "windows", |w, path| self.validate_window(w, path, errors));
        each(&self.floods, "floods", |f, path| {
            self.validate_interval(f.from_s, f.to_s, path, errors);
            errors.require(f.factor >= 0.0, &format!("{path}.factor"), "must not be negative");
            self.validate_team(&f.team, path, errors);
        });
        each(&self.cancel_waves, "cancel_waves", |w, path| {
            errors.require(
                PERCENT.contains(&w.percent),
                &format!("{path}.percent"),
                "not 0 to 100",
            );
            self.validate_time(w.at_s, path, errors);
            self.validate_team(&w.team, path, errors);
        });
    }
}

impl LoadPlan {
    fn validate_stream(&self, stream: &StreamPlan, path: &str, errors: &mut InvalidFields) {
        let is_known = self.services.contains_key(&stream.service);
        errors.require(is_known, &format!("{path}.service"), "must be named in services");
        errors.require(stream.deadline_ms > 0, &format!("{path}.deadline_ms"), "must be above 0");
        let tasks = stream.tasks;
        let is_range = tasks.min > 0 && tasks.min <= tasks.max && tasks.max <= MAX_TASKS;
        errors.require(is_range, &format!("{path}.tasks"), "must be a range within 1 to 1000");
        errors.require(stream.arrivals.group() > 0, &format!("{path}.arrivals"), "must be above 0");
        validate_rate(stream.rate, &format!("{path}.rate"), errors);
        validate_run_time(stream.run_time, &format!("{path}.run_time"), errors);
        let is_percent = PERCENT.contains(&stream.fail_percent);
        errors.require(is_percent, &format!("{path}.fail_percent"), "not 0 to 100");
        let is_percent = PERCENT.contains(&stream.resubmit_percent);
        errors.require(is_percent, &format!("{path}.resubmit_percent"), "not 0 to 100");
    }

    fn validate_fault(&self, step: &FaultStep, path: &str, errors: &mut InvalidFields) {
        errors.require(is_loopback(&step.url), &format!("{path}.url"), "not a loopback address");
        errors.require(step.set.is_object(), &format!("{path}.set"), "must be a mapping");
        self.validate_time(step.at_s, path, errors);
    }

    fn validate_window(&self, window: &Window, path: &str, errors: &mut InvalidFields) {
        self.validate_interval(window.from_s, window.to_s, path, errors);
    }

    fn validate_interval(&self, from_s: f64, to_s: f64, path: &str, errors: &mut InvalidFields) {
        let is_interval = 0.0 <= from_s && from_s < to_s && to_s <= self.duration_s;
        errors.require(is_interval, path, "must be an interval within the run");
    }

    fn validate_time(&self, at_s: f64, path: &str, errors: &mut InvalidFields) {
        let is_within = (0.0..=self.duration_s).contains(&at_s);
        errors.require(is_within, &format!("{path}.at_s"), "must be a time within the run");
    }

    fn validate_team(&self, team: &types::TeamName, path: &str, errors: &mut InvalidFields) {
        let is_known = self.streams.iter().any(|stream| stream.team == *team);
        errors.require(is_known, &format!("{path}.team"), "must be the team of a stream");
    }
}

fn validate_capacity(capacity: &ServiceCapacity, path: &str, errors: &mut InvalidFields) {
    errors.require(capacity.slots > 0, &format!("{path}.slots"), "must be above 0");
    errors.require(
        is_above_zero(capacity.mean_speed),
        &format!("{path}.mean_speed"),
        "must be above 0",
    );
    let is_time = capacity.round_trip_ms >= 0.0;
    errors.require(is_time, &format!("{path}.round_trip_ms"), "must not be negative");
}

fn validate_rate(rate: Rate, path: &str, errors: &mut InvalidFields) {
    errors.require(is_above_zero(rate.amount()), path, "must be above 0");
}

fn validate_run_time(run_time: RunTime, path: &str, errors: &mut InvalidFields) {
    let is_range = is_above_zero(run_time.min_ms) && run_time.min_ms <= run_time.max_ms;
    errors.require(is_range, path, "min_ms must be above 0 and at most max_ms");
    let is_percent = PERCENT.contains(&run_time.tail_percent);
    errors.require(is_percent, &format!("{path}.tail_percent"), "not 0 to 100");
    let is_tail = run_time.tail_percent == 0.0 || run_time.tail_max_ms >= run_time.max_ms;
    errors.require(is_tail, &format!("{path}.tail_max_ms"), "must be at least max_ms");
}

fn require_loopback(errors: &mut InvalidFields, path: &str, urls: &[String]) {
    each(urls, path, |url, path| {
        errors.require(is_loopback(url), path, "not an http URL of a loopback address");
    });
}

fn each<T>(items: &[T], path: &str, mut check: impl FnMut(&T, &str)) {
    items.iter().enumerate().for_each(|(i, item)| check(item, &format!("{path}[{i}]")));
}

fn is_above_zero(amount: f64) -> bool {
    amount.is_finite() && amount > 0.0
}
