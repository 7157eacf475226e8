//! How often agents report changes of their load to this entry.
//!
//! Load pattern: the pool is nearly full, so all links of an entry are active, and each agent reports
//! each change of its load. On a host with a small share of a processor these reports alone use up
//! the processor time: the entry reads its callers' requests, and the reports themselves, hundreds of
//! milliseconds late, and refuses jobs although other entries still find capacity. The time between
//! two such reports of an agent therefore grows with the number of active links, so that all of them
//! together use a fixed part of the entry's processor time. Outcomes of the entry's own attempts, with
//! the load at that time, are never delayed.

use crate::{
    ToAgent,
    dispatcher::{Dispatcher, DispatcherEffect},
};

/// Reports of changes that an entry with a whole core may get in a second: at about 20 us for the
/// reading, decoding and placement of each, an eighth of the core.
const REPORTS_PER_CORE_S: f64 = 6_250.0;
/// Period in which agents look for changes at most, milliseconds; a shorter limit has no effect.
const MIN_PERIOD_MS: u16 = 20;
/// Maximum time between two reports of an agent whose load changes, milliseconds: that between
/// heartbeats.
const MAX_PERIOD_MS: u16 = 200;
/// Relative change of the period, in percent, from which the agents are told.
const MIN_CHANGE_PERCENT: u16 = 25;

types::plain! {
    /// Limit of the reports of all agents together.
    #[derive(Copy)]
    pub(crate) struct ReportPacing {
        /// Reports a second that the entry's processor share allows.
        reports_per_s: f64,
        /// Period that the agents with active links were told, milliseconds; 0 for none.
        period_ms: u16,
    }
}

impl Default for ReportPacing {
    fn default() -> Self {
        Self { reports_per_s: f64::INFINITY, period_ms: 0 }
    }
}

impl ReportPacing {
    /// Returns the period for this number of active links, milliseconds; 0 if no limit is needed.
    fn wanted_ms(&self, active_links: usize) -> u16 {
        #[allow(clippy::cast_precision_loss)]
        let period_ms = active_links as f64 * 1_000.0 / self.reports_per_s;
        if period_ms <= f64::from(MIN_PERIOD_MS) {
            return 0;
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let period_ms = period_ms.min(f64::from(MAX_PERIOD_MS)) as u16;
        period_ms
    }

    /// Returns the period that the agents are to be told, if it has changed enough.
    fn update(&mut self, active_links: usize) -> Option<u16> {
        let wanted_ms = self.wanted_ms(active_links);
        let change = wanted_ms.abs_diff(self.period_ms);
        let is_small =
            u32::from(change) * 100 < u32::from(self.period_ms) * u32::from(MIN_CHANGE_PERCENT);
        if change == 0 || (is_small && wanted_ms > 0) {
            return None;
        }
        self.period_ms = wanted_ms;
        Some(wanted_ms)
    }
}

impl Dispatcher {
    /// Sets the share of a processor core that this entry has; without it, reports are not limited.
    pub fn set_processor_share(&mut self, cores: f64) {
        self.pacing.reports_per_s = cores * REPORTS_PER_CORE_S;
    }

    /// Returns the message that limits the reports on a link that becomes active, if there is a limit.
    pub(crate) fn pacing_message(&self) -> Option<ToAgent> {
        (self.pacing.period_ms > 0).then_some(ToAgent::SetReportPeriod(self.pacing.period_ms))
    }

    /// Tells the agents with active links when the limit of their reports has changed.
    pub(crate) fn adjust_report_period(&mut self, effects: &mut Vec<DispatcherEffect>) {
        let Some(period_ms) = self.pacing.update(self.links.active.len()) else { return };
        let agents = self.links.active.iter();
        effects.extend(
            agents.map(|agent| DispatcherEffect::Send(*agent, ToAgent::SetReportPeriod(period_ms))),
        );
    }
}
