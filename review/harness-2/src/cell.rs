//! A small deployment: the store, runners, and the project's nodes as processes.

use std::{
    fs::OpenOptions,
    net::TcpListener,
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Server, call},
    json::{Json, quote},
    record::Record,
    runner::{Runner, Seen},
    store::Store,
};

const DEPLOY_FILE: &str = "deploy/system.toml";
const TEMPLATE: &str = "deploy/settings.jsonc";
const NODES: usize = 3;
pub const HOST: &str = "jobs.example";
pub const PREFIX: &str = "/jobs/";
const KEY: &str = "key-of-the-tenant";
const CLIENT_DEADLINE: Duration = Duration::from_millis(3000);

unsafe extern "C" {
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

struct Node {
    process: Child,
    clients: String,
}

pub struct Cell {
    /// Command of a node, from the deploy file.
    command: String,
    nodes: Vec<Node>,
    pub runners: Vec<Arc<Runner>>,
    _store: Arc<Store>,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    pub record: Arc<Record>,
    _servers: Vec<Server>,
    folder: PathBuf,
    turn: AtomicUsize,
}

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port").port()
}

impl Cell {
    /// Starts a cell and waits until it takes jobs. `None` if it does not.
    pub fn start(runners: usize, record: Arc<Record>) -> Option<Cell> {
        let (store, store_server) = Store::start();
        let advice = Server::start(Arc::new(|_| (429, "{}".to_owned())));
        let route = format!(
            r#"{{"name":"r-jobs","host":"{HOST}","prefix":"{PREFIX}","kind":"non_idempotent","timeoutMs":3000,"sloMs":1200,"priority":1,"service":"pool","maxAttempts":3,"sloFactor":2.2,"public":false}}"#
        );
        store.write(
            "op/config",
            &format!(
                r#"{{"version":7,"routes":[{route}],"services":[{{"name":"pool","healthPath":"/healthz","maxConns":64,"protocol":"h1","tls":false,"enforcesCapacity":false,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"team","apiKeys":["{KEY}"],"priority":1,"weight":27,"maxCount":{{"cpu":0,"memMb":0,"gpu":0}}}}]}}"#
            ),
        );
        let seen: Arc<Mutex<Vec<Seen>>> = Arc::default();
        let runners = (0..runners).map(|index| Runner::start(index, "pool", &store, &record, &seen)).collect();
        let folder = std::env::temp_dir().join(format!("review-cell-{}", std::process::id()));
        std::fs::create_dir_all(&folder).ok()?;
        let mut cell = Cell {
            command: String::new(),
            nodes: Vec::new(),
            runners,
            _store: store,
            seen,
            record,
            folder,
            turn: AtomicUsize::new(0),
            _servers: Vec::new(),
        };
        let template = std::fs::read_to_string(TEMPLATE).ok()?;
        // The command of the only role.
        let deploy = std::fs::read_to_string(DEPLOY_FILE).ok()?;
        let command = deploy.lines().find_map(|line| line.strip_prefix("run = "))?.trim().trim_matches('"').to_owned();
        for index in 0..NODES {
            let ports = [free_port(), free_port(), free_port(), free_port()];
            let settings = render(&template, index, &ports, &store_server, &advice);
            std::fs::write(settings_path(&cell.folder, index), settings).ok()?;
            let process = spawn(&command, &cell.folder, index).ok()?;
            cell.nodes.push(Node { process, clients: format!("127.0.0.1:{}", ports[0]) });
        }
        cell.command = command;
        cell._servers = vec![store_server, advice];
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(15) {
            thread::sleep(Duration::from_millis(200));
            if let Some((200, _)) = cell.call("GET", "", "") {
                thread::sleep(Duration::from_secs(2));
                cell.record.line("the cell takes requests");
                return Some(cell);
            }
        }
        None
    }

    fn call(&self, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let node = &self.nodes[self.turn.fetch_add(1, Ordering::Relaxed) % self.nodes.len()];
        let authorization = format!("Token {KEY}");
        let headers = [("Host", HOST), ("Authorization", authorization.as_str()), ("X-Deadline-Ms", "3000")];
        call(&node.clients, method, &format!("{PREFIX}{id}"), &headers, body, CLIENT_DEADLINE)
    }

    /// Hands a job in as a client does, with repeats.
    pub fn submit(&self, id: &str, spec: &str, steps: &str) -> bool {
        let body = format!(r#"{{"spec":{},"steps":[{steps}]}}"#, quote(spec));
        for _ in 0..10 {
            self.record.line(&format!("client sends POST {id} {body}"));
            let answer = self.call("POST", id, &body);
            self.record.line(&format!("client gets {answer:?}"));
            if answer.is_some_and(|(status, _)| status / 100 == 2) {
                return true;
            }
            thread::sleep(Duration::from_millis(500));
        }
        false
    }

    /// Returns the state of a job as a client sees it, or the status if that is
    /// not 200.
    pub fn state(&self, id: &str) -> String {
        match self.call("GET", id, "") {
            Some((200, body)) => Json::parse(&body).map_or(String::new(), |body| body.get("state").text().to_owned()),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }

    /// Returns the runner on which a task runs now.
    pub fn runner_of(&self, task: &str) -> Option<usize> {
        let seen = self.seen.lock().unwrap();
        let last = seen.iter().rev().find(|seen| seen.task == task)?;
        last.end.is_none().then_some(last.runner)
    }
}

impl Cell {
    /// Kills all nodes at the same moment.
    pub fn kill_nodes(&mut self) {
        self.record.line("all nodes are killed");
        for node in &mut self.nodes {
            let _ = node.process.kill();
        }
        for node in &mut self.nodes {
            let _ = node.process.wait();
        }
    }

    /// Starts the nodes again that were killed.
    pub fn start_nodes(&mut self) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            if let Ok(process) = spawn(&self.command, &self.folder, index) {
                node.process = process;
            }
        }
        self.record.line("all nodes are started again");
    }
}

fn settings_path(folder: &Path, index: usize) -> PathBuf {
    folder.join(format!("settings-{index}.jsonc"))
}

/// Starts the process of a node.
fn spawn(command: &str, folder: &Path, index: usize) -> std::io::Result<Child> {
    let mut words = command.split(' ');
    let log = OpenOptions::new().create(true).append(true).open(folder.join(format!("node-{index}.log")))?;
    let mut command = Command::new(words.next().unwrap_or_default());
    command.args(words).env_clear().env("SKYLARKSPAN_CONFIG", settings_path(folder, index)).env("LANG", "C");
    command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
    // The process ends with this one, whatever happens.
    unsafe {
        command.pre_exec(|| {
            prctl(1, 9, 0, 0, 0);
            Ok(())
        });
    }
    command.spawn()
}

impl Drop for Cell {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.process.kill();
            let _ = node.process.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Fills in the template of the settings with the values of a small deployment.
fn render(template: &str, index: usize, ports: &[u16; 4], store: &Server, advice: &Server) -> String {
    let values = [
        ("{{node|json}}", format!("\"frontend-z1-{}\"", index + 1)),
        ("{{region|json}}", "\"region\"".to_owned()),
        ("{{zone|json}}", "\"z1\"".to_owned()),
        ("{{listen.frontend|json}}", format!("\"127.0.0.1:{}\"", ports[0])),
        ("{{listen.readiness|json}}", format!("\"127.0.0.1:{}\"", ports[1])),
        ("{{ip}}:{{internalPorts.0}}", format!("127.0.0.1:{}", ports[2])),
        ("{{ip}}:{{internalPorts.1}}", format!("127.0.0.1:{}", ports[3])),
        ("{{platform.addr|json}}", format!("\"{}\"", store.address)),
        ("{{advice}}", advice.address.to_string()),
        ("{{limits.cpuShare|json}}", "0.25".to_owned()),
        ("{{limits.cores|json}}", "1".to_owned()),
        ("{{limits.linkMbps|json}}", "1000.0".to_owned()),
        ("{{bounds.configApplyMs|json}}", "2500".to_owned()),
        ("{{bounds.revokeMs|json}}", "5000".to_owned()),
        ("{{bounds.graceS|json}}", "6".to_owned()),
        ("{{bounds.holdMaxMs|json}}", "10000".to_owned()),
        ("{{bounds.status_s|json}}", "120".to_owned()),
    ];
    let mut text = template.to_owned();
    for (name, value) in values {
        text = text.replace(name, &value);
    }
    text
}
