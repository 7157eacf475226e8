//! Each kind of invalid request gets a typed refusal with `not_run: true`, and no task is started.

use reqwest::Method;
use serde_json::{Value, json};
use types::JobId;

use crate::support::{LINE_TOKEN, System, run, tasks};

const RECIPE: &str = "/v1/services/recipe/jobs";

struct Case {
    path: &'static str,
    token: &'static str,
    body: String,
    status: u16,
    slug: &'static str,
}

fn check(case: Case) {
    run(async {
        let system = System::builder().upstreams(1).start().await;
        let reply = system.call(0, Method::POST, case.path, case.token, Some(case.body)).await;
        assert_eq!((reply.status, reply.slug()), (case.status, case.slug), "{reply:?}");
        assert_eq!(reply.body["not_run"], true);
        assert!(system.starts().is_empty());
    });
}

fn body(change: impl FnOnce(&mut Value)) -> String {
    let mut body = json!({ "id": JobId::generate(), "kind": "allergens", "tasks": tasks(1, 1) });
    change(&mut body);
    body.to_string()
}

fn invalid(body: String) -> Case {
    Case { path: RECIPE, token: LINE_TOKEN, body, status: 400, slug: "invalid-request" }
}

types::cases! {
    fn invalid_request_is_refused(case: Case) { check(case); }
    malformed_json: (invalid("{".to_owned())),
    not_an_object: (invalid("[1]".to_owned())),
    wrong_type: (invalid(body(|b| b["tasks"] = json!("milk")))),
    unknown_key: (invalid(body(|b| b["colour"] = json!("red")))),
    no_tasks: (invalid(body(|b| b["tasks"] = json!([])))),
    too_many_tasks: (invalid(body(|b| b["tasks"] = tasks(1_001, 1)))),
    id_is_no_uuid: (invalid(body(|b| b["id"] = json!("first")))),
    id_is_uuid_version_4: (invalid(
        body(|b| b["id"] = json!("9f2c1c56-5b0e-4c4b-8f0e-0a4b8f0d2f7e"))
    )),
    kind_is_no_name: (invalid(body(|b| b["kind"] = json!("No Name")))),
    deadline_zero: (invalid(body(|b| b["deadline_ms"] = json!(0)))),
    deadline_beyond_maximum: (invalid(body(|b| b["deadline_ms"] = json!(60_001)))),
    deadline_negative: (invalid(body(|b| b["deadline_ms"] = json!(-1)))),
    unknown_kind: (Case {
        status: 404, slug: "unknown-kind", ..invalid(body(|b| b["kind"] = json!("fry")))
    }),
    unknown_service: (Case {
        path: "/v1/services/laundry/jobs", status: 404, slug: "unknown-service",
        ..invalid(body(|_| {}))
    }),
    service_of_other_teams: (Case {
        path: "/v1/services/notebook/jobs", status: 404, slug: "unknown-service",
        ..invalid(body(|b| b["kind"] = json!("npc")))
    }),
    unknown_token: (Case {
        token: "guess", status: 401, slug: "unauthorized", ..invalid(body(|_| {}))
    }),
    empty_token: (Case { token: "", status: 401, slug: "unauthorized", ..invalid(body(|_| {})) }),
    oversized_body: (Case {
        status: 413, slug: "invalid-body",
        ..invalid(body(|b| b["tasks"] = json!(["x".repeat(9 * 1024 * 1024)])))
    }),
    id_from_the_future: (Case {
        slug: "id-from-the-future",
        ..invalid(body(|b| b["id"] = json!(JobId::from_parts(u64::MAX >> 17, [7; 10]))))
    }),
}

#[test]
fn expired_id_is_refused_without_claiming_that_it_did_not_run() {
    run(async {
        let system = System::builder().upstreams(1).start().await;
        let body = body(|b| b["id"] = json!(JobId::from_parts(1_000, [7; 10])));
        let reply = system.call(0, Method::POST, RECIPE, LINE_TOKEN, Some(body)).await;
        assert_eq!((reply.status, reply.slug()), (410, "id-expired"));
        assert_eq!(reply.body["not_run"], false);
        assert!(system.starts().is_empty());
    });
}
