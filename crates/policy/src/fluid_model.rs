/// A team that competes with the job's team for the slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Competitor {
    pub(crate) weight: f64,
    /// Slot time of the queued tasks, in microseconds.
    pub(crate) backlog_us: f64,
    /// Slot time of the tasks that arrive per microsecond.
    pub(crate) arrival_rate: f64,
}

/// A pool whose slots are shared by weight as if they were a fluid (generalized processor
/// sharing).
#[derive(Debug)]
pub(crate) struct FluidModel {
    pub(crate) slots: f64,
    pub(crate) competitors: Vec<Competitor>,
}

impl FluidModel {
    /// Returns the time in microseconds until a team with the given weight, which has work
    /// queued throughout, has received `service_us` of slot time.
    ///
    /// The time solves `slots * t = service + sum of the others' service within t`, where
    /// another team is served what it has, but no more than its full share.  The right side
    /// is concave in `t`, so there is one solution, and Newton's method descends to it from
    /// the time at which all others take their full shares, in at most one step per team.
    pub(crate) fn time_us(&self, service_us: f64, weight: f64) -> f64 {
        let per_weight_us = service_us / weight;
        let mut time_us = f64::MAX;
        for _ in 0..=self.competitors.len() {
            let next_us = self.newton_step(time_us, service_us, per_weight_us);
            if next_us >= time_us {
                break;
            }
            time_us = next_us;
        }
        time_us
    }

    /// Solves the equation with each team limited as it is at `time_us`, by its work or by
    /// its full share.
    fn newton_step(&self, time_us: f64, service_us: f64, per_weight_us: f64) -> f64 {
        let mut constant_us = service_us;
        let mut free_slots = self.slots;
        for team in &self.competitors {
            let share_us = team.weight * per_weight_us;
            if team.backlog_us + team.arrival_rate * time_us >= share_us {
                constant_us += share_us;
            } else {
                constant_us += team.backlog_us;
                free_slots -= team.arrival_rate;
            }
        }
        constant_us / free_slots
    }
}
