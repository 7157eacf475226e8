//! Loads of requests that are not finished, at an entry for stored jobs.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::timeout;

use crate::{
    ONE_TEST_AT_A_TIME,
    client_load::{ClientLoad, Framing},
    process_usage::Usage,
    stored_system::StoredSystem,
};

/// Memory and descriptors of the entry's host. They are less than those of real hosts, so that few
/// clients exhaust them.
const MEMORY_MB: u64 = 128;
const MAX_DESCRIPTORS: usize = 512;
/// Largest body, bytes; smaller than the default, so that the clients send less.
const BODY_BYTES: usize = 262_144;
/// Time after which the entry counts as hanging.
const HANG: Duration = Duration::from_secs(90);

/// Which listener of the entry the clients connect to.
#[derive(Clone, Copy)]
enum Listener {
    Callers,
    Operators,
}

fn entry_settings() -> Value {
    let limits = json!({ "body_bytes": BODY_BYTES, "queue_bytes": 8_388_608,
        "memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS });
    let jobs = json!({ "answer_bytes": 8_388_608 });
    let journal = json!({ "backlog_bytes": 8_388_608 });
    json!({ "limits": limits, "jobs": jobs, "journal": journal })
}

/// Sends the load, and checks the usage and an ordinary request while the connections are open.
async fn check_load(test: &str, listener: Listener, load: ClientLoad) {
    let _lock = ONE_TEST_AT_A_TIME.lock().await;
    let system = StoredSystem::start(test, &entry_settings()).await;
    let (addr, head) = match listener {
        Listener::Callers => (system.callers, StoredSystem::submission_head()),
        Listener::Operators => (system.operators, StoredSystem::patch_head()),
    };
    let sent = load.send_with_head(addr, |_| head.clone());
    let connections = timeout(HANG, sent).await.expect("the entry reads");
    let loaded = Usage::read_until_settled(system.entry_id()).await;
    timeout(HANG, system.check_ordinary_request()).await.expect("the entry replies");
    eprintln!("{} of {} connections are open", connections.len(), load.clients);
    Usage::check(loaded, MEMORY_MB, MAX_DESCRIPTORS);
}

// Guards against an entry that holds every body until it is complete, whatever its encoding, and against
// heads and connections without a limit.
macro_rules! loads {
    ($($(#[$doc:meta])* $name:ident: $listener:ident, $load:expr;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                check_load(stringify!($name), Listener::$listener, $load).await;
            }
        )*
    };
}

loads! {
    stored_bodies_that_stop_100_bytes_short: Callers, ClientLoad {
        clients: 600,
        sent_bytes: BODY_BYTES - 100,
        missing_bytes: 100,
        framing: Framing::Whole,
    };
    stored_bodies_in_chunks_of_1_byte_without_an_end: Callers, ClientLoad {
        clients: 300,
        sent_bytes: 60_000,
        missing_bytes: 100,
        framing: Framing::Chunks(1),
    };
    stored_heads_that_stop_short_of_their_end: Callers, ClientLoad {
        clients: 700,
        sent_bytes: 0,
        missing_bytes: 0,
        framing: Framing::HeadOnly,
    };
    patches_that_stop_100_bytes_short: Operators, ClientLoad {
        clients: 600,
        sent_bytes: BODY_BYTES - 100,
        missing_bytes: 100,
        framing: Framing::Whole,
    };
}
