//! Check of the rule that a task runs once, by what happens on the targets.

use std::{collections::BTreeMap, time::Duration};

use work::TaskKey;

/// Process of a target: position of the target, and start time of the process.
pub type Place = (usize, u64);

/// Run that has ended with its task done.
struct DoneEnd {
    place: Place,
    number: u64,
    at: Duration,
    /// Whether the lease of the target lapsed before the end was noted.
    has_lapsed: bool,
    is_noted: bool,
}

/// Record of all runs.
#[derive(Default)]
pub struct Judge {
    running: BTreeMap<TaskKey, Vec<(Place, u32)>>,
    done: BTreeMap<TaskKey, Vec<DoneEnd>>,
    last_starts: BTreeMap<TaskKey, (Duration, Place, u32)>,
    pub violations: Vec<(TaskKey, String)>,
    pub starts: usize,
    pub noted: usize,
}

impl Judge {
    pub fn started(&mut self, task: &TaskKey, place: Place, run: u32, now: Duration) {
        self.starts += 1;
        let running = self.running.entry(task.clone()).or_default();
        for (other, number) in running.iter() {
            let text = format!("run {run} starts on {place:?} beside run {number} on {other:?}");
            self.violations.push((task.clone(), text));
        }
        running.push((place, run));
        self.last_starts.insert(task.clone(), (now, place, run));
        for done in self.done.get(task).into_iter().flatten().filter(|done| done.is_noted) {
            let text = format!("run {run} starts on {place:?}, done on {:?}", done.place);
            self.violations.push((task.clone(), text));
        }
    }

    /// Returns whether a task has a run or is done.
    pub fn is_running_or_done(&self, task: &TaskKey) -> bool {
        self.done.contains_key(task) || self.running.get(task).is_some_and(|runs| !runs.is_empty())
    }

    pub fn ended(&mut self, task: &TaskKey, place: Place, run: u32) {
        if let Some(running) = self.running.get_mut(task) {
            running.retain(|known| *known != (place, run));
        }
    }

    /// Notes that the run with this number of an end has done its task.
    pub fn done(&mut self, task: &TaskKey, place: Place, number: u64, at: Duration) {
        let done = DoneEnd { place, number, at, has_lapsed: false, is_noted: false };
        self.done.entry(task.clone()).or_default().push(done);
    }

    /// Notes that the lease of a target has lapsed.
    pub fn lapsed(&mut self, place: Place) {
        let ends = self.done.values_mut().flatten();
        ends.filter(|done| done.place == place).for_each(|done| done.has_lapsed = true);
    }

    /// Notes that a target was told to forget its ends up to `number`.
    pub fn noted(&mut self, place: Place, number: u64) {
        for (task, ends) in &mut self.done {
            for done in ends {
                let is_new = done.place == place && done.number <= number && !done.is_noted;
                if !is_new || done.has_lapsed {
                    continue;
                }
                done.is_noted = true;
                self.noted += 1;
                if let Some((at, other, run)) = self.last_starts.get(task)
                    && *at > done.at
                {
                    let text = format!(
                        "run {run} started on {other:?} at {at:?}, done on {place:?} at {:?}",
                        done.at
                    );
                    self.violations.push((task.clone(), text));
                }
            }
        }
    }
}
