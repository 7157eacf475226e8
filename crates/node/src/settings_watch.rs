//! Reloading of the settings file while a process runs.

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

/// Period of reading the file, which may change without a signal.
const POLL_PERIOD: Duration = Duration::from_secs(2);
/// Settings that are applied while the process runs; the others take effect at the next start.
const RELOADABLE: [&str; 5] = [
    "process.seeds",
    "process.grace_ms",
    "process.store.appends_per_s",
    "process.store.reads_per_s",
    "process.store.processes",
];

/// Watches the settings file of a process.
pub(crate) struct SettingsWatch {
    path: PathBuf,
    hangup: Signal,
}

impl SettingsWatch {
    /// Creates the watch and starts listening for SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails when the signal handler cannot be installed.
    pub(crate) fn new(path: PathBuf) -> Result<Self, StepError> {
        let fail = |e| StepError::new("listening for signals", Peer::Local, e);
        Ok(Self { path, hangup: signal(SignalKind::hangup()).map_err(fail)? })
    }

    /// Passes changed settings to `apply`, for ever. The file is read on SIGHUP and every
    /// [`POLL_PERIOD`]. Invalid settings are reported in the decision log and not applied.
    pub(crate) async fn follow<T>(mut self, mut settings: T, events: Rc<Events>, apply: impl Fn(&T))
    where
        T: DeserializeOwned + Serialize + PartialEq + Validate,
    {
        let mut rejected_text = String::new();
        loop {
            let is_hangup = timeout(POLL_PERIOD, self.hangup.recv()).await.is_ok();
            let text = match fs::read_to_string(&self.path) {
                Ok(text) => text,
                Err(e) => {
                    if is_hangup {
                        report_rejected(&events, &e.to_string());
                    }
                    continue;
                }
            };
            match settings::parse::<T>(&text) {
                Ok(next) if next == settings && !is_hangup => {}
                Ok(next) => {
                    report_reloaded(&events, &settings, &next);
                    apply(&next);
                    settings = next;
                }
                Err(_) if text == rejected_text && !is_hangup => {}
                Err(e) => {
                    report_rejected(&events, &e.to_string());
                    rejected_text = text;
                }
            }
        }
    }
}

fn report_rejected(events: &Events, cause: &str) {
    events.emit(Level::Notable, "settings_refused", &[("cause", json!(cause))]);
}

fn report_reloaded<T: Serialize>(events: &Events, old: &T, new: &T) {
    let mut changed = Vec::new();
    collect_differences(&json!(old), &json!(new), "", &mut changed);
    let is_reloadable =
        |path: &String| RELOADABLE.iter().any(|reloadable| path.starts_with(reloadable));
    let (in_force, at_next_start): (Vec<_>, Vec<_>) = changed.into_iter().partition(is_reloadable);
    let fields = [("in_force", json!(in_force)), ("at_next_start", json!(at_next_start))];
    events.emit(Level::Notable, "settings_reloaded", &fields);
}

/// Collects the dotted paths of the settings that differ.
fn collect_differences(old: &Value, new: &Value, path: &str, found: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, value) in new {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                collect_differences(old.get(key).unwrap_or(&Value::Null), value, &path, found);
            }
        }
        _ if old != new => found.push(path.to_owned()),
        _ => {}
    }
}
