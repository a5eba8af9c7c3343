//! Counts of what happens on the targets, as seen by the targets.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard},
};

use base::Resources;

/// Counts of an [`Observer`].
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Starts of a task while another attempt at the task ran.
    pub two_places: u32,
    /// Starts and calls that exceeded the capacity of a target.
    pub overcommits: u32,
    /// Repeated starts of tasks and repeated calls that may run at most once.
    pub second_runs: u32,
    /// Starts of tasks.
    pub starts: u32,
    /// Ends of tasks.
    pub ends: u32,
    /// Calls served.
    pub calls: u32,
    /// Attempts that run now.
    pub running: u32,
    /// Requests refused by fencing: their owner or term isn't the target's current
    /// one.
    pub fenced: u32,
    /// Largest number of concurrent calls at any runner, calls beyond the runner's
    /// slots included.
    pub most_calls: u32,
    /// CPU used by each team now, in thousandths of a core.
    pub cpu_milli: BTreeMap<String, u64>,
    /// Largest CPU use of each team at any time, in thousandths of a core.
    pub most_cpu_milli: BTreeMap<String, u64>,
}

/// Job id and index of a task.
pub(crate) type Task = (String, u32);

#[derive(Debug, Default)]
struct State {
    seen: Counts,
    running: HashMap<Task, u32>,
    /// Number of runs of each task or call that may run at most once.
    once: HashMap<String, u32>,
    cpu_milli: HashMap<String, u64>,
    /// Targets on which each task was started, in order of the starts.
    start_targets: HashMap<Task, Vec<String>>,
    calls: HashMap<String, u32>,
}

/// Counter of starts, ends and calls on all targets.
#[derive(Clone, Debug, Default)]
pub struct Observer {
    state: Arc<Mutex<State>>,
}

impl Observer {
    /// Returns a snapshot of the counts.
    pub fn counts(&self) -> Counts {
        let state = self.lock();
        let cpu_milli = state.cpu_milli.iter().map(|(team, cpu)| (team.clone(), *cpu)).collect();
        Counts { cpu_milli, ..state.seen.clone() }
    }

    /// Returns the targets on which a task was started, in order of the starts.
    pub fn start_targets(&self, job: &str, index: u32) -> Vec<String> {
        self.lock().start_targets.get(&(job.to_owned(), index)).cloned().unwrap_or_default()
    }

    pub(crate) fn record_start(
        &self,
        target: &str,
        task: &Task,
        once: bool,
        team: &str,
        size: &Resources,
        is_overcommitted: bool,
    ) {
        let mut state = self.lock();
        state.seen.starts += 1;
        state.seen.running += 1;
        state.seen.overcommits += u32::from(is_overcommitted);
        state.start_targets.entry(task.clone()).or_default().push(target.to_owned());
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
        let max = state.seen.most_cpu_milli.entry(team.to_owned()).or_default();
        *max = cpu.max(*max);
    }

    pub(crate) fn record_end(&self, task: &Task, team: &str, size: &Resources) {
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

    /// Returns the number of calls that a runner has accepted.
    pub fn calls_served_by(&self, runner: &str) -> u32 {
        self.lock().calls.get(runner).copied().unwrap_or(0)
    }

    pub(crate) fn record_call(&self, runner: &str, once: Option<&str>, busy: u32, slots: u32) {
        let mut state = self.lock();
        state.seen.calls += 1;
        *state.calls.entry(runner.to_owned()).or_default() += 1;
        state.seen.most_calls = busy.max(state.seen.most_calls);
        state.seen.overcommits += u32::from(busy > slots);
        if let Some(once) = once {
            state.count_once(format!("call/{once}"));
        }
    }

    pub(crate) fn record_fenced(&self) {
        self.lock().seen.fenced += 1;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

impl State {
    /// Counts a run of a task or call that may run at most once.
    fn count_once(&mut self, key: String) {
        let runs = self.once.entry(key).or_default();
        *runs += 1;
        self.seen.second_runs += u32::from(*runs > 1);
    }
}
