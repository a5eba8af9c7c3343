//! Check that each task that may run is started within a bound.
//!
//! A task may run if the steps that it depends on are recorded as done, it is
//! neither done nor running, and no start of it was sent to a target that does not
//! answer at present. It has to be started while the leader and the store work and
//! a sound target stands idle. After a leader has died without a handover, its
//! successor can't know which tasks were started on targets that are silent now,
//! so that tasks of earlier jobs are excused until the last late order has lapsed;
//! a step is not excused if a run of a step that it depends on is still listed.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use base::Name;
use plan::Availability;
use work::{StepKey, TaskKey};

use super::{
    leader::unix_ms,
    message::{Call, Order},
    workload::PLAIN_QUEUE,
    world::World,
};

/// Interval between two looks at the cell.
pub const INTERVAL: Duration = Duration::from_millis(50);

/// Time within which a task that may run is started. Targets are asked within a
/// second of a takeover; a failed record of the targets is repeated after a second.
const BOUND: Duration = Duration::from_secs(3);

/// Time without faults after which a target counts as one that answers.
const ANSWER_TIME: Duration = Duration::from_millis(1500);

/// Time without faults after which a target gets work: a start times out after 0.5 s,
/// which begins a back-off of 9.6 s at most, and the next round may be 50 ms later.
const BACKOFF: Duration = Duration::from_millis(10_150);

/// Longest time for which a run counts that is not known to exist: 12 s for a late
/// order, then a lease of 10 s by a slow clock.
const LONGEST_WAIT: Duration = Duration::from_secs(23);

/// What is known of a target.
#[derive(Clone, Copy, Debug, Default)]
struct Observed {
    /// Process, and the time since when it has had no fault.
    sound: Option<(u64, Duration)>,
    /// Time since when it has had no run.
    idle: Option<Duration>,
    last_failure_at: Option<Duration>,
}

impl Observed {
    fn is_sound(&self, now: Duration, time: Duration) -> bool {
        self.sound.is_some_and(|(_, since)| now - since >= time)
    }
}

/// Takeover after the death of a leader.
#[derive(Default)]
struct Kill {
    at: Duration,
    /// Known processes, as the successor has read them.
    processes: HashMap<Name, u64>,
    /// Steps with a run that is still listed.
    running: Option<BTreeSet<StepKey>>,
}

#[derive(Default)]
pub struct Delays {
    targets: BTreeMap<usize, Observed>,
    /// Targets that a start of a task was sent to, and when.
    sent: BTreeMap<TaskKey, BTreeMap<usize, Duration>>,
    /// Time since when a task has been due.
    due: BTreeMap<TaskKey, Duration>,
    kill: Option<Kill>,
    pub violations: Vec<(TaskKey, String)>,
    /// Number of tasks that were due and were started.
    pub starts: usize,
}

impl Delays {
    /// Notes that a leader sends an order.
    pub fn sent(&mut self, call: &Call, now: Duration) {
        if let Order::Start { start, .. } = &call.order {
            self.sent.entry(start.task.clone()).or_default().insert(call.target, now);
            let observed = self.targets.entry(call.target).or_default();
            observed.idle = Some(now);
            self.starts += usize::from(self.due.remove(&start.task).is_some());
        }
    }

    /// Notes that a run has failed, which counts against its target.
    pub fn failed(&mut self, target: usize, now: Duration) {
        self.targets.entry(target).or_default().last_failure_at = Some(now);
    }

    /// Notes that a leader begins without a handover.
    pub fn killed(&mut self, now: Duration, processes: HashMap<Name, u64>) {
        self.kill = Some(Kill { at: now, processes, running: None });
    }
}

impl World {
    /// Looks at the cell.
    pub fn observe(&mut self) {
        let now = self.now;
        for (number, target) in self.targets.iter().enumerate() {
            let born = target.process.as_ref().map(|process| process.born);
            let is_cut = target.cut.is_some_and(|(_, until, _)| now < until);
            let is_impaired = target.impairment.is_some_and(|(_, until)| now < until);
            let is_listed = target.entry.is_some_and(|(availability, by)| {
                availability == Availability::Ready && Some(by) == born
            });
            let observed = self.delays.targets.entry(number).or_default();
            let known = observed.sound.filter(|(known, _)| Some(*known) == born);
            observed.sound = born
                .filter(|_| is_listed && !is_cut && !is_impaired)
                .map(|born| known.unwrap_or((born, now)));
            let is_idle = target.process.as_ref().is_some_and(|process| process.runs.is_empty());
            observed.idle = if is_idle { observed.idle.or(Some(now)) } else { None };
        }
        let works = self.leader.as_ref().is_some_and(|leader| {
            leader.is_valid && now >= leader.paused_until && !leader.is_handing_over()
        });
        if !works || self.trouble.is_some() {
            self.delays.due.clear();
            return;
        }
        self.note_running_steps();
        let due = self.due_tasks();
        let has_idle_target = self.delays.targets.values().any(|observed| {
            observed.is_sound(now, BACKOFF)
                && observed.idle.is_some_and(|since| now - since >= BOUND)
                && observed.last_failure_at.is_none_or(|at| now - at >= LONGEST_WAIT)
        });
        let known = std::mem::take(&mut self.delays.due);
        for task in due {
            let since = known.get(&task).copied().unwrap_or(now);
            if now - since > BOUND && has_idle_target {
                let text = format!("due since {since:?}, not started at {now:?}");
                self.note(|_| format!("{task:?} is {text}"));
                self.delays.violations.push((task.clone(), text));
            }
            // A violation is told once for each bound.
            let is_told = now - since > BOUND && has_idle_target;
            self.delays.due.insert(task, if is_told { now } else { since });
        }
    }

    /// Notes, some time after a leader has died, which of its runs are still listed.
    fn note_running_steps(&mut self) {
        let now = self.now;
        let Some(kill) = &mut self.delays.kill else {
            return;
        };
        if kill.running.is_some() || now - kill.at < ANSWER_TIME {
            return;
        }
        let mut running = BTreeSet::new();
        for (number, target) in self.targets.iter().enumerate() {
            let observed = self.delays.targets.get(&number).copied().unwrap_or_default();
            let known = kill.processes.get(&target.name);
            let is_sound = observed
                .sound
                .is_some_and(|(born, since)| since <= kill.at && known == Some(&born));
            for (task, run) in target.process.iter().flat_map(|process| &process.runs) {
                let step = &self.specs[&task.0.step.job].steps[usize::from(task.0.step.step)];
                if is_sound && !step.gang && run.started_at <= kill.at && !run.is_stopping {
                    running.insert(task.0.step.clone());
                }
            }
        }
        kill.running = Some(running);
    }

    /// Returns the tasks that may run.
    fn due_tasks(&self) -> Vec<TaskKey> {
        let now = self.now;
        let is_silent = |target: &usize| {
            !self.delays.targets.get(target).is_some_and(|known| known.is_sound(now, ANSWER_TIME))
        };
        let is_any_silent = (0..self.targets.len()).any(|target| is_silent(&target));
        let mut due = Vec::new();
        for (job, spec) in &self.store.jobs {
            let progress = self.store.progress.get(job);
            let is_final = progress.is_some_and(|progress| progress.state.is_final());
            if is_final || self.store.cancelled.contains(job) || &*spec.queue != PLAIN_QUEUE {
                continue;
            }
            let kill = self.delays.kill.as_ref().filter(|kill| {
                is_any_silent
                    && now - kill.at < LONGEST_WAIT
                    && spec.accepted_unix_ms < unix_ms(kill.at)
            });
            let steps = progress.and_then(|progress| progress.occurrences.first());
            let is_done = |step: u16| {
                steps.is_some_and(|(_, steps)| {
                    steps.get(usize::from(step)).is_some_and(|step| step.done)
                })
            };
            for (number, step) in (0..).zip(&spec.steps) {
                let key = StepKey { job: job.clone(), occurrence: 0, step: number };
                let is_begun_unknown = kill.is_some_and(|kill| {
                    let is_running = |before: &u16| {
                        let before = StepKey { step: *before, ..key.clone() };
                        kill.running.as_ref().is_some_and(|running| running.contains(&before))
                    };
                    !step.after.iter().any(is_running)
                });
                if step.gang || is_begun_unknown || !step.after.iter().all(|step| is_done(*step)) {
                    continue;
                }
                for index in 0..step.count {
                    let task = TaskKey { step: key.clone(), index };
                    let sent = self.delays.sent.get(&task);
                    let may_exist = sent
                        .into_iter()
                        .flatten()
                        .any(|(target, at)| is_silent(target) && now - *at < LONGEST_WAIT);
                    if !may_exist && !self.judge.is_running_or_done(&task) {
                        due.push(task);
                    }
                }
            }
        }
        due
    }
}
