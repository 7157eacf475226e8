//! Many clients that send request bodies and do not finish them: the entry must stay within the memory
//! and the file descriptors of its host.

mod client_load;
mod complete_requests;
#[path = "../direct_roles/direct_system.rs"]
#[allow(dead_code, reason = "each test target uses a part")]
mod direct_system;
mod ordinary_request;
mod process_usage;
mod refused_clients;
#[path = "../direct_roles/role.rs"]
#[allow(dead_code, reason = "each test target uses a part")]
mod role;
mod stopped_process;
mod stored_jobs;
mod stored_system;
mod unfinished_bodies;

/// The loads are large, and tests measure a process of their own.
static ONE_TEST_AT_A_TIME: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
