//! Entries say when another entry is there, is lost and is back.

use std::{fs, path::Path};

use emulator::{LogServer, LogSettings};
use serde_json::{Value, json};

use crate::role::Role;

const ANY: &str = "127.0.0.1:0";

fn settings(store: &LogServer, name: &str, links: &str, seeds: &[&str]) -> Value {
    let store = json!({ "address": store.addr().to_string() });
    let process = json!({ "name": name, "store": store, "grace_ms": 6_000, "seeds": seeds });
    json!({ "process": process, "zone": "a", "callers": ANY, "readiness": ANY, "links": links })
}

fn start(dir: &Path, name: &str, settings: &Value) -> Role {
    let own = dir.join(name);
    fs::create_dir_all(&own).expect("a folder can be made");
    Role::start(&own, "direct-entry", settings)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_goes_and_comes_back_has_a_line_each() {
    let dir = std::env::temp_dir().join(format!("peers-{}", std::process::id()));
    let addr = ANY.parse().expect("it is an address");
    let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
    let first = start(&dir, "first", &settings(&store, "first", ANY, &[]));
    let links = first.addr("links").to_string();
    let mut second = start(&dir, "second", &settings(&store, "second", ANY, &[&links]));
    assert_eq!(second.line("peer_connected")["peer"], links.as_str());
    drop(first);
    let lost = second.line("peer_lost");
    assert!(lost["peer"] == links.as_str() && lost["cause"].is_string(), "{lost}");
    let _first = start(&dir, "first", &settings(&store, "first", &links, &[]));
    assert_eq!(second.line("peer_connected")["peer"], links.as_str());
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}
