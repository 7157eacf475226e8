//! Some entries and agents for direct jobs as processes, whose callers may close their channels and
//! resubmit their jobs at another entry.

use std::{fs, path::PathBuf, process::Command, time::Duration};

use emulator::{
    FakeExecutor, FakeExecutorFaults, FakeExecutorSettings, LogServer, LogSettings, RunLedger,
};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};
use tokio::{task::JoinHandle, time::sleep};

use crate::role::Role;

const ANY_PORT: &str = "127.0.0.1:0";
/// Period of the check for a condition.
const CHECK_PERIOD: Duration = Duration::from_millis(2);
/// Time after which a refused job is submitted again.
const RETRY_PERIOD: Duration = Duration::from_millis(20);
/// Longest time that an executor takes to stop a run, milliseconds, as the platform specifies it.
pub(crate) const STOP_MS: u64 = 50;

/// An executor and its agent.
pub(crate) struct Host {
    pub(crate) executor: FakeExecutor,
    pub(crate) agent: Role,
    heartbeats: JoinHandle<()>,
}

/// Running entries and agents, and what they need.
pub(crate) struct Fleet {
    dir: PathBuf,
    store: LogServer,
    client: Client,
    pub(crate) ledger: RunLedger,
    pub(crate) entries: Vec<Role>,
    pub(crate) hosts: Vec<Host>,
    /// Grace period of the processes that are started from now on, milliseconds.
    pub(crate) grace_ms: u64,
    /// Output of the agents that were replaced.
    replaced_output: String,
}

/// A submission in progress. Dropped, it closes its channel.
pub(crate) struct Submission(JoinHandle<Option<StatusCode>>);

impl Submission {
    /// Waits for the status of the answer; `None` if the channel ends without one.
    pub(crate) async fn status(mut self) -> Option<StatusCode> {
        (&mut self.0).await.expect("the call ends")
    }
}

impl Drop for Submission {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // A folder that is left behind in the temporary folder harms nothing.
        let _ = fs::remove_dir_all(&self.dir);
    }
}

impl Fleet {
    /// Starts entries without agents. The settings are in a folder named after the test.
    pub(crate) async fn start(test: &str, entries: usize) -> Self {
        let dir = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
        let addr = ANY_PORT.parse().expect("it is an address");
        let store = LogServer::start(LogSettings::default(), addr).await.expect("a store starts");
        store.put_config(&json!({ "version": 1, "services": [], "routes": [{ "name": "r",
            "host": "jobs.example", "pathPrefix": "/j/", "service": "kitchen", "priority": 1,
            "maxAttempts": 2, "stretchFactor": 1.0, "targetCompletionMs": 60_000 }] }));
        let client = Client::builder().no_proxy().build().expect("a client can be built");
        let ledger = RunLedger::default();
        let mut fleet = Self {
            dir,
            store,
            client,
            ledger,
            entries: Vec::new(),
            hosts: Vec::new(),
            grace_ms: 3_000,
            replaced_output: String::new(),
        };
        for index in 0..entries {
            let name = format!("entry-{index}");
            let settings = json!({ "process": fleet.process(&name), "zone": "a",
                "callers": ANY_PORT, "readiness": ANY_PORT, "links": ANY_PORT });
            let entry = Role::start(&fleet.dir_of(&name), "direct-entry", &settings);
            fleet.entries.push(entry);
        }
        fleet
    }

    fn process(&self, name: &str) -> Value {
        let store = json!({ "address": self.store.addr().to_string() });
        json!({ "name": name, "store": store, "grace_ms": self.grace_ms })
    }

    fn dir_of(&self, process: &str) -> PathBuf {
        let dir = self.dir.join(process);
        fs::create_dir_all(&dir).expect("a folder can be made");
        dir
    }

    /// Starts an executor with two cores and its agent, and waits until every entry knows them.
    pub(crate) async fn add_host(&mut self, faults: FakeExecutorFaults) {
        self.add_host_in("a", faults).await;
    }

    /// Starts an executor in a zone and its agent, as [`Fleet::add_host`].
    pub(crate) async fn add_host_in(&mut self, zone: &str, faults: FakeExecutorFaults) {
        let name = format!("host-{}", self.hosts.len());
        let settings = FakeExecutorSettings {
            id: name.clone(),
            pool: "kitchen".into(),
            zone: zone.into(),
            milli_cores: 2_000,
            run_ms: 1,
            renews_id: false,
        };
        let executor = FakeExecutor::start(settings, self.ledger.clone()).await;
        let executor = executor.expect("an executor starts");
        executor.set_faults(faults);
        let agent = self.start_agent(&name, &executor);
        let heartbeats = executor.announce(agent.addr("control"));
        self.hosts.push(Host { executor, agent, heartbeats });
        self.entries.iter_mut().for_each(|entry| {
            entry.next_line("upstream");
        });
    }

    /// Writes a record of the operator to the store; an empty value removes the key.
    pub(crate) fn put_operator_record(&self, key: &str, value: &[u8]) {
        self.store.put_operator_record(key, value);
    }

    fn start_agent(&self, name: &str, executor: &FakeExecutor) -> Role {
        let settings = json!({ "process": self.process(name), "control": ANY_PORT,
            "upstream": executor.addr().to_string() });
        Role::start(&self.dir_of(name), "direct-agent", &settings)
    }

    /// Kills the agent of a host and starts the next one at once.
    pub(crate) fn replace_agent(&mut self, host: usize) {
        self.hosts[host].heartbeats.abort();
        self.replaced_output += &self.hosts[host].agent.kill_and_read();
        let executor = &self.hosts[host].executor;
        let agent = self.start_agent(&format!("host-{host}"), executor);
        let heartbeats = executor.announce(agent.addr("control"));
        self.hosts[host].agent = agent;
        self.hosts[host].heartbeats = heartbeats;
    }

    /// Submits a job of one-core tasks with `steps` steps that depend on each other, and again while
    /// it is refused.
    pub(crate) fn submit(&self, entry: usize, id: &str, run_ms: u64, steps: usize) -> Submission {
        let step = |step: usize| {
            let after: Vec<usize> = step.checked_sub(1).into_iter().collect();
            json!({ "count": 1, "cpu": 1_000, "memMb": 64, "estimateMs": run_ms,
                "dependsOn": after })
        };
        let steps: Vec<Value> = (0..steps).map(step).collect();
        let body = json!({ "spec": format!("run_ms={run_ms}"), "bestEffort": true,
            "steps": steps });
        let url = format!("http://{}/j/{id}", self.entries[entry].addr("callers"));
        let client = self.client.clone();
        Submission(tokio::spawn(async move {
            loop {
                let call = client.post(&url).header("Host", "jobs.example");
                let call = call.header("Deadline-Ms", "60000").body(body.to_string());
                let status = call.send().await.ok()?.status();
                // An entry on a busy machine may take itself for suspended.
                if status != StatusCode::SERVICE_UNAVAILABLE {
                    return Some(status);
                }
                sleep(RETRY_PERIOD).await;
            }
        }))
    }

    /// Waits until the executors have started `count` runs of a job.
    pub(crate) async fn until_started(&self, job: &str, count: usize) {
        self.until(|fleet| fleet.ledger.count_runs(job) >= count).await;
    }

    pub(crate) async fn until(&self, condition: impl Fn(&Self) -> bool) {
        while !condition(self) {
            sleep(CHECK_PERIOD).await;
        }
    }

    /// Kills all processes and returns their lines: those of the entries, those of the agents that
    /// were replaced, and those of the others.
    pub(crate) fn kill_and_read(&mut self) -> String {
        let entries: String = self.entries.iter_mut().map(Role::kill_and_read).collect();
        let agents = self.hosts.iter_mut().map(|host| host.agent.kill_and_read());
        let agents: String = agents.collect();
        entries + &self.replaced_output + &agents
    }

    /// Kills all processes and returns what `ebonycroft explain` prints about a job or a task from
    /// their lines.
    pub(crate) fn explain(&mut self, id: &str) -> String {
        let lines = self.kill_and_read();
        self.explain_lines(id, &lines)
    }

    /// Returns what `ebonycroft explain` prints about a job or a task from these lines.
    pub(crate) fn explain_lines(&self, id: &str, lines: &str) -> String {
        let path = self.dir.join("all.log");
        fs::write(&path, lines).expect("a file can be written");
        let output = Command::new(env!("CARGO_BIN_EXE_ebonycroft"))
            .args(["explain", "--id", id])
            .arg(&path)
            .output()
            .expect("the program runs");
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("the output is text")
    }

    /// Waits until nothing runs and returns the overlapping runs of tasks.
    pub(crate) async fn overlaps(&self) -> Vec<String> {
        self.until(|fleet| fleet.ledger.running() == 0).await;
        self.ledger.overlaps()
    }
}
