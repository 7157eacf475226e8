//! Stand-in of a sound executor of the platform.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, Response, number_field, text_field},
    record::Record,
};

/// `maxHoldMs` and `heartbeatMs` of the sites.
const MAX_HOLD_MS: u64 = 1_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long the channel of a start stays open that gets no answer.
const LATE_WAIT: Duration = Duration::from_secs(2);
/// Period of looking for ends.
const STEP: Duration = Duration::from_millis(5);

struct Run {
    task: String,
    number: u64,
    ends_ms: u64,
}

/// State of one life.
struct State {
    born_ms: u64,
    start: Instant,
    /// Whether the process is down.
    is_down: bool,
    token: u64,
    /// End of the lease on the executor's clock, milliseconds.
    lease_end_ms: u64,
    running: Vec<Run>,
    /// Number of the end, task, run, how.
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    /// Highest run of each task that was stopped or has ended.
    past: BTreeMap<String, u64>,
}

impl State {
    fn new() -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            born_ms: born.as_millis() as u64,
            start: Instant::now(),
            is_down: false,
            token: 0,
            lease_end_ms: 0,
            running: Vec::new(),
            ended: Vec::new(),
            ends: 0,
            past: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

pub struct Executor {
    id: String,
    pool: String,
    zone: String,
    milli_cores: u64,
    state: Mutex<State>,
    addr: SocketAddr,
    /// Tells the server of the present life that it has ended.
    is_closed: Mutex<Arc<AtomicBool>>,
    /// Starts that got no answer and are carried out late.
    late_starts: Mutex<Vec<String>>,
    answers_starts: AtomicBool,
    has_ended: Condvar,
    record: Arc<Record>,
}

impl Executor {
    /// Starts an executor that sends its heartbeats to `control`.
    pub fn start(
        id: &str,
        pool: &str,
        zone: &str,
        milli_cores: u64,
        listener: TcpListener,
        control: SocketAddr,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let addr = listener.local_addr().expect("a listener has an address");
        let executor = Arc::new(Self {
            id: id.to_owned(),
            pool: pool.to_owned(),
            zone: zone.to_owned(),
            milli_cores,
            state: Mutex::new(State::new()),
            addr,
            is_closed: Mutex::default(),
            late_starts: Mutex::default(),
            answers_starts: AtomicBool::new(true),
            has_ended: Condvar::new(),
            record: Arc::clone(record),
        });
        executor.serve(listener);
        let stepped = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                stepped.advance(&mut stepped.state.lock().unwrap());
                thread::sleep(STEP);
            }
        });
        let announced = Arc::clone(&executor);
        thread::spawn(move || announced.announce(addr, control));
        executor
    }

    /// Leaves the first call of a start unanswered, to be carried out late, and returns whether it was
    /// the first; its repetition is answered.
    fn is_left(&self, body: &str) -> bool {
        if self.answers_starts.load(Ordering::Relaxed) {
            return false;
        }
        let mut late_starts = self.late_starts.lock().unwrap();
        let task = text_field(body, "task");
        let is_first = late_starts.iter().all(|late| text_field(late, "task") != task);
        if is_first {
            late_starts.push(body.to_owned());
        }
        is_first
    }

    /// Leaves the first calls of starts unanswered from now on, to carry them out late.
    pub fn leave_starts(&self) {
        self.answers_starts.store(false, Ordering::Relaxed);
    }

    /// Answers starts again.
    pub fn answer_starts(&self) {
        self.answers_starts.store(true, Ordering::Relaxed);
    }

    /// Returns whether a start was left unanswered.
    pub fn has_late_starts(&self) -> bool {
        !self.late_starts.lock().unwrap().is_empty()
    }

    /// Ends the process: it resets its channels, and its runs are gone.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        self.end(&mut state, |_| true, "crashed");
        state.is_down = true;
        self.is_closed.lock().unwrap().store(true, Ordering::Relaxed);
        self.record.line(&format!("{} crashes", self.id));
    }

    /// Starts the process again, under the same id, and carries out the late starts.
    pub fn restart(self: &Arc<Self>) {
        let listener = TcpListener::bind(self.addr).expect("the address is free again");
        let mut state = self.state.lock().unwrap();
        *state = State::new();
        self.answers_starts.store(true, Ordering::Relaxed);
        self.record.line(&format!("{} is back, as another life with the same id", self.id));
        for body in self.late_starts.lock().unwrap().drain(..) {
            // A life that has started has seen no token.
            self.run_start(&mut state, &body);
        }
        drop(state);
        self.serve(listener);
    }

    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let is_closed = Arc::new(AtomicBool::new(false));
        *self.is_closed.lock().unwrap() = Arc::clone(&is_closed);
        let served = Arc::clone(self);
        http::serve(listener, is_closed, move |request| served.handle(request));
    }

    fn announce(&self, own: SocketAddr, control: SocketAddr) {
        for seq in 1.. {
            let (is_down, clock_ms, born_ms) = {
                let state = self.state.lock().unwrap();
                (state.is_down, state.clock_ms(), state.born_ms)
            };
            if is_down {
                thread::sleep(STEP);
                continue;
            }
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{own}\",\"zone\":\"{}\",\"version\":\"v1\",\
                 \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\"capacity\":{{\"cpu\":{},\
                 \"memMb\":65536,\"gpu\":0}},\"labels\":[\"a\",\"r1\"],\"clockMs\":{},\"seq\":{seq},\
                 \"born\":{}}}",
                self.pool, self.zone, self.milli_cores, clock_ms, born_ms
            );
            let target = format!("/-/Instances.Heartbeat/{}", self.id);
            let headers = [("Host", "control"), ("Content-Type", "application/json")];
            let wait = Duration::from_secs(1);
            let is_acked = http::call(control, "POST", &target, &headers, &body, wait).is_ok();
            // While its agent has not started yet, an executor tries again soon.
            thread::sleep(if is_acked { HEARTBEAT } else { Duration::from_millis(100) });
        }
    }

    fn handle(&self, request: &Request) -> Response {
        let body = request.text();
        let mut state = self.state.lock().unwrap();
        if state.is_down {
            return Response::NONE;
        }
        let born_ms = state.born_ms;
        self.advance(&mut state);
        let number = |name| number_field(&body, name).unwrap_or(0);
        if number("fencingToken") < state.token {
            return self.answer(&state, 409, Some("fence"));
        }
        state.token = number("fencingToken");
        match request.path() {
            "/-/run-start" => {
                if request.header("expect-instance").is_some_and(|id| id != self.id) {
                    return self.answer(&state, 421, None);
                }
                if self.is_left(&body) {
                    drop(state);
                    thread::sleep(LATE_WAIT);
                    return Response::NONE;
                }
                self.run_start(&mut state, &body)
            }
            "/-/run-stop" => {
                let task = text_field(&body, "task").unwrap_or_default();
                let highest = state.past.entry(task.clone()).or_insert(0);
                *highest = (*highest).max(number("run"));
                let limit = *highest;
                self.end(&mut state, |run| run.task == task && run.number <= limit, "stopped");
                self.answer(&state, 200, None)
            }
            "/-/hold" => {
                state.ended.retain(|(end, ..)| *end > number("lastSeen"));
                self.extend(&mut state, number("deadlineMs"));
                let due = Instant::now() + Duration::from_millis(number("waitMs").min(2_000));
                while state.ended.is_empty() && Instant::now() < due {
                    let left = due.saturating_duration_since(Instant::now());
                    state = self.has_ended.wait_timeout(state, left).unwrap().0;
                }
                if state.is_down || state.born_ms != born_ms {
                    return Response::NONE;
                }
                self.lists(&state)
            }
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn run_start(&self, state: &mut State, body: &str) -> Response {
        let (number, clock_ms) = (number_field(body, "run").unwrap_or(0), state.clock_ms());
        let Some(task) = text_field(body, "task") else { return self.answer(state, 400, None) };
        let spec = text_field(body, "spec").unwrap_or_default();
        let lease_end_ms = number_field(body, "deadlineMs").unwrap_or(0);
        if state.running.iter().any(|run| run.task == task && run.number == number) {
            self.extend(state, lease_end_ms);
            return self.answer(state, 200, None);
        }
        if state.past.get(&task).is_some_and(|past| number <= *past) {
            self.extend(state, lease_end_ms);
            return self.answer(state, 409, Some("old"));
        }
        if lease_end_ms <= clock_ms {
            return self.answer(state, 409, Some("late"));
        }
        self.extend(state, lease_end_ms);
        let run_ms = spec.split("run_ms=").nth(1).and_then(|text| text.parse().ok()).unwrap_or(100);
        self.record.run_started(&self.id, &task, number);
        state.running.push(Run { task, number, ends_ms: clock_ms + run_ms });
        self.answer(state, 200, None)
    }

    /// Extends the lease, by the most that a lease may last.
    fn extend(&self, state: &mut State, until_ms: u64) {
        let until_ms = until_ms.min(state.clock_ms() + MAX_HOLD_MS);
        state.lease_end_ms = state.lease_end_ms.max(until_ms);
    }

    /// Ends the runs that are done, and all when their lease has ended.
    fn advance(&self, state: &mut State) {
        let clock_ms = state.clock_ms();
        self.end(state, |run| run.ends_ms <= clock_ms, "done");
        if state.lease_end_ms <= clock_ms {
            self.end(state, |_| true, "lapsed");
        }
    }

    fn end(&self, state: &mut State, is_ended: impl Fn(&Run) -> bool, how: &'static str) {
        let (ended, running) = state.running.drain(..).partition(is_ended);
        state.running = running;
        let ended: Vec<Run> = ended;
        for run in ended {
            state.ends += 1;
            let past = state.past.entry(run.task.clone()).or_insert(0);
            *past = (*past).max(run.number);
            self.record.run_ended(&self.id, &run.task, run.number, how);
            let end = state.ends;
            state.ended.push((end, run.task, run.number, how));
            self.has_ended.notify_all();
        }
    }

    fn lists(&self, state: &State) -> Response {
        let running: Vec<String> = state
            .running
            .iter()
            .map(|run| format!("[\"{}\",{},\"\",50,1000]", run.task, run.number))
            .collect();
        let ended: Vec<String> = state
            .ended
            .iter()
            .take(500)
            .map(|(end, task, run, how)| format!("[{end},\"{task}\",{run},\"{how}\",\"\"]"))
            .collect();
        let (running, ended) = (running.join(","), ended.join(","));
        let (clock_ms, born_ms) = (state.clock_ms(), state.born_ms);
        Response::json(
            200,
            format!(
                "{{\"clockMs\":{clock_ms},\"born\":{born_ms},\"running\":[{running}],\
                 \"ended\":[{ended}]}}"
            ),
        )
    }

    fn answer(&self, state: &State, status: u16, reason: Option<&str>) -> Response {
        let reason = reason.map_or(String::new(), |reason| format!(",\"reason\":\"{reason}\""));
        let (clock_ms, born_ms) = (state.clock_ms(), state.born_ms);
        Response::json(status, format!("{{\"clockMs\":{clock_ms},\"born\":{born_ms}{reason}}}"))
    }
}
