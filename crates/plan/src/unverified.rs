//! What teams may have running on targets that have not listed their runs.
//!
//! The limit of a team counts all runs that may exist. After a takeover, that
//! includes runs on targets that have not answered yet: those that the previous
//! placer has told, and, on targets of which it has told nothing, those of any task
//! that may have begun. Such a task may belong to a job that has ended since, or to
//! a step that is not open by the record, as the ends before it were not recorded.
//! What the runs on these targets may take together is bounded by their capacity.

use std::collections::HashMap;

use base::{Name, Resources};
use work::TaskKey;

use crate::{
    adopt::UNKNOWN_TARGETS,
    job::{Job, Origin},
    planner::Planner,
    target::{Availability, Target, TargetId},
};

impl Planner {
    /// Returns what each team may have running on targets that have not listed their
    /// runs, beyond the runs that are charged.
    pub(crate) fn unverified_usage(&self) -> HashMap<Name, Resources> {
        let mut usage = if self.has_unknown_targets() {
            let room = self.unknown_room();
            let unknown = self.unknown_usage().into_iter();
            unknown.map(|(team, size)| (team, size.min(&room))).collect()
        } else {
            HashMap::new()
        };
        for (target, runs) in &self.inherited_runs {
            self.add_runs(&mut usage, target, runs);
        }
        usage
    }

    /// Notes that a job has ended of which runs may exist that are not known.
    pub(crate) fn note_ended_job(&mut self, id: &Name) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.origin == Origin::Own || self.is_recovered() || self.known_jobs.contains(id) {
            return;
        }
        let sizes = job.spec.steps.iter().map(|step| step.size * step.count);
        let occurrence = sizes.fold(Resources::ZERO, |sum, size| sum + size);
        let all = occurrence * job.spec.occurrences();
        *self.ended_usage.entry(job.spec.team.clone()).or_default() += all;
    }

    /// Returns whether any task may have a run on some target.
    fn has_unknown_targets(&self) -> bool {
        self.unverified_targets.keys().any(|target| !self.inherited_runs.contains_key(target))
    }

    /// Returns what each team may have running on the targets of which no runs are
    /// known.
    fn unknown_usage(&self) -> HashMap<Name, Resources> {
        let mut usage = self.ended_usage.clone();
        for (id, job) in &self.jobs {
            if job.origin == Origin::Inherited
                && !job.state.is_final()
                && !self.known_jobs.contains(id)
            {
                *usage.entry(job.spec.team.clone()).or_default() += possible_usage(job);
            }
        }
        for (target, runs) in &self.inherited_known_runs {
            self.add_runs(&mut usage, target, runs);
        }
        usage
    }

    /// Adds the runs that may be on a target, if it has not listed its runs.
    fn add_runs(
        &self,
        usage: &mut HashMap<Name, Resources>,
        target: &Name,
        runs: &[(TaskKey, u32)],
    ) {
        if !self.unverified_targets.contains_key(target) {
            return;
        }
        let state = self.target_ids.get(target).map(|id| &self.targets[id.0 as usize]);
        for (task, _) in runs {
            let is_charged = state.is_some_and(|state| state.runs.contains_key(task));
            let job = self.jobs.get(&task.step.job).filter(|_| !is_charged);
            let step = job.and_then(|job| job.spec.steps.get(usize::from(task.step.step)));
            if let Some((job, step)) = job.zip(step) {
                *usage.entry(job.spec.team.clone()).or_default() += step.size;
            }
        }
    }

    /// Returns the capacity of the targets of which no runs are known. A target may
    /// have shrunk, or have been replaced by a smaller one, since its runs started, so
    /// that it counts as the largest of its pool.
    fn unknown_room(&self) -> Resources {
        let mut largest: HashMap<&Name, Resources> = HashMap::new();
        let is_listed = |target: &&Target| target.info.availability != Availability::Unlisted;
        for target in self.targets.iter().filter(is_listed) {
            let known = largest.entry(&target.info.service).or_default();
            *known = known.max(&target.info.capacity);
        }
        let of_any = largest.values().fold(Resources::ZERO, |known, size| known.max(size));
        let room_of = |name: &Name| {
            let id: Option<TargetId> = self.target_ids.get(name).copied();
            let target = id.map(|id| &self.targets[id.0 as usize]).filter(is_listed);
            target.and_then(|target| largest.get(&target.info.service)).copied().unwrap_or(of_any)
        };
        let unknown =
            self.unverified_targets.keys().filter(|name| !self.inherited_runs.contains_key(*name));
        unknown.fold(Resources::ZERO, |room, name| {
            // The placeholder stands for any number of targets.
            room + if **name == *UNKNOWN_TARGETS { Resources::MAX } else { room_of(name) }
        })
    }
}

/// Returns what the tasks of a job may take that may have runs that are not known.
fn possible_usage(job: &Job) -> Resources {
    let mut usage = Resources::ZERO;
    for states in job.occurrences.values() {
        for (state, step) in states.iter().zip(&job.spec.steps) {
            if !state.is_unbegun {
                usage += step.size * state.waiting.len() as u32;
            }
        }
    }
    usage
}
