//! Settings that change while a process runs.

use std::{fs, path::PathBuf, rc::Rc, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use settings::Validate;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::timeout,
};
use types::{Peer, StepError};

use crate::events::{Events, Level};

/// Period of looking at the file, which may change without a signal.
const PERIOD: Duration = Duration::from_secs(2);
/// Settings that are put into force while the process runs; the others wait for the next start.
const LIVE: [&str; 5] = [
    "process.seeds",
    "process.grace_ms",
    "process.store.appends_per_s",
    "process.store.reads_per_s",
    "process.store.processes",
];

/// The file that a process has its settings from.
pub(crate) struct SettingsWatch {
    path: PathBuf,
    hangup: Signal,
}

impl SettingsWatch {
    /// Listens for hangups from now on.
    ///
    /// # Errors
    ///
    /// When signals cannot be listened for.
    pub(crate) fn new(path: PathBuf) -> Result<Self, StepError> {
        let fail = |e| StepError::new("listening for signals", Peer::Local, e);
        Ok(Self { path, hangup: signal(SignalKind::hangup()).map_err(fail)? })
    }

    /// Hands settings that have changed to `adopt`, for ever. The file is read on a hangup, and
    /// each period.
    pub(crate) async fn follow<T>(mut self, mut settings: T, events: Rc<Events>, adopt: impl Fn(&T))
    where
        T: DeserializeOwned + Serialize + PartialEq + Validate,
    {
        let mut refused_text = String::new();
        loop {
            let is_told = timeout(PERIOD, self.hangup.recv()).await.is_ok();
            let text = match fs::read_to_string(&self.path) {
                Ok(text) => text,
                Err(e) => {
                    if is_told {
                        refused(&events, &e.to_string());
                    }
                    continue;
                }
            };
            match settings::parse::<T>(&text) {
                Ok(next) if next == settings && !is_told => {}
                Ok(next) => {
                    reloaded(&events, &settings, &next);
                    adopt(&next);
                    settings = next;
                }
                Err(_) if text == refused_text && !is_told => {}
                Err(e) => {
                    refused(&events, &e.to_string());
                    refused_text = text;
                }
            }
        }
    }
}

fn refused(events: &Events, cause: &str) {
    events.line(Level::Notable, "settings_refused", &[("cause", json!(cause))]);
}

fn reloaded<T: Serialize>(events: &Events, old: &T, new: &T) {
    let mut changed = Vec::new();
    differences(&json!(old), &json!(new), "", &mut changed);
    let is_live = |path: &String| LIVE.iter().any(|live| path.starts_with(live));
    let (in_force, at_next_start): (Vec<_>, Vec<_>) = changed.into_iter().partition(is_live);
    let fields = [("in_force", json!(in_force)), ("at_next_start", json!(at_next_start))];
    events.line(Level::Notable, "settings_reloaded", &fields);
}

/// Collects the paths of the settings that differ.
fn differences(old: &Value, new: &Value, path: &str, found: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, value) in new {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                differences(old.get(key).unwrap_or(&Value::Null), value, &path, found);
            }
        }
        _ if old != new => found.push(path.to_owned()),
        _ => {}
    }
}
