use std::{error::Error, iter, time::Duration};

use reqwest::{Response, StatusCode};
use serde::Deserialize;
use serde_json::Value;

const MS_PER_S: f64 = 1_000.0;

/// An entry's reply to a submission.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Reply {
    /// The answers to all tasks.
    Complete(Vec<Value>),
    /// The job was accepted and failed.
    Failed { not_run: bool },
    /// The job was refused.
    Refused { not_run: bool },
    /// No reply, or one that violates the protocol, with the cause.
    Broken(String),
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case", tag = "status")]
enum JobBody {
    Complete {
        answers: Vec<Value>,
    },
    Failed {
        #[serde(default)]
        not_run: bool,
    },
}

#[derive(Deserialize)]
struct Problem {
    not_run: bool,
}

impl Reply {
    /// Reads and parses the whole reply to a submission.
    pub(crate) async fn read(result: reqwest::Result<Response>) -> Self {
        let (status, body) = match read_body(result).await {
            Ok(read) => read,
            Err(e) => return Self::Broken(error_chain(&e)),
        };
        let parsed = if status.is_success() { parse_job(&body) } else { parse_problem(&body) };
        parsed.unwrap_or_else(|e| Self::Broken(format!("{status}: {e}")))
    }

    /// Returns the longest run among the answered tasks, as measured by the executors; zero unless
    /// the reply is complete.
    pub(crate) fn longest_run(&self) -> Duration {
        let Self::Complete(answers) = self else {
            return Duration::ZERO;
        };
        let ran_ms = answers.iter().filter_map(|answer| answer.get("ran_ms")?.as_f64());
        Duration::try_from_secs_f64(ran_ms.fold(0.0, f64::max) / MS_PER_S).unwrap_or_default()
    }
}

/// Formats an error with its sources.
fn error_chain(error: &(dyn Error + 'static)) -> String {
    iter::successors(Some(error), |e| Error::source(*e))
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}

async fn read_body(result: reqwest::Result<Response>) -> reqwest::Result<(StatusCode, Vec<u8>)> {
    let resp = result?;
    let status = resp.status();
    Ok((status, resp.bytes().await?.to_vec()))
}

fn parse_job(body: &[u8]) -> serde_json::Result<Reply> {
    Ok(match serde_json::from_slice(body)? {
        JobBody::Complete { answers } => Reply::Complete(answers),
        JobBody::Failed { not_run } => Reply::Failed { not_run },
    })
}

fn parse_problem(body: &[u8]) -> serde_json::Result<Reply> {
    let problem: Problem = serde_json::from_slice(body)?;
    Ok(Reply::Refused { not_run: problem.not_run })
}
