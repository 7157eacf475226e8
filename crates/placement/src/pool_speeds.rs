use crate::{
    speed_class::{SpeedClass, fastest_first},
    work_rate::WorkRate,
};

/// Fraction of the mean speed up to which a slot counts as slow.
const SLOW_FRACTION: f64 = 0.5;

/// Utilisation of the other slots from which on slow slots are used too.
const NEEDED_UTILISATION: f64 = 0.95;

/// A count for each speed class; `occupied` is the bit set of classes with a count above 0.
#[derive(Clone, Debug)]
struct ClassCounts {
    occupied: u64,
    counts: [u32; SpeedClass::COUNT],
}

/// Slots of the serving upstreams of one pool by speed class, and this entry's tasks on them.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolSpeeds {
    slots: ClassCounts,
    busy: ClassCounts,
    work_rate: WorkRate,
}

impl Default for ClassCounts {
    fn default() -> Self {
        Self { occupied: 0, counts: [0; SpeedClass::COUNT] }
    }
}

impl ClassCounts {
    fn add(&mut self, class: SpeedClass, count: u32) {
        self.counts[class.as_usize()] += count;
        self.update_occupied(class);
    }

    fn remove(&mut self, class: SpeedClass, count: u32) {
        self.counts[class.as_usize()] = self.counts[class.as_usize()].saturating_sub(count);
        self.update_occupied(class);
    }

    fn update_occupied(&mut self, class: SpeedClass) {
        let bit = 1 << class.as_usize();
        match self.counts[class.as_usize()] {
            0 => self.occupied &= !bit,
            _ => self.occupied |= bit,
        }
    }

    /// Iterates over the classes with a count above 0, fastest first, each with its speed times
    /// its count.
    fn speeds(&self) -> impl Iterator<Item = (SpeedClass, f64)> {
        fastest_first(self.occupied)
            .map(|class| (class, f64::from(self.counts[class.as_usize()]) * class.speed()))
    }

    fn mean_speed(&self) -> f64 {
        let total: u32 = self.counts.iter().sum();
        self.speeds().map(|(_, speeds)| speeds).sum::<f64>() / f64::from(total.max(1))
    }
}

impl PoolSpeeds {
    pub(crate) fn add_serving(&mut self, class: SpeedClass, slots: u32) {
        self.slots.add(class, slots);
    }

    pub(crate) fn remove_serving(&mut self, class: SpeedClass, slots: u32) {
        self.slots.remove(class, slots);
    }

    pub(crate) fn add_busy(&mut self, class: SpeedClass, tasks: u32) {
        self.busy.add(class, tasks);
    }

    pub(crate) fn remove_busy(&mut self, class: SpeedClass, tasks: u32) {
        self.busy.remove(class, tasks);
    }

    pub(crate) fn observe_work(&mut self, now_us: u64, work_us: f64) {
        self.work_rate.observe(now_us, work_us);
    }

    /// Returns whether a class is far slower than the mean and not needed for the load: this
    /// entry's fair share of the other slots among `entry_count` entries suffices for its work.
    pub(crate) fn is_slow_and_unneeded(
        &self,
        now_us: u64,
        class: SpeedClass,
        entry_count: u32,
    ) -> bool {
        let slow_speed = SLOW_FRACTION * self.slots.mean_speed();
        let others: f64 = self
            .slots
            .speeds()
            .take_while(|(class, _)| class.speed() > slow_speed)
            .map(|(_, speeds)| speeds)
            .sum();
        let sustainable_slots = NEEDED_UTILISATION * others / f64::from(entry_count);
        class.speed() <= slow_speed && self.work_rate.slots(now_us) < sustainable_slots
    }

    /// Returns the shortest expected time in microseconds until a task, the last of `queue_len`
    /// queued ones, completes on a class faster than `class`.  Slots of faster classes become
    /// free at the rate at which this entry's tasks of `mean_work_us` end there.
    pub(crate) fn faster_completion_us(
        &self,
        class: SpeedClass,
        work_us: f64,
        queue_len: u32,
        mean_work_us: f64,
    ) -> Option<f64> {
        let wait_work_us = f64::from(queue_len) * mean_work_us;
        self.busy
            .speeds()
            .take_while(|(faster, _)| *faster > class)
            .scan(0.0, |speed_sum, (faster, speeds)| {
                *speed_sum += speeds;
                Some(wait_work_us / *speed_sum + faster.run_us(work_us))
            })
            .reduce(f64::min)
    }
}
