//! Display of the report as a text table.

use std::fmt;

use crate::{Counts, Distribution, Report, StreamReport, WindowReport};

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.windows.iter().try_for_each(|window| window.fmt(f))?;
        write_total(f, &self.total)?;
        let (starts, lag) = (&self.starts, &self.send_lag_ms);
        writeln!(f, "resubmitted {}, cancels answered {}", self.resubmitted, self.cancels)?;
        writeln!(
            f,
            "starts {} of {} tasks; repeated: tasks {}, attempts {}, not idempotent {}; \
             false \"not run\" {}; executors not asked {}",
            starts.starts,
            starts.tasks,
            starts.repeated_tasks,
            starts.repeated_attempts,
            starts.repeated_not_idempotent,
            starts.false_not_run,
            starts.silent_executors,
        )?;
        self.counters.iter().try_for_each(|c| writeln!(f, "{} +{}", c.name, c.growth))?;
        self.faults_not_set.iter().try_for_each(|e| writeln!(f, "fault not set: {e}"))?;
        self.error_samples.iter().try_for_each(|e| writeln!(f, "error: {e}"))?;
        writeln!(f, "send lag ms p50 {:.2}, p99 {:.2}, max {:.2}", lag.p50, lag.p99, lag.max)?;
        writeln!(f, "violations {}, elapsed {:.1} s", self.violations(), self.elapsed_s)
    }
}

impl fmt::Display for WindowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let window = &self.window;
        writeln!(f, "window {} ({} s to {} s)", window.name, window.from_s, window.to_s)?;
        writeln!(
            f,
            "{:<18}{:>8}{:>8}{:>9}{:>8}{:>8}{:>8}{:>8}{:>9}{:>9}{:>9}  {:<33}  {:<33}  {:<33}",
            "stream",
            "sent",
            "unsent",
            "complete",
            "failed",
            "cancel",
            "refused",
            "errors",
            "offered",
            "done",
            "goodput",
            "response ms mean/p50/p90/p99/max",
            "over ideal mean/p50/p90/p99/max",
            "overhead ms mean/p50/p90/p99/max",
        )?;
        self.streams.iter().try_for_each(|stream| write_stream(f, stream))?;
        writeln!(f)
    }
}

fn write_stream(f: &mut fmt::Formatter<'_>, report: &StreamReport) -> fmt::Result {
    let counts = &report.counts;
    writeln!(
        f,
        "{:<18}{:>8}{:>8}{:>9}{:>8}{:>8}{:>8}{:>8}{:>9.2}{:>9.2}{:>9.2}  {:<33}  {:<33}  {:<33}",
        report.stream.as_str(),
        counts.sent,
        counts.unsent,
        counts.complete,
        counts.failed,
        counts.cancelled,
        counts.refused + counts.refused_unsure,
        counts.errors,
        report.offered_slots,
        report.complete_slots,
        report.goodput_slots,
        columns(&report.response_ms, 0),
        columns(&report.over_ideal, 2),
        columns(&report.overhead_ms, 1),
    )
}

fn columns(d: &Distribution, digits: usize) -> String {
    [d.mean, d.p50, d.p90, d.p99, d.max].map(|value| format!("{value:.digits$}")).join("/")
}

fn write_total(f: &mut fmt::Formatter<'_>, total: &Counts) -> fmt::Result {
    writeln!(
        f,
        "total sent {}, complete {}, failed {}, cancelled {}, refused {} and unsure {}, \
         errors {}, mismatched {}, duplicates differ {}, unsent {}",
        total.sent,
        total.complete,
        total.failed,
        total.cancelled,
        total.refused,
        total.refused_unsure,
        total.errors,
        total.mismatched,
        total.duplicates_differ,
        total.unsent,
    )
}
