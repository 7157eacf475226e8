//! An executor, as the pages describe it, and the ledger of all that ran.

use std::{
    collections::HashMap,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    HEARTBEAT_MS, MAX_HOLD_MS, Record,
    http::{self, Handler, Reply, Request, Server, UNANSWERED},
    json::{self, Json},
    now_ms, sleep_ms, unix_ms,
};

/// Time that a stop takes, milliseconds; `stopTimeoutMs` allows 50.
const STOP_MS: u64 = 10;
pub const CAPACITY_CPU: u64 = 8_000;

/// One run of a task on an executor.
#[derive(Clone, Debug)]
pub struct Row {
    pub task: String,
    pub run: u64,
    pub exec: String,
    pub start_ms: u64,
    pub end_ms: Option<u64>,
    pub how: &'static str,
}

pub struct Ledger {
    rows: Mutex<Vec<Row>>,
    record: Record,
}

impl Ledger {
    pub fn new(record: Record) -> Self {
        Self { rows: Mutex::default(), record }
    }

    pub fn rows(&self) -> Vec<Row> {
        self.rows.lock().unwrap().clone()
    }

    fn start(&self, task: &str, run: u64, exec: &str) -> usize {
        self.record.line(&format!("{exec} starts {task} run {run}"));
        let mut rows = self.rows.lock().unwrap();
        rows.push(Row {
            task: task.into(),
            run,
            exec: exec.into(),
            start_ms: now_ms(),
            end_ms: None,
            how: "running",
        });
        rows.len() - 1
    }

    fn end(&self, index: usize, how: &'static str) {
        let mut rows = self.rows.lock().unwrap();
        let row = &mut rows[index];
        (row.end_ms, row.how) = (Some(now_ms()), how);
        self.record.line(&format!("{} ends {} run {}: {how}", row.exec, row.task, row.run));
    }

    /// Returns two runs of one task that overlapped, and for how long.
    pub fn overlap(&self) -> Option<(Row, Row, u64)> {
        let (rows, now_ms) = (self.rows(), now_ms());
        for (i, a) in rows.iter().enumerate() {
            for b in rows[i + 1..].iter().filter(|b| b.task == a.task) {
                let end = a.end_ms.unwrap_or(now_ms).min(b.end_ms.unwrap_or(now_ms));
                let start = a.start_ms.max(b.start_ms);
                if end > start {
                    return Some((a.clone(), b.clone(), end - start));
                }
            }
        }
        None
    }
}

struct Run {
    task: String,
    run: u64,
    row: usize,
    due_ms: u64,
    started_ms: u64,
    stopped_at_ms: Option<u64>,
}

/// What ends with the executor's life.
#[derive(Default)]
struct Life {
    is_up: bool,
    number: u64,
    born: u64,
    started_ms: u64,
    clock_base: u64,
    token: u64,
    lease_until: u64,
    runs: Vec<Run>,
    /// Highest run of each task that was stopped or has ended here.
    closed: HashMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    seq: u64,
}

impl Life {
    fn clock(&self) -> u64 {
        self.clock_base + now_ms() - self.started_ms
    }
}

pub struct Exec {
    pub id: String,
    addr: String,
    control: String,
    service: String,
    life: Mutex<Life>,
    ended: Condvar,
    ledger: Arc<Ledger>,
    server: Mutex<Option<Server>>,
    /// Share of the orders, percent, that get no answer and are carried out 2 to 12 s later.
    late_percent: AtomicU64,
    random: AtomicU64,
    /// How far the time of day of the executor's machine is ahead, milliseconds.
    pub clock_step_ms: AtomicU64,
    pub is_draining: AtomicBool,
    /// When a heartbeat with `draining` was acknowledged first; 0 before.
    pub drain_acked_ms: AtomicU64,
}

impl Exec {
    pub fn start(
        id: String,
        addr: String,
        control: String,
        service: String,
        first_clock_ms: u64,
        ledger: Arc<Ledger>,
    ) -> Arc<Exec> {
        // Executors draw differently.
        let seed =
            id.bytes().fold(unix_ms(), |n, b| n.wrapping_mul(1_099_511_628_211) ^ u64::from(b));
        let exec = Arc::new(Exec {
            id,
            addr,
            control,
            service,
            life: Mutex::default(),
            ended: Condvar::new(),
            ledger,
            server: Mutex::default(),
            late_percent: AtomicU64::new(0),
            random: AtomicU64::new(seed),
            clock_step_ms: AtomicU64::new(0),
            is_draining: AtomicBool::new(false),
            drain_acked_ms: AtomicU64::new(0),
        });
        exec.begin_life(first_clock_ms);
        let (beats, timers) = (Arc::clone(&exec), Arc::clone(&exec));
        thread::spawn(move || beats.send_heartbeats());
        thread::spawn(move || timers.watch_runs());
        exec
    }

    /// Starts a life with this reading of its clock.
    fn begin_life(self: &Arc<Self>, clock_base: u64) {
        let mut life = self.life.lock().unwrap();
        *life = Life {
            is_up: true,
            number: life.number + 1,
            born: unix_ms() + self.clock_step_ms.load(Ordering::SeqCst),
            started_ms: now_ms(),
            clock_base,
            ..Life::default()
        };
        self.ledger
            .record
            .line(&format!("{} is up, life {}, clock {clock_base}", self.id, life.number));
        drop(life);
        let exec = Arc::clone(self);
        let handler: Handler = Arc::new(move |request| exec.handle(request));
        *self.server.lock().unwrap() = Some(Server::start(&self.addr, handler));
    }

    /// Crashes, with all that runs here, and starts again under the same id after `down_ms`.
    pub fn crash(self: &Arc<Self>, down_ms: u64) {
        let mut life = self.life.lock().unwrap();
        life.is_up = false;
        for run in std::mem::take(&mut life.runs) {
            self.ledger.end(run.row, "crashed");
        }
        self.ledger.record.line(&format!("{} crashes", self.id));
        drop(life);
        if let Some(server) = self.server.lock().unwrap().take() {
            server.close();
        }
        sleep_ms(down_ms);
        self.begin_life(0);
    }

    fn send_heartbeats(&self) {
        loop {
            let mut life = self.life.lock().unwrap();
            if !life.is_up {
                drop(life);
                sleep_ms(20);
                continue;
            }
            life.seq += 1;
            let (number, zone) = (life.number, "mid-a");
            let is_draining = self.is_draining.load(Ordering::SeqCst);
            let state = if is_draining { "draining" } else { "ready" };
            let body = format!(
                r#"{{"service":"{}","address":"{}","zone":"{zone}","version":"v1","slots":8,"state":"{}","coldRemainingMs":0,"capacity":{{"cpu":{CAPACITY_CPU},"memMb":32768,"gpu":0}},"labels":["a","r1-1"],"clockMs":{},"seq":{},"born":{}}}"#,
                self.service,
                self.addr,
                state,
                life.clock(),
                life.seq,
                life.born
            );
            drop(life);
            let path = format!("/-/Instances.Heartbeat/{}", self.id);
            let control = self.control.parse().unwrap();
            let reply = http::call(control, "POST", &path, &[], body.as_bytes(), 1_000);
            let is_acked = matches!(reply, Reply::Status(200..=299, _));
            if is_acked && is_draining {
                let first = |at_ms| (at_ms == 0).then(now_ms);
                let _ = self.drain_acked_ms.fetch_update(Ordering::SeqCst, Ordering::SeqCst, first);
            }
            let end_ms = now_ms() + if is_acked { HEARTBEAT_MS } else { 100 };
            while now_ms() < end_ms && self.life.lock().unwrap().number == number {
                sleep_ms(10);
            }
        }
    }

    /// Ends runs that are done, that were stopped, or whose lease has expired.
    fn watch_runs(&self) {
        loop {
            sleep_ms(1);
            let mut life = self.life.lock().unwrap();
            let (now, clock) = (now_ms(), life.clock());
            let is_lapsed = clock > life.lease_until;
            let mut has_ended = false;
            let mut index = 0;
            while index < life.runs.len() {
                let run = &life.runs[index];
                let how = match run.stopped_at_ms {
                    Some(at_ms) if now >= at_ms => "stopped",
                    _ if now >= run.due_ms => "done",
                    _ if is_lapsed => "lapsed",
                    _ => {
                        index += 1;
                        continue;
                    }
                };
                let run = life.runs.remove(index);
                self.ledger.end(run.row, how);
                life.ends += 1;
                let row = (life.ends, run.task.clone(), run.run, how);
                life.ended.push(row);
                let closed = life.closed.entry(run.task).or_insert(0);
                *closed = run.run.max(*closed);
                has_ended = true;
            }
            if has_ended {
                self.ended.notify_all();
            }
        }
    }

    /// Leaves a share of the orders unanswered and carries them out late.
    pub fn set_late_percent(&self, percent: u64) {
        self.late_percent.store(percent, Ordering::SeqCst);
    }

    fn draw(&self, below: u64) -> u64 {
        let step = |n: u64| Some(n.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695));
        let n = self.random.fetch_update(Ordering::SeqCst, Ordering::SeqCst, step).unwrap();
        (n >> 33) % below
    }

    fn handle(self: &Arc<Self>, request: &Request) -> (u16, Vec<u8>) {
        let body = json::parse(&request.body);
        let is_order = matches!(request.path.as_str(), "/-/run-start" | "/-/run-stop");
        if is_order && self.draw(100) < self.late_percent.load(Ordering::SeqCst) {
            let (exec, path, delay_ms) =
                (Arc::clone(self), request.path.clone(), 2_000 + self.draw(10_000));
            let number = self.life.lock().unwrap().number;
            thread::spawn(move || {
                sleep_ms(delay_ms);
                if exec.life.lock().unwrap().number == number {
                    exec.carry_out(&path, &body);
                }
            });
            return (UNANSWERED, Vec::new());
        }
        self.carry_out(&request.path, &body)
    }

    fn carry_out(&self, path: &str, body: &Json) -> (u16, Vec<u8>) {
        let (status, text) = match path {
            "/-/run-start" => self.run_start(body),
            "/-/run-stop" => self.run_stop(body),
            "/-/hold" => self.hold(body),
            "/healthz" => (200, "{}".into()),
            _ => (404, "{}".into()),
        };
        (status, text.into_bytes())
    }

    /// Checks the fencing token and takes the lease that a call carries.
    fn admit(life: &mut Life, body: &Json) -> Result<(), (u16, String)> {
        let token = body.get("fencingToken").u64().unwrap_or(0);
        if token < life.token {
            return Err((409, refusal(life, "fence")));
        }
        life.token = token;
        if let Some(deadline) = body.get("deadlineMs").u64() {
            life.lease_until = life.lease_until.max(deadline.min(life.clock() + MAX_HOLD_MS));
        }
        Ok(())
    }

    fn run_start(&self, body: &Json) -> (u16, String) {
        let mut life = self.life.lock().unwrap();
        let (Some(task), Some(run)) = (body.get("task").str(), body.get("run").u64()) else {
            return (400, format!(r#"{{"clockMs":{}}}"#, life.clock()));
        };
        if let Err(refused) = Self::admit(&mut life, body) {
            return refused;
        }
        if body.get("deadlineMs").u64().unwrap_or(0) <= life.clock() {
            return (409, refusal(&life, "late"));
        }
        if !life.runs.iter().any(|known| known.task == task && known.run == run) {
            let highest_here = life.runs.iter().filter(|r| r.task == task).map(|r| r.run).max();
            let closed = life.closed.get(task).copied().max(highest_here);
            if closed.is_some_and(|closed| run <= closed) {
                return (409, refusal(&life, "old"));
            }
            let row = self.ledger.start(task, run, &self.id);
            let spec = body.get("spec").str().unwrap_or("");
            let work_ms: u64 = spec.rsplit('=').next().and_then(|n| n.parse().ok()).unwrap_or(100);
            life.runs.push(Run {
                task: task.into(),
                run,
                row,
                due_ms: now_ms() + work_ms,
                started_ms: now_ms(),
                stopped_at_ms: None,
            });
        }
        (200, format!(r#"{{"clockMs":{}}}"#, life.clock()))
    }

    fn run_stop(&self, body: &Json) -> (u16, String) {
        let mut life = self.life.lock().unwrap();
        if let Err(refused) = Self::admit(&mut life, body) {
            return refused;
        }
        let (Some(task), Some(run)) = (body.get("task").str(), body.get("run").u64()) else {
            return (400, format!(r#"{{"clockMs":{}}}"#, life.clock()));
        };
        let closed = life.closed.entry(task.into()).or_insert(0);
        *closed = run.max(*closed);
        for known in life.runs.iter_mut().filter(|r| r.task == task && r.run <= run) {
            known.stopped_at_ms.get_or_insert(now_ms() + STOP_MS);
        }
        (200, format!(r#"{{"clockMs":{}}}"#, life.clock()))
    }

    fn hold(&self, body: &Json) -> (u16, String) {
        let mut life = self.life.lock().unwrap();
        if let Err(refused) = Self::admit(&mut life, body) {
            return refused;
        }
        let last_seen = body.get("lastSeen").u64().unwrap_or(0);
        life.ended.retain(|(n, ..)| *n > last_seen);
        let end_ms = now_ms() + body.get("waitMs").u64().unwrap_or(0).min(2_000);
        let number = life.number;
        while life.ended.is_empty() && now_ms() < end_ms && life.number == number && life.is_up {
            let wait = Duration::from_millis((end_ms - now_ms()).clamp(1, 20));
            life = self.ended.wait_timeout(life, wait).unwrap().0;
        }
        let running: Vec<String> = life
            .runs
            .iter()
            .map(|r| {
                let worked_ms = now_ms() - r.started_ms;
                let percent = 100 * worked_ms / (r.due_ms - r.started_ms).max(1);
                format!(r#"["{}",{},"",{percent},0]"#, r.task, r.run)
            })
            .collect();
        let ended: Vec<String> = life
            .ended
            .iter()
            .take(500)
            .map(|(n, task, run, how)| format!(r#"[{n},"{task}",{run},"{how}",""]"#))
            .collect();
        let text = format!(
            r#"{{"clockMs":{},"born":{},"running":[{}],"ended":[{}]}}"#,
            life.clock(),
            life.born,
            running.join(","),
            ended.join(",")
        );
        (200, text)
    }
}

fn refusal(life: &Life, reason: &str) -> String {
    format!(r#"{{"clockMs":{},"reason":"{reason}"}}"#, life.clock())
}
