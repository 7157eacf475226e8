//! Operators' commands: `get`, `patch`, `status` and `drain`.

use std::{fs, path::PathBuf};

use getopts::{Matches, Options};
use reqwest::{Client, RequestBuilder, StatusCode, header};
use serde_json::Value;
use services::{PatchId, Version};
use types::{Peer, StepError};

use crate::{
    cli_error::CliError,
    command::Command,
    commands::{options, output::write_line},
};

pub(crate) async fn run(command: Command, args: &[String]) -> Result<(), CliError> {
    let mut opts = Options::new();
    opts.optopt("a", "admin", "operators' address of an entry or agent", "ADDR");
    opts.optopt("t", "token-file", "file with the operator's token", "FILE");
    if command == Command::Patch {
        opts.optopt("b", "base", "version that the patch is made against", "VERSION");
        opts.optopt("f", "file", "merge patch in YAML or JSON", "FILE");
        opts.optopt("i", "id", "id of the patch; repeat it to submit the same patch", "PATCH_ID");
        opts.optopt("", "ask", "ask for the outcome of an earlier patch", "PATCH_ID");
    }
    if command == Command::Status {
        opts.optflag("u", "upstreams", "list the upstreams");
    }
    let Some(matches) = options::parse(command, opts, args)? else {
        return Ok(());
    };
    let operator = OperatorClient::new(&matches)?;
    match command {
        Command::Get => operator.get("getting the configuration", "v1/config").await,
        Command::Status if matches.opt_present("upstreams") => {
            operator.get("getting upstreams", "v1/upstreams").await
        }
        Command::Status => operator.get("getting the status", "v1/status").await,
        Command::Drain => {
            let req = operator.client.post(operator.url("v1/drain"));
            operator.print("draining", req).await
        }
        _ => operator.patch(&matches).await,
    }
}

/// HTTP header that carries the identifier of a patch.
const PATCH_ID_HEADER: &str = "x-patch-id";

/// HTTP client of the operators' listener of one entry or agent.
struct OperatorClient {
    client: Client,
    base: String,
    token: String,
}

impl OperatorClient {
    fn new(matches: &Matches) -> Result<Self, CliError> {
        let path = PathBuf::from(options::required(matches, "token-file")?);
        let token = fs::read_to_string(&path).map_err(|source| CliError::Read { path, source })?;
        Ok(Self {
            client: Client::new(),
            base: format!("http://{}", options::required(matches, "admin")?),
            token: token.trim().to_owned(),
        })
    }

    fn url(&self, path: &str) -> String {
        format!("{}/{path}", self.base)
    }

    async fn get(&self, step: &'static str, path: &str) -> Result<(), CliError> {
        self.print(step, self.client.get(self.url(path))).await
    }

    async fn send(&self, step: &'static str, req: RequestBuilder) -> Result<Reply, SendError> {
        let failed = |source| SendError { step, base: self.base.clone(), source };
        let resp = req.bearer_auth(&self.token).send().await.map_err(failed)?;
        let status = resp.status();
        let etag = resp.headers().get(header::ETAG).and_then(|value| value.to_str().ok());
        let version = etag.map(|etag| etag.trim_matches('"').to_owned());
        let text = resp.text().await.map_err(failed)?;
        Ok(Reply { status, version, body: serde_json::from_str(&text).unwrap_or_default() })
    }

    async fn print(&self, step: &'static str, req: RequestBuilder) -> Result<(), CliError> {
        self.send(step, req).await?.print(step)
    }

    async fn patch(&self, matches: &Matches) -> Result<(), CliError> {
        const STEP: &str = "patching the configuration";
        if let Some(text) = matches.opt_str("ask") {
            let patch_id = parse_patch_id("ask", &text)?;
            return self.get("asking for a patch", &format!("v1/patches/{patch_id}")).await;
        }
        let base = parse_version(&options::required(matches, "base")?)?;
        let patch_id = match matches.opt_str("id") {
            Some(text) => parse_patch_id("id", &text)?,
            None => PatchId::generate(),
        };
        let patch = read_patch(PathBuf::from(options::required(matches, "file")?))?;
        let req = self
            .client
            .patch(self.url("v1/config"))
            .header(header::IF_MATCH, format!("\"{base}\""))
            .header(header::CONTENT_TYPE, "application/merge-patch+json")
            .header(PATCH_ID_HEADER, patch_id.to_string())
            .body(patch.to_string());
        match self.send(STEP, req).await {
            Ok(reply) => reply.print(STEP),
            Err(e) if e.source.is_connect() => Err(e.into()),
            Err(_) => Err(CliError::Undecided { patch_id: patch_id.to_string() }),
        }
    }
}

/// Failure of a request that got no reply.
struct SendError {
    step: &'static str,
    base: String,
    source: reqwest::Error,
}

impl From<SendError> for CliError {
    fn from(e: SendError) -> Self {
        let mut cause: &dyn std::error::Error = &e.source;
        while let Some(source) = cause.source() {
            cause = source;
        }
        StepError::new(e.step, Peer::Named(e.base), cause).into()
    }
}

/// Reply of an entry or agent to an operator's request.
struct Reply {
    status: StatusCode,
    version: Option<String>,
    body: Value,
}

impl Reply {
    /// Prints the body of a successful reply. Returns an error for an undecided patch and for any
    /// status that is not a success.
    fn print(&self, step: &'static str) -> Result<(), CliError> {
        if self.status == StatusCode::ACCEPTED {
            let patch_id = self.body["patch_id"].as_str().unwrap_or_default().to_owned();
            return Err(CliError::Undecided { patch_id });
        }
        if !self.status.is_success() {
            return Err(CliError::Refused {
                step,
                status: self.status.as_u16(),
                detail: self.detail(),
            });
        }
        if let Some(version) = &self.version {
            write_line(&format!("version {version}"))?;
        }
        Ok(write_line(&format!("{:#}", self.body))?)
    }

    /// Returns the detail of a problem, the reasons for a rejection, or the name of the status,
    /// whichever the reply has first.
    fn detail(&self) -> String {
        if let Some(detail) = self.body["detail"].as_str() {
            return detail.to_owned();
        }
        let reasons: Vec<_> = self.body["reasons"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        match (reasons.is_empty(), self.status) {
            (false, _) => reasons.join("; "),
            (true, StatusCode::NOT_FOUND) => "the process has no such route".to_owned(),
            (true, StatusCode::UNAUTHORIZED) => "no valid bearer token".to_owned(),
            (true, status) => status.canonical_reason().unwrap_or("no detail").to_owned(),
        }
    }
}

fn parse_patch_id(option: &str, text: &str) -> Result<PatchId, CliError> {
    text.parse().map_err(|e| CliError::Usage(format!("--{option}: {e}")))
}

fn parse_version(text: &str) -> Result<Version, CliError> {
    text.parse().map(Version).map_err(|e| CliError::Usage(format!("--base: {e}")))
}

fn read_patch(path: PathBuf) -> Result<Value, CliError> {
    let text = fs::read_to_string(&path)
        .map_err(|source| CliError::Read { path: path.clone(), source })?;
    serde_saphyr::from_str(&text).map_err(|e| CliError::Settings {
        path,
        source: settings::SettingsError::Syntax(e.to_string()),
    })
}
