//! Patches of the shared configuration: one of several concurrent patches is accepted, takes effect
//! at every entry and is not reverted.

use reqwest::Method;
use serde_json::json;
use types::JobId;

use crate::support::{System, run, tasks, until};

fn weight(weight: u32) -> Option<String> {
    Some(json!({ "teams": { "recipe-office": { "weight": weight } } }).to_string())
}

async fn version(system: &System, entry: usize) -> String {
    system.operate(entry, Method::GET, "/v1/config", None, None).await.etag.unwrap()
}

#[test]
fn one_of_several_concurrent_patches_is_accepted() {
    run(async {
        let system = System::builder().entries(3).upstreams(1).start().await;
        let patch = |entry, value| {
            system.operate(entry, Method::PATCH, "/v1/config", weight(value), Some(1))
        };
        let (a, b, c) = tokio::join!(patch(0, 5), patch(1, 6), patch(2, 7));
        let mut statuses = [a.status, b.status, c.status];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409, 409]);
        let winner = [(a, 5), (b, 6), (c, 7)].into_iter().find(|(r, _)| r.status == 200).unwrap();
        for entry in 0..3 {
            until(async || version(&system, entry).await == "2").await;
            let config = system.operate(entry, Method::GET, "/v1/config", None, None).await;
            assert_eq!(config.body["teams"]["recipe-office"]["weight"], winner.1);
        }
    });
}

#[test]
fn patch_with_a_broken_reference_is_rejected_with_its_path() {
    run(async {
        let system = System::builder().upstreams(1).start().await;
        let patch = json!({ "pools": { "recipe-executors": null } }).to_string();
        let reply = system.operate(0, Method::PATCH, "/v1/config", Some(patch), Some(1)).await;
        assert_eq!(reply.status, 409);
        assert_eq!(reply.body["status"], "rejected");
        assert!(reply.body["reasons"].to_string().contains("services.recipe.pools"), "{reply:?}");
        assert_eq!(version(&system, 0).await, "1");
    });
}

#[test]
fn patch_needs_a_version_and_json() {
    run(async {
        let system = System::builder().upstreams(1).start().await;
        let missing = system.operate(0, Method::PATCH, "/v1/config", weight(2), None).await;
        assert_eq!((missing.status, missing.slug()), (428, "if-match"));
        let text = Some("{".to_owned());
        let broken = system.operate(0, Method::PATCH, "/v1/config", text, Some(1)).await;
        assert_eq!((broken.status, broken.slug()), (400, "invalid-request"));
    });
}

#[test]
fn lost_reply_of_the_log_is_resolved_to_the_actual_outcome() {
    run(async {
        let system = System::builder().entries(2).upstreams(1).start().await;
        system.log.faults().update(|faults| faults.lose_after_effect = 1);
        let reply = system.operate(0, Method::PATCH, "/v1/config", weight(9), Some(1)).await;
        assert_eq!((reply.status, reply.etag.as_deref()), (200, Some("2")), "{reply:?}");
        until(async || version(&system, 1).await == "2").await;
    });
}

#[test]
fn entry_that_starts_while_the_log_is_down_gets_the_configuration_from_peers() {
    run(async {
        let mut system = System::builder().entries(2).upstreams(1).start().await;
        system.log.faults().update(|faults| faults.down = true);
        system.start_entry("entry-late").await;
        until(async || version(&system, 2).await == "1").await;
        let patch = system.operate(2, Method::PATCH, "/v1/config", weight(9), Some(1)).await;
        assert_eq!((patch.status, patch.slug()), (503, "log-unavailable"));
        system.log.faults().clear();
        system.wait_until_ready().await;
        let reply = system.submit(2, JobId::generate(), "allergens", tasks(2, 1)).await;
        assert!(reply.is_complete(), "{reply:?}");
        assert_eq!(version(&system, 2).await, "1");
    });
}

#[test]
fn patch_that_removes_a_kind_leaves_the_others_served() {
    run(async {
        let system = System::builder().entries(2).start().await;
        let patch = json!({ "services": { "recipe": { "kinds": { "scale": null } } } });
        let patch = Some(patch.to_string());
        let reply = system.operate(0, Method::PATCH, "/v1/config", patch, Some(1)).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        until(async || version(&system, 1).await == "2").await;
        let refused = system.submit(1, JobId::generate(), "scale", tasks(1, 1)).await;
        assert_eq!((refused.status, refused.slug()), (404, "unknown-kind"));
        let served = system.submit(1, JobId::generate(), "allergens", tasks(1, 1)).await;
        assert!(served.is_complete());
    });
}
