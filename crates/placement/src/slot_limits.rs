use types::Resources;

const DEFAULT_QUEUE_LEN: u32 = 8;

types::plain! {
    /// Limits that an agent enforces for its upstream.
    #[derive(Copy, Eq)]
    pub struct SlotLimits {
        pub(crate) slots: u32,
        pub(crate) connections: u32,
        pub(crate) capacity: Resources,
        pub(crate) queue_len: u32,
    }
}

impl SlotLimits {
    /// Creates limits from the number of slots and the resources of the worker, with one
    /// connection for each slot and the default queue length.
    pub fn new(slots: u32, capacity: Resources) -> Self {
        Self { slots, connections: slots, capacity, queue_len: DEFAULT_QUEUE_LEN }
    }

    /// Sets the number of connections that the upstream accepts; a running task occupies one.
    pub fn connections(self, connections: u32) -> Self {
        Self { connections, ..self }
    }

    /// Sets the largest number of queued attempts.
    pub fn queue_len(self, queue_len: u32) -> Self {
        Self { queue_len, ..self }
    }

    /// Returns the largest number of tasks that may run at once.
    pub fn max_running(self) -> u32 {
        self.slots.min(self.connections)
    }
}
