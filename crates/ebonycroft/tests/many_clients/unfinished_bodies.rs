//! Loads of bodies that are not finished.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::timeout;

use crate::{
    ONE_TEST_AT_A_TIME,
    client_load::{ClientLoad, Framing},
    direct_system::{Timing, with_entry_settings},
    ordinary_request,
    process_usage::Usage,
};

/// Memory and descriptors that the host of the entry has. They are less than those of real hosts, so
/// that few clients exhaust them.
const MEMORY_MB: u64 = 48;
const MAX_DESCRIPTORS: usize = 256;
/// Time after which the entry counts as hanging.
const HANG: Duration = Duration::from_secs(90);

fn entry_settings() -> Value {
    json!({ "memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS })
}

/// Sends the load, and checks the usage and an ordinary request while the connections are open.
async fn check_load(test: &str, load: ClientLoad) {
    let _lock = ONE_TEST_AT_A_TIME.lock().await;
    with_entry_settings(test, Timing::default(), &entry_settings(), async |system| {
        let entry = system.entry.addr("callers");
        let connections = timeout(HANG, load.send(entry)).await.expect("the entry reads");
        let loaded = Usage::read_until_settled(system.entry.id()).await;
        timeout(HANG, ordinary_request::check(&system)).await.expect("the entry replies");
        eprintln!("{} of {} connections are open", connections.len(), load.clients);
        Usage::check(loaded, MEMORY_MB, MAX_DESCRIPTORS);
    })
    .await;
}

/// Guards against an entry that holds every body of legal size until it is complete.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_100_bytes_short() {
    let load = ClientLoad {
        clients: 300,
        sent_bytes: 262_144 - 100,
        missing_bytes: 100,
        framing: Framing::Whole,
    };
    check_load("many-whole", load).await;
}

/// Guards against an entry that limits bodies by their Content-Length only.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_16_kb_that_stop_100_bytes_short() {
    let load = ClientLoad {
        clients: 300,
        sent_bytes: 262_144 - 100,
        missing_bytes: 100,
        framing: Framing::Chunks(16_384),
    };
    check_load("many-chunked", load).await;
}

/// Guards against an allocation for each frame: the memory of a body is then a multiple of its size.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_chunks_of_1_byte_without_an_end() {
    let load = ClientLoad {
        clients: 40,
        sent_bytes: 60_000,
        missing_bytes: 100,
        framing: Framing::Chunks(1),
    };
    check_load("many-bytewise", load).await;
}
