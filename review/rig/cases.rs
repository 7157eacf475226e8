//! The cases.

use std::{
    io::Write,
    net::TcpStream,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
};

use crate::{
    CANCEL_MS, RECOVERY_MS, RESEND_MS, Record, Rig, Route, SIGCONT, SIGSTOP, SIGTERM,
    STOP_TIMEOUT_MS, config,
    http::{self, Reply},
    now_ms, sleep_ms,
};

pub fn play(case: &str, folder: &str, has_trouble: bool) {
    match case {
        "recover" => recover(folder, has_trouble),
        "twice" => twice(folder, has_trouble),
        "cancel" => cancel(folder, has_trouble),
        "twice-entry" => twice_entry(folder, has_trouble),
        "late-stop" => late_stop(folder, has_trouble),
        "lost" => lost(folder, has_trouble),
        "held-up" => held_up(folder, has_trouble),
        "older-clock" => older_clock(folder, has_trouble),
        "same-id" => same_id(folder, has_trouble),
        _ => {
            eprintln!("no such case: {case}");
            std::process::exit(2)
        }
    }
}

const HOST: &str = "nony24.example";

fn route(prefix: &'static str, service: &'static str) -> Route {
    Route {
        name: "r-3hwrr6x",
        host: HOST,
        prefix,
        service,
        target_completion_ms: 60,
        timeout_ms: 1_500,
    }
}

/// The body of a job that needs no keeping: `count` tasks that work for `work_ms`.
fn job(count: u64, cpu: u64, work_ms: u64) -> String {
    format!(
        r#"{{"spec":"work={work_ms}","bestEffort":true,"steps":[{{"count":{count},"cpu":{cpu},"memMb":64,"estimateMs":{work_ms}}}]}}"#
    )
}

/// Hands a job in at an entry and records the answer.
fn submit(rig: &Rig, entry: usize, path: &str, body: &str, budget_ms: u64) -> Reply {
    let front = rig.entries[entry].front;
    submit_at(&rig.record, front, entry, path, body, budget_ms)
}

fn submit_at(
    record: &Record,
    front: std::net::SocketAddr,
    entry: usize,
    path: &str,
    body: &str,
    budget_ms: u64,
) -> Reply {
    record.line(&format!("client POST {path} to edge-{}: {body}", entry + 1));
    let headers = [
        ("Host", HOST.to_owned()),
        ("Content-Type", "application/json".into()),
        ("Deadline-Ms", budget_ms.to_string()),
    ];
    let reply = http::call(front, "POST", path, &headers, body.as_bytes(), budget_ms);
    record.line(&format!("client POST {path} answered {reply:?}"));
    reply
}

/// RECOVER: executors start again, one after the other; later all processes are killed at once.
fn recover(folder: &str, has_trouble: bool) {
    const EXECUTORS: usize = 8;
    let services = ["huvo11a"; EXECUTORS];
    let rig = Rig::start(folder, 2, &services, &[route("/lohu930/", "huvo11a")], 482_113);
    // Sends and answers: when sent, and whether served.
    let sent: Arc<Mutex<Vec<(u64, bool)>>> = Arc::default();
    let is_over = Arc::new(Mutex::new(false));
    let clients: Vec<_> = (0..4u64)
        .map(|client| {
            let (sent, is_over) = (Arc::clone(&sent), Arc::clone(&is_over));
            let fronts: Vec<_> = rig.entries.iter().map(|entry| entry.front).collect();
            let record = rig.record.clone();
            thread::spawn(move || {
                for n in 0u64.. {
                    if *is_over.lock().unwrap() {
                        return;
                    }
                    let entry = ((client + n) % 2) as usize;
                    let path = format!("/lohu930/{:016x}", 0xa000_0000 + client * 0x10_0000 + n);
                    let sent_ms = now_ms();
                    let body = job(2, 3_100, 200);
                    let reply = submit_at(&record, fronts[entry], entry, &path, &body, 1_500);
                    let is_served =
                        matches!(reply, Reply::Status(200, ref body) if body.contains("succeeded"));
                    sent.lock().unwrap().push((sent_ms, is_served));
                    sleep_ms(if is_served { 100 } else { 250 });
                }
            })
        })
        .collect();
    sleep_ms(4_000);
    if has_trouble {
        for exec in &rig.execs {
            exec.crash(800);
            sleep_ms(700);
        }
    } else {
        sleep_ms(1_500 * EXECUTORS as u64);
    }
    sleep_ms(3_000);
    let fault_ms = now_ms();
    // The final fault follows the store's acknowledgement of one more configuration.
    let changed = Route { timeout_ms: 1_600, ..route("/lohu930/", "huvo11a") };
    rig.store.put("keyed.op", "config", config(3, &[changed]).as_bytes());
    rig.record.line("the store has acknowledged configuration 3");
    rig.record.line("final fault: all processes are killed");
    rig.entries.iter().for_each(|entry| entry.program.kill());
    rig.agents.iter().for_each(|agent| agent.kill());
    sleep_ms(1_000);
    rig.entries.iter().for_each(|entry| entry.program.start());
    rig.agents.iter().for_each(|agent| agent.start());
    let back_ms = now_ms();
    rig.record.line("all processes are started again");
    sleep_ms(RECOVERY_MS + 10_000);
    *is_over.lock().unwrap() = true;
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap().clone();
    let share = |from_ms: u64, to_ms: u64| {
        let rows: Vec<bool> =
            sent.iter().filter(|(at, _)| (from_ms..to_ms).contains(at)).map(|row| row.1).collect();
        let served = rows.iter().filter(|served| **served).count();
        (served, rows.len())
    };
    let (before, after) = (share(0, fault_ms), share(back_ms + RECOVERY_MS, u64::MAX));
    let line = format!(
        "served before the final fault: {} of {}; of those sent later than recoveryS after: {} of {}",
        before.0, before.1, after.0, after.1
    );
    rig.record.line(&line);
    println!("{line}");
    if before.0 * 4 < before.1 || after.1 < 10 {
        rig.cannot_run("too little was sent, or served before the fault");
    }
    let is_broken = after.0 * 4 < after.1;
    rig.finish(is_broken.then(|| format!("RECOVER: {line}")));
}

/// TWICE: the machine of one agent freezes while an entry stops a job there.
fn twice(folder: &str, has_trouble: bool) {
    const WORK_MS: u64 = 3_600;
    // One of ten machines freezes, a share of 0.1.
    let services = ["huvo11a"; 10];
    let rig = Rig::start(folder, 2, &services, &[route("/lohu930/", "huvo11a")], 482_113);
    for round in 0..6u64 {
        let path = format!("/lohu930/{:016x}", 0xb000_0000 + round);
        let task = format!("{:016x}.0.0.0", 0xb000_0000 + round);
        let body = job(1, 6_200, WORK_MS);
        let (front, record) = (rig.entries[0].front, rig.record.clone());
        let (first_path, first_body) = (path.clone(), body.clone());
        let client =
            thread::spawn(move || submit_at(&record, front, 0, &first_path, &first_body, 1_500));
        let sent_ms = now_ms();
        // The agent whose executor has started the task freezes 1.2 s after the job was sent.
        while now_ms() < sent_ms + 1_200 {
            sleep_ms(5);
        }
        let rows = rig.ledger.rows();
        let Some(row) = rows.iter().find(|row| row.task == task) else {
            rig.cannot_run("the task has not started");
        };
        let index = rig.execs.iter().position(|exec| exec.id == row.exec).unwrap();
        if has_trouble {
            rig.record.line(&format!("{} freezes", rig.agents[index].name));
            rig.agents[index].signal(SIGSTOP);
        }
        sleep_ms(500);
        if has_trouble {
            rig.agents[index].signal(SIGCONT);
            rig.record.line(&format!("{} wakes", rig.agents[index].name));
        }
        let reply = client.join().unwrap();
        if matches!(reply, Reply::Status(429 | 503 | 404 | 410, _)) {
            rig.cannot_run("the job was refused");
        }
        if !matches!(reply, Reply::Status(200, _)) {
            // No final answer: the client sends the job again `resendMs` later, to another node.
            sleep_ms(RESEND_MS);
            submit(&rig, 1, &path, &body, 1_500);
        }
        sleep_ms(2_500);
        if let Some((a, b, ms)) = rig.ledger.overlap() {
            rig.finish(Some(format!(
                "TWICE: {} ran for {ms} ms at the same time on {} (run {}) and {} (run {})",
                a.task, a.exec, a.run, b.exec, b.run
            )));
        }
    }
    rig.finish(None);
}

/// UNASKED: a client cancels a job while its first task runs.
fn cancel(folder: &str, has_trouble: bool) {
    let mut route = route("/lohu930/", "huvo11a");
    route.timeout_ms = 15_000;
    let rig = Rig::start(folder, 2, &["huvo11a"; 3], &[route], 482_113);
    let path = "/lohu930/00000000c0000001";
    // Three steps, one after the other, of one task each.
    let step =
        |after: &str| format!(r#"{{"count":1,"cpu":3100,"memMb":64,"estimateMs":3000{after}}}"#);
    let steps = [step(""), step(r#","dependsOn":[0]"#), step(r#","dependsOn":[1]"#)].join(",");
    let body = format!(r#"{{"spec":"work=3000","bestEffort":true,"steps":[{steps}]}}"#);
    let (front, record) = (rig.entries[0].front, rig.record.clone());
    let client = thread::spawn(move || submit_at(&record, front, 0, path, &body, 15_000));
    sleep_ms(1_000);
    let mut acked_ms = None;
    if has_trouble {
        rig.record.line(&format!("client DELETE {path} to edge-1"));
        let headers = [("Host", HOST.to_owned())];
        let reply = http::call(front, "DELETE", path, &headers, b"", 4_000);
        rig.record.line(&format!("client DELETE {path} answered {reply:?}"));
        if !matches!(reply, Reply::Status(200..=299 | 410, _)) {
            rig.cannot_run("the cancelling was not acknowledged");
        }
        acked_ms = Some(now_ms());
    }
    let reply = client.join().unwrap();
    println!("the job was answered {reply:?}");
    let rows = rig.ledger.rows();
    if rows.is_empty() {
        rig.cannot_run("the first task has not started");
    }
    let Some(acked_ms) = acked_ms else { rig.finish(None) };
    let bound_ms = acked_ms + CANCEL_MS;
    let mut found: Vec<String> = Vec::new();
    for row in &rows {
        if row.start_ms > bound_ms {
            let after_ms = row.start_ms - acked_ms;
            found.push(format!("{} was started {after_ms} ms after the ack", row.task));
        }
        let end_ms = row.end_ms.unwrap_or(u64::MAX);
        if row.start_ms <= bound_ms && end_ms > bound_ms + STOP_TIMEOUT_MS {
            found.push(format!("{} ran on {} ms after the ack", row.task, end_ms - acked_ms));
        }
    }
    rig.finish((!found.is_empty()).then(|| format!("UNASKED: {}", found.join("; "))));
}

/// MIXED: clients of two queues choose the same id.
fn same_id(folder: &str, has_trouble: bool) {
    let mut routes = [route("/lohu930/", "huvo11a"), route("/pufi791/", "notebook7")];
    routes[1].name = "r-73d3zji";
    let services = ["huvo11a", "huvo11a", "notebook7", "notebook7"];
    let rig = Rig::start(folder, 2, &services, &routes, 482_113);
    let (front, record) = (rig.entries[0].front, rig.record.clone());
    let first = thread::spawn(move || {
        submit_at(&record, front, 0, "/lohu930/00000000d0000001", &job(2, 3_100, 600), 1_500)
    });
    sleep_ms(200);
    let id = if has_trouble { 0xd000_0001u64 } else { 0xd000_0002 };
    let path = format!("/pufi791/{id:016x}");
    let second = submit(&rig, 0, &path, &job(3, 3_100, 201), 1_500);
    let _ = first.join();
    sleep_ms(1_000);
    // The second job has three tasks, for the executors of the second service.
    let theirs: Vec<&str> = rig.execs[2..].iter().map(|exec| exec.id.as_str()).collect();
    let rows = rig.ledger.rows();
    let done =
        rows.iter().filter(|row| row.how == "done" && theirs.contains(&row.exec.as_str())).count();
    let is_shown = matches!(second, Reply::Status(200, ref body) if body.contains("succeeded"));
    rig.record.line(&format!("second job: shown as succeeded {is_shown}, tasks done {done} of 3"));
    rig.finish((is_shown && done < 3).then(|| {
        format!("MIXED: {path} was shown as succeeded and {done} of its 3 tasks have ended done")
    }));
}

/// LOST: an entry gets SIGTERM while a job of its waits for room.
fn lost(folder: &str, has_trouble: bool) {
    let mut route = route("/lohu930/", "huvo11a");
    route.timeout_ms = 15_000;
    let rig = Rig::start(folder, 2, &["huvo11a"; 2], &[route], 482_113);
    let (fronts, record) = ([rig.entries[0].front, rig.entries[1].front], rig.record.clone());
    // Two tasks of another job, handed in at the other entry, fill the executors.
    let full = thread::spawn(move || {
        submit_at(&record, fronts[1], 1, "/lohu930/00000000e0000001", &job(2, 7_000, 9_500), 15_000)
    });
    sleep_ms(300);
    let body = r#"{"spec":"work=200","bestEffort":true,"steps":[{"count":1,"cpu":500,"memMb":64,"estimateMs":200},{"count":1,"cpu":2000,"memMb":64,"estimateMs":200,"dependsOn":[0]}]}"#;
    let record = rig.record.clone();
    let client = thread::spawn(move || {
        let sent_ms = now_ms();
        let reply = submit_at(&record, fronts[0], 0, "/lohu930/00000000e0000002", body, 15_000);
        (sent_ms, reply, now_ms())
    });
    sleep_ms(1_000);
    let term_ms = now_ms();
    if has_trouble {
        rig.record.line("edge-1 gets SIGTERM");
        rig.entries[0].program.signal(SIGTERM);
    }
    let (sent_ms, reply, end_ms) = client.join().unwrap();
    let _ = full.join();
    rig.record.line(&format!("sent at {sent_ms}, ended at {end_ms}: {reply:?}"));
    let rows = rig.ledger.rows();
    let has_started = rows.iter().any(|row| row.task == "00000000e0000002.0.0.0");
    if !has_started {
        rig.cannot_run("the first step has not started");
    }
    let is_at_work = rows.iter().any(|row| {
        row.task.starts_with("00000000e0000002")
            && row.start_ms <= end_ms
            && row.end_ms.is_none_or(|at_ms| at_ms > term_ms + 5_000)
    });
    let is_cut = matches!(reply, Reply::Broken);
    rig.finish((is_cut && !is_at_work).then(|| {
        format!(
            "LOST: the channel ended without an answer {} ms after the request was sent and {} ms after the SIGTERM; no executor was at work on it",
            end_ms - sent_ms,
            end_ms - term_ms
        )
    }));
}

/// TWICE: the machine of an entry freezes while the time of its jobs runs out.
fn twice_entry(folder: &str, has_trouble: bool) {
    const WORK_MS: u64 = 3_600;
    let services = ["huvo11a"; 4];
    let rig = Rig::start(folder, 2, &services, &[route("/lohu930/", "huvo11a")], 482_113);
    for round in 0..6u64 {
        let path = format!("/lohu930/{:016x}", 0xb000_0000 + round);
        let body = job(1, 6_200, WORK_MS);
        let (front, record) = (rig.entries[0].front, rig.record.clone());
        let (first_path, first_body) = (path.clone(), body.clone());
        let client =
            thread::spawn(move || submit_at(&record, front, 0, &first_path, &first_body, 1_500));
        sleep_ms(950);
        if has_trouble {
            rig.record.line("edge-1 freezes");
            rig.entries[0].program.signal(SIGSTOP);
        }
        sleep_ms(640);
        if has_trouble {
            rig.entries[0].program.signal(SIGCONT);
            rig.record.line("edge-1 wakes");
        }
        let reply = client.join().unwrap();
        if !matches!(reply, Reply::Status(200, _)) {
            sleep_ms(RESEND_MS);
            submit(&rig, 1, &path, &body, 1_500);
        }
        sleep_ms(2_500);
        if let Some((a, b, ms)) = rig.ledger.overlap() {
            rig.finish(Some(format!(
                "TWICE: {} ran for {ms} ms at the same time on {} (run {}) and {} (run {})",
                a.task, a.exec, a.run, b.exec, b.run
            )));
        }
    }
    rig.finish(None);
}

/// TWICE: an entry is killed while executors leave orders unanswered.
fn late_stop(folder: &str, has_trouble: bool) {
    let services = ["huvo11a"; 6];
    let rig = Rig::start(folder, 2, &services, &[route("/lohu930/", "huvo11a")], 482_113);
    let percent = std::env::var("LATE").ok().and_then(|n| n.parse().ok()).unwrap_or(50);
    for round in 0..6u64 {
        if has_trouble {
            rig.record
                .line(&format!("{percent} of 100 orders get no answer and are carried out late"));
            rig.execs.iter().for_each(|exec| exec.set_late_percent(percent));
        }
        let clients: Vec<_> = (0..6u64)
            .map(|n| {
                let path = format!("/lohu930/{:016x}", 0xf000_0000 + round * 16 + n);
                let body = job(5, 1_000, 3_600);
                let fronts = [rig.entries[0].front, rig.entries[1].front];
                let record = rig.record.clone();
                thread::spawn(move || {
                    let reply = submit_at(&record, fronts[0], 0, &path, &body, 5_000);
                    if !matches!(reply, Reply::Status(200, _)) {
                        sleep_ms(RESEND_MS);
                        submit_at(&record, fronts[1], 1, &path, &body, 5_000);
                    }
                })
            })
            .collect();
        sleep_ms(1_000);
        if has_trouble {
            rig.record.line("edge-1 is killed");
            rig.entries[0].program.kill();
        }
        sleep_ms(3_000);
        if has_trouble {
            rig.entries[0].program.start();
            rig.execs.iter().for_each(|exec| exec.set_late_percent(0));
        }
        for client in clients {
            let _ = client.join();
        }
        sleep_ms(1_500);
        if let Some((a, b, ms)) = rig.ledger.overlap() {
            rig.finish(Some(format!(
                "TWICE: {} ran for {ms} ms at the same time on {} (run {}) and {} (run {})",
                a.task, a.exec, a.run, b.exec, b.run
            )));
        }
    }
    rig.finish(None);
}

/// TWICE: a request that was held up on its way to a cut-off entry arrives when its client has
/// given up there and has sent the job to another one.
fn held_up(folder: &str, has_trouble: bool) {
    let route = route("/lohu930/", "huvo11a");
    let rig = Rig::start(folder, 2, &["huvo11a"; 4], &[route], 482_113);
    for round in 0..6u64 {
        let path = format!("/lohu930/{:016x}", 0xbb00_0000 + round);
        let body = job(1, 3_100, 1_200);
        // The first attempt is held up; its client waits for its time budget, closes the channel,
        // and sends the job to the other entry `resendMs` later.
        rig.record.line(&format!("client POST {path} to edge-1, held up: {body}"));
        sleep_ms(1_500 + RESEND_MS);
        let (again, text) = (path.clone(), body.clone());
        let (record, front) = (rig.record.clone(), rig.entries[1].front);
        let client = thread::spawn(move || submit_at(&record, front, 1, &again, &text, 1_500));
        sleep_ms(500);
        if has_trouble {
            let head = format!(
                "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\nDeadline-Ms: 1500\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            rig.record.line(&format!("POST {path} arrives at edge-1, then the end of the channel"));
            let mut stream = TcpStream::connect(rig.entries[0].front).unwrap();
            let _ = stream.write_all(head.as_bytes());
        }
        let _ = client.join();
        if let Some((a, b, ms)) = rig.ledger.overlap() {
            rig.finish(Some(format!(
                "TWICE: {} ran for {ms} ms at the same time on {} and {}",
                a.task, a.exec, b.exec
            )));
        }
    }
    rig.finish(None);
}

/// DRAIN: an executor that started while its time of day was ahead starts again after that, and
/// then leaves.
fn older_clock(folder: &str, has_trouble: bool) {
    const DRAIN_MS: u64 = 2_000;
    let rig = Rig::start(folder, 1, &["huvo11a"], &[route("/lohu930/", "huvo11a")], 482_113);
    let exec = Arc::clone(&rig.execs[0]);
    exec.clock_step_ms.store(if has_trouble { 2_000 } else { 0 }, Ordering::SeqCst);
    exec.crash(300);
    sleep_ms(300);
    exec.clock_step_ms.store(0, Ordering::SeqCst);
    exec.crash(300);
    sleep_ms(3_000);
    rig.record.line("the executor says that it is draining");
    exec.is_draining.store(true, Ordering::SeqCst);
    let end_ms = now_ms() + 9_000;
    for n in 0u64.. {
        if now_ms() >= end_ms {
            break;
        }
        let path = format!("/lohu930/{:016x}", 0xcc00_0000 + n);
        submit(&rig, 0, &path, &job(1, 1_000, 50), 1_500);
        sleep_ms(100);
    }
    let acked_ms = exec.drain_acked_ms.load(Ordering::SeqCst);
    if acked_ms == 0 {
        rig.cannot_run("no draining heartbeat was acknowledged");
    }
    let rows = rig.ledger.rows();
    let late = rows.iter().filter(|row| row.start_ms > acked_ms + DRAIN_MS).count();
    rig.finish(
        (late > 0).then(|| format!("DRAIN: {late} starts later than drainMs after the ack")),
    );
}
