//! Planned stops interrupt no task, lose no job and start no task twice.

use std::{collections::HashMap, sync::Arc, time::Duration};

use entry::Entry;
use types::JobId;

use crate::support::{Reply, System, run, tasks, until};

#[test]
fn draining_upstream_finishes_its_tasks_and_gets_no_more() {
    run(async {
        let system = Arc::new(System::builder().upstreams(2).slots(2).start().await);
        let id = JobId::generate();
        let waiting = system.submit_later(0, id, "allergens", tasks(4, 300));
        system.until_started(id, 4).await;
        system.agents[0].drain().await;
        let before = system.executors[0].starts().len();
        assert!(waiting.await.unwrap().is_complete());
        for _ in 0..5 {
            let reply = system.submit(0, JobId::generate(), "allergens", tasks(4, 5)).await;
            assert!(reply.is_complete(), "{reply:?}");
        }
        assert_eq!(system.executors[0].starts().len(), before);
        system.assert_no_task_started_twice();
    });
}

#[test]
fn draining_entry_hands_over_its_jobs() {
    run(async {
        let system = Arc::new(System::builder().entries(3).upstreams(3).start().await);
        let jobs: Vec<_> = (0..12).map(|_| JobId::generate()).collect();
        let waiting: Vec<_> =
            jobs.iter().map(|id| system.submit_later(0, *id, "allergens", tasks(1, 800))).collect();
        for id in &jobs {
            system.until_started(*id, 1).await;
        }
        system.entries[0].drain().await;
        for reply in waiting {
            let reply = reply.await.unwrap();
            assert!(reply.is_complete(), "{reply:?}");
        }
        let reply = system.submit(1, JobId::generate(), "allergens", tasks(3, 1)).await;
        assert!(reply.is_complete(), "{reply:?}");
        system.assert_no_task_started_twice();
    });
}

/// Submits jobs one after the other. Submits a job again when its entry cannot be reached or is
/// stopping, as a caller behind a load balancer does.
async fn submit_jobs(system: Arc<tokio::sync::RwLock<System>>, jobs: usize) -> Vec<Reply> {
    let mut replies = Vec::new();
    for _ in 0..jobs {
        let id = JobId::generate();
        loop {
            let reply = {
                let system = system.read().await;
                let serving = (0..system.entries.len())
                    .find(|i| system.entries[*i].is_ready())
                    .unwrap_or_default();
                system.submit(serving, id, "allergens", tasks(3, 20)).await
            };
            if reply.status == 200 {
                replies.push(reply);
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    replies
}

#[test]
fn rolling_restart_of_entries_and_agents_under_load() {
    const ENTRIES: usize = 3;
    const AGENTS: usize = 11;
    run(async {
        let system = System::builder().entries(ENTRIES).upstreams(AGENTS).start().await;
        let system = Arc::new(tokio::sync::RwLock::new(system));
        let callers: Vec<_> =
            (0..6).map(|_| tokio::spawn(submit_jobs(Arc::clone(&system), 40))).collect();
        for i in 0..AGENTS {
            system.read().await.agents[i].drain().await;
            system.write().await.start_agent(i).await;
        }
        for i in 0..ENTRIES {
            let entry = Entry::clone(&system.read().await.entries[0]);
            entry.drain().await;
            let mut system = system.write().await;
            system.entries.remove(0);
            system.start_entry(&format!("entry-next-{i}")).await;
        }
        let mut complete = 0;
        for caller in callers {
            for reply in caller.await.unwrap() {
                assert!(reply.is_complete(), "{reply:?}");
                complete += 1;
            }
        }
        let system = system.read().await;
        system.assert_no_task_started_twice();
        let mut tasks: HashMap<JobId, u32> = HashMap::new();
        system.starts().keys().for_each(|(job, _)| *tasks.entry(*job).or_default() += 1);
        assert_eq!(complete, 240);
        assert!(tasks.values().filter(|count| **count == 3).count() >= 240);
    });
}

#[test]
fn drain_finishes_while_the_log_is_down() {
    run(async {
        let system = Arc::new(System::builder().upstreams(2).start().await);
        let id = JobId::generate();
        let waiting = system.submit_later(0, id, "allergens", tasks(2, 200));
        system.until_started(id, 2).await;
        system.log.faults().update(|faults| faults.down = true);
        system.agents[0].drain().await;
        assert!(waiting.await.unwrap().is_complete());
        until(async || system.agents[0].is_leaving()).await;
        system.assert_no_task_started_twice();
    });
}

#[test]
fn entries_that_drain_together_stop_although_the_log_is_dead() {
    run(async {
        let system = System::builder().entries(3).upstreams(1).start().await;
        system.log.faults().update(|faults| faults.dead = true);
        let drains = system.entries.iter().map(|entry| entry.drain());
        futures::future::join_all(drains).await;
        for entry in &system.entries {
            entry.stopped().await;
        }
    });
}
