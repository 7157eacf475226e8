use crate::RackIndex;

/// Number of tasks of a job on each rack.
#[derive(Clone, Debug, Default)]
pub struct JobSpread {
    tasks_by_rack: Vec<u16>,
}

impl JobSpread {
    /// Creates the counts of a job of which no task is placed yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one task on a rack.
    pub fn add(&mut self, rack: RackIndex) {
        if self.tasks_by_rack.len() <= rack.as_usize() {
            self.tasks_by_rack.resize(rack.as_usize() + 1, 0);
        }
        let count = &mut self.tasks_by_rack[rack.as_usize()];
        *count = count.saturating_add(1);
    }

    /// Returns the number of the job's tasks on a rack.
    pub fn count(&self, rack: RackIndex) -> u16 {
        self.tasks_by_rack.get(rack.as_usize()).copied().unwrap_or(0)
    }
}
