use std::{
    env,
    fs::File,
    io::{BufRead, BufReader, Write},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    time::Instant,
};

use emulator::Relay;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use crate::record;

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    Started,
    Killed,
    /// It was sent SIGTERM.
    Stopped,
    /// It has ended by itself, after SIGTERM.
    Ended,
    Suspended,
    Resumed,
}

/// A role of the program as a child process, started from a settings file. It binds other ports at
/// each start, because another process may have taken the earlier ones; relays lead to them.
pub(crate) struct Process {
    role: &'static str,
    settings: PathBuf,
    /// Relays to the addresses that the process binds, by the field of the `start` line.
    relays: Vec<(&'static str, Arc<Relay>)>,
    child: Child,
    events: Vec<(Instant, Event)>,
}

impl Process {
    /// Starts a role, waits for its `start` line, which names the addresses that it has bound, and
    /// lets the relays lead there.
    pub(crate) fn start(
        role: &'static str,
        settings: &Path,
        relays: Vec<(&'static str, Arc<Relay>)>,
    ) -> Self {
        let child = spawn(role, settings, &relays);
        let events = vec![(Instant::now(), Event::Started)];
        Self { role, settings: settings.to_owned(), relays, child, events }
    }

    /// Returns the name of the process.
    pub(crate) fn name(&self) -> String {
        self.settings.file_stem().unwrap_or_default().to_string_lossy().into_owned()
    }

    /// Returns what has happened to the process, in this order.
    pub(crate) fn events(&self) -> &[(Instant, Event)] {
        &self.events
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, unless the process has ended.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.has_ended() {
            return;
        }
        let id = i32::try_from(self.child.id()).expect("a process id is small");
        let pid = Pid::from_raw(id).expect("a process id is not 0");
        self.events.push((Instant::now(), event_of(signal)));
        kill_process(pid, signal).expect("the process is there");
    }

    /// Returns whether the process has ended.
    pub(crate) fn has_ended(&mut self) -> bool {
        let has_ended = self.child.try_wait().expect("the process can be waited for").is_some();
        let is_known = matches!(self.events.last(), Some((_, Event::Killed | Event::Ended)));
        if has_ended && !is_known {
            self.events.push((Instant::now(), Event::Ended));
        }
        has_ended
    }

    /// Starts the process again after its exit.
    pub(crate) fn restart(&mut self) {
        self.child = spawn(self.role, &self.settings, &self.relays);
        self.events.push((Instant::now(), Event::Started));
    }
}

fn event_of(signal: Signal) -> Event {
    match signal {
        Signal::KILL => Event::Killed,
        Signal::STOP => Event::Suspended,
        Signal::CONT => Event::Resumed,
        _ => Event::Stopped,
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts a role and directs the relays to the addresses in its `start` line. A thread reads the
/// lines after it, and writes all of them to a file in the folder for lines, if there is one.
fn spawn(role: &'static str, settings: &Path, relays: &[(&'static str, Arc<Relay>)]) -> Child {
    let program = env::var("SOAK_PROGRAM");
    let program = program.as_deref().unwrap_or(env!("CARGO_BIN_EXE_ebonycroft"));
    let mut child = Command::new(program)
        .args([role, "--config"])
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut lines = BufReader::new(child.stdout.take().expect("its output is piped"));
    let mut first = String::new();
    lines.read_line(&mut first).expect("the first line can be read");
    let start: Value = serde_json::from_str(&first).expect("the first line is an object");
    for (field, relay) in relays {
        let addr = start.get(field).and_then(Value::as_str).and_then(|text| text.parse().ok());
        relay.set_target(addr.expect("the line start has the address"));
    }
    let mut log = record::log_folder().map(|dir| open_log(&dir, settings));
    if let Some(log) = &mut log {
        log.write_all(first.as_bytes()).expect("the log can be written");
    }
    std::thread::spawn(move || {
        for line in lines.lines().map_while(Result::ok) {
            if let Some(log) = &mut log {
                writeln!(log, "{line}").expect("the log can be written");
            }
        }
    });
    child
}

/// Opens the file for the lines of the process with these settings, which goes on over restarts.
fn open_log(dir: &Path, settings: &Path) -> File {
    let name = settings.with_extension("log").file_name().map(PathBuf::from).unwrap_or_default();
    let path = dir.join(name);
    File::options().create(true).append(true).open(path).expect("the log can be opened")
}
