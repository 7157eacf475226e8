//! A role of the program as a child process whose decision lines a test reads.

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

/// A running role. Its output is read only when a test requests lines, so it can fill the pipe.
pub(crate) struct Role {
    child: Child,
    output: BufReader<ChildStdout>,
    /// The output that was read so far.
    read: String,
    start: Value,
}

impl Drop for Role {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Role {
    /// Returns the path of the settings file of a role.
    pub(crate) fn path(dir: &Path, role: &str) -> PathBuf {
        dir.join(format!("{role}.yaml"))
    }

    /// Starts a role and reads its output up to its `start` line, which names the addresses that it
    /// has bound.
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
        let mut role = Self { child, output, read: String::new(), start: Value::Null };
        role.start = role.next_line("start");
        role
    }

    /// Returns an address that the role has bound, by its field in the `start` line.
    pub(crate) fn addr(&self, name: &str) -> SocketAddr {
        let text = self.start.get(name).and_then(Value::as_str);
        text.and_then(|text| text.parse().ok()).expect("the line start has the address")
    }

    /// Waits for the next line with an event and returns its fields. Panics when the role ends
    /// before it.
    pub(crate) fn next_line(&mut self, event: &str) -> Value {
        loop {
            let mut text = String::new();
            let length = self.output.read_line(&mut text).expect("the output can be read");
            assert!(length > 0, "the role ended without a line {event}");
            self.read += &text;
            let line: Value = serde_json::from_str(&text).expect("a line is an object");
            if line["event"] == event {
                return line;
            }
        }
    }

    /// Returns the remaining lines, up to the end of the role.
    pub(crate) fn remaining_lines(&mut self) -> Vec<Value> {
        let lines = self.output.by_ref().lines().map_while(Result::ok);
        lines.filter_map(|text| serde_json::from_str::<Value>(&text).ok()).collect()
    }

    /// Returns the remaining lines about a job, up to the end of the role.
    pub(crate) fn lines_about(&mut self, job: &str) -> Vec<Value> {
        let mut lines = self.remaining_lines();
        lines.retain(|line| line["job"] == job);
        lines
    }

    /// Kills the role and returns its whole output, without what `remaining_lines` has returned.
    pub(crate) fn kill_and_read(&mut self) -> String {
        self.kill();
        self.output.read_to_string(&mut self.read).expect("the output can be read");
        std::mem::take(&mut self.read)
    }

    /// Kills the role and waits for its end.
    pub(crate) fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.id()).expect("a process id is small");
        let pid = Pid::from_raw(id).expect("a process id is not 0");
        kill_process(pid, signal).expect("the role is there");
    }
}
