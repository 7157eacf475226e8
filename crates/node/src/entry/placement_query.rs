//! `GET /placement` at the metrics address: where a job would be placed now.

use direct::{
    AgentPlacement, JobOutcome, PassedOver, PlacementAnswer, PlacementQuestion, RefusalReason,
};
use http_body_util::Full;
use hyper::{Response, StatusCode, Uri};
use serde_json::{Value, json};
use types::Resources;

use crate::{entry::state::EntryState, http::HttpResponse};

const PATH: &str = "/placement";
/// Maximum number of tasks of a question: three of the largest jobs. Each task costs a pass over
/// all agents, during which the entry serves nobody.
const MAX_TASKS: u32 = 1_000;

/// Returns the response to a request for this path; `None` for another path.
pub(crate) fn respond(state: &EntryState, uri: &Uri) -> Option<HttpResponse> {
    if uri.path() != PATH {
        return None;
    }
    let (status, body) = match parse(uri.query().unwrap_or_default()) {
        Ok(question) => (StatusCode::OK, to_json(&question, &state.explain_placement(&question))),
        Err(problem) => (StatusCode::BAD_REQUEST, json!({ "error": problem })),
    };
    let mut response = Response::new(Full::from(body.to_string()));
    *response.status_mut() = status;
    Some(response)
}

/// Parses the parameters; those that are absent get the defaults that the command documents.
fn parse(query: &str) -> Result<PlacementQuestion, String> {
    let mut question = PlacementQuestion {
        pool: "".into(),
        kind: "".into(),
        need: Resources::default(),
        tasks: 1,
        expected_ms: 100,
        objective_ms: 0,
        priority: 0,
    };
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
        match name {
            "pool" => question.pool = text(name, value)?.into(),
            "queue" => question.kind = text(name, value)?.into(),
            "milli_cores" => question.need.milli_cores = number(name, value)?,
            "memory_mb" => question.need.memory_mb = number(name, value)?,
            "accelerators" => question.need.accelerators = number(name, value)?,
            "tasks" => question.tasks = number(name, value)?,
            "run_ms" => question.expected_ms = number(name, value)?,
            "objective_ms" => question.objective_ms = number(name, value)?,
            "urgency" => question.priority = number(name, value)?,
            _ => return Err(format!("{name}: unknown parameter")),
        }
    }
    if question.pool.is_empty() {
        return Err("pool: is required".to_owned());
    }
    if !(1..=MAX_TASKS).contains(&question.tasks) {
        return Err(format!("tasks: must be 1 to {MAX_TASKS}"));
    }
    if question.objective_ms == 0 {
        // The objective of a job with the platform's usual stretch of 1.6 and allowance of 60 ms.
        question.objective_ms = u64::from(question.expected_ms) * 8 / 5 + 60;
    }
    Ok(question)
}

fn text<'a>(name: &str, value: &'a str) -> Result<&'a str, String> {
    let is_plain = value.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.~".contains(&b));
    if is_plain { Ok(value) } else { Err(format!("{name}: only letters, digits, -, _, . and ~")) }
}

fn number<T: std::str::FromStr<Err = std::num::ParseIntError>>(
    name: &str,
    value: &str,
) -> Result<T, String> {
    value.parse().map_err(|e| format!("{name}: {e}"))
}

fn to_json(question: &PlacementQuestion, answer: &PlacementAnswer) -> Value {
    json!({
        "pool": &*question.pool,
        "tasks": question.tasks,
        "refused": answer.refusal.map(refusal_name),
        "placed": answer.placed,
        "waiting": answer.waiting,
        "agents": answer.agents.iter().map(agent_json).collect::<Vec<_>>(),
    })
}

fn agent_json(agent: &AgentPlacement) -> Value {
    json!({
        "agent": &*agent.agent,
        "tasks": agent.tasks,
        "reason": agent.passed_over.map(PassedOver::name),
        "free_milli_cores": agent.free.milli_cores,
        "free_memory_mb": agent.free.memory_mb,
        "speed": (agent.speed * 100.0).round() / 100.0,
        "report_age_ms": agent.report_age_ms,
    })
}

fn refusal_name(outcome: JobOutcome) -> &'static str {
    match outcome {
        JobOutcome::NotRun { reason: RefusalReason::Overloaded, .. } => "overloaded",
        JobOutcome::NotRun { reason: RefusalReason::NoUpstream, .. } => "no_upstream",
        JobOutcome::NotRun { reason: RefusalReason::Suspended, .. } => "suspended",
        JobOutcome::NotRun { reason: RefusalReason::Stopping, .. } => "stopping",
        _ => "fits_no_upstream",
    }
}
