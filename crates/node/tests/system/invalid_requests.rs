use reqwest::StatusCode;
use serde_json::{Value, json};

use crate::support::{Fleet, job, run, send};

const ID: &str = "/j/5c0e7a21d94b36f8";

#[test]
fn invalid_requests_get_a_status_and_an_error_and_start_no_tasks() {
    let valid = job(1).to_string();
    let too_large = "x".repeat(10_001);
    let too_many_tasks = json!({ "bestEffort": true,
        "steps": [{ "count": 50, "cpu": 1_000 }, { "count": 51, "cpu": 1_000 }] });
    let too_many_tasks = too_many_tasks.to_string();
    let cases = [
        ("POST", ID, "{", StatusCode::BAD_REQUEST),
        ("POST", ID, "[]", StatusCode::BAD_REQUEST),
        ("POST", ID, r#"{"bestEffort":true,"steps":[]}"#, StatusCode::BAD_REQUEST),
        ("POST", ID, r#"{"bestEffort":true,"steps":[{"count":0}]}"#, StatusCode::BAD_REQUEST),
        ("POST", ID, r#"{"bestEffort":true,"steps":[{"count":"1"}]}"#, StatusCode::BAD_REQUEST),
        ("POST", "/j/5c0e", &valid, StatusCode::BAD_REQUEST),
        ("POST", "/j/5c0e7a21d94b36fz", &valid, StatusCode::BAD_REQUEST),
        ("POST", "/k/5c0e7a21d94b36f8", &valid, StatusCode::NOT_FOUND),
        ("PUT", ID, &valid, StatusCode::METHOD_NOT_ALLOWED),
        ("POST", ID, &too_large, StatusCode::PAYLOAD_TOO_LARGE),
        ("POST", ID, &too_many_tasks, StatusCode::PAYLOAD_TOO_LARGE),
        ("POST", ID, r#"{"steps":[{"count":1}]}"#, StatusCode::SERVICE_UNAVAILABLE),
    ];
    run(async {
        let fleet = Fleet::start(1, 1, 5).await;
        let addr = fleet.entries[0].addr;
        for (method, path, body, expected) in cases {
            let case = format!("{method} {path} {}", body.get(..40).unwrap_or(body));
            let answer = send(&fleet.client, addr, method, path, body.to_owned()).await;
            let (status, body) = answer.unwrap_or_else(|| panic!("{case}: no answer"));
            assert_eq!(status, expected, "{case}");
            assert!(body.get("error").is_some_and(Value::is_string), "{case}: {body}");
        }
        assert_eq!(fleet.ledger.count_runs(""), 0);
    });
}
