//! `docs/openapi.yaml` lists exactly the routes and the problem types of the program.

use std::{collections::BTreeSet, net::SocketAddr};

use reqwest::Method;
use serde_json::Value;
use types::{Refusal, Route};

use crate::support::{LINE_TOKEN, OPERATOR_TOKEN, System, run};

const PROBLEMS: &str = "/problems/";
const UUID: &str = "019aeb5b-c42d-7a10-8000-000000000001";

/// Tag of the listener, method and path.
type Operation = (String, String, String);

fn document() -> Value {
    serde_saphyr::from_str(include_str!("../../../../docs/openapi.yaml")).unwrap()
}

fn documented() -> BTreeSet<Operation> {
    let document = document();
    let mut operations = BTreeSet::new();
    for (path, item) in document["paths"].as_object().unwrap() {
        for (method, operation) in item.as_object().unwrap() {
            for tag in operation["tags"].as_array().unwrap() {
                let tag = tag.as_str().unwrap().to_owned();
                operations.insert((tag, method.to_uppercase(), path.clone()));
            }
        }
    }
    operations
}

fn served() -> BTreeSet<Operation> {
    let operation = |tag: &'static str| {
        move |r: Route| (tag.to_owned(), r.method.to_owned(), r.path.to_owned())
    };
    entry::caller_routes()
        .map(operation("caller"))
        .chain(entry::admin_routes().map(operation("entry")))
        .chain(agent::admin_routes().map(operation("agent")))
        .collect()
}

#[test]
fn file_lists_exactly_the_routes() {
    assert_eq!(documented(), served());
}

#[test]
fn every_documented_operation_is_served() {
    run(async {
        let system = System::builder().upstreams(1).start().await;
        let (mut drains, mut others) = (Vec::new(), Vec::new());
        for operation in documented() {
            let is_drain = operation.2 == "/v1/drain";
            if is_drain { drains.push(operation) } else { others.push(operation) }
        }
        for (tag, method, path) in others.into_iter().chain(drains) {
            let (addr, token) = listener(&system, &tag);
            let path = path.replace("{service}", "recipe").replace("{id}", UUID);
            let method = method.parse::<Method>().unwrap();
            let req =
                reqwest::Client::new().request(method.clone(), format!("http://{addr}{path}"));
            let resp = req.bearer_auth(token).send().await.unwrap();
            let status = resp.status().as_u16();
            let body: Value = resp.json().await.unwrap_or_default();
            let is_served = match status {
                404 => body["type"] == "/problems/unknown-job",
                status => status != 405,
            };
            assert!(is_served, "{tag} {method} {path}: {status} {body}");
        }
    });
}

/// Returns the address and a valid token of the listener that a tag names.
fn listener(system: &System, tag: &str) -> (SocketAddr, &'static str) {
    match tag {
        "caller" => (system.entries[0].addr(), LINE_TOKEN),
        "entry" => (system.entries[0].admin_addr(), OPERATOR_TOKEN),
        "agent" => (system.agents[0].admin_addr(), OPERATOR_TOKEN),
        other => panic!("no listener for the tag {other}"),
    }
}

/// Returns the next refusal in the order of the enum. The exhaustive match makes a new refusal fail
/// to compile until it is added here.
fn successor(refusal: &Refusal) -> Option<Refusal> {
    let retry_after_ms = 1;
    Some(match refusal {
        Refusal::UnknownService(_) => Refusal::UnknownKind("kind".parse().unwrap()),
        Refusal::UnknownKind(_) => Refusal::Invalid(String::new()),
        Refusal::Invalid(_) => Refusal::Conflict,
        Refusal::Conflict => Refusal::Expired { window_ms: 1 },
        Refusal::Expired { .. } => Refusal::FutureId,
        Refusal::FutureId => Refusal::UnknownJob,
        Refusal::UnknownJob => Refusal::AnswerGone,
        Refusal::AnswerGone => Refusal::QuotaExceeded { retry_after_ms },
        Refusal::QuotaExceeded { .. } => Refusal::Overloaded { retry_after_ms },
        Refusal::Overloaded { .. } => Refusal::NeverFits(String::new()),
        Refusal::NeverFits(_) => Refusal::LogUnavailable { retry_after_ms },
        Refusal::LogUnavailable { .. } => Refusal::Draining,
        Refusal::Draining => Refusal::OwnerChanging { retry_after_ms },
        Refusal::OwnerChanging { .. } => {
            Refusal::OwnerUnreachable { owner: "entry".parse().unwrap() }
        }
        Refusal::OwnerUnreachable { .. } => Refusal::OutcomeUnknown,
        Refusal::OutcomeUnknown => return None,
    })
}

#[test]
fn file_lists_exactly_the_refusals() {
    let first = Refusal::UnknownService("service".parse().unwrap());
    let labels: Vec<_> = std::iter::successors(Some(first), successor)
        .map(|refusal| format!("{PROBLEMS}{}", refusal.label()))
        .collect();
    let document = document();
    let listed: Vec<_> = document["components"]["schemas"]["RefusalType"]["enum"]
        .as_array()
        .unwrap()
        .iter()
        .map(|label| label.as_str().unwrap().to_owned())
        .collect();
    assert_eq!(listed, labels);
}
