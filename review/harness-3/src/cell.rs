//! A small deployment: the nodes as processes, and the stand-ins around them.

use std::{
    fs,
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Server},
    record::Record,
    runner::{HOLD_MAX_MS, Runner},
    store::Store,
};

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/skylarkspan-node";
pub const HOST: &str = "pool.example";
pub const PREFIX: &str = "/batch/";
pub const KEY: &str = "key-1";
/// Number of the log event that a node has taken the lead (docs/EVENTS.md).
const LEAD_ACQUIRED: u64 = 500;

struct Node {
    process: Child,
    clients: String,
    readiness: String,
    settings: PathBuf,
    log: PathBuf,
}

impl Node {
    fn start(clients: String, readiness: String, settings: PathBuf, log: PathBuf) -> Self {
        let process = spawn(&settings, &log);
        Self { process, clients, readiness, settings, log }
    }
}

/// Starts the program of the deploy file. The limit on descriptors holds for each process.
fn spawn(settings: &Path, log: &Path) -> Child {
    let log = fs::OpenOptions::new().create(true).append(true).open(log);
    Command::new("sh")
        .args(["-c", &format!("ulimit -n 4100 && exec {PROGRAM}")])
        .env("SKYLARKSPAN_CONFIG", settings)
        .stdout(log.map_or(Stdio::null(), Stdio::from))
        .stderr(Stdio::null())
        .spawn()
        .unwrap_or_else(|error| give_up(&format!("{PROGRAM}: {error}")))
}

pub struct Cell {
    pub store: Arc<Store>,
    pub runners: Vec<Arc<Runner>>,
    pub record: Arc<Record>,
    nodes: Vec<Node>,
    folder: PathBuf,
    _servers: Vec<Server>,
}

/// Ends the case because it could not run. `main` exits with 2; all nodes end as the stack unwinds.
pub fn give_up(reason: &str) -> ! {
    panic!("{reason}")
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()))
}

impl Cell {
    /// Starts the store, the runners and the nodes, and waits until all nodes are ready.
    pub fn start(
        record: Arc<Record>,
        nodes: usize,
        runners: usize,
        capacity: (u32, u32),
        max_cpu: u32,
        max_attempts: u32,
    ) -> Self {
        // All ports of the run are held while they are picked. Those of the nodes are released
        // together, just before the nodes start; connections leave from other addresses.
        let (store_port, runner_ports) =
            (listen(), (0..runners).map(|_| listen()).collect::<Vec<_>>());
        let held: Vec<Vec<TcpListener>> =
            (0..nodes).map(|_| (0..4).map(|_| listen()).collect()).collect();
        let ports: Vec<Vec<String>> = held
            .iter()
            .map(|node| node.iter().map(|port| port.local_addr().unwrap().to_string()).collect())
            .collect();
        let (store, server) = Store::start(store_port);
        let store_address = server.address.clone();
        store.put(
            "op/config",
            &json!({
                "version": 3,
                "routes": [{
                    "name": "batch", "host": HOST, "prefix": PREFIX, "service": "pool",
                    "timeoutMs": 3000, "priority": 1, "maxAttempts": max_attempts, "sloFactor": 2.0,
                    "sloMs": 3000, "public": false,
                }],
                "services": [{"name": "pool", "enforcesCapacity": false, "healthPath": "/healthz"}],
                "limits": {"maxBodyBytes": 262_144},
                "tenants": [{
                    "name": "team", "apiKeys": [KEY], "weight": 100,
                    "maxCount": {"cpu": max_cpu, "memMb": 0, "gpu": 0},
                }],
            }),
        );
        let started = runner_ports.into_iter().enumerate();
        let runners = started
            .map(|(number, port)| Runner::start(number, port, capacity, &store, &record))
            .collect();
        let folder = std::env::temp_dir().join(format!("case-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| give_up(&error.to_string()));
        drop(held);
        let nodes = ports.iter().enumerate().map(|(number, ports)| {
            let settings = json!({
                "name": format!("frontend-{number}"), "region": "region", "data_centre": "zone-a",
                "clients": ports[0], "readiness": ports[1], "links": ports[2], "metrics": ports[3],
                "store": store_address, "advice": "",
                "limits": {"cpu_share": 0.25, "cores": 1, "link_mbps": 1000.0,
                    "memory_mb": "260", "max_fds": "4100"},
                "bounds": {"config_apply_ms": 2500, "revoke_ms": 5000, "grace_s": 6.0,
                    "hold_max_ms": HOLD_MAX_MS, "status_s": 120, "evacuate_ms": ""},
            });
            let path = folder.join(format!("node-{number}.jsonc"));
            fs::write(&path, settings.to_string())
                .unwrap_or_else(|error| give_up(&error.to_string()));
            let log = folder.join(format!("node-{number}.log"));
            Node::start(ports[0].clone(), ports[1].clone(), path, log)
        });
        let nodes = nodes.collect();
        let mut cell = Self { store, runners, record, nodes, folder, _servers: vec![server] };
        cell.wait_until_ready();
        cell
    }

    fn wait_until_ready(&mut self) {
        let end = Instant::now() + Duration::from_secs(10);
        for node in 0..self.nodes.len() {
            loop {
                let address = self.nodes[node].readiness.clone();
                let answer =
                    http::call(&address, "GET", "/api/readyz", &[], None, Duration::from_secs(1));
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                if Instant::now() > end || !matches!(self.nodes[node].process.try_wait(), Ok(None))
                {
                    self.stop();
                    give_up("a node is not ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.record.note(&format!("{} nodes are ready", self.nodes.len()));
    }

    /// Makes a client's call at a node.
    pub fn call(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> Option<(u16, Value)> {
        self.call_for(node, method, path, body, Duration::from_millis(3000))
    }

    /// Makes a client's call at a node, and leaves after a time.
    pub fn call_for(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
        time: Duration,
    ) -> Option<(u16, Value)> {
        let key = format!("Token {KEY}");
        let headers = [("Host", HOST), ("Authorization", key.as_str()), ("X-Deadline-Ms", "3000")];
        let node = &self.nodes[node % self.nodes.len()];
        http::call(&node.clients, method, path, &headers, body, time)
    }

    /// Hands a job in, with up to 4 further attempts at the next nodes.
    pub fn submit(&self, first: usize, id: &str, body: &Value) -> bool {
        for attempt in 0..5 {
            let answer = self.call(first + attempt, "POST", &format!("{PREFIX}{id}"), Some(body));
            let status = answer.map(|(status, _)| status);
            self.record.note(&format!(
                "POST {id} at node {}: {status:?}",
                (first + attempt) % self.nodes.len()
            ));
            if status == Some(200) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Asks for the state of a job.
    pub fn state(&self, node: usize, id: &str) -> Option<(u16, String)> {
        let (status, body) = self.call(node, "GET", &format!("{PREFIX}{id}"), None)?;
        Some((status, body["state"].as_str().unwrap_or_default().to_owned()))
    }

    /// Returns the last term and the node that leads in it, by the logs.
    pub fn leader(&self) -> Option<(u64, usize)> {
        let last = |node: &Node| {
            let text = fs::read_to_string(&node.log).unwrap_or_default();
            let lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
            let taken = lines.filter(|line| line["event"] == LEAD_ACQUIRED);
            taken.filter_map(|line| line["term"].as_u64()).max()
        };
        let terms = self.nodes.iter().enumerate().filter_map(|(n, node)| Some((last(node)?, n)));
        terms.max()
    }

    /// Kills a node with SIGKILL.
    pub fn kill(&mut self, node: usize) {
        let _ = self.nodes[node].process.kill();
        let _ = self.nodes[node].process.wait();
        self.record.note(&format!("node {node} is killed"));
    }

    /// Starts a node again that was killed.
    pub fn restart(&mut self, node: usize) {
        let Node { settings, log, .. } = &self.nodes[node];
        self.nodes[node].process = spawn(settings, log);
        self.record.note(&format!("node {node} has started again"));
        // A port may have been taken meanwhile.
        thread::sleep(Duration::from_millis(200));
        if !matches!(self.nodes[node].process.try_wait(), Ok(None)) {
            self.stop();
            give_up("a node has not started again");
        }
    }

    /// Ends all processes, and gives up if a node doesn't run or listen.
    pub fn finish(&mut self) {
        for node in 0..self.nodes.len() {
            let address = self.nodes[node].readiness.clone();
            let end = Instant::now() + Duration::from_secs(3);
            let ask = || {
                http::call(&address, "GET", "/api/readyz", &[], None, Duration::from_secs(1))
                    .is_some()
            };
            while !ask() {
                if Instant::now() > end {
                    self.stop();
                    give_up("a node doesn't listen at the end");
                }
            }
            if !matches!(self.nodes[node].process.try_wait(), Ok(None)) {
                self.stop();
                give_up("a node has ended by itself");
            }
        }
        self.stop();
    }

    /// Ends all processes.
    pub fn stop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.process.kill();
            let _ = node.process.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.stop();
    }
}
