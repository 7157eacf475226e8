//! The stream of the shared configuration: a fold that computes the configuration from the
//! records, a follower that keeps it current, and a publisher of patches and snapshots.

mod fold;
mod follower;
mod progress;
mod publisher;
mod publisher_settings;
mod snapshot_task;
mod submission;

use services::{ConfigPatch, ConfigSnapshot};

use crate::ChangeOrSnapshot;

pub use self::{
    fold::ConfigFold, follower::ConfigFollower, progress::ConfigProgress,
    publisher::ConfigPublisher, publisher_settings::PublisherSettings, submission::Submission,
};

/// Body of the configuration stream.
pub type ConfigRecord = ChangeOrSnapshot<ConfigPatch, ConfigSnapshot>;
