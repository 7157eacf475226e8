use std::time::Duration;

use crate::{
    Counts, LoadPlan, PlannedJob, ServiceCapacity, StreamReport, Window, WindowReport,
    counts::{JobResult, Outcome},
    distribution::ValueHistogram,
};

const MS_PER_S: f64 = 1_000.0;

/// Outcomes and response times of a run, by window and stream.
#[derive(Debug)]
pub(crate) struct Statistics {
    windows: Vec<WindowStatistics>,
    total: Counts,
    send_lag_ms: ValueHistogram,
}

#[derive(Debug)]
struct WindowStatistics {
    window: Window,
    streams: Vec<StreamStatistics>,
}

#[derive(Debug)]
struct StreamStatistics {
    capacity: ServiceCapacity,
    counts: Counts,
    /// Work of the jobs that were sent in the window, in seconds of nominal run time.
    offered_s: f64,
    /// Work of those jobs that completed.
    complete_s: f64,
    /// Work of the jobs whose complete answer arrived in the window.
    goodput_s: f64,
    response_ms: ValueHistogram,
    over_ideal: ValueHistogram,
    overhead_ms: ValueHistogram,
}

impl Statistics {
    pub(crate) fn new(plan: &LoadPlan) -> Self {
        let stream_statistics = || {
            let capacities = plan.streams.iter().map(|stream| plan.services[&stream.service]);
            capacities.map(StreamStatistics::new).collect()
        };
        let windows = plan
            .report_windows()
            .into_iter()
            .map(|window| WindowStatistics { window, streams: stream_statistics() })
            .collect();
        Self { windows, total: Counts::default(), send_lag_ms: ValueHistogram::new() }
    }

    /// Records the result of a job.
    pub(crate) fn record(&mut self, job: &PlannedJob, result: JobResult) {
        self.total.add(result.outcome);
        self.windows.iter_mut().for_each(|statistics| statistics.record(job, result));
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
        let report = |statistics: &WindowStatistics| WindowReport {
            window: statistics.window.clone(),
            streams: statistics
                .streams
                .iter()
                .zip(&plan.streams)
                .map(|(streams, stream)| streams.report(stream, statistics.window.length_s()))
                .collect(),
        };
        self.windows.iter().map(report).collect()
    }
}

impl WindowStatistics {
    fn record(&mut self, job: &PlannedJob, result: JobResult) {
        let statistics = &mut self.streams[job.stream];
        if self.window.contains(job.at.as_secs_f64()) {
            statistics.record_sent(job, result);
        }
        let answered_at = job.at + result.response;
        if result.outcome == Outcome::Complete && self.window.contains(answered_at.as_secs_f64()) {
            statistics.goodput_s += work_s(job);
        }
    }
}

impl StreamStatistics {
    fn new(capacity: ServiceCapacity) -> Self {
        Self {
            capacity,
            counts: Counts::default(),
            offered_s: 0.0,
            complete_s: 0.0,
            goodput_s: 0.0,
            response_ms: ValueHistogram::new(),
            over_ideal: ValueHistogram::new(),
            overhead_ms: ValueHistogram::new(),
        }
    }

    fn record_sent(&mut self, job: &PlannedJob, result: JobResult) {
        self.counts.add(result.outcome);
        self.offered_s += work_s(job);
        if result.outcome != Outcome::Complete {
            return;
        }
        let response_ms = ms(result.response);
        let overhead_ms = ms(result.response.saturating_sub(result.longest_run));
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
