//! Queues of waiting tasks, one for each set of pools.

use indexmap::IndexMap;
use placement::{Placer, PoolIndex};
use policy::{Admission, AdmissionBuilder, FairQueue, FairQueueBuilder};
use types::{PoolName, TaskKey};

/// Position of a queue among the queues of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueueIndex(pub(crate) usize);

/// The tasks that wait for one set of pools.
pub(crate) struct PoolQueue {
    pub(crate) pools: Vec<PoolIndex>,
    pub(crate) tasks: FairQueue<TaskKey>,
    pub(crate) admission: Admission,
}

/// One queue for each distinct set of pools that services use.
pub(crate) struct PoolQueues {
    queues: IndexMap<Vec<PoolName>, PoolQueue>,
    max_bytes: usize,
}

impl PoolQueues {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self { queues: IndexMap::new(), max_bytes }
    }

    /// Returns the queue for a set of pools, creating it if there is none.
    pub(crate) fn index(&mut self, pools: &[PoolName], placer: &mut Placer) -> QueueIndex {
        if let Some(index) = self.queues.get_index_of(pools) {
            return QueueIndex(index);
        }
        let queue = PoolQueue {
            pools: pools.iter().map(|pool| placer.pool_index(pool)).collect(),
            tasks: FairQueueBuilder::default().max_bytes(self.max_bytes).build(),
            admission: AdmissionBuilder::default().build(),
        };
        QueueIndex(self.queues.insert_full(pools.to_vec(), queue).0)
    }

    pub(crate) fn get_mut(&mut self, index: QueueIndex) -> &mut PoolQueue {
        &mut self.queues[index.0]
    }

    pub(crate) fn pools(&self, index: QueueIndex) -> &[PoolName] {
        self.queues.get_index(index.0).map_or(&[], |(pools, _)| pools)
    }

    pub(crate) fn indices(&self) -> impl Iterator<Item = QueueIndex> + use<> {
        (0..self.queues.len()).map(QueueIndex)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut PoolQueue> {
        self.queues.values_mut()
    }

    pub(crate) fn tasks(&self) -> usize {
        self.queues.values().map(|queue| queue.tasks.len()).sum()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.queues.values().map(|queue| queue.tasks.bytes()).sum()
    }
}
