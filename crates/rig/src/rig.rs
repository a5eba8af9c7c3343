//! Start and control of the daemons and stand-ins of a rig.

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

/// Maximum number of rigs that run at once in one process.
const MAX_CONCURRENT_RIGS: usize = 2;

/// Secret for the digests of the rig's keys.
const DIGEST_SECRET: &[u8] = b"a secret of the rig's instances.";

/// Timeout for the start of a rig and for a region to get a placer.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which awaited conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

static RIG_PERMITS: Semaphore = Semaphore::const_new(MAX_CONCURRENT_RIGS);

/// Security of the connections to and between a rig's instances.
#[derive(Clone, Debug, Default)]
pub enum Security {
    /// Plain connections.
    #[default]
    Plain,
    /// TLS with the certificates in a folder that
    /// [`standin::write_certificates`] has written.
    Tls(PathBuf),
}

/// Composition of a rig.
#[derive(Clone, Debug)]
pub struct Options {
    /// Workers and runners.
    pub layout: Layout,
    /// Regions of the entry instances, one per instance.
    pub regions: Vec<String>,
    /// Settings of the daemons that override those chosen by the rig.
    pub settings: Value,
    /// Security of the connections to and between instances.
    pub security: Security,
    /// Path of the daemon's executable.
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

/// Entry instance that runs as a child process.
#[derive(Debug)]
pub struct Instance {
    /// Name of the instance.
    pub name: String,
    /// Address (host and port) at which the instance accepts callers.
    pub caller_address: String,
    /// Address (host and port) of the metrics endpoint.
    pub metrics_address: String,
    /// Proxy through which other instances connect to this one.
    pub peer_proxy: Proxy,
    /// Proxy through which the instance connects to the platform.
    pub platform_proxy: Proxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Instance {
    /// Kills the process (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.reap();
    }

    /// Suspends the process (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Requests a graceful shutdown of the process (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process has ended. Returns whether its exit status was
    /// success; `false` also if no process was running.
    pub async fn wait(&mut self) -> bool {
        loop {
            match self.child.as_mut().map(Child::try_wait) {
                None | Some(Err(_)) => return false,
                Some(Ok(Some(status))) => {
                    self.child = None;
                    return status.success();
                }
                Some(Ok(None)) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Returns the process id, or `None` if no process is running.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns the log of the instance, restarts included.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    fn signal(&self, signal: Signal) {
        let pid = self.pid().and_then(|pid| Pid::from_raw(pid as i32));
        if let Some(pid) = pid {
            // Fails if the process has already ended.
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

/// Running daemons and stand-ins, which end when the rig is dropped.
#[derive(Debug)]
pub struct Rig {
    /// Stand-ins for the platform, workers and runners.
    pub world: World,
    /// Entry instances, in the order of [`Options::regions`].
    pub instances: Vec<Instance>,
    /// Key of the first operator.
    pub operator_key: String,
    daemon: PathBuf,
    security: Security,
    dir: TempDir,
    _permit: SemaphorePermit<'static>,
}

impl Rig {
    /// Starts the stand-ins and daemons. Waits until all workers and runners are
    /// ready and the first instance reports every instance as reachable; waits
    /// first if other rigs of the process are running.
    ///
    /// # Errors
    /// Fails if a stand-in or daemon can't be started.
    ///
    /// # Panics
    /// Panics if the rig is not ready within 30 s.
    pub async fn start(options: Options) -> io::Result<Self> {
        let permit = RIG_PERMITS.acquire().await.expect("the semaphore is never closed");
        let targets = options.layout.workers.iter().chain(&options.layout.runners);
        let expected_targets = targets.map(|group| group.count as usize).sum();
        let world = World::start(options.layout).await?;
        let operator_key = Digester::new_key();
        let mut rig = Self {
            world,
            instances: Vec::new(),
            operator_key,
            daemon: options.daemon,
            security: options.security,
            dir: TempDir::new()?,
            _permit: permit,
        };
        for (number, region) in options.regions.iter().enumerate() {
            rig.start_instance(number, region, &options.settings).await?;
        }
        rig.wait_ready(expected_targets).await;
        Ok(rig)
    }

    /// Creates a client that connects to an instance, given by its index, with a key.
    ///
    /// # Panics
    /// Panics if the certificate authority can't be read.
    pub fn client(&self, number: usize, key: &str) -> Client {
        let address = &self.instances[number].caller_address;
        match &self.security {
            Security::Plain => Client::new(address, key),
            Security::Tls(dir) => {
                let authority = fs::read(dir.join("authority.pem"))
                    .expect("the certificate authority can be read");
                Client::with_tls(address, key, &authority)
            }
        }
    }

    /// Creates a client that connects to an instance with the operator's key.
    pub fn operator_client(&self, number: usize) -> Client {
        self.client(number, &self.operator_key)
    }

    /// Creates a team with home region `home` and a limit of `cpu_milli` thousandths
    /// of a core. Returns a key of the team, labelled `NAME-key`.
    ///
    /// # Panics
    /// Panics if the team or the key is refused.
    pub async fn create_team(&self, name: &str, home: &str, cpu_milli: u32) -> String {
        let operator = self.operator_client(0);
        operator.put_team(name, home, cpu_milli).await.expect("the team is accepted");
        operator.grant_key(name, &format!("{name}-key")).await.expect("the key is granted")
    }

    /// Compiles a schema file and puts it in force.
    ///
    /// # Panics
    /// Panics if the file does not compile or the schema is refused.
    pub async fn apply_schema(&self, file: &Path) {
        let descriptors = cli::compile_schema(file).expect("the schema compiles").into();
        let put = wire::pb::PutSchema { name: "schema".to_owned(), descriptors };
        self.operator_client(0)
            .change(Change::PutSchema(put))
            .await
            .expect("the schema is accepted");
    }

    /// Starts a new process for an instance whose process has ended.
    ///
    /// # Errors
    /// Fails if the process can't be started.
    pub fn restart(&mut self, number: usize) -> io::Result<()> {
        let daemon = self.daemon.clone();
        spawn(&daemon, &mut self.instances[number])
    }

    /// Returns the index of the placer of a region, as reported by any instance.
    /// Waits until an instance reports one.
    ///
    /// # Panics
    /// Panics if no instance reports a placer within 30 s.
    pub async fn placer(&self, region: &str) -> usize {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            for number in 0..self.instances.len() {
                let Ok(status) = self.operator_client(number).status().await else {
                    continue;
                };
                let places = |i: &&wire::pb::InstanceStatus| i.places.iter().any(|r| r == region);
                if let Some(placer) = status.instances.iter().find(places) {
                    let is_placer = |instance: &Instance| instance.name == placer.name;
                    if let Some(number) = self.instances.iter().position(is_placer) {
                        return number;
                    }
                }
            }
            assert!(
                Instant::now() < deadline,
                "no placer in region {region} within {START_TIMEOUT:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until `condition` holds. Returns the time that this took, or `None` if
    /// the condition does not hold within `timeout`.
    pub async fn wait_until(
        timeout: Duration,
        mut condition: impl AsyncFnMut() -> bool,
    ) -> Option<Duration> {
        let start = Instant::now();
        while !condition().await {
            if start.elapsed() > timeout {
                return None;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Some(start.elapsed())
    }

    async fn start_instance(
        &mut self,
        number: usize,
        region: &str,
        overrides: &Value,
    ) -> io::Result<()> {
        let name = format!("entry-{number}");
        let [callers, peers, metrics_address] =
            [(); 3].map(|()| format!("127.0.0.1:{}", free_port()));
        let peer_proxy = Proxy::open(peers.clone()).await?;
        let platform_proxy = Proxy::open(self.world.platform_address().to_string()).await?;
        let digest = Digester::new(DIGEST_SECRET).digest(&self.operator_key).to_string();
        let secret: String = DIGEST_SECRET.iter().map(|byte| format!("{byte:02x}")).collect();
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
        merge_settings(&mut settings, overrides);
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

    async fn wait_ready(&self, expected_targets: usize) {
        let operator = self.operator_client(0);
        let is_rig_ready = async || {
            let Ok(status) = operator.status().await else {
                return false;
            };
            let is_target_ready = |target: &&wire::pb::TargetStatus| target.health == "ready";
            status.targets.iter().filter(is_target_ready).count() >= expected_targets
                && status.instances.iter().filter(|i| i.reachable).count() == self.instances.len()
        };
        let ready_after = Self::wait_until(START_TIMEOUT, is_rig_ready).await;
        if ready_after.is_none() {
            let logs: Vec<_> = self.instances.iter().map(Instance::log).collect();
            panic!(
                "the rig was not ready within {START_TIMEOUT:?}; logs of its instances:\n{}",
                logs.join("\n")
            );
        }
    }
}

fn tls_settings(dir: &Path) -> Value {
    let file = |name: &str| dir.join(name).display().to_string();
    let callers = json!({
        "tls": "on",
        "certificate": file("instance.pem"),
        "key": file("instance.key"),
    });
    let mut peers = callers.clone();
    merge_settings(&mut peers, &json!({ "authority": file("authority.pem") }));
    json!({ "callers": callers, "peers": peers })
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

/// Returns the path of an executable of the workspace, which is expected in the
/// same target folder as the running program.
///
/// # Panics
/// Panics if the path of the running program is unknown.
pub fn binary_path(name: &str) -> PathBuf {
    let mut dir = std::env::current_exe().expect("the path of the running program is known");
    dir.pop();
    // Cargo puts test programs and examples one folder deeper than binaries.
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir.pop();
    }
    dir.join(name)
}
