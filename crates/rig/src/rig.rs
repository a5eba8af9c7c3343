//! Daemons and stand-ins together.

use std::{
    fs::{self, File},
    io,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use quota::Digester;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use standin::{Layout, World};
use tempfile::TempDir;
use tokio::sync::{Semaphore, SemaphorePermit};
use wire::pb::change_request::Change;

use crate::{client::Client, ports::free_port, proxy::Proxy, settings::merge_settings};

/// Rigs that run at once in one process.
const RIGS_AT_ONCE: usize = 2;

/// Secret of the rig's keys.
const SECRET: &[u8] = b"a secret of the rig's instances.";

/// Time for the rig to come up.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time between looks at what is waited for.
const POLL: Duration = Duration::from_millis(20);

static ROOM: Semaphore = Semaphore::const_new(RIGS_AT_ONCE);

/// A `Security` is how a rig's instances are reached.
#[derive(Clone, Debug, Default)]
pub enum Security {
    /// By plain connections.
    #[default]
    Plain,
    /// By TLS with the certificates in a folder, as
    /// [`standin::write_certificates`] writes them.
    Tls(PathBuf),
}

/// An `Options` says what a rig consists of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The targets.
    pub layout: Layout,
    /// Region of each entry instance.
    pub regions: Vec<String>,
    /// Settings that differ from those of the rig.
    pub settings: Value,
    /// How instances are reached.
    pub security: Security,
    /// Path of the daemon.
    pub daemon: PathBuf,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            layout: Layout::default(),
            regions: vec!["r1".to_owned(); 3],
            settings: json!({}),
            security: Security::Plain,
            daemon: binary_path("skylarkspand"),
        }
    }
}

/// An `Instance` is an entry instance as a process.
#[derive(Debug)]
pub struct Instance {
    /// Its name.
    pub name: String,
    /// Address towards callers.
    pub caller_address: String,
    /// Address of its metrics.
    pub metrics_address: String,
    /// The way other instances reach it.
    pub peer_proxy: Proxy,
    /// The way it reaches the platform.
    pub platform_proxy: Proxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.reap();
    }

    /// Freezes the process.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a frozen process go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended; gets whether it ended well.
    pub async fn wait(&mut self) -> bool {
        loop {
            match self.child.as_mut().map(Child::try_wait) {
                None | Some(Err(_)) => return false,
                Some(Ok(Some(status))) => {
                    self.child = None;
                    return status.success();
                }
                Some(Ok(None)) => tokio::time::sleep(POLL).await,
            }
        }
    }

    /// Gets the number of the process.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Gets the lines that the process has logged.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid {
            // The process may have ended by itself.
            let _ = kill_process(pid, signal);
        }
    }

    fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A `Rig` is daemons and stand-ins together; dropping it ends them.
#[derive(Debug)]
pub struct Rig {
    /// The stand-ins.
    pub world: World,
    /// The entry instances.
    pub instances: Vec<Instance>,
    /// The first operator's key.
    pub operator_key: String,
    daemon: PathBuf,
    security: Security,
    dir: TempDir,
    _room: SemaphorePermit<'static>,
}

impl Rig {
    /// Starts stand-ins and daemons and waits until every worker and runner
    /// has an owner.
    ///
    /// # Errors
    /// Fails if a process can't be started.
    ///
    /// # Panics
    /// Panics if the rig doesn't come up.
    pub async fn start(options: Options) -> io::Result<Self> {
        let room = ROOM.acquire().await.expect("the room is never closed");
        let targets = options.layout.workers.iter().chain(&options.layout.runners);
        let expected = targets.map(|group| group.count as usize).sum();
        let world = World::start(options.layout).await?;
        let operator_key = Digester::new_key();
        let mut rig = Self {
            world,
            instances: Vec::new(),
            operator_key,
            daemon: options.daemon,
            security: options.security,
            dir: TempDir::new()?,
            _room: room,
        };
        for (number, region) in options.regions.iter().enumerate() {
            rig.add(number, region, &options.settings).await?;
        }
        rig.wait_ready(expected).await;
        Ok(rig)
    }

    /// Gets a client of an instance with a key.
    ///
    /// # Panics
    /// Panics if the authority of the certificates can't be read.
    pub fn client(&self, number: usize, key: &str) -> Client {
        let address = &self.instances[number].caller_address;
        match &self.security {
            Security::Plain => Client::new(address, key),
            Security::Tls(dir) => {
                let authority = fs::read(dir.join("authority.pem")).expect("there is an authority");
                Client::with_tls(address, key, &authority)
            }
        }
    }

    /// Gets an operator at an instance.
    pub fn operator_client(&self, number: usize) -> Client {
        self.client(number, &self.operator_key)
    }

    /// Creates a team and gets its key.
    ///
    /// # Panics
    /// Panics if the instances refuse it.
    pub async fn create_team(&self, name: &str, home: &str, cpu_milli: u32) -> String {
        let operator = self.operator_client(0);
        operator.put_team(name, home, cpu_milli).await.expect("the team is accepted");
        operator.grant_key(name, &format!("{name}-key")).await.expect("the key is granted")
    }

    /// Applies the schema in a file.
    ///
    /// # Panics
    /// Panics if the instances refuse it.
    pub async fn apply_schema(&self, file: &Path) {
        let descriptors = cli::compile_schema(file).expect("the schema is right").into();
        let put = wire::pb::PutSchema { name: "schema".to_owned(), descriptors };
        self.operator_client(0)
            .change(Change::PutSchema(put))
            .await
            .expect("the schema is accepted");
    }

    /// Starts the process of an instance again.
    ///
    /// # Errors
    /// Fails if it can't be started.
    pub fn restart(&mut self, number: usize) -> io::Result<()> {
        let daemon = self.daemon.clone();
        spawn(&daemon, &mut self.instances[number])
    }

    /// Gets the number of the instance that places in a region, as seen by the
    /// others; waits until there is one that is reachable.
    ///
    /// # Panics
    /// Panics if there is none for long.
    pub async fn placer(&self, region: &str) -> usize {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            for number in 0..self.instances.len() {
                let Ok(status) = self.operator_client(number).status().await else {
                    continue;
                };
                let places = |i: &&wire::pb::InstanceStatus| i.places.iter().any(|r| r == region);
                if let Some(placer) = status.instances.iter().find(places) {
                    let is_it = |instance: &Instance| instance.name == placer.name;
                    if let Some(number) = self.instances.iter().position(is_it) {
                        return number;
                    }
                }
            }
            assert!(Instant::now() < deadline, "no instance places in {region}");
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until `done` holds; gets how long that took, or `None` after
    /// `limit`.
    pub async fn wait_until(
        limit: Duration,
        mut done: impl AsyncFnMut() -> bool,
    ) -> Option<Duration> {
        let start = Instant::now();
        while !done().await {
            if start.elapsed() > limit {
                return None;
            }
            tokio::time::sleep(POLL).await;
        }
        Some(start.elapsed())
    }

    async fn add(&mut self, number: usize, region: &str, over: &Value) -> io::Result<()> {
        let name = format!("entry-{number}");
        let [callers, peers, metrics_address] =
            [(); 3].map(|()| format!("127.0.0.1:{}", free_port()));
        let peer_proxy = Proxy::open(peers.clone()).await?;
        let platform_proxy = Proxy::open(self.world.platform().to_string()).await?;
        let digest = Digester::new(SECRET).digest(&self.operator_key).to_string();
        let secret: String = SECRET.iter().map(|byte| format!("{byte:02x}")).collect();
        let mut settings = json!({
            "name": name,
            "region": region,
            "data_centre": format!("{region}-a"),
            "callers": { "listen": callers, "tls": "off" },
            "peers": {
                "listen": peers,
                "advertise": peer_proxy.address().to_string(),
                "tls": "off",
            },
            "metrics": { "listen": metrics_address },
            "platform": { "address": platform_proxy.address().to_string() },
            "keys": { "digest_secret": secret, "first_operator": digest },
        });
        if let Security::Tls(dir) = &self.security {
            merge_settings(&mut settings, &tls_settings(dir));
        }
        merge_settings(&mut settings, over);
        let path = self.dir.path().join(format!("{name}.json"));
        fs::write(&path, settings.to_string())?;
        let mut instance = Instance {
            log: self.dir.path().join(format!("{name}.log")),
            name,
            caller_address: callers,
            metrics_address,
            peer_proxy,
            platform_proxy,
            settings: path,
            child: None,
        };
        spawn(&self.daemon, &mut instance)?;
        self.instances.push(instance);
        Ok(())
    }

    async fn wait_ready(&self, expected: usize) {
        let operator = self.operator_client(0);
        let ready = async || {
            let Ok(status) = operator.status().await else {
                return false;
            };
            let is_ready = |target: &&wire::pb::TargetStatus| target.health == "ready";
            status.targets.iter().filter(is_ready).count() >= expected
                && status.instances.iter().filter(|i| i.reachable).count() == self.instances.len()
        };
        let up = Self::wait_until(START_TIMEOUT, ready).await;
        if up.is_none() {
            let logs: Vec<_> = self.instances.iter().map(Instance::log).collect();
            panic!("the rig did not come up: {}", logs.join("\n"));
        }
    }
}

fn tls_settings(dir: &Path) -> Value {
    let file = |name: &str| dir.join(name).display().to_string();
    let own = json!({
        "tls": "on",
        "certificate": file("instance.pem"),
        "key": file("instance.key"),
    });
    let mut peers = own.clone();
    merge_settings(&mut peers, &json!({ "authority": file("authority.pem") }));
    json!({ "callers": own, "peers": peers })
}

fn spawn(daemon: &Path, instance: &mut Instance) -> io::Result<()> {
    let log = File::options().create(true).append(true).open(&instance.log)?;
    let child = Command::new(daemon)
        .arg("--config")
        .arg(&instance.settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()?;
    instance.child = Some(child);
    Ok(())
}

/// Gets the path of a program of the workspace, beside the one that runs.
pub fn binary_path(name: &str) -> PathBuf {
    let mut dir = std::env::current_exe().expect("the program has a path");
    dir.pop();
    // Test programs lie one folder deeper.
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir.pop();
    }
    dir.join(name)
}
