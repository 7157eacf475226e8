use reqwest::StatusCode;

use crate::support::{Fleet, config, run, send, start_entry, start_store, wait_until};

async fn status(fleet: &Fleet, entry: usize, path: &str) -> Option<StatusCode> {
    let addr = fleet.entries[entry].addr;
    send(&fleet.client, addr, "GET", path, String::new()).await.map(|(status, _)| status)
}

#[test]
fn a_new_version_adds_and_removes_queues_at_every_entry() {
    run(async {
        let fleet = Fleet::start(2, 1, 5).await;
        fleet.store.put_config(&config(9, &["/k/"]));
        for entry in 0..2 {
            wait_until("the new queue is there", || async {
                status(&fleet, entry, "/k/").await == Some(StatusCode::OK)
            })
            .await;
            assert_eq!(status(&fleet, entry, "/j/").await, Some(StatusCode::NOT_FOUND));
        }
    });
}

#[test]
fn an_older_version_is_never_applied() {
    run(async {
        let fleet = Fleet::start(1, 1, 5).await;
        fleet.store.put_config(&config(9, &["/k/"]));
        fleet.store.put_config(&config(5, &["/old/"]));
        fleet.store.put_config(&config(10, &["/k/", "/l/"]));
        wait_until("the newest queue is there", || async {
            assert_ne!(status(&fleet, 0, "/old/").await, Some(StatusCode::OK));
            status(&fleet, 0, "/l/").await == Some(StatusCode::OK)
        })
        .await;
    });
}

#[test]
fn a_change_is_found_after_the_store_has_expired_older_records() {
    run(async {
        let fleet = Fleet::start(1, 1, 5).await;
        fleet.store.put_config(&config(3, &["/m/"]));
        fleet.store.discard_history();
        wait_until("the queue is there", || async {
            status(&fleet, 0, "/m/").await == Some(StatusCode::OK)
        })
        .await;
    });
}

#[test]
fn an_entry_that_cannot_reach_the_store_gets_the_configuration_from_another() {
    run(async {
        let mut fleet = Fleet::start(1, 1, 5).await;
        let refusing_store = start_store().await;
        refusing_store.faults().update(|faults| faults.down = true);
        let seeds = Some(vec![fleet.entries[0].links]);
        fleet.entries.push(start_entry("entry-refused", refusing_store.addr(), seeds).await);
        wait_until("the refused entry has the queue", || async {
            status(&fleet, 1, "/j/").await == Some(StatusCode::OK)
        })
        .await;
    });
}

#[test]
fn an_entry_without_a_configuration_rejects_requests_and_is_not_ready() {
    run(async {
        let fleet = Fleet::start(1, 1, 5).await;
        let empty_store = start_store().await;
        let entry = start_entry("entry-empty", empty_store.addr(), None).await;
        let answer = send(&fleet.client, entry.addr, "GET", "/j/", String::new()).await;
        assert_eq!(answer.map(|(status, _)| status), Some(StatusCode::SERVICE_UNAVAILABLE));
        let url = format!("http://{}/-/readyz", entry.readiness);
        let probe = fleet.client.get(url).send().await.expect("the probe is answered");
        assert_eq!(probe.status(), StatusCode::SERVICE_UNAVAILABLE);
        empty_store.put_config(&crate::support::config(1, &["/j/"]));
        wait_until("the configuration is in force", || async {
            let answer = send(&fleet.client, entry.addr, "GET", "/j/", String::new()).await;
            answer.is_some_and(|(status, _)| status == StatusCode::OK)
        })
        .await;
    });
}
