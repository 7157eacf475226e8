//! The entry stops when one of its actors stops, or when one of its servers or background tasks
//! panics.

use std::sync::Arc;

use futures::future::BoxFuture;
use ports::{Log, LogError, LogPage, Offset, StreamName};
use settings::TokenDigest;
use types::{Location, Peer, StepError};

use crate::{AdminSettings, Entry, EntryParts, EntrySettings, supervise::spawn_for};

/// A log that refuses every call.
struct RefusingLog;

fn refused<T: Send + 'static>() -> BoxFuture<'static, Result<T, LogError>> {
    let error = StepError::new("reading", Peer::Local, "the log is down");
    Box::pin(async { Err(LogError::Refused(error)) })
}

impl Log for RefusingLog {
    fn append<'a>(
        &'a self,
        _: &'a StreamName,
        _: Vec<u8>,
    ) -> BoxFuture<'a, Result<Offset, LogError>> {
        refused()
    }

    fn read<'a>(
        &'a self,
        _: &'a StreamName,
        _: Offset,
        _: u64,
    ) -> BoxFuture<'a, Result<LogPage, LogError>> {
        refused()
    }
}

async fn entry() -> Entry {
    let addr = "127.0.0.1:0".parse().unwrap();
    let settings = EntrySettings {
        name: "entry-a".parse().unwrap(),
        location: Location {
            region: "midlands".parse().unwrap(),
            zone: "mid-a".parse().unwrap(),
            rack: "a-1".parse().unwrap(),
        },
        listen: addr,
        peer: addr,
        advertise: None,
        admin: AdminSettings { listen: addr, tokens: vec![TokenDigest::of("operator")] },
        log: "http://127.0.0.1:1".to_owned(),
        entries: Vec::new(),
        callers: Vec::new(),
        limits: Default::default(),
        jobs: Default::default(),
        journal: Default::default(),
        grace_ms: 30_000,
        traces: Default::default(),
    };
    let parts = EntryParts { log: Some(Arc::new(RefusingLog)), ..Default::default() };
    Entry::start(settings, parts).await.unwrap()
}

macro_rules! stops_after_kill {
    ($($name:ident: $actor:ident,)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let entry = entry().await;
                entry.$actor.kill();
                entry.stopped().await;
                assert!(!entry.is_draining());
            }
        )*
    };
}

stops_after_kill! {
    kill_of_the_dispatcher_stops_the_entry: dispatcher,
    kill_of_the_ownership_manager_stops_the_entry: ownership_manager,
    kill_of_the_membership_stops_the_entry: membership,
}

#[tokio::test]
async fn panic_in_a_server_stops_the_entry() {
    let entry = entry().await;
    let _server = entry.supervise(async { panic!("panic injected by the test") });
    entry.stopped().await;
    assert!(!entry.is_draining());
}

#[tokio::test]
async fn panic_in_a_task_of_an_actor_stops_the_entry() {
    let entry = entry().await;
    spawn_for(&entry.ownership_manager, async { panic!("panic injected by the test") });
    entry.stopped().await;
    assert!(!entry.is_draining());
}
