//! Stand-in for the platform's metadata store, after PROTOCOL.md.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Request, Server},
    json::{Json, base64, quote},
};

/// Time of an answer.
const ANSWER_MS: u64 = 4;

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
    /// Changes, oldest first; `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":{},"value":"{}","revision":{},"created":{},"lease":{}}}"#,
        quote(key), item.value, item.revision, item.created, item.lease
    )
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> (Arc<Store>, Server) {
        let store = Arc::new(Store { state: Mutex::default(), changed: Condvar::new() });
        let ticking = Arc::clone(&store);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            let mut state = ticking.state.lock().unwrap();
            let now = Instant::now();
            let ended: Vec<u64> =
                state.leases.iter().filter(|(_, (_, until))| *until <= now).map(|(lease, _)| *lease).collect();
            ended.iter().for_each(|lease| state.end_lease(*lease));
            if !ended.is_empty() {
                ticking.changed.notify_all();
            }
        });
        let serving = Arc::clone(&store);
        let server = Server::start(Arc::new(move |request: &Request| serving.handle(request)));
        (store, server)
    }

    /// Writes a value as the operator or a runner.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Request) -> (u16, String) {
        thread::sleep(Duration::from_millis(ANSWER_MS));
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let path = request.path.as_str();
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => {
                let state = self.state.lock().unwrap();
                let key = request.field("key");
                state.items.get(&key).map_or((404, "{}".to_owned()), |item| (200, item_text(&key, item)))
            }
            ("GET", "/api/kv-range") => self.range(request),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.change(&body),
            ("POST", "/api/kv-lease") => {
                let mut state = self.state.lock().unwrap();
                let ttl = Duration::from_millis(body.get("ttlMs").number().unwrap_or(1000).clamp(1000, 600_000));
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!(r#"{{"lease":{lease},"ttlMs":{}}}"#, ttl.as_millis()))
            }
            _ if path.starts_with("/api/kv-keep/") => {
                let mut state = self.state.lock().unwrap();
                let lease: u64 = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    None => (404, "{}".to_owned()),
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                    }
                }
            }
            _ if path.starts_with("/api/kv-lease-end/") => {
                let mut state = self.state.lock().unwrap();
                state.end_lease(path["/api/kv-lease-end/".len()..].parse().unwrap_or(0));
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        const PAGE: usize = 500;
        let state = self.state.lock().unwrap();
        let (prefix, after) = (request.field("prefix"), request.field("after"));
        let found: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| item_text(key, item))
            .collect();
        let more = found.len() > PAGE;
        let items = found[..found.len().min(PAGE)].join(",");
        (200, format!(r#"{{"items":[{items}],"morePages":{more},"currentRev":{}}}"#, state.revision))
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.field("prefix");
        let after: u64 = request.field("after").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(request.field("waitMs").parse().unwrap_or(0));
        let mut state = self.state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => format!(r#"{{"key":{},"revision":{revision},"deleted":true}}"#, quote(key)),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (200, format!(r#"{{"events":[{events}],"currentRev":{}}}"#, state.revision));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(&self, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let expect = body.get("expect").list();
        let holds = expect.iter().all(|row| {
            let known = state.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            known == row.get("revision").number().unwrap_or(0)
        });
        if !holds {
            let items: Vec<String> = expect
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    state.items.get(key).map(|item| item_text(key, item))
                })
                .collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let writes = body.get("writes").list();
        let lease_of = |write: &Json| write.get("lease").number().unwrap_or(0);
        if writes.iter().any(|write| lease_of(write) != 0 && !state.leases.contains_key(&lease_of(write))) {
            return (404, "{}".to_owned());
        }
        state.revision += 1;
        for write in writes {
            state.put(write.get("key").text(), write.get("value").text().to_owned(), lease_of(write));
        }
        for key in body.get("remove").list() {
            state.remove(key.text());
        }
        self.changed.notify_all();
        (200, format!(r#"{{"revision":{}}}"#, state.revision))
    }
}
