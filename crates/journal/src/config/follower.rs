use std::sync::Arc;

use metrics::gauge;
use ports::{Log, Offset, StreamName};
use services::{ConfigState, InvalidField, PatchId, PatchOutcome, SharedConfig, Version};
use tokio::{sync::watch, task::JoinSet};

use crate::{ConfigFold, ConfigProgress, ConfigRecord, Follower, FollowerEvent};

/// Reads the configuration stream and publishes the configuration in force, which never
/// returns to a lower version.
///
/// Clones share one task; it is stopped when the last of them is dropped.
#[derive(Clone, Debug)]
pub struct ConfigFollower {
    shared: Arc<Shared>,
    _task: Arc<JoinSet<()>>,
}

#[derive(Debug)]
struct Shared {
    in_force: watch::Sender<Arc<ConfigState>>,
    progress: watch::Sender<ConfigProgress>,
    available: watch::Receiver<bool>,
}

impl ConfigFollower {
    /// Starts to read the stream from its beginning or, if that is truncated, from the first
    /// usable snapshot; `seed` is the seed of the back-off's jitter.
    pub fn spawn(log: Arc<dyn Log>, seed: u64) -> Self {
        let follower = Follower::new(log, StreamName::config(), Offset::default(), seed);
        let shared = Arc::new(Shared {
            in_force: watch::channel(Arc::default()).0,
            progress: watch::channel(ConfigProgress::default()).0,
            available: follower.availability(),
        });
        let mut task = JoinSet::new();
        task.spawn(follow(follower, shared.clone()));
        Self { shared, _task: Arc::new(task) }
    }

    /// Returns the configuration in force in this process.
    pub fn in_force(&self) -> Arc<ConfigState> {
        self.shared.in_force.borrow().clone()
    }

    /// Returns a receiver of the configuration in force.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigState>> {
        self.shared.in_force.subscribe()
    }

    /// Returns a receiver of how far the stream has been read.
    pub fn progress(&self) -> watch::Receiver<ConfigProgress> {
        self.shared.progress.subscribe()
    }

    /// Returns whether the last read of the stream was answered.
    pub fn is_available(&self) -> bool {
        *self.shared.available.borrow()
    }

    /// Returns the first outcome of a patch; `None` if the patch has not been read from the
    /// stream yet, or is no longer remembered.
    pub fn patch_outcome(&self, patch_id: PatchId) -> Option<PatchOutcome> {
        self.shared.progress.borrow().state.patch_outcome(patch_id).cloned()
    }

    /// Puts a peer's configuration in force if its version is higher, so that a process can
    /// start while the log is down.  Returns whether it was put in force.
    ///
    /// # Errors
    ///
    /// Returns the invalid fields if the configuration is not valid.
    pub fn adopt(
        &self,
        version: Version,
        config: Arc<SharedConfig>,
    ) -> Result<bool, Vec<InvalidField>> {
        let state = Arc::new(ConfigState::from_peer(version, config)?);
        Ok(self.shared.publish(&state))
    }
}

impl Shared {
    fn publish(&self, state: &Arc<ConfigState>) -> bool {
        self.in_force.send_if_modified(|in_force| {
            let is_newer = state.version() > in_force.version();
            if is_newer {
                gauge!("config_version").set(state.version().0 as f64);
                in_force.clone_from(state);
            }
            is_newer
        })
    }
}

async fn follow(mut follower: Follower<ConfigRecord>, shared: Arc<Shared>) {
    let mut fold = ConfigFold::default();
    loop {
        let is_caught_up = apply_next_page(&mut follower, &mut fold).await;
        shared.publish(fold.state());
        gauge!("config_recovering").set(u8::from(fold.is_recovering()));
        let progress = fold.progress(follower.position(), is_caught_up);
        shared.progress.send_replace(progress);
    }
}

/// Applies the next page and returns whether it extends to the end of the stream.
async fn apply_next_page(follower: &mut Follower<ConfigRecord>, fold: &mut ConfigFold) -> bool {
    match follower.next().await {
        FollowerEvent::Page(page) => {
            page.records.into_iter().for_each(|record| fold.push(record));
            page.is_caught_up
        }
        FollowerEvent::Truncated { oldest } => {
            fold.recover_from(oldest);
            follower.seek(oldest);
            false
        }
        FollowerEvent::Unreadable(error) => {
            let next = error.offset.next();
            fold.recover_from(next);
            follower.seek(next);
            false
        }
    }
}
