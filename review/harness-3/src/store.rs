//! The platform's store, as PROTOCOL.md describes it. It has no faults of its own.

use std::{
    collections::BTreeMap,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{Request, Server};

/// Items of one page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item as written; `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Key prefix of a write whose answer is lost, and when it is done: once.
    lost: Mutex<Option<(String, Duration)>>,
}

fn shown(key: &str, item: &Item) -> Value {
    let Item { value, revision, created, lease } = item;
    json!({"key": key, "value": value, "revision": revision, "created": created, "lease": lease})
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Store {
    pub fn start(listener: TcpListener) -> (Arc<Self>, Server) {
        let store: Arc<Self> = Arc::default();
        let (served, expiring) = (Arc::clone(&store), Arc::clone(&store));
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(10));
                drop(expiring.lock());
            }
        });
        let handler = Arc::new(move |request| served.answer_or_lose(&request));
        (store, Server::start(listener, handler))
    }

    /// Writes a key as the operator or a runner does.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        state.revision += 1;
        state.write(key, base64(value.to_string().as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.lock();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, (end, _))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        for lease in &ended {
            state.end_lease(*lease);
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
        state
    }

    /// Loses the answer to the next write of a key with this prefix, and does it late.
    pub fn lose_next(&self, prefix: &str, late: Duration) {
        *self.lost.lock().unwrap() = Some((prefix.to_owned(), late));
    }

    /// Returns whether a write is still to be lost.
    pub fn is_losing(&self) -> bool {
        self.lost.lock().unwrap().is_some()
    }

    fn answer_or_lose(&self, request: &Request) -> Option<(u16, Value)> {
        if request.path == "/api/kv-txn" {
            let writes = request.body["writes"].as_array().into_iter().flatten();
            let mut keys = writes.filter_map(|row| row["key"].as_str());
            let mut lost = self.lost.lock().unwrap();
            let late = lost.take_if(|(prefix, _)| keys.any(|key| key.starts_with(prefix.as_str())));
            drop(lost);
            if let Some((_, late)) = late {
                thread::sleep(late);
                self.txn(&request.body);
                return None;
            }
        }
        Some(self.answer(request))
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        // 4 ms an answer.
        thread::sleep(Duration::from_millis(4));
        let call = request.path.strip_prefix("/api/").unwrap_or_default();
        match call.split_once('/').unwrap_or((call, "")) {
            ("kv-key", _) => match self.lock().items.get(request.arg("key")) {
                Some(item) => (200, shown(request.arg("key"), item)),
                None => (404, json!({})),
            },
            ("kv-range", _) => self.range(request),
            ("kv-watch", _) => self.watch(request),
            ("kv-txn", _) => self.txn(&request.body),
            ("kv-lease", _) => {
                let mut state = self.lock();
                let ttl_ms = request.body["ttlMs"].as_u64().unwrap_or(0).clamp(1000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                state.revision += 1;
                let lease = state.revision;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, json!({"lease": lease, "ttlMs": ttl_ms}))
            }
            ("kv-keep", id) => {
                let mut state = self.lock();
                let Some((end, ttl)) =
                    id.parse().ok().and_then(|id: u64| state.leases.get_mut(&id))
                else {
                    return (404, json!({}));
                };
                *end = Instant::now() + *ttl;
                (200, json!({"ttlMs": ttl.as_millis() as u64}))
            }
            ("kv-lease-end", id) => {
                if let Ok(id) = id.parse() {
                    self.lock().end_lease(id);
                    self.changed.notify_all();
                }
                (200, json!({}))
            }
            _ => (404, json!({})),
        }
    }

    fn range(&self, request: &Request) -> (u16, Value) {
        let (prefix, after) = (request.arg("prefix"), request.arg("after"));
        let state = self.lock();
        let found = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut found = found.filter(|(key, _)| key.as_str() > after);
        let items: Vec<Value> =
            found.by_ref().take(PAGE).map(|(key, item)| shown(key, item)).collect();
        let more = found.next().is_some();
        (200, json!({"items": items, "morePages": more, "currentRev": state.revision}))
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let prefix = request.arg("prefix");
        let after: u64 = request.arg("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.arg("waitMs").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let first = state.history.partition_point(|(revision, ..)| *revision <= after);
            let events =
                state.history[first..].iter().filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<Value> = events
                .map(|(revision, key, item)| match item {
                    Some(item) => shown(key, item),
                    None => json!({"key": key, "revision": revision, "deleted": true}),
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, json!({"events": events, "currentRev": state.revision}));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        let expected = list("expect");
        let revision_of =
            |state: &State, key: &str| state.items.get(key).map_or(0, |item| item.revision);
        let holds = |row: &Value| {
            revision_of(&state, row["key"].as_str().unwrap_or_default())
                == row["revision"].as_u64().unwrap_or(0)
        };
        if !expected.iter().all(holds) {
            let current = |row: &Value| {
                let key = text(&row["key"]);
                match state.items.get(&key) {
                    Some(item) => shown(&key, item),
                    None => json!({"key": key, "revision": 0}),
                }
            };
            return (412, json!({"items": expected.iter().map(current).collect::<Vec<_>>()}));
        }
        let writes = list("writes");
        let lease_of = |row: &Value| row["lease"].as_u64().unwrap_or(0);
        if writes.iter().map(lease_of).any(|id| id != 0 && !state.leases.contains_key(&id)) {
            return (404, json!({}));
        }
        state.revision += 1;
        for row in &writes {
            state.write(&text(&row["key"]), text(&row["value"]), lease_of(row));
        }
        for key in list("remove") {
            state.remove(&text(&key));
        }
        self.changed.notify_all();
        (200, json!({"revision": state.revision}))
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let byte = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = bits >> (18 - 6 * digit) & 63;
            text.push(if digit <= part.len() { DIGITS[value as usize] as char } else { '=' });
        }
    }
    text
}
