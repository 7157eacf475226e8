use std::fmt;

use types::Name;

use crate::{Report, StreamReport};

types::wire! {
    /// A report with a name for the system under load.
    pub struct NamedReport {
        /// The name.
        pub name: Name,
        /// The report.
        pub report: Report,
    }

    /// Reports of several runs of one plan, displayed side by side.
    pub struct Comparison {
        /// The runs; the first one determines the windows and streams that are displayed.
        pub runs: Vec<NamedReport>,
    }
}

impl Comparison {
    /// Returns the result of every run for one window and stream.
    fn results<'a>(
        &'a self,
        window: &'a str,
        stream: &'a Name,
    ) -> impl Iterator<Item = (&'a Name, &'a StreamReport)> {
        self.runs.iter().filter_map(move |run| {
            let window = run.report.windows.iter().find(|w| w.window.name == window)?;
            let result = window.streams.iter().find(|s| s.stream == *stream)?;
            Some((&run.name, result))
        })
    }

    fn write_stream(&self, f: &mut fmt::Formatter<'_>, window: &str, stream: &Name) -> fmt::Result {
        self.results(window, stream).try_for_each(|(run, result)| {
            let (counts, ideal, overhead) =
                (&result.counts, &result.over_ideal, &result.overhead_ms);
            writeln!(
                f,
                "{window:<12}{:<18}{:<12}{:>9}{:>9}{:>9}{:>9.2}{:>9.2}{:>9.2}{:>9.2}{:>9.1}{:>9.1}",
                stream.as_str(),
                run.as_str(),
                counts.complete,
                counts.failed + counts.errors,
                counts.refused + counts.refused_unsure,
                result.offered_slots,
                result.goodput_slots,
                ideal.mean,
                ideal.p99,
                overhead.p50,
                overhead.p99,
            )
        })
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12}{:<18}{:<12}{:>9}{:>9}{:>9}{:>9}{:>9}{:>18}{:>18}",
            "window",
            "stream",
            "run",
            "complete",
            "failed",
            "refused",
            "offered",
            "goodput",
            "ideal mean/p99",
            "overhead p50/p99",
        )?;
        let windows = self.runs.first().map(|run| run.report.windows.as_slice());
        for window in windows.unwrap_or_default() {
            for stream in &window.streams {
                self.write_stream(f, &window.window.name, &stream.stream)?;
            }
        }
        self.runs.iter().try_for_each(|run| {
            let violations = run.report.violations();
            writeln!(f, "{}: violations {violations}", run.name)
        })
    }
}
