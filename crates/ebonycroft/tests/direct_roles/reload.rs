//! A reload of settings, and the loss and return of the store, write a line each.

use std::{fs, path::Path};

use emulator::{LogServer, LogSettings};
use serde_json::{Value, json};

use crate::role::{Role, Signal};

const ANY_PORT: &str = "127.0.0.1:0";

fn settings(store: &LogServer, grace_ms: u64, zone: &str) -> Value {
    let store = json!({ "address": store.addr().to_string() });
    let process = json!({ "name": "entry", "store": store, "grace_ms": grace_ms });
    json!({ "process": process, "zone": zone, "callers": ANY_PORT, "readiness": ANY_PORT,
        "links": ANY_PORT })
}

/// Runs a check on an entry and its store, with the settings in a folder named after the test.
async fn with_entry(test: &str, check: impl AsyncFnOnce(&Path, &LogServer, &mut Role)) {
    let dir = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder can be made");
    let addr = ANY_PORT.parse().expect("it is an address");
    let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
    let mut entry = Role::start(&dir, "direct-entry", &settings(&store, 6_000, "a"));
    check(&dir, &store, &mut entry).await;
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}

/// Replaces the settings file of the entry.
fn write_settings(dir: &Path, settings: &Value) {
    fs::write(Role::path(dir, "direct-entry"), settings.to_string()).expect("it can be written");
}

#[tokio::test(flavor = "multi_thread")]
async fn hangup_signal_reloads_the_settings() {
    with_entry("reload", async |dir, store, entry| {
        write_settings(dir, &settings(store, 5_000, "b"));
        entry.signal(Signal::HUP);
        let line = entry.next_line("settings_reloaded");
        assert_eq!(line["in_force"], json!(["process.grace_ms"]));
        assert_eq!(line["at_next_start"], json!(["zone"]));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_reloaded_without_a_signal() {
    with_entry("reload-unsignalled", async |dir, store, entry| {
        write_settings(dir, &settings(store, 5_000, "a"));
        assert_eq!(entry.next_line("settings_reloaded")["in_force"], json!(["process.grace_ms"]));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_settings_are_refused_and_change_nothing() {
    with_entry("reload-invalid", async |dir, store, entry| {
        write_settings(dir, &json!({ "zone": 3 }));
        entry.signal(Signal::HUP);
        let cause = entry.next_line("settings_refused")["cause"].to_string();
        assert!(cause.contains("zone"), "{cause}");
        write_settings(dir, &settings(store, 5_000, "a"));
        entry.signal(Signal::HUP);
        assert_eq!(entry.next_line("settings_reloaded")["in_force"], json!(["process.grace_ms"]));
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn loss_and_return_of_the_store_write_a_line_each() {
    with_entry("store-lost", async |_, store, entry| {
        store.faults().update(|faults| faults.down = true);
        let lost = entry.next_line("store_lost");
        assert!(lost["cause"].to_string().contains("503"), "{lost}");
        store.faults().clear();
        assert!(entry.next_line("store_back")["after_ms"].is_u64());
    })
    .await;
}
