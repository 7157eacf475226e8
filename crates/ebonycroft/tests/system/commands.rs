//! Output and exit codes of operators' commands against a running entry.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Output,
};

use tokio::process::Command;

use crate::support::{OPERATOR_TOKEN, System, loopback, run};

const UNKNOWN_PATCH: &str = "019aeb5b-c42d-7a10-8000-000000000001";

/// A temporary file that is removed when this is dropped.
struct TempFile(PathBuf);

impl TempFile {
    fn new(name: &str, text: &str) -> Self {
        let name = format!("ebonycroft-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn as_str(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

async fn operate(command: &str, admin: SocketAddr, token: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ebonycroft"))
        .args([command, "--admin", &admin.to_string(), "--token-file"])
        .arg(token)
        .args(args)
        .output()
        .await
        .unwrap()
}

#[track_caller]
fn assert_code(output: &Output, code: i32, text: &str) {
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{out}{err}");
    assert!(out.contains(text) || err.contains(text), "no `{text}` in {out}{err}");
}

#[test]
fn commands_print_the_reply_of_the_entry() {
    run(async {
        let system = System::builder().upstreams(1).start().await;
        let admin = system.entries[0].admin_addr();
        let token = TempFile::new("print-token", OPERATOR_TOKEN);
        let operate = async |command, args: &[&str]| operate(command, admin, &token.0, args).await;
        assert_code(&operate("get", &[]).await, 0, "version 1");
        assert_code(&operate("status", &[]).await, 0, "\"entry\": \"entry-0\"");
        assert_code(&operate("status", &["--upstreams"]).await, 0, "\"name\": \"recipe-0\"");
        let patch = TempFile::new("print-patch", "teams: { recipe-office: { weight: 2 } }");
        let args = ["--base", "1", "--file", patch.as_str()];
        assert_code(&operate("patch", &args).await, 0, "version 2");
        assert_code(&operate("drain", &[]).await, 0, "draining");
    });
}

#[test]
fn rejected_patch_exits_with_4_and_prints_the_reasons() {
    run(async {
        let system = System::builder().upstreams(1).start().await;
        let admin = system.entries[0].admin_addr();
        let token = TempFile::new("reject-token", OPERATOR_TOKEN);
        let patch = TempFile::new("reject-patch", "pools: { recipe-executors: null }");
        let args = ["--base", "1", "--file", patch.as_str()];
        let output = operate("patch", admin, &token.0, &args).await;
        assert_code(&output, 4, "services.recipe.pools");
        let args = ["--base", "7", "--file", patch.as_str()];
        assert_code(&operate("patch", admin, &token.0, &args).await, 4, "base");
    });
}

#[test]
fn undecided_patch_exits_with_5_and_prints_its_id() {
    run(async {
        let system = System::builder().upstreams(1).start().await;
        let admin = system.entries[0].admin_addr();
        let token = TempFile::new("undecided-token", OPERATOR_TOKEN);
        let args = ["--ask", UNKNOWN_PATCH];
        assert_code(&operate("patch", admin, &token.0, &args).await, 5, UNKNOWN_PATCH);
        system.log.faults().update(|faults| faults.silent = true);
        let patch = TempFile::new("undecided-patch", "teams: { recipe-office: { weight: 2 } }");
        let args = ["--base", "1", "--file", patch.as_str(), "--id", UNKNOWN_PATCH];
        assert_code(&operate("patch", admin, &token.0, &args).await, 5, UNKNOWN_PATCH);
    });
}

#[test]
fn outcome_of_an_accepted_patch_can_be_queried() {
    run(async {
        let system = System::builder().upstreams(1).start().await;
        let admin = system.entries[0].admin_addr();
        let token = TempFile::new("ask-token", OPERATOR_TOKEN);
        let patch = TempFile::new("ask-patch", "teams: { recipe-office: { weight: 2 } }");
        let args = ["--base", "1", "--file", patch.as_str(), "--id", UNKNOWN_PATCH];
        for _ in 0..2 {
            assert_code(&operate("patch", admin, &token.0, &args).await, 0, "version 2");
        }
        let args = ["--ask", UNKNOWN_PATCH];
        assert_code(&operate("patch", admin, &token.0, &args).await, 0, "accepted");
    });
}

#[test]
fn other_failures_have_their_own_codes() {
    run(async {
        let system = System::builder().upstreams(1).start().await;
        let admin = system.entries[0].admin_addr();
        let token = TempFile::new("codes-token", OPERATOR_TOKEN);
        let wrong = TempFile::new("codes-wrong", "guess");
        let broken = TempFile::new("codes-broken", "teams: [");
        let unused = tokio::net::TcpListener::bind(loopback()).await.unwrap().local_addr().unwrap();
        assert_code(&operate("get", unused, &token.0, &[]).await, 1, "refused");
        assert_code(&operate("get", admin, Path::new("absent"), &[]).await, 1, "absent");
        assert_code(&operate("patch", admin, &token.0, &["--base", "new"]).await, 2, "--base");
        assert_code(&operate("patch", admin, &token.0, &["--ask", "first"]).await, 2, "--ask");
        let args = ["--base", "1", "--file", broken.as_str()];
        assert_code(&operate("patch", admin, &token.0, &args).await, 3, "not valid yaml");
        assert_code(&operate("get", admin, &wrong.0, &[]).await, 4, "no valid bearer token");
        let agent = system.agents[0].admin_addr();
        assert_code(&operate("status", agent, &token.0, &[]).await, 4, "no such route");
        assert_code(&operate("drain", agent, &wrong.0, &[]).await, 4, "no valid bearer token");
    });
}
