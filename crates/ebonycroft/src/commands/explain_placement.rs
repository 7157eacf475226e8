//! `ebonycroft explain-placement`: asks an entry where a job would be placed now, and why.

use std::time::Duration;

use getopts::{Matches, Options};
use reqwest::{Client, StatusCode};
use serde_json::Value;

use crate::{
    cli_error::CliError,
    command::Command,
    commands::{options, output::write_line},
};

const STEP: &str = "asking for a placement";
/// An entry that is not overloaded answers within milliseconds.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Names of the parameters, with their descriptions and hints.
const PARAMETERS: [(&str, &str, &str); 9] = [
    ("pool", "pool of the job", "NAME"),
    ("queue", "queue of the job, whose learned run times apply (default none)", "NAME"),
    ("milli-cores", "thousandths of a core that a task needs (default 0)", "N"),
    ("memory-mb", "memory that a task needs, MiB (default 0)", "N"),
    ("accelerators", "accelerators that a task needs (default 0)", "N"),
    ("tasks", "number of tasks, up to 1000 (default 1)", "N"),
    ("run-ms", "expected run time of a task at speed 1, milliseconds (default 100)", "N"),
    ("objective-ms", "time until the objective (default 1.6 times the run time plus 60)", "N"),
    ("urgency", "urgency; 0 is the most urgent (default 0)", "N"),
];

pub(crate) async fn run(args: &[String]) -> Result<(), CliError> {
    let mut opts = Options::new();
    opts.optopt("m", "metrics", "metrics address of the entry (process.metrics)", "ADDR");
    for (name, description, hint) in PARAMETERS {
        opts.optopt("", name, description, hint);
    }
    opts.optflag("j", "json", "print the reply as JSON");
    let Some(matches) = options::parse(Command::ExplainPlacement, opts, args)? else {
        return Ok(());
    };
    let address = options::required(&matches, "metrics")?;
    options::required(&matches, "pool")?;
    let reply = ask(&address, &matches).await?;
    let text = if matches.opt_present("json") { format!("{reply:#}") } else { to_text(&reply) };
    Ok(write_line(text.trim_end())?)
}

async fn ask(address: &str, matches: &Matches) -> Result<Value, CliError> {
    let parameter =
        |(name, ..): (&str, &str, &str)| Some((name.replace('-', "_"), matches.opt_str(name)?));
    let query: Vec<(String, String)> = PARAMETERS.into_iter().filter_map(parameter).collect();
    let unreachable =
        |problem: String| CliError::Unreachable { address: address.to_owned(), problem };
    let failed = |e: reqwest::Error| unreachable(e.without_url().to_string());
    let request = Client::new().get(format!("http://{address}/placement")).query(&query);
    let resp = request.timeout(TIMEOUT).send().await.map_err(failed)?;
    let status = resp.status();
    let text = resp.text().await.map_err(failed)?;
    let reply: Value = serde_json::from_str(&text)
        .map_err(|_| unreachable("the reply is not about a placement".to_owned()))?;
    if status == StatusCode::OK {
        return Ok(reply);
    }
    let detail = reply["error"].as_str().unwrap_or("no reason given").to_owned();
    Err(CliError::Refused { step: STEP, status: status.as_u16(), detail })
}

fn to_text(reply: &Value) -> String {
    let mut text = String::new();
    if let Some(reason) = reply["refused"].as_str() {
        text += &format!("the entry would refuse the job now: {reason}\n");
    }
    text += &format!(
        "{} of {} tasks would start now, {} would wait\n",
        reply["placed"], reply["tasks"], reply["waiting"]
    );
    let agents = reply["agents"].as_array().map_or(&[][..], Vec::as_slice);
    if agents.is_empty() {
        return text + &format!("the entry knows no agent of the pool {}\n", reply["pool"]);
    }
    let header = ["agent", "tasks", "reason", "free cores", "free MiB", "speed", "report age ms"];
    text += &row(&header.map(str::to_owned));
    for agent in agents {
        let cores = agent["free_milli_cores"].as_f64().unwrap_or(0.0) / 1_000.0;
        text += &row(&[
            agent["agent"].as_str().unwrap_or("").to_owned(),
            agent["tasks"].to_string(),
            agent["reason"].as_str().unwrap_or("-").to_owned(),
            format!("{cores:.1}"),
            agent["free_memory_mb"].to_string(),
            agent["speed"].to_string(),
            agent["report_age_ms"].to_string(),
        ]);
    }
    text
}

fn row(cells: &[String; 7]) -> String {
    let [agent, tasks, reason, cores, memory, speed, age] = cells;
    format!("{agent:<24} {tasks:>5}  {reason:<16} {cores:>10} {memory:>9} {speed:>6} {age:>13}\n")
}
