use super::*;

/// Returns a log whose reader has stopped, and the queue that its writer would empty.
fn stuck_log() -> (Events, std::sync::mpsc::Receiver<Chunk>) {
    let (tx, rx) = sync_channel(1);
    (Events { process: "agent".into(), state: RefCell::default(), tx: Some(tx) }, rx)
}

/// Guards against early flushes that drop lines which the next periodic one could still write.
#[test]
fn an_early_flush_keeps_its_lines_when_the_queue_is_full() {
    let (events, rx) = stuck_log();
    for event in ["found_run", "stop_sent", "stop_answered"] {
        events.emit(Level::Notable, event, &[]);
        events.flush_early();
    }
    let mut text = String::new();
    while let Ok(Chunk::Lines(lines)) = rx.try_recv() {
        text += std::str::from_utf8(&lines).expect("lines are text");
        events.flush();
    }
    let at: Vec<_> = ["found_run", "stop_sent", "stop_answered"].map(|name| text.find(name)).into();
    assert!(at.iter().all(Option::is_some) && at.is_sorted(), "{text}");
    assert!(!text.contains(UNREAD), "{text}");
}
