//! The platform's store: keys with revisions, a watch, leases and transactions over HTTP/1.1.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Items of a page at most.
const PAGE_ITEMS: usize = 500;

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All events, as JSON.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

#[derive(Debug, Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn start(addr: SocketAddrV4) -> std::io::Result<Self> {
        let store = Self::default();
        store.0.0.lock().unwrap().revision = 10;
        let listener = TcpListener::bind(addr)?;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Writes a JSON text; returns the revision, which is the acknowledgement.
    pub fn put(&self, key: &str, json: &str) -> u64 {
        self.put_encoded(key, &base64(json.as_bytes()), 0)
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.0.0.lock().unwrap();
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let event = format!("{{\"key\":\"{key}\",\"rev\":{revision},\"deleted\":true}}");
        state.history.push((revision, key.to_owned(), event));
        self.0.1.notify_all();
    }

    /// Number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        self.0.0.lock().unwrap().items.keys().filter(|key| key.starts_with(prefix)).count()
    }

    fn put_encoded(&self, key: &str, value: &str, lease: u64) -> u64 {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        let event = item_json(key, &item);
        state.items.insert(key.to_owned(), item);
        state.history.push((revision, key.to_owned(), event));
        self.0.1.notify_all();
        revision
    }

    fn expire(&self) {
        let now = Instant::now();
        let ended: Vec<u64> = {
            let mut state = self.0.0.lock().unwrap();
            let ended: Vec<u64> = state
                .leases
                .iter()
                .filter(|(_, (until, _))| *until < now)
                .map(|(id, _)| *id)
                .collect();
            state.leases.retain(|id, _| !ended.contains(id));
            ended
        };
        ended.into_iter().for_each(|lease| self.remove_keys_of(lease));
    }

    fn remove_keys_of(&self, lease: u64) {
        let keys: Vec<String> = {
            let state = self.0.0.lock().unwrap();
            let of_lease = state.items.iter().filter(|(_, item)| item.lease == lease);
            of_lease.map(|(key, _)| key.clone()).collect()
        };
        keys.iter().for_each(|key| self.remove(key));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        // A client that has gone shows as an error, which ends the thread.
        let _nodelay = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        loop {
            let Some((method, target, body)) = read_request(&mut reader) else { return };
            let (status, answer) = self.answer(&method, &target, &body);
            thread::sleep(ANSWER_TIME);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            if writer.write_all(format!("{head}{answer}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let param = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map_or("", |(_, value)| value)
        };
        let last = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match (method, path) {
            ("GET", "/kv-range") => (200, self.range(param("prefix"), param("after"))),
            ("GET", "/kv-watch") => {
                let after = param("after").parse().unwrap_or(0);
                let wait = param("wait_ms").parse().unwrap_or(0).min(30_000);
                (200, self.watch(param("prefix"), after, Duration::from_millis(wait)))
            }
            ("POST", "/kv-lease") => {
                let ttl = json_number(body, "ttl_ms").max(1_000);
                let mut state = self.0.0.lock().unwrap();
                state.last_lease += 1;
                let lease = state.last_lease;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + ttl_time, ttl_time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", "/kv-txn") => {
                let lease = json_number(body, "lease");
                let known = lease == 0 || self.0.0.lock().unwrap().leases.contains_key(&lease);
                if !known {
                    return (404, "{}".to_owned());
                }
                // The system writes one item a call, without a condition.
                let revision =
                    self.put_encoded(&json_text(body, "key"), &json_text(body, "value"), lease);
                (200, format!("{{\"rev\":{revision}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let mut state = self.0.0.lock().unwrap();
                let Some((until, ttl)) = state.leases.get_mut(&last) else {
                    return (404, "{}".to_owned());
                };
                *until = Instant::now() + *ttl;
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                self.0.0.lock().unwrap().leases.remove(&last);
                self.remove_keys_of(last);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> String {
        let state = self.0.0.lock().unwrap();
        let rest: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| {
                key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
            })
            .map(|(key, item)| item_json(key, item))
            .collect();
        let page = &rest[..rest.len().min(PAGE_ITEMS)];
        format!(
            "{{\"items\":[{}],\"truncated\":{},\"at\":{}}}",
            page.join(","),
            page.len() < rest.len(),
            state.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let events: Vec<&str> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"rev\":{},\"create_revision\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<(String, String, String)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((method, target, String::from_utf8(body).ok()?))
}

/// The number behind `"name":` in a flat JSON text; 0 if there is none.
fn json_number(json: &str, name: &str) -> u64 {
    let Some((_, rest)) = json.split_once(&format!("\"{name}\":")) else { return 0 };
    let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// The text behind `"name":`. The system's keys and values need no escapes.
fn json_text(json: &str, name: &str) -> String {
    let Some((_, rest)) = json.split_once(&format!("\"{name}\":\"")) else { return String::new() };
    rest.split('"').next().unwrap_or_default().to_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0_u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index) & 63) as usize];
            out.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
