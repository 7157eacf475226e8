use std::{
    env,
    fs::File,
    io::{BufRead, BufReader, Write},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread::{self, JoinHandle},
    time::Instant,
};

use emulator::{Relay, RunLedger};
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

/// A role of the program, or an executor, as a child process, started from a settings file. It binds
/// other ports at each start, because another process may have taken the earlier ones; relays lead to
/// them.
pub(crate) struct Process {
    role: &'static str,
    settings: PathBuf,
    /// Relays to the addresses that the process binds, by the field of the `start` line.
    relays: Vec<(&'static str, Arc<Relay>)>,
    /// Where an executor's runs are recorded.
    ledger: Option<RunLedger>,
    /// The last line that was sent to an executor.
    input: String,
    child: Child,
    reading: JoinHandle<()>,
    events: Vec<(Instant, Event)>,
    /// Whether its host goes, so that it is not started again.
    is_retired: bool,
}

impl Process {
    /// Starts a role, waits for its `start` line, which names the addresses that it has bound, and
    /// lets the relays lead there.
    pub(crate) fn start(
        role: &'static str,
        settings: &Path,
        relays: Vec<(&'static str, Arc<Relay>)>,
        ledger: Option<RunLedger>,
    ) -> Self {
        let (child, reading) = spawn(role, settings, &relays, ledger.clone());
        let events = vec![(Instant::now(), Event::Started)];
        let (settings, input) = (settings.to_owned(), String::new());
        let is_retired = false;
        Self { role, settings, relays, ledger, input, child, reading, events, is_retired }
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

    /// Sends a signal, after which the process is not started again.
    pub(crate) fn retire(&mut self, signal: Signal) {
        self.is_retired = true;
        self.signal(signal);
    }

    /// Starts the process again after its exit, unless its host goes.
    pub(crate) fn restart(&mut self) {
        if self.is_retired {
            return;
        }
        let ledger = self.ledger.clone();
        (self.child, self.reading) = spawn(self.role, &self.settings, &self.relays, ledger);
        self.events.push((Instant::now(), Event::Started));
        self.send(self.input.clone());
    }

    /// Sends a line to an executor, also after each restart.
    pub(crate) fn send(&mut self, line: String) {
        if let Some(input) = &mut self.child.stdin {
            // The process may have been killed.
            let _ = input.write_all(format!("{line}\n").as_bytes());
        }
        self.input = line;
    }

    /// Kills the process, and waits until all its lines are read.
    pub(crate) fn finish(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
        let nothing = thread::spawn(|| ());
        std::mem::replace(&mut self.reading, nothing).join().expect("the lines could be read");
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
/// lines after it, and writes all of them to a file in the folder for lines, if there is one; those of
/// an executor are for the ledger.
fn spawn(
    role: &'static str,
    settings: &Path,
    relays: &[(&'static str, Arc<Relay>)],
    ledger: Option<RunLedger>,
) -> (Child, JoinHandle<()>) {
    let own = env!("CARGO_BIN_EXE_ebonycroft").to_owned();
    // Only this build reports the runs of an executor.
    let program = if ledger.is_some() { own } else { env::var("SOAK_PROGRAM").unwrap_or(own) };
    let mut child = Command::new(program)
        .args([role, "--config"])
        .arg(settings)
        .stdin(if ledger.is_some() { Stdio::piped() } else { Stdio::inherit() })
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
    if let Some(log) = log.as_mut().filter(|_| ledger.is_none()) {
        log.write_all(first.as_bytes()).expect("the log can be written");
    }
    let reading = thread::spawn(move || {
        let lines = lines.lines().map_while(Result::ok);
        if let Some(ledger) = ledger {
            return ledger.add_reports(lines);
        }
        for line in lines {
            if let Some(log) = &mut log {
                writeln!(log, "{line}").expect("the log can be written");
            }
        }
    });
    (child, reading)
}

/// Opens the file for the lines of the process with these settings, which goes on over restarts.
fn open_log(dir: &Path, settings: &Path) -> File {
    let name = settings.with_extension("log").file_name().map(PathBuf::from).unwrap_or_default();
    let path = dir.join(name);
    File::options().create(true).append(true).open(path).expect("the log can be opened")
}
