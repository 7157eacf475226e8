use std::{collections::BTreeSet, mem};

use crate::virtual_time::VirtualTime;

/// Order of the teams by start-time fair queueing.  Teams are identified by their index.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    start_tags: Vec<VirtualTime>,
    waiting: BTreeSet<(VirtualTime, usize)>,
    virtual_time: VirtualTime,
}

impl Schedule {
    /// Adds a team with the next index.
    pub(crate) fn add_team(&mut self) {
        self.start_tags.push(VirtualTime::default());
    }

    /// Iterates over the waiting teams, the next one first.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = usize> {
        self.waiting.iter().map(|&(_, team)| team)
    }

    /// Marks an idle team as waiting from the present virtual time on, so that its idle time
    /// earns it neither credit nor a larger share.
    pub(crate) fn start_waiting(&mut self, team: usize) {
        let start_tag = self.start_tags[team].max(self.virtual_time);
        self.start_tags[team] = start_tag;
        self.waiting.insert((start_tag, team));
    }

    pub(crate) fn stop_waiting(&mut self, team: usize) {
        self.waiting.remove(&(self.start_tags[team], team));
    }

    /// Advances the virtual time to a team's start tag, and moves the tags of the teams
    /// before it, which were skipped, to the same time.
    pub(crate) fn advance_to(&mut self, team: usize) {
        let start_tag = self.start_tags[team];
        self.virtual_time = self.virtual_time.max(start_tag);
        while let Some(&(first_tag, first)) = self.waiting.first() {
            if first_tag >= start_tag {
                return;
            }
            self.move_tag(first, start_tag);
        }
    }

    pub(crate) fn charge(&mut self, team: usize, weight: u32, slot_us: u64) {
        let finish_tag = self.start_tags[team].plus(VirtualTime::span(slot_us, weight));
        self.move_tag(team, finish_tag);
    }

    /// Corrects a charge to the actual slot time; this moves the start tag at most
    /// `max_lead_us` of slot time away from the virtual time.
    pub(crate) fn settle(
        &mut self,
        team: usize,
        weight: u32,
        charged_us: u64,
        actual_us: u64,
        max_lead_us: u64,
    ) {
        let start_tag = self.start_tags[team];
        let max_lead = VirtualTime::span(max_lead_us, weight);
        let excess = VirtualTime::span(charged_us.abs_diff(actual_us), weight);
        let settled = if actual_us >= charged_us {
            let latest = self.virtual_time.plus(max_lead).max(start_tag);
            start_tag.plus(excess).min(latest)
        } else {
            let earliest = self.virtual_time.minus(max_lead).min(start_tag);
            start_tag.minus(excess).max(earliest)
        };
        self.move_tag(team, settled);
    }

    fn move_tag(&mut self, team: usize, tag: VirtualTime) {
        let previous = mem::replace(&mut self.start_tags[team], tag);
        if self.waiting.remove(&(previous, team)) {
            self.waiting.insert((tag, team));
        }
    }
}
