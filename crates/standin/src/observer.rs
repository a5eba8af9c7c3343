//! What the targets did, as they saw it themselves.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard},
};

use base::Resources;

/// A `Counts` is what an observer has counted.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Starts of a task while another attempt at it ran.
    pub two_places: u32,
    /// Starts that took a target over its capacity.
    pub overcommits: u32,
    /// Second starts of a task, or second calls, that may run at most once.
    pub second_runs: u32,
    /// Starts of tasks.
    pub starts: u32,
    /// Ends of tasks.
    pub ends: u32,
    /// Calls served.
    pub calls: u32,
    /// Tasks that run now.
    pub running: u32,
    /// Requests with a term lower than one already seen.
    pub fenced: u32,
    /// Most calls at once at any runner, beyond its slots or not.
    pub most_calls: u32,
    /// Thousandths of a core that each team runs now.
    pub cpu_milli: BTreeMap<String, u64>,
    /// Most thousandths of a core that each team ran at once.
    pub most_cpu_milli: BTreeMap<String, u64>,
}

/// A `Task` is a task as targets know it.
pub(crate) type Task = (String, u32);

#[derive(Debug, Default)]
struct State {
    seen: Counts,
    running: HashMap<Task, u32>,
    /// Starts of tasks, and calls, that may run at most once.
    once: HashMap<String, u32>,
    cpu_milli: HashMap<String, u64>,
    placed: HashMap<Task, Vec<String>>,
    calls: HashMap<String, u32>,
}

/// An `Observer` counts what happens at all targets.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    state: Arc<Mutex<State>>,
}

impl Observer {
    /// Gets what was counted.
    pub fn counts(&self) -> Counts {
        let state = self.lock();
        let cpu_milli = state.cpu_milli.iter().map(|(team, cpu)| (team.clone(), *cpu)).collect();
        Counts { cpu_milli, ..state.seen.clone() }
    }

    /// Gets the targets on which a task was started, in order.
    pub fn start_targets(&self, job: &str, index: u32) -> Vec<String> {
        self.lock().placed.get(&(job.to_owned(), index)).cloned().unwrap_or_default()
    }

    pub(crate) fn start(
        &self,
        target: &str,
        task: &Task,
        once: bool,
        team: &str,
        size: &Resources,
        is_over: bool,
    ) {
        let mut state = self.lock();
        state.seen.starts += 1;
        state.seen.running += 1;
        state.seen.overcommits += u32::from(is_over);
        state.placed.entry(task.clone()).or_default().push(target.to_owned());
        let running = state.running.entry(task.clone()).or_default();
        *running += 1;
        let is_second = *running > 1;
        state.seen.two_places += u32::from(is_second);
        if once {
            state.count_once(format!("{}/{}", task.0, task.1));
        }
        let cpu = state.cpu_milli.entry(team.to_owned()).or_default();
        *cpu += u64::from(size.cpu_milli);
        let cpu = *cpu;
        let most = state.seen.most_cpu_milli.entry(team.to_owned()).or_default();
        *most = cpu.max(*most);
    }

    pub(crate) fn end(&self, task: &Task, team: &str, size: &Resources) {
        let mut state = self.lock();
        state.seen.ends += 1;
        state.seen.running -= 1;
        if let Some(running) = state.running.get_mut(task) {
            *running -= 1;
        }
        if let Some(cpu) = state.cpu_milli.get_mut(team) {
            *cpu -= u64::from(size.cpu_milli);
        }
    }

    /// Gets the calls that a runner has served.
    pub fn calls_served_by(&self, runner: &str) -> u32 {
        self.lock().calls.get(runner).copied().unwrap_or(0)
    }

    pub(crate) fn call(&self, runner: &str, once: Option<&str>, busy: u32, slots: u32) {
        let mut state = self.lock();
        state.seen.calls += 1;
        *state.calls.entry(runner.to_owned()).or_default() += 1;
        state.seen.most_calls = busy.max(state.seen.most_calls);
        state.seen.overcommits += u32::from(busy > slots);
        if let Some(once) = once {
            state.count_once(format!("call/{once}"));
        }
    }

    pub(crate) fn fence(&self) {
        self.lock().seen.fenced += 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}

impl State {
    fn count_once(&mut self, what: String) {
        let runs = self.once.entry(what).or_default();
        *runs += 1;
        self.seen.second_runs += u32::from(*runs > 1);
    }
}
