//! The platform's metadata store as PROTOCOL.md describes it. Leases, watches, transactions.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::wire;

const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and the event's JSON.
    history: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

pub struct Store {
    /// The key whose next write is done 6 s late and not answered.
    late: Mutex<Option<String>>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddrV4) -> Arc<Self> {
        let state = State { revision: 10, ..State::default() };
        let store = Arc::new(Self {
            late: Mutex::default(),
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind(addr).unwrap_or_else(|_| crate::cannot_run("store"));
        let serving = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        store
    }

    /// Has the next write of a key done 6 s late and not answered.
    pub fn lose_write(&self, key: &str) {
        *self.late.lock().unwrap() = Some(key.to_owned());
    }

    pub fn put(&self, key: &str, json: &str) {
        self.put_raw(key, &wire::base64(json.as_bytes()), 0);
    }

    fn put_raw(&self, key: &str, value: &str, lease: u64) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let rev = state.revision;
        let created = state.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value: value.to_owned(), rev, created, lease };
        state.history.push((rev, to_json(key, &item)));
        state.items.insert(key.to_owned(), item);
        drop(state);
        self.changed.notify_all();
        rev
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let rev = state.revision;
        state.history.push((rev, format!(r#"{{"key":"{key}","rev":{rev},"deleted":true}}"#)));
        drop(state);
        self.changed.notify_all();
    }

    /// Keys that begin with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.state.lock().unwrap().items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn expire(&self) {
        let ended: Vec<u64> = {
            let state = self.state.lock().unwrap();
            let now = Instant::now();
            state.leases.iter().filter(|(_, (end, _))| *end < now).map(|(id, _)| *id).collect()
        };
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&self, lease: u64) {
        let keys: Vec<String> = {
            let mut state = self.state.lock().unwrap();
            state.leases.remove(&lease);
            let of_lease = state.items.iter().filter(|(_, item)| item.lease == lease);
            of_lease.map(|(key, _)| key.clone()).collect()
        };
        for key in keys {
            self.remove(&key);
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) {
        let _kept_nagle = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let mut words = line.split_whitespace();
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (method, target) = (method.to_owned(), target.to_owned());
            let mut length = 0;
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                let header = header.trim().to_ascii_lowercase();
                if header.is_empty() {
                    break;
                }
                if let Some(value) = header.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            if reader.read_exact(&mut body).is_err() {
                return;
            }
            // The store takes 4 ms for an answer.
            thread::sleep(Duration::from_millis(4));
            if self.is_lost(&method, &target, &body) {
                // Nothing further comes on this connection.
                thread::sleep(Duration::from_secs(200));
                return;
            }
            let (status, body) = self.answer(&method, &target, &String::from_utf8_lossy(&body));
            let head = format!(
                "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Whether the answer to a call is lost; the call is done later.
    fn is_lost(self: &Arc<Self>, method: &str, target: &str, body: &[u8]) -> bool {
        let body = String::from_utf8_lossy(body).into_owned();
        let key = json_text(&body, "key");
        let mut late = self.late.lock().unwrap();
        if method != "POST" || target != "/kv-txn" || late.is_none() || *late != key {
            return false;
        }
        *late = None;
        let store = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(6));
            store.answer("POST", "/kv-txn", &body);
        });
        true
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let text = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == name).map(|(_, value)| unescape(value)).next()
        };
        let number = |name: &str| text(name).and_then(|value| value.parse::<u64>().ok());
        match (method, path) {
            ("GET", "/kv-range") => (
                200,
                self.range(&text("prefix").unwrap_or_default(), &text("after").unwrap_or_default()),
            ),
            ("GET", "/kv-watch") => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                (200, self.watch(number("after").unwrap_or(0), wait))
            }
            ("POST", "/kv-lease") => {
                let ttl = json_number(body, "ttl_ms").unwrap_or(1_000).max(1_000);
                let mut state = self.state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let duration = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + duration, duration));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("POST", "/kv-txn") => {
                let lease = json_number(body, "lease").unwrap_or(0);
                if lease != 0 && !self.state.lock().unwrap().leases.contains_key(&lease) {
                    return (404, "{}".to_owned());
                }
                let (Some(key), Some(value)) = (json_text(body, "key"), json_text(body, "value"))
                else {
                    return (400, "{}".to_owned());
                };
                (200, format!(r#"{{"rev":{}}}"#, self.put_raw(&key, &value, lease)))
            }
            _ => {
                let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
                match (method, id) {
                    ("POST", Some(id)) if path.starts_with("/kv-keep/") => {
                        let mut state = self.state.lock().unwrap();
                        let Some((end, duration)) = state.leases.get_mut(&id) else {
                            return (404, "{}".to_owned());
                        };
                        *end = Instant::now() + *duration;
                        (200, "{}".to_owned())
                    }
                    ("DELETE", Some(id)) if path.starts_with("/kv-lease-end/") => {
                        self.end_lease(id);
                        (200, "{}".to_owned())
                    }
                    _ => (404, "{}".to_owned()),
                }
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let mut found = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let items: Vec<String> =
            found.by_ref().take(PAGE_ITEMS).map(|(key, item)| to_json(key, item)).collect();
        let truncated = found.next().is_some();
        format!(
            r#"{{"items":[{}],"truncated":{truncated},"at":{}}}"#,
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        while state.revision <= after {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let events = state.history.iter().filter(|(rev, _)| *rev > after);
        let events: Vec<&str> = events.map(|(_, event)| event.as_str()).collect();
        format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), state.revision)
    }
}

fn to_json(key: &str, item: &Item) -> String {
    let Item { value, rev, created, lease } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","rev":{rev},"create_revision":{created},"lease":{lease}}}"#
    )
}

fn json_number(body: &str, name: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn json_text(body: &str, name: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{name}\":\""))?;
    Some(rest.split_once('"')?.0.to_owned())
}

fn unescape(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let digits = [bytes.next().unwrap_or(b'0'), bytes.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            out.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            out.push(byte);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
