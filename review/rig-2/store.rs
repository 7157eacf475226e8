//! Stand-in of the platform's store: keyed topics in memory.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{self, Request, Response};

/// Records of a topic: content without the length.
type Topics = BTreeMap<String, Vec<Vec<u8>>>;

#[derive(Default)]
pub struct Store {
    topics: Mutex<Topics>,
    appended: Condvar,
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self::default());
        let served = Arc::clone(&store);
        http::serve(listener, Arc::default(), move |request| served.handle(request));
        store
    }

    /// Writes the operator's configuration.
    pub fn put_config(&self, config: &str) {
        let mut record = vec![6];
        record.extend(b"config");
        record.extend(config.as_bytes());
        self.topics.lock().unwrap().entry("keyed.op".to_owned()).or_default().push(record);
        self.appended.notify_all();
    }

    fn handle(&self, request: &Request) -> Response {
        let topic = request.query("topic").unwrap_or("").to_owned();
        match (request.method.as_str(), request.path()) {
            ("POST", "/-/log-append") => self.append(&topic, &request.body),
            ("GET", "/-/log-read") => {
                let number = |name| request.query(name).and_then(|text| text.parse().ok());
                let from = number("from").unwrap_or(0) as usize;
                self.read(&topic, from, Duration::from_millis(number("waitMs").unwrap_or(0)))
            }
            ("GET", "/-/log-newest") => self.newest(&topic),
            _ => Response::json(404, "{}".to_owned()),
        }
    }

    fn append(&self, topic: &str, mut body: &[u8]) -> Response {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Response::json(403, "{}".to_owned());
        }
        let mut topics = self.topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        while body.len() >= 4 {
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            if body.len() < 4 + length {
                return Response::json(400, "{}".to_owned());
            }
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        let end = records.len();
        self.appended.notify_all();
        Response::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> Response {
        let due = Instant::now() + wait;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            let left = due.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for record in topics.get(topic).into_iter().flatten().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Response { status: 200, body };
            }
            topics = self.appended.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str) -> Response {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            newest.insert(key, (offset, &record[key_end..]));
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        Response::json(200, format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}"))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
