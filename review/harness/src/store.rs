//! The platform's store, as PROTOCOL.md describes it. It is always sound.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{Answer, Request, Server, spawn};

/// Time for which history is kept.
const HISTORY: Duration = Duration::from_secs(20);

const MAX_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    revision: u64,
    at: Instant,
    key: String,
    /// `None` if the key was removed.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    until: Instant,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    history: Vec<Change>,
    forgotten: u64,
    revision: u64,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.record(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        let change =
            Change { revision: self.revision, at: Instant::now(), key: key.to_owned(), item };
        self.history.push(change);
    }

    /// Ends leases whose time is over, and forgets old history.
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        for id in &over {
            self.end_lease(*id);
        }
        let old = self.history.iter().take_while(|change| change.at + HISTORY < now).count();
        if let Some(last) = self.history.drain(..old).last() {
            self.forgotten = last.revision;
        }
        !over.is_empty()
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let is_known = self.leases.remove(&id).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        is_known
    }
}

fn shown(key: &str, item: &Item) -> Value {
    json!({"key": key, "value": item.value, "revision": item.revision,
        "created": item.created, "lease": item.lease})
}

/// Handle of the store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state = State { revision: 1, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())) };
        let copy = store.clone();
        spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                if copy.lock().expire() {
                    copy.state.1.notify_all();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Opens an address of the store, for one node, whose calls take `answer_time`.
    pub fn serve(&self, answer_time: Duration) -> Server {
        let store = self.clone();
        Server::start(move |request| {
            thread::sleep(answer_time);
            let (status, body) = store.answer(&request);
            Answer::Reply(status, body)
        })
    }

    /// Writes a key as the operator or a runner does.
    pub fn write(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        state.revision += 1;
        state.put(key, &base64(value.to_string().as_bytes()), 0);
        drop(state);
        self.state.1.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let mut state = self.lock();
        if state.items.contains_key(key) {
            state.revision += 1;
            state.remove(key);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Returns the value of a key, decoded from base64.
    pub fn read(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).map(|item| unbase64(&item.value))
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => {
                let state = self.lock();
                let key = request.query("key");
                let current = state.revision;
                match state.items.get(&key) {
                    Some(item) => {
                        let mut body = shown(&key, item);
                        body["currentRev"] = json!(current);
                        (200, body)
                    }
                    None => (404, json!({"currentRev": current})),
                }
            }
            ("GET", "/api/kv-range") => {
                let (prefix, after) = (request.query("prefix"), request.query("after"));
                let state = self.lock();
                let matching = state
                    .items
                    .range(prefix.clone()..)
                    .take_while(|(key, _)| key.starts_with(&prefix))
                    .filter(|(key, _)| **key > after);
                let mut items: Vec<Value> =
                    matching.take(MAX_ITEMS + 1).map(|(key, item)| shown(key, item)).collect();
                let more = items.len() > MAX_ITEMS;
                items.truncate(MAX_ITEMS);
                (200, json!({"items": items, "morePages": more, "currentRev": state.revision}))
            }
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.commit(&request.json()),
            ("POST", "/api/kv-lease") => {
                let ttl_ms = request.json()["ttlMs"].as_u64().unwrap_or(0).clamp(1000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.lock();
                state.last_lease += 1;
                let id = state.last_lease;
                state.leases.insert(id, Lease { ttl, until: Instant::now() + ttl });
                (200, json!({"lease": id, "ttlMs": ttl_ms}))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match self.lock().leases.get_mut(&id) {
                    Some(lease) => {
                        lease.until = Instant::now() + lease.ttl;
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                let is_known = self.lock().end_lease(id);
                self.state.1.notify_all();
                (if is_known { 200 } else { 404 }, json!({}))
            }
            _ => (400, json!({"error": "no such call"})),
        }
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.lock();
        loop {
            if after < state.forgotten {
                return (410, json!({}));
            }
            let new = state.history.iter().filter(|change| change.revision > after);
            let events: Vec<Value> = new
                .filter(|change| change.key.starts_with(&prefix))
                .map(|change| match &change.item {
                    Some(item) => shown(&change.key, item),
                    None => {
                        json!({"key": change.key, "revision": change.revision, "deleted": true})
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "currentRev": state.revision}));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn commit(&self, txn: &Value) -> (u16, Value) {
        let rows = |name: &str| txn[name].as_array().cloned().unwrap_or_default();
        let (expect, writes, remove) = (rows("expect"), rows("writes"), rows("remove"));
        if expect.len() + writes.len() + remove.len() > 32 {
            return (400, json!({"error": "too many entries"}));
        }
        let mut state = self.lock();
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = expect.iter().all(|row| {
            revision_of(&state, row["key"].as_str().unwrap_or_default())
                == row["revision"].as_u64().unwrap_or(0)
        });
        if !holds {
            let items: Vec<Value> = expect
                .iter()
                .map(|row| {
                    let key = row["key"].as_str().unwrap_or_default();
                    match state.items.get(key) {
                        Some(item) => shown(key, item),
                        None => json!({"key": key, "revision": 0}),
                    }
                })
                .collect();
            return (412, json!({"items": items}));
        }
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if writes.iter().any(|row| lease_of(row) != 0 && !state.leases.contains_key(&lease_of(row)))
        {
            return (404, json!({}));
        }
        state.revision += 1;
        for row in &writes {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            state.put(&text("key"), &text("value"), lease_of(row));
        }
        for key in &remove {
            state.remove(key.as_str().unwrap_or_default());
        }
        let revision = state.revision;
        drop(state);
        self.state.1.notify_all();
        (200, json!({"revision": revision}))
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let index = (number >> (18 - 6 * at) & 63) as usize;
            out.push(if at <= chunk.len() { ALPHABET[index] as char } else { '=' });
        }
    }
    out
}

fn unbase64(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| ALPHABET.iter().position(|known| *known == byte))
        .map(|index| index as u32)
        .collect();
    let mut out = Vec::new();
    for chunk in digits.chunks(4) {
        let number = chunk.iter().fold(0, |sum, digit| sum << 6 | digit) << (6 * (4 - chunk.len()));
        out.extend((0..chunk.len() - 1).map(|at| (number >> (16 - 8 * at)) as u8));
    }
    out
}
