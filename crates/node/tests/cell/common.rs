//! Cells of nodes in the test process. Each node has a runtime of its own, so
//! that a single node can be killed.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Failure, Name, Resources};
use node::{
    Frontend, Handle, Settings,
    settings::{LeaderLease, Limits},
};
use standin::cell::World;
use tokio::runtime::{Builder, Runtime};
use work::{JobState, Step};

/// Time within which an awaited condition must hold.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Time that clients wait for an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Resources of the weakest instances of the users' grown sites.
const WEAK_LIMITS: Limits = Limits {
    cpu_share: 0.12,
    cores: 1.0,
    link_mbps: 10.0,
    job_bytes: 768 * 1024,
    memory_mb: 120,
    max_fds: 3075,
};

/// Size of a task: one of the eight slots of a target.
pub const TASK_SIZE: Resources = Resources { cpu_milli: 1000, memory_mib: 1024, accelerators: 0 };

/// Node of a cell.
pub struct Node {
    runtime: Option<Runtime>,
    handle: Option<Arc<Handle>>,
    pub name: String,
}

/// Stand-ins for store and targets, with the nodes that use them.
pub struct Cell {
    pub world: World,
    pub nodes: Vec<Node>,
}

impl Cell {
    /// Starts a cell and waits until it can place jobs.
    pub fn start(nodes: usize, targets: u32) -> Self {
        let world = World::new(targets, TASK_SIZE, 8);
        let nodes = (0..nodes).map(|number| Node::start(&world, &format!("node-{number}")));
        let cell = Self { nodes: nodes.collect(), world };
        wait_until("a ready cell", || cell.nodes.iter().all(|node| node.pending_jobs().is_ok()));
        cell
    }

    /// Starts a cell whose last nodes are weak, and waits until it can place
    /// jobs. The leader leases outlast an outage of the store, as if they paused
    /// during the outage.
    pub fn start_mixed(strong: usize, weak: usize, targets: u32) -> Self {
        const LEASE_MS: u64 = 10_000;
        let world = World::new(targets, TASK_SIZE, 8);
        let lead = LeaderLease { ttl_ms: LEASE_MS, ..LeaderLease::default() };
        let start = |number: usize| {
            let limits = if number < strong { Limits::default() } else { WEAK_LIMITS };
            let settings = Settings { limits, lead: lead.clone(), ..Settings::default() };
            Node::start_with(&world, &format!("node-{number}"), settings)
        };
        let cell = Self { nodes: (0..strong + weak).map(start).collect(), world };
        wait_until("a ready cell", || cell.nodes.iter().all(|node| node.pending_jobs().is_ok()));
        cell
    }

    /// Waits for a leader and returns its index.
    pub fn leader(&self) -> usize {
        let mut leader = None;
        wait_until("a leader", || {
            leader = self.nodes.iter().position(Node::is_leader);
            leader.is_some()
        });
        leader.expect("the cell should have a leader after the wait")
    }

    /// Returns the index of a node that isn't the leader.
    pub fn follower(&self) -> usize {
        let leader = self.leader();
        (0..self.nodes.len()).find(|number| *number != leader).expect("there are several nodes")
    }

    /// Waits until a node reports the given state of a job.
    pub fn wait_for_state(&self, node: usize, id: &str, state: JobState) {
        wait_until(&format!("{id} {state:?}"), || self.nodes[node].state(id) == Ok(Some(state)));
    }
}

impl Node {
    /// Starts a node with default settings.
    pub fn start(world: &World, name: &str) -> Self {
        Self::start_with(world, name, Settings::default())
    }

    /// Starts a node with the given settings, except for name, address and log
    /// level.
    pub fn start_with(world: &World, name: &str, settings: Settings) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("the runtime should build");
        let settings = Settings {
            name: name.to_owned(),
            links: "127.0.0.1:0".to_owned(),
            log: node::settings::Log { level: base::Level::Error },
            ..settings
        };
        let services = world.services(name);
        let handle = runtime
            .block_on(Handle::start(settings, services))
            .expect("the node should start on a free port");
        Self { runtime: Some(runtime), handle: Some(Arc::new(handle)), name: name.to_owned() }
    }

    /// Stops the node abruptly, without a handover.
    pub fn kill(&mut self) {
        self.handle = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Stops the node gracefully and waits until it has handed over.
    pub fn stop(&mut self) {
        if let (Some(runtime), Some(handle)) = (&self.runtime, &self.handle) {
            runtime.block_on(handle.stop());
        }
        self.kill();
    }

    /// Submits a job of one step.
    pub fn submit(&self, id: &str, payload: &str, step: Step) -> Result<(), Failure> {
        self.submit_steps(id, payload, vec![step])
    }

    /// Submits a job of one step for a client with the given timeout.
    pub fn submit_with_timeout(
        &self,
        id: &str,
        payload: &str,
        step: Step,
        timeout: Duration,
    ) -> Result<(), Failure> {
        self.submit_steps_with_timeout(id, payload, vec![step], timeout)
    }

    /// Submits a job of several steps.
    pub fn submit_steps(&self, id: &str, payload: &str, steps: Vec<Step>) -> Result<(), Failure> {
        self.submit_steps_with_timeout(id, payload, steps, CLIENT_TIMEOUT)
    }

    fn submit_steps_with_timeout(
        &self,
        id: &str,
        payload: &str,
        steps: Vec<Step>,
        timeout: Duration,
    ) -> Result<(), Failure> {
        let frontend = self.frontend();
        let admission = frontend.admit("host", "/queue/", Some("key"))?;
        let id = Name::from(id);
        self.block_on(frontend.submit(admission, &id, Name::from(payload), None, steps, timeout))
    }

    /// Cancels a job. Returns whether the job is known.
    pub fn cancel(&self, id: &str) -> Result<bool, Failure> {
        self.block_on(self.frontend().cancel(&Name::from(id), CLIENT_TIMEOUT))
    }

    /// Returns the state of a job, or `None` if the job is unknown.
    pub fn state(&self, id: &str) -> Result<Option<JobState>, Failure> {
        self.block_on(self.frontend().state(&Name::from(id), CLIENT_TIMEOUT))
    }

    /// Returns the number of jobs of which no task has started.
    pub fn pending_jobs(&self) -> Result<u32, Failure> {
        let frontend = self.frontend();
        let admission = frontend.admit("host", "/queue/", Some("key"))?;
        frontend.pending(&admission)
    }

    /// Returns the metrics as text.
    pub fn metrics(&self) -> String {
        self.frontend().metrics()
    }

    /// Checks whether the node accepts a key.
    pub fn check_key(&self, key: &str) -> Result<(), Failure> {
        self.check_path("/queue/", key)
    }

    /// Checks whether the node accepts requests for a path with a key.
    pub fn check_path(&self, path: &str, key: &str) -> Result<(), Failure> {
        self.frontend().admit("host", path, Some(key)).map(|_| ())
    }

    /// Returns whether the node is the leader.
    pub fn is_leader(&self) -> bool {
        self.handle.as_ref().is_some_and(|handle| handle.is_leading())
    }

    fn frontend(&self) -> Frontend {
        self.handle.as_ref().expect("the node should be running").frontend()
    }

    fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.as_ref().expect("the node should be running").block_on(future)
    }
}

/// Returns a step of small tasks.
pub fn step(count: u32) -> Step {
    Step { count, size: TASK_SIZE, estimate_ms: 100, ..Step::default() }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with `what` in the message after [`WAIT_TIMEOUT`].
pub fn wait_until(what: &str, condition: impl FnMut() -> bool) {
    wait_until_within(WAIT_TIMEOUT, what, condition);
}

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with `what` in the message after `timeout`.
pub fn wait_until_within(timeout: Duration, what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
