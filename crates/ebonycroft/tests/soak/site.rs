//! Shapes of the platform's sites, scaled to one machine.

use std::{env, sync::LazyLock};

/// Number and places of the processes, and how often tasks are started again.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    /// Availability zones of the entries, and of the executors, in turn.
    pub(crate) zones: &'static [&'static str],
    /// Entries and agents together, unless `SOAK_PROCESSES` states it.
    pub(crate) processes: u64,
    pub(crate) min_entries: usize,
    /// Maximum number of starts of a task, by queue.
    pub(crate) max_attempts: [u16; 3],
}

static SITES: [Site; 3] = [
    Site {
        name: "recipes",
        zones: &["mid-a", "mid-b", "mid-c"],
        processes: 14,
        min_entries: 3,
        max_attempts: [2, 4, 4],
    },
    Site {
        name: "notebook",
        zones: &["vl-gent", "vl-antwerpen", "vl-leuven", "vl-brugge"],
        processes: 15,
        min_entries: 4,
        max_attempts: [3, 4, 2],
    },
    Site {
        name: "grown",
        zones: &["mid-a", "mid-b", "mid-c"],
        processes: 30,
        min_entries: 6,
        max_attempts: [2, 4, 4],
    },
];

static SELECTED: LazyLock<&'static Site> = LazyLock::new(|| {
    let name = env::var("SOAK_SHAPE");
    let name = name.as_deref().unwrap_or(SITES[0].name);
    let names: Vec<_> = SITES.iter().map(|site| site.name).collect();
    let site = SITES.iter().find(|site| site.name == name);
    site.unwrap_or_else(|| panic!("SOAK_SHAPE is one of {names:?}, not {name}"))
});

impl Site {
    /// Returns the site that `SOAK_SHAPE` names.
    pub(crate) fn selected() -> &'static Self {
        *SELECTED
    }

    /// Returns the zone of an entry, an executor or a caller.
    pub(crate) fn zone(&self, i: usize) -> &'static str {
        self.zones[i % self.zones.len()]
    }
}
