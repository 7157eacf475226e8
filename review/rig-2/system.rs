//! A small deployment: the project's own programs as separate processes, with the commands and the
//! settings templates of the deploy file, on loopback addresses; stand-ins for all else.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{executor::Executor, forwarder, http, record::Record, store::Store};

pub const POOL: &str = "svc-a";
const ZONE: &str = "zone-a";
const SEEDS: u8 = 2;
/// Last part of the addresses of the store, the entries and the agents' machines.
const STORE_HOST: u8 = 1;
const PATH_HOST: u8 = 5;
const ENTRY_HOST: u8 = 10;
const AGENT_HOST: u8 = 100;
/// Ports, the same on all machines.
const FRONT: u16 = 8_161;
const APP: u16 = 8_165;
const CONTROL: u16 = 8_166;
const READY: u16 = 8_167;
const STORE: u16 = 8_169;
const INTERNAL: u16 = 7_720;
const METRICS: u16 = 9_464;

/// A process of the project, which is killed when this is dropped.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

pub struct System {
    record: Arc<Record>,
    pub executors: Vec<Arc<Executor>>,
    dir: PathBuf,
    /// First three parts of all addresses.
    net: (u8, u8, u8),
    /// Names and processes.
    processes: Vec<(String, Process)>,
}

impl Drop for System {
    fn drop(&mut self) {
        self.processes.clear();
        drop(fs::remove_dir_all(&self.dir));
    }
}

impl System {
    /// Starts the store with a configuration of one queue.
    pub fn new(record: &Arc<Record>, config: &str) -> Result<Self, String> {
        let pid = std::process::id();
        let dir = std::env::temp_dir().join(format!("ebonycroft-review-2-{pid}"));
        fs::create_dir_all(&dir).map_err(|e| format!("creating {}: {e}", dir.display()))?;
        let net = free_net(pid)?;
        Store::start(listen(net, STORE_HOST, STORE)?).put_config(config);
        let record = Arc::clone(record);
        Ok(Self { record, executors: Vec::new(), dir, net, processes: Vec::new() })
    }

    fn addr(&self, host: u8, port: u16) -> SocketAddr {
        address(self.net, host, port)
    }

    pub fn front(&self, entry: u8) -> SocketAddr {
        self.addr(ENTRY_HOST + entry, FRONT)
    }

    pub fn ready(&self, entry: u8) -> SocketAddr {
        self.addr(ENTRY_HOST + entry, READY)
    }

    /// Starts an entry.
    pub fn start_entry(&mut self, entry: u8) -> Result<(), String> {
        let host = ENTRY_HOST + entry;
        let name = format!("edge-{}", entry + 1);
        let own = [
            ("{{zone|json}}", quoted(ZONE)),
            ("{{listenAddrs.front|json}}", quoted(self.addr(host, FRONT))),
            ("{{listenAddrs.ready|json}}", quoted(self.addr(host, READY))),
        ];
        self.start_role("direct-entry", "deploy/entry.yaml", &name, host, &own)
    }

    /// Kills an entry.
    pub fn kill_entry(&mut self, entry: u8) {
        let name = format!("edge-{}", entry + 1);
        self.processes.retain(|(known, _)| *known != name);
        self.record.line(&format!("{name} is killed"));
    }

    /// Takes the power of a machine away: its process answers nothing, and its channels hang.
    pub fn darken(&self, name: &str) -> Result<(), String> {
        let found = self.processes.iter().find(|(known, _)| known == name);
        let (_, process) = found.ok_or_else(|| format!("no process {name}"))?;
        let pid = process.child.id().to_string();
        let status = Command::new("kill").args(["-STOP", &pid]).status();
        status.map_err(|e| format!("stopping {name}: {e}"))?;
        self.record.line(&format!("{name} has lost power"));
        Ok(())
    }

    /// Starts the path of clients to an entry, on which what they send is late by `delay`. Returns its
    /// address.
    pub fn start_path(&self, entry: u8, delay: Duration) -> Result<SocketAddr, String> {
        let listener = listen(self.net, PATH_HOST + entry, FRONT)?;
        let addr = self.addr(PATH_HOST + entry, FRONT);
        forwarder::forward(listener, self.front(entry), delay);
        Ok(addr)
    }

    /// Starts an executor and the agent beside it.
    pub fn start_side(&mut self, side: u8, milli_cores: u64) -> Result<(), String> {
        let host = AGENT_HOST + side;
        let name = format!("side-{}", side + 1);
        let (app, control) = (self.addr(host, APP), self.addr(host, CONTROL));
        let own =
            [("{{listenAddrs.control|json}}", quoted(control)), ("{{app|json}}", quoted(app))];
        self.start_role("direct-agent", "deploy/agent.yaml", &name, host, &own)?;
        let id = format!("i-{}", side + 1);
        let listener = listen(self.net, host, APP)?;
        let executor =
            Executor::start(&id, POOL, ZONE, milli_cores, listener, control, &self.record);
        self.executors.push(executor);
        Ok(())
    }

    fn start_role(
        &mut self,
        command: &str,
        template: &str,
        name: &str,
        host: u8,
        own: &[(&str, String)],
    ) -> Result<(), String> {
        let seeds: Vec<String> =
            (0..SEEDS).map(|entry| quoted(self.addr(ENTRY_HOST + entry, CONTROL))).collect();
        let mut values = vec![
            ("{{node|json}}", quoted(name)),
            ("{{ip}}", self.addr(host, 0).ip().to_string()),
            ("{{platform.address|json}}", quoted(self.addr(STORE_HOST, STORE))),
            ("{{platform.writesPerS}}", "800".to_owned()),
            ("{{platform.readsPerS}}", "2000".to_owned()),
            ("{{seeds|json}}", format!("[{}]", seeds.join(","))),
            ("{{internalPorts.0}}", INTERNAL.to_string()),
            ("{{bounds.graceS}}", "6".to_owned()),
            ("{{bounds.maxHoldMs}}", "1000".to_owned()),
            ("{{bounds.stopTimeoutMs}}", "50".to_owned()),
            ("{{bounds.resendMs}}", "1300".to_owned()),
        ];
        values.extend(own.iter().cloned());
        let fail = |what: &str, e: std::io::Error| format!("{what}: {e}");
        let mut text = fs::read_to_string(template).map_err(|e| fail(template, e))?;
        for (placeholder, value) in &values {
            text = text.replace(placeholder, value);
        }
        if let Some((_, rest)) = text.split_once("{{") {
            return Err(format!(
                "{template}: no value for {{{{{}",
                rest.lines().next().unwrap_or("")
            ));
        }
        let settings = self.dir.join(format!("{name}.yaml"));
        fs::write(&settings, text).map_err(|e| fail("writing settings", e))?;
        let output = File::create(self.dir.join(format!("{name}.log")))
            .map_err(|e| fail("creating a log", e))?;
        let errors = output.try_clone().map_err(|e| fail("creating a log", e))?;
        let child = Command::new("target/release/ebonycroft")
            .args([command, "--config"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|e| fail("starting target/release/ebonycroft", e))?;
        self.record.line(&format!("{name} is started: {command}"));
        self.processes.push((name.to_owned(), Process { child }));
        Ok(())
    }

    /// Returns whether an entry answers the platform's readiness probe with 200.
    pub fn is_ready(&self, entry: u8) -> bool {
        let wait = Duration::from_millis(900);
        let headers = [("Host", "ready")];
        let answer = http::call(self.ready(entry), "GET", "/-/readyz", &headers, "", wait);
        matches!(answer, Ok((200, _)))
    }

    pub fn until_ready(&self, entry: u8) -> Result<(), String> {
        let due = Instant::now() + Duration::from_secs(20);
        while !self.is_ready(entry) {
            if Instant::now() > due {
                return Err(format!("edge-{} is not ready after 20 s", entry + 1));
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.line(&format!("edge-{} is ready", entry + 1));
        Ok(())
    }
}

fn address((a, b, c): (u8, u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(a, b, c, host)), port)
}

fn listen(net: (u8, u8, u8), host: u8, port: u16) -> Result<TcpListener, String> {
    let addr = address(net, host, port);
    TcpListener::bind(addr).map_err(|e| format!("listening at {addr}: {e}"))
}

/// Returns loopback addresses of which no port is in use.
fn free_net(pid: u32) -> Result<(u8, u8, u8), String> {
    for i in 0..200 {
        let number = pid.wrapping_mul(31).wrapping_add(i * 7) % 62_500;
        let net = (127, 1 + (number / 250) as u8, 1 + (number % 250) as u8);
        let hosts = [STORE_HOST, ENTRY_HOST, ENTRY_HOST + 1, AGENT_HOST, AGENT_HOST + 1];
        let ports = [FRONT, APP, CONTROL, READY, STORE, INTERNAL, METRICS];
        let is_free = |host| ports.iter().all(|port| listen(net, host, *port).is_ok());
        if hosts.iter().all(|host| is_free(*host)) {
            return Ok(net);
        }
    }
    Err("no free loopback addresses".to_owned())
}

fn quoted(text: impl std::fmt::Display) -> String {
    format!("\"{text}\"")
}
