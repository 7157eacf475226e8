//! Entries write a line when they connect to a peer, lose it and connect to it again.

use std::{fs, path::Path};

use emulator::{LogServer, LogSettings};
use serde_json::{Value, json};

use crate::role::Role;

const ANY_PORT: &str = "127.0.0.1:0";

fn settings(store: &LogServer, name: &str, links: &str, seeds: &[&str]) -> Value {
    let store = json!({ "address": store.addr().to_string() });
    let process = json!({ "name": name, "store": store, "grace_ms": 6_000, "seeds": seeds });
    json!({ "process": process, "zone": "a", "callers": ANY_PORT, "readiness": ANY_PORT,
        "links": links })
}

fn start(dir: &Path, name: &str, settings: &Value) -> Role {
    let own = dir.join(name);
    fs::create_dir_all(&own).expect("a folder can be made");
    Role::start(&own, "direct-entry", settings)
}

#[tokio::test(flavor = "multi_thread")]
async fn loss_and_return_of_a_peer_write_a_line_each() {
    let dir = std::env::temp_dir().join(format!("peers-{}", std::process::id()));
    let addr = ANY_PORT.parse().expect("it is an address");
    let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
    let first = start(&dir, "first", &settings(&store, "first", ANY_PORT, &[]));
    let links = first.addr("links").to_string();
    let mut second = start(&dir, "second", &settings(&store, "second", ANY_PORT, &[&links]));
    assert_eq!(second.next_line("peer_connected")["peer"], links.as_str());
    drop(first);
    let lost = second.next_line("peer_lost");
    assert!(lost["peer"] == links.as_str() && lost["cause"].is_string(), "{lost}");
    let _first = start(&dir, "first", &settings(&store, "first", &links, &[]));
    assert_eq!(second.next_line("peer_connected")["peer"], links.as_str());
    fs::remove_dir_all(&dir).expect("the folder can be removed");
}
