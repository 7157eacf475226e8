use std::time::Duration;

use crate::{
    Counts, LoadPlan, PlannedJob, ServiceCapacity, StreamReport, Window, WindowReport,
    counts::{Ending, Outcome},
    distribution::Values,
};

const MS_PER_S: f64 = 1_000.0;

/// Outcomes and responses of a run, by window and stream.
#[derive(Debug)]
pub(crate) struct Tally {
    windows: Vec<WindowTally>,
    total: Counts,
    send_lag_ms: Values,
}

#[derive(Debug)]
struct WindowTally {
    window: Window,
    streams: Vec<StreamTally>,
}

#[derive(Debug)]
struct StreamTally {
    capacity: ServiceCapacity,
    counts: Counts,
    offered_s: f64,
    complete_s: f64,
    goodput_s: f64,
    response_ms: Values,
    over_ideal: Values,
    overhead_ms: Values,
}

impl Tally {
    pub(crate) fn new(plan: &LoadPlan) -> Self {
        let stream_tallies = || {
            let capacities = plan.streams.iter().map(|stream| plan.services[&stream.service]);
            capacities.map(StreamTally::new).collect()
        };
        let windows = plan
            .report_windows()
            .into_iter()
            .map(|window| WindowTally { window, streams: stream_tallies() })
            .collect();
        Self { windows, total: Counts::default(), send_lag_ms: Values::new() }
    }

    /// Records the end of a job.
    pub(crate) fn record(&mut self, job: &PlannedJob, ending: Ending) {
        self.total.add(ending.outcome);
        self.windows.iter_mut().for_each(|tally| tally.record(job, ending));
    }

    pub(crate) fn record_send_lag(&mut self, lag: Duration) {
        self.send_lag_ms.record(ms(lag));
    }

    pub(crate) fn total(&self) -> Counts {
        self.total
    }

    pub(crate) fn send_lag_ms(&self) -> crate::Distribution {
        self.send_lag_ms.summary()
    }

    pub(crate) fn window_reports(&self, plan: &LoadPlan) -> Vec<WindowReport> {
        let report = |tally: &WindowTally| WindowReport {
            window: tally.window.clone(),
            streams: tally
                .streams
                .iter()
                .zip(&plan.streams)
                .map(|(streams, stream)| streams.report(stream, tally.window.length_s()))
                .collect(),
        };
        self.windows.iter().map(report).collect()
    }
}

impl WindowTally {
    fn record(&mut self, job: &PlannedJob, ending: Ending) {
        let tally = &mut self.streams[job.stream];
        if self.window.contains(job.at.as_secs_f64()) {
            tally.record_sent(job, ending);
        }
        let answered_at = job.at + ending.response;
        if ending.outcome == Outcome::Complete && self.window.contains(answered_at.as_secs_f64()) {
            tally.goodput_s += work_s(job);
        }
    }
}

impl StreamTally {
    fn new(capacity: ServiceCapacity) -> Self {
        Self {
            capacity,
            counts: Counts::default(),
            offered_s: 0.0,
            complete_s: 0.0,
            goodput_s: 0.0,
            response_ms: Values::new(),
            over_ideal: Values::new(),
            overhead_ms: Values::new(),
        }
    }

    fn record_sent(&mut self, job: &PlannedJob, ending: Ending) {
        self.counts.add(ending.outcome);
        self.offered_s += work_s(job);
        if ending.outcome != Outcome::Complete {
            return;
        }
        let response_ms = ms(ending.response);
        let overhead_ms = ms(ending.response.saturating_sub(ending.longest_run));
        let ideal_ms = self.capacity.ideal_ms(&job.run_ms);
        self.complete_s += work_s(job);
        self.response_ms.record(response_ms);
        self.over_ideal.record(response_ms / ideal_ms);
        self.overhead_ms.record(overhead_ms);
    }

    fn report(&self, stream: &crate::StreamPlan, length_s: f64) -> StreamReport {
        StreamReport {
            stream: stream.name.clone(),
            team: stream.team.clone(),
            counts: self.counts,
            offered_slots: self.offered_s / length_s,
            complete_slots: self.complete_s / length_s,
            goodput_slots: self.goodput_s / length_s,
            response_ms: self.response_ms.summary(),
            over_ideal: self.over_ideal.summary(),
            overhead_ms: self.overhead_ms.summary(),
        }
    }
}

/// Returns the work of a job in seconds of nominal run time.
fn work_s(job: &PlannedJob) -> f64 {
    job.run_ms.iter().map(|ms| f64::from(*ms)).sum::<f64>() / MS_PER_S
}

fn ms(time: Duration) -> f64 {
    time.as_secs_f64() * MS_PER_S
}
