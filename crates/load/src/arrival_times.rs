use std::time::Duration;

use rand::{RngExt, rngs::StdRng};

use crate::{Arrivals, Flood, LoadPlan, StreamPlan};

/// Iterator over the times at which the jobs of one stream are sent, as an offset from the
/// start of the run; floods multiply the rate.
pub(crate) struct ArrivalTimes<'a> {
    floods: Vec<&'a Flood>,
    arrivals: Arrivals,
    /// Groups of jobs a second outside floods.
    group_rate: f64,
    end_s: f64,
    now_s: f64,
    /// Jobs of the current group that have not been returned.
    jobs_left: u32,
    rng: StdRng,
}

impl<'a> ArrivalTimes<'a> {
    pub(crate) fn new(plan: &'a LoadPlan, stream: &StreamPlan, rng: StdRng) -> Self {
        let work_per_s = plan.services.get(&stream.service).map_or(0.0, |c| c.work_per_s());
        let jobs_per_s = stream.rate.jobs_per_s(work_per_s, stream.mean_work_s());
        Self {
            floods: plan.floods.iter().filter(|flood| flood.team == stream.team).collect(),
            arrivals: stream.arrivals,
            group_rate: jobs_per_s / f64::from(stream.arrivals.group()),
            end_s: plan.duration_s,
            now_s: 0.0,
            jobs_left: 0,
            rng,
        }
    }

    /// Advances to the next group: to the time by which the integral of the rate has grown by the
    /// gap.
    fn next_group(&mut self) {
        let mut gap = self.draw_gap();
        while self.now_s < self.end_s {
            let rate = self.rate();
            let until = self.next_change();
            let within = (until - self.now_s) * rate;
            if gap < within {
                self.now_s += gap / rate;
                return;
            }
            gap -= within;
            self.now_s = until;
        }
    }

    /// Draws the gap to the next group, as the integral of the rate over time; its mean is 1.
    fn draw_gap(&mut self) -> f64 {
        match self.arrivals {
            Arrivals::Even => 1.0,
            Arrivals::Poisson | Arrivals::Bursts(_) => -(1.0 - self.rng.random::<f64>()).ln(),
        }
    }

    fn rate(&self) -> f64 {
        let is_active = |flood: &&&Flood| (flood.from_s..flood.to_s).contains(&self.now_s);
        let factor: f64 = self.floods.iter().filter(is_active).map(|flood| flood.factor).product();
        self.group_rate * factor
    }

    /// Returns the next time at which a flood starts or ends, or the end of the run.
    fn next_change(&self) -> f64 {
        self.floods
            .iter()
            .flat_map(|flood| [flood.from_s, flood.to_s])
            .filter(|change| *change > self.now_s)
            .fold(self.end_s, f64::min)
    }
}

impl Iterator for ArrivalTimes<'_> {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        if self.jobs_left == 0 {
            self.next_group();
            self.jobs_left = self.arrivals.group();
        }
        self.jobs_left -= 1;
        (self.now_s < self.end_s).then(|| Duration::from_secs_f64(self.now_s))
    }
}
