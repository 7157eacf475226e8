//! The platform's store: appends, long-poll reads and the newest record of each key.

use std::{
    collections::HashMap,
    sync::{Arc, Condvar, Mutex},
    time::Duration,
};

use crate::{
    Record,
    http::{Handler, Request, Server},
    json, now_ms, sleep_ms,
};

type Topics = HashMap<String, Vec<(String, Vec<u8>)>>;

struct Shared {
    topics: Mutex<Topics>,
    changed: Condvar,
    record: Record,
}

pub struct Store {
    pub addr: String,
    shared: Arc<Shared>,
    _server: Server,
}

impl Store {
    pub fn start(addr: &str, record: Record) -> Store {
        let shared = Arc::new(Shared { topics: Mutex::default(), changed: Condvar::new(), record });
        let inner = Arc::clone(&shared);
        let handler: Handler = Arc::new(move |request| inner.handle(request));
        Store { addr: addr.into(), shared, _server: Server::start(addr, handler) }
    }

    /// Appends a record, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.shared.topics.lock().unwrap();
        topics.entry(topic.into()).or_default().push((key.into(), value.to_vec()));
        self.shared.changed.notify_all();
    }
}

impl Shared {
    fn handle(&self, request: &Request) -> (u16, Vec<u8>) {
        let topic = request.query("topic").unwrap_or("").to_owned();
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/-/log-append") => {
                sleep_ms(4);
                let mut topics = self.topics.lock().unwrap();
                let records = topics.entry(topic.clone()).or_default();
                let offset = records.len();
                let mut rest = &request.body[..];
                while rest.len() > 4 {
                    let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                    let content = &rest[4..4 + length];
                    let key_end = 1 + content[0] as usize;
                    let key = String::from_utf8_lossy(&content[1..key_end]).into_owned();
                    records.push((key, content[key_end..].to_vec()));
                    rest = &rest[4 + length..];
                }
                let end = records.len();
                self.record.line(&format!("store append {topic} offset {offset}"));
                self.changed.notify_all();
                (200, format!(r#"{{"offset":{offset},"end":{end}}}"#).into_bytes())
            }
            ("GET", "/-/log-newest") => {
                sleep_ms(4);
                let topics = self.topics.lock().unwrap();
                let empty = Vec::new();
                let records = topics.get(&topic).unwrap_or(&empty);
                let mut newest: Vec<(&String, &Vec<u8>, usize)> = Vec::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.retain(|(known, ..)| *known != key);
                    newest.push((key, value, offset));
                }
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(_, value, _)| !value.is_empty())
                    .map(|(key, value, offset)| {
                        let value = json::base64(value);
                        format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
                    })
                    .collect();
                let (items, end) = (items.join(","), records.len());
                (200, format!(r#"{{"items":[{items}],"hasMore":false,"end":{end}}}"#).into_bytes())
            }
            ("GET", "/-/log-read") => {
                let number = |key| request.query(key).and_then(|n| n.parse::<u64>().ok());
                let from = number("from").unwrap_or(0) as usize;
                let end_ms = now_ms() + number("waitMs").unwrap_or(0).min(30_000);
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let records = topics.get(&topic).map_or(&[][..], Vec::as_slice);
                    if records.len() > from || now_ms() >= end_ms {
                        let mut page = (records.len() as u64).to_be_bytes().to_vec();
                        page.extend(0u64.to_be_bytes());
                        for (key, value) in records.iter().skip(from) {
                            let length = 1 + key.len() + value.len();
                            page.extend((length as u32).to_be_bytes());
                            page.push(key.len() as u8);
                            page.extend(key.as_bytes());
                            page.extend(value);
                        }
                        return (200, page);
                    }
                    let wait = Duration::from_millis(end_ms.saturating_sub(now_ms()).clamp(1, 50));
                    topics = self.changed.wait_timeout(topics, wait).unwrap().0;
                }
            }
            _ => (404, b"{}".to_vec()),
        }
    }
}
