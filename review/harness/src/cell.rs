//! A small deployment: the platform's store, runners, nodes of the project as
//! processes, and clients.

use std::{
    fs::File,
    net::TcpListener,
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    http::{self, Server},
    note,
    runner::{Place, Runner, Runs},
    store::Store,
};

pub const TERM: i32 = 15;
pub const KILL: i32 = 9;

/// Option of `prctl`.
const PARENT_DEATH_SIGNAL: i32 = 1;

/// Time of an answer of the store.
const ANSWER_TIME: Duration = Duration::from_millis(4);

const HOST: &str = "jobs.example";
const KEY: &str = "key-of-the-team";
const BATCH_KEY: &str = "key-of-the-batch-team";

unsafe extern "C" {
    #[link_name = "kill"]
    fn send_signal(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: usize) -> i32;
}

/// A configuration with two tenants. `batch_cpu` is the limit of the second, in
/// thousandths of a core; 0 for none.
fn configuration(version: u64, max_attempts: u32, batch_cpu: u64) -> Value {
    let route = |name: &str, prefix: &str| {
        json!({"name": name, "host": HOST, "prefix": prefix, "kind": "non_idempotent",
            "timeoutMs": 3000, "sloMs": 3000, "priority": 1, "service": "pool",
            "maxAttempts": max_attempts, "sloFactor": 4.0, "public": false})
    };
    let tenant = |name: &str, key: &str, cpu: u64| {
        json!({"name": name, "apiKeys": [key], "priority": 1, "weight": 30,
            "maxCount": {"cpu": cpu, "memMb": 0, "gpu": 0}})
    };
    json!({
        "version": version,
        "routes": [route("jobs", "/jobs/"), route("other", "/other/")],
        "services": [{"name": "pool", "healthPath": "/healthz", "maxConns": 64,
            "protocol": "h1", "tls": false, "enforcesCapacity": false, "standby": false}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
        "tenants": [tenant("team", KEY, 0), tenant("batch", BATCH_KEY, batch_cpu)],
    })
}

/// Sends a signal to a process that this program has started.
pub fn signal(child: &Child, signal: i32) {
    // SAFETY: `kill` reads nothing but its arguments.
    unsafe { send_signal(child.id() as i32, signal) };
}

/// A node of the project, as a process.
pub struct Node {
    pub name: String,
    pub clients: String,
    settings: PathBuf,
    log: PathBuf,
    _store: Server,
    child: Option<Child>,
}

impl Node {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let program = std::env::var("NODE").expect("NODE names the program");
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        let mut command = Command::new(program);
        command
            .env("SKYLARKSPAN_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        // SAFETY: `prctl` reads nothing but its arguments.
        unsafe {
            command.pre_exec(|| {
                // The node ends with this program, however that ends.
                prctl(PARENT_DEATH_SIGNAL, KILL as usize);
                Ok(())
            });
        }
        let child = command.spawn();
        self.child = child.ok();
        note!("node {} starts", self.name);
    }

    /// Sends a signal to the process.
    pub fn signal(&self, number: i32) {
        if let Some(child) = &self.child {
            note!("node {} gets signal {number}", self.name);
            signal(child, number);
        }
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            let status = child.wait();
            note!("node {} has ended: {status:?}", self.name);
        }
    }

    /// Processor time that the process has used, in seconds; 0 if unknown.
    pub fn processor_s(&self) -> f64 {
        let Some(child) = &self.child else { return 0.0 };
        let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id()));
        let text = text.unwrap_or_default();
        let rest = text.rsplit(')').next().unwrap_or_default();
        let field = |at: usize| {
            rest.split_whitespace().nth(at).and_then(|text| text.parse().ok()).unwrap_or(0.0)
        };
        (field(11) + field(12)) / 100.0
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The deployment.
pub struct Cell {
    pub store: Store,
    pub runs: Runs,
    pub runners: Vec<Runner>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.nodes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Cell {
    /// Starts the store with a configuration, the runners and the nodes.
    pub fn start(nodes: usize, places: &[Place], max_attempts: u32) -> Self {
        let folder =
            std::env::temp_dir().join(format!("skylarkspan-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start();
        store.write("op/config", &configuration(2, max_attempts, 0));
        let runs = Runs::default();
        let runners = places.iter().map(|place| Runner::start(place.clone(), &store, &runs));
        let runners = runners.collect();
        let mut cell = Self { store, runs, runners, nodes: Vec::new(), folder };
        for number in 0..nodes {
            cell.add_node(number);
        }
        for node in &mut cell.nodes {
            node.start();
        }
        cell
    }

    /// The operator changes the limit of the second tenant.
    pub fn limit_batch(&self, max_attempts: u32, cpu: u64) {
        note!("operator: the tenant `batch` may have {cpu} thousandths of a core running");
        self.store.write("op/config", &configuration(3, max_attempts, cpu));
    }

    fn add_node(&mut self, number: usize) {
        let name = format!("frontend-{}", number + 1);
        let store = self.store.serve(ANSWER_TIME);
        let free = || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            listener.local_addr().expect("an address").to_string()
        };
        let clients = free();
        // The fields of deploy/settings.jsonc, with the figures of the sites.
        let settings = json!({
            "name": name, "region": "sierra", "data_centre": "sierra-quito",
            "clients": clients, "readiness": free(), "links": free(), "metrics": free(),
            "store": store.address.to_string(), "advice": "",
            "limits": {"cpu_share": 0.25, "cores": 1.0, "link_mbps": 1000.0},
            "bounds": {"config_apply_ms": 2500, "revoke_ms": 5000, "grace_s": 6.0,
                "hold_max_ms": 10_000, "status_s": 120.0},
        });
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("the settings can be written");
        let log = match std::env::var("LOGS") {
            Ok(folder) => PathBuf::from(folder).join(format!("{name}.log")),
            Err(_) => self.folder.join(format!("{name}.log")),
        };
        self.nodes.push(Node { name, clients, settings: file, log, _store: store, child: None });
    }

    /// Index of the node that leads, by the store.
    pub fn leader(&self) -> Option<usize> {
        let value = self.store.read("skylarkspan/lead")?;
        // The record names the instance; names of nodes don't contain each other.
        let holds = |name: &str| value.windows(name.len()).any(|part| part == name.as_bytes());
        self.nodes.iter().position(|node| holds(&node.name))
    }

    /// Waits until a node leads and some time more.
    pub fn wait_until_led(&self) -> usize {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if let Some(leader) = self.leader() {
                thread::sleep(Duration::from_millis(1500));
                note!("{} leads", self.nodes[leader].name);
                return leader;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("no node leads");
    }

    fn request(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: &str,
        timeout: Duration,
    ) -> Option<(u16, Value)> {
        // The second tenant uses the second queue.
        let key = if path.starts_with("/other/") { BATCH_KEY } else { KEY };
        let key = format!("Token {key}");
        let deadline = timeout.as_millis().to_string();
        let headers =
            [("host", HOST), ("authorization", key.as_str()), ("x-deadline-ms", &deadline)];
        let address = &self.nodes[node].clients;
        http::call(address, method, path, &headers, body, timeout + Duration::from_millis(200))
    }

    /// Hands in a job, by up to five attempts at one node after the other. Returns
    /// whether it was accepted.
    pub fn submit(&self, queue: &str, id: &str, body: &Value) -> bool {
        for attempt in 0..5 {
            let node = attempt % self.nodes.len();
            let path = format!("/{queue}/{id}");
            let answer =
                self.request(node, "POST", &path, &body.to_string(), Duration::from_secs(3));
            let status = answer.as_ref().map_or(0, |(status, _)| *status);
            note!("client: POST {path} at {}: {status}", self.nodes[node].name);
            if (200..300).contains(&status) {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Hands in a job by one attempt, without a line in the record.
    pub fn submit_quietly(&self, queue: &str, id: &str, body: &Value) -> bool {
        let path = format!("/{queue}/{id}");
        let answer = self.request(0, "POST", &path, &body.to_string(), Duration::from_secs(3));
        answer.is_some_and(|(status, _)| (200..300).contains(&status))
    }

    /// Asks one node for the state of a job. Returns the status and the state.
    pub fn state(&self, node: usize, queue: &str, id: &str) -> (u16, String) {
        let path = format!("/{queue}/{id}");
        let answer = self.request(node, "GET", &path, "", Duration::from_secs(3));
        let (status, body) = answer.unwrap_or((0, Value::Null));
        (status, body["state"].as_str().unwrap_or_default().to_owned())
    }

    /// Asks one node for the number of jobs of a queue that have not begun.
    pub fn pending(&self, node: usize, queue: &str) -> Option<u64> {
        let answer =
            self.request(node, "GET", &format!("/{queue}/"), "", Duration::from_secs(3))?;
        answer.1["pending"].as_u64().filter(|_| answer.0 == 200)
    }

    /// Waits until `holds`, for at most `most`. Returns whether it did.
    pub fn wait_for(&self, most: Duration, holds: impl Fn(&Self) -> bool) -> bool {
        let end = Instant::now() + most;
        while !holds(self) {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
        true
    }
}

/// Ends the run, since the case can't be played.
pub fn cannot_run(why: &str) -> ! {
    note!("the case can't run: {why}");
    panic!("the case can't run");
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
