//! A role of the program whose lines a test reads.

use std::{
    fs,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
};

use rustix::process::{Pid, kill_process};
use serde_json::Value;

pub(crate) use rustix::process::Signal;

/// A role; its output is read as far as a test asks for lines.
pub(crate) struct Role {
    child: Child,
    output: BufReader<ChildStdout>,
    start: Value,
}

impl Drop for Role {
    fn drop(&mut self) {
        // It may have ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Role {
    /// Returns the settings file of a role.
    pub(crate) fn path(dir: &Path, role: &str) -> PathBuf {
        dir.join(format!("{role}.yaml"))
    }

    /// Starts a role and reads its output up to its line `start`.
    pub(crate) fn start(dir: &Path, role: &str, settings: &Value) -> Self {
        let path = Self::path(dir, role);
        fs::write(&path, settings.to_string()).expect("settings can be written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_ebonycroft"))
            .args([role, "--config"])
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts");
        let output = BufReader::new(child.stdout.take().expect("its output is piped"));
        let mut role = Self { child, output, start: Value::Null };
        role.start = role.line("start");
        role
    }

    /// Returns an address that the role has bound.
    pub(crate) fn addr(&self, name: &str) -> SocketAddr {
        let text = self.start.get(name).and_then(Value::as_str);
        text.and_then(|text| text.parse().ok()).expect("the line start has the address")
    }

    /// Waits for the next line of an event.
    pub(crate) fn line(&mut self, event: &str) -> Value {
        loop {
            let mut text = String::new();
            let length = self.output.read_line(&mut text).expect("the output can be read");
            assert!(length > 0, "the role ended without a line {event}");
            let line: Value = serde_json::from_str(&text).expect("a line is an object");
            if line["event"] == event {
                return line;
            }
        }
    }

    /// Returns the lines about a job up to the end of the role.
    pub(crate) fn lines_about(&mut self, job: &str) -> Vec<Value> {
        let lines = self.output.by_ref().lines().map_while(Result::ok);
        let objects = lines.filter_map(|text| serde_json::from_str::<Value>(&text).ok());
        objects.filter(|line| line["job"] == job).collect()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id is small");
        let pid = Pid::from_raw(id).expect("a process id is not 0");
        kill_process(pid, signal).expect("the role is there");
    }
}
