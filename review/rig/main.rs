//! Stand-ins and cases of the review: the platform's store, executors and clients as the users'
//! pages describe them, around the project's own programs as separate processes. Standard library
//! only. `rig CASE FOLDER` plays a case; exit code 0: the rule held, 1: it was broken, 2: the case
//! could not run.

mod cases;
mod exec;
mod http;
mod json;
mod store;

use std::{
    collections::BTreeMap,
    fs,
    io::Write,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, OnceLock},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use exec::{Exec, Ledger};
use store::Store;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Bounds of the site `hd-recipes`.
pub const RESEND_MS: u64 = 1_300;
pub const RECOVERY_MS: u64 = 12_000;
pub const CANCEL_MS: u64 = 3_000;
pub const STOP_TIMEOUT_MS: u64 = 50;
pub const MAX_HOLD_MS: u64 = 1_000;
pub const HEARTBEAT_MS: u64 = 1_500;

pub fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// `record.txt` of a case: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<fs::File>>);

impl Record {
    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", now_ms());
    }
}

/// A program of the project, as the deploy file starts it.
pub struct Program {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Mutex<Option<Child>>,
}

impl Program {
    fn new(name: &str, role: &'static str, dir: &PathBuf, settings: &str) -> Self {
        let path = dir.join(format!("{name}.yaml"));
        fs::write(&path, settings).expect("settings are written");
        Self {
            name: name.into(),
            role,
            settings: path,
            log: dir.join(format!("{name}.log")),
            child: Mutex::new(None),
        }
    }

    pub fn start(&self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        /// Linux's option that ends a process with the thread that started it.
        const PR_SET_PDEATHSIG: i32 = 1;
        let mut command = Command::new("target/release/ebonycroft");
        // The case's programs end with it, however it ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .args([self.role, "--config"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("target/release/ebonycroft starts");
        *self.child.lock().unwrap() = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = self.child.lock().unwrap().as_ref() {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            unsafe { kill(child.id() as i32, SIGKILL) };
            let _ = child.wait();
        }
    }

    pub fn is_alive(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

/// An entry, with the addresses that clients and the platform use.
pub struct Entry {
    pub program: Program,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

/// A deployment: a store, entries, and executors with an agent beside each.
pub struct Rig {
    pub record: Record,
    pub ledger: Arc<Ledger>,
    pub store: Store,
    pub entries: Vec<Arc<Entry>>,
    pub agents: Vec<Arc<Program>>,
    pub execs: Vec<Arc<Exec>>,
    dir: PathBuf,
}

/// A route of the configuration; its executors are those of `service`.
pub struct Route {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub service: &'static str,
    pub target_completion_ms: u64,
    pub timeout_ms: u64,
}

pub fn config(version: u64, routes: &[Route]) -> String {
    let rows: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                r#"{{"name":"{}","host":"{}","pathPrefix":"{}","kind":"non_idempotent","timeoutMs":{},"targetCompletionMs":{},"priority":0,"service":"{}","maxAttempts":2,"stretchFactor":1.6}}"#,
                r.name, r.host, r.prefix, r.timeout_ms, r.target_completion_ms, r.service
            )
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|r| r.service).collect();
    services.dedup();
    let services: Vec<String> = services
        .iter()
        .map(|s| {
            format!(
                r#"{{"name":"{s}","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"admissionCheck":false,"standby":false}}"#
            )
        })
        .collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        rows.join(","),
        services.join(",")
    )
}

/// Fills in a settings template of the deploy file as the platform does.
fn fill(template: &str, values: &BTreeMap<&str, String>) -> String {
    let text = fs::read_to_string(template).expect("run in the repository root");
    values.iter().fold(text, |text, (key, value)| {
        let text = text.replace(&format!("{{{{{key}|json}}}}"), &json::quote_unless_list(value));
        text.replace(&format!("{{{{{key}}}}}"), value)
    })
}

impl Rig {
    /// Starts a store, `entries` entries and one executor with its agent for each service named in
    /// `services`. `first_clock_ms` is the clock of the executors, which have been up that long.
    pub fn start(
        folder: &str,
        entries: usize,
        services: &[&str],
        routes: &[Route],
        first_clock_ms: u64,
    ) -> Self {
        let file =
            fs::File::create(format!("{folder}/record.txt")).expect("record.txt is writable");
        let record = Record(Arc::new(Mutex::new(file)));
        let dir = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder can be made");
        // Each machine has an address of its own in 127/8, and the same ports, as on the platform.
        let pid = std::process::id();
        let net = format!("127.{}.{}", 16 + pid % 200, (pid / 200) % 250);
        let [front, ready, control, app, links, metrics] = free_ports(&net);
        let store = Store::start(&format!("{net}.250:{app}"), record.clone());
        store.put("keyed.op", "config", config(2, routes).as_bytes());
        let seeds: Vec<String> =
            (0..entries.min(3)).map(|i| format!("\"{net}.{}:{control}\"", 1 + i)).collect();
        let ledger = Arc::new(Ledger::new(record.clone()));
        let base: BTreeMap<&str, String> = BTreeMap::from([
            ("platform.address", store.addr.clone()),
            ("platform.writesPerS", "800".into()),
            ("platform.readsPerS", "2000".into()),
            ("seeds", format!("[{}]", seeds.join(","))),
            ("internalPorts.0", links.to_string()),
            ("bounds.graceS", "6".into()),
            ("bounds.maxHoldMs", MAX_HOLD_MS.to_string()),
            ("bounds.stopTimeoutMs", STOP_TIMEOUT_MS.to_string()),
            ("bounds.resendMs", RESEND_MS.to_string()),
            ("zone", "mid-a".into()),
        ]);
        let mut rig = Self {
            record: record.clone(),
            ledger: Arc::clone(&ledger),
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            execs: Vec::new(),
            dir: dir.clone(),
        };
        let _ = metrics;
        for i in 0..entries {
            let (name, ip) = (format!("edge-{}", i + 1), format!("{net}.{}", 1 + i));
            let mut values = base.clone();
            values.insert("node", name.clone());
            values.insert("ip", ip.clone());
            values.insert("listenAddrs.front", format!("{ip}:{front}"));
            values.insert("listenAddrs.ready", format!("{ip}:{ready}"));
            let program =
                Program::new(&name, "direct-entry", &dir, &fill("deploy/entry.yaml", &values));
            let addr = |port: u16| format!("{ip}:{port}").parse().unwrap();
            rig.entries.push(Arc::new(Entry { program, front: addr(front), ready: addr(ready) }));
        }
        for (i, service) in services.iter().enumerate() {
            let (name, ip) = (format!("side-{}", i + 1), format!("{net}.{}", 101 + i));
            let mut values = base.clone();
            values.insert("node", name.clone());
            values.insert("ip", ip.clone());
            values.insert("listenAddrs.control", format!("{ip}:{control}"));
            values.insert("app", format!("{ip}:{app}"));
            let program =
                Program::new(&name, "direct-agent", &dir, &fill("deploy/agent.yaml", &values));
            rig.agents.push(Arc::new(program));
            rig.execs.push(Exec::start(
                format!("i-{:08x}", 0x5a00 + i),
                format!("{ip}:{app}"),
                format!("{ip}:{control}"),
                service.to_string(),
                first_clock_ms,
                Arc::clone(&ledger),
            ));
        }
        rig.entries.iter().for_each(|entry| entry.program.start());
        rig.agents.iter().for_each(|agent| agent.start());
        let programs = rig.programs();
        thread::spawn(move || {
            sleep_ms(112_000);
            programs.iter().for_each(|kill| kill());
            eprintln!("the case took too long");
            std::process::exit(2);
        });
        rig.until_ready(15_000);
        rig
    }

    fn programs(&self) -> Vec<Box<dyn Fn() + Send>> {
        let mut all: Vec<Box<dyn Fn() + Send>> = Vec::new();
        for entry in self.entries.iter().cloned() {
            all.push(Box::new(move || entry.program.kill()));
        }
        for agent in self.agents.iter().cloned() {
            all.push(Box::new(move || agent.kill()));
        }
        all
    }

    /// Waits until every entry reports itself ready.
    pub fn until_ready(&self, timeout_ms: u64) {
        let end_ms = now_ms() + timeout_ms;
        for entry in &self.entries {
            loop {
                let reply = http::call(entry.ready, "GET", "/-/readyz", &[], b"", 500);
                if matches!(reply, http::Reply::Status(200, _)) {
                    break;
                }
                if now_ms() > end_ms {
                    self.cannot_run("an entry is not ready");
                }
                sleep_ms(50);
            }
        }
        // All agents have connected to all entries by then.
        sleep_ms(1_500);
    }

    pub fn cannot_run(&self, why: &str) -> ! {
        self.record.line(&format!("cannot run: {why}"));
        eprintln!("cannot run: {why}");
        self.stop();
        std::process::exit(2);
    }

    /// Ends all processes, and the case with its verdict.
    pub fn finish(&self, broken: Option<String>) -> ! {
        self.stop();
        match broken {
            Some(why) => {
                self.record.line(&format!("BROKEN {why}"));
                println!("BROKEN {why}");
                std::process::exit(1)
            }
            None => {
                self.record.line("HELD");
                println!("HELD");
                std::process::exit(0)
            }
        }
    }

    fn stop(&self) {
        self.programs().iter().for_each(|kill| kill());
        if std::env::var("KEEP_LOGS").is_ok() {
            eprintln!("logs of the programs: {}", self.dir.display());
        } else {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

/// Returns ports that are free at the first address of the net, the same for all machines.
fn free_ports(net: &str) -> [u16; 6] {
    let listeners: Vec<TcpListener> =
        (0..6).map(|_| TcpListener::bind(format!("{net}.1:0")).expect("a port is free")).collect();
    let ports: Vec<u16> = listeners.iter().map(|l| l.local_addr().unwrap().port()).collect();
    ports.try_into().unwrap()
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    now_ms();
    cases::play(&args[1], &args[2], has_trouble);
}
