//! Which tasks may have runs of earlier terms that the planner does not know.
//!
//! At the beginning of a term, runs may be on targets that have not listed them
//! yet. Only tasks that may have such a run wait for a target, until it has
//! listed its runs or its lease has certainly expired. A task can't have a run
//!
//! - on a target whose possible runs are known from the handover of the
//!   leadership or from the record of closed targets, unless it is among them;
//! - beside the handed-over ones, if its job was accepted in the term of the placer that
//!   has handed over, which started all its runs;
//! - anywhere, if its step has not begun: a listed run of an earlier term belongs
//!   to a task that its step depends on, so that no placer has taken that task for
//!   done and begun the step.
//!
//! The second rule needs care where a task has been done by another run than the
//! one that is listed. A placer that learns of such an end starts the following
//! steps only after the end is recorded ([`crate::job::AwaitedRecord`]); the next
//! placer then finds the task recorded as done. docs/design/recovery.md has the
//! argument in full.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    time::Duration,
};

use base::{Name, Resources};
use work::{StepKey, TaskKey};

use crate::{
    adopt::UNKNOWN_TARGETS, job::Origin, listing::ListedRun, planner::Planner, step::TaskState,
    target::TargetId,
};

/// Maximum number of jobs whose runs are all told in a handover. Each takes some 20
/// bytes of the frame.
const MAX_KNOWN_JOBS: usize = 2000;

/// What a placer knows of a held target when it hands over the leadership.
#[derive(Clone, Debug, PartialEq)]
pub struct Holding {
    /// Name of the target.
    pub target: Name,
    /// All runs that may exist on the target; `None` if some are unknown.
    pub runs: Option<Vec<(TaskKey, u32)>>,
    /// All runs of the known jobs that may exist on the target, if others are unknown;
    /// `None` if they are not told.
    pub known_runs: Option<Vec<(TaskKey, u32)>>,
    /// Jobs with ends of runs on the target that are not recorded.
    pub ended_jobs: Vec<Name>,
    /// Time after which all leases have expired that the target may hold.
    pub lapse_left: Duration,
    /// Time since the last order that may have been sent to the target.
    pub order_age: Duration,
}

/// Tasks that wait for targets which have not listed the runs of earlier terms.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Number of tasks that would be started otherwise.
    pub tasks: u32,
    /// Targets for which they wait, in the order of their names.
    pub targets: Vec<Name>,
    /// Number of these targets on which any task may have a run.
    pub unknown_targets: u32,
    /// Time at which the last of them stop waiting at the latest.
    pub until: Duration,
    /// Teams with a limit that may have runs on these targets which are not charged
    /// to them otherwise.
    pub teams: Vec<Name>,
    /// Processor time that these runs may take, in thousandths of a core.
    pub held_cpu_milli: u64,
}

/// Last order that may have been sent to a target in earlier terms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastOrder {
    pub(crate) at: Duration,
    /// Time at which all leases have expired that orders to the known process have
    /// granted.
    pub(crate) lapsed_at: Duration,
}

/// Tasks that may have runs of earlier terms that are not known.
#[derive(Debug, Default)]
pub(crate) struct UnknownRuns {
    /// Time until which any task may have such a run.
    any_until: Option<Duration>,
    /// Tasks that may have such a run on a target whose possible runs are known, by
    /// step and number.
    tasks: HashMap<StepKey, HashMap<u32, Duration>>,
    /// Jobs of which any task may be done on such a target.
    jobs: HashMap<Name, Duration>,
}

impl UnknownRuns {
    /// Adds the runs that may be on a target.
    fn add_runs<'a>(
        &mut self,
        runs: impl IntoIterator<Item = &'a (TaskKey, u32)>,
        until: Duration,
    ) {
        for (task, _) in runs {
            let tasks = self.tasks.entry(task.step.clone()).or_default();
            let known = tasks.entry(task.index).or_insert(until);
            *known = (*known).max(until);
        }
    }
}

impl Planner {
    /// Takes over what the previous placer knew of the held targets. To be called
    /// after the processes are taken over and before any target is.
    pub fn inherit_holdings(&mut self, holdings: Vec<Holding>, now: Duration) {
        for Holding { target, runs, known_runs, ended_jobs, lapse_left, order_age } in holdings {
            let last_order_at = now.saturating_sub(order_age);
            let lapsed_at = now + lapse_left;
            let mut expired_at = lapsed_at;
            if self.inherited_processes.unconfirmed.contains(&target) {
                let unconfirmed_until = last_order_at + self.settings.unconfirmed_lapse_timeout();
                expired_at = expired_at.max(unconfirmed_until);
            }
            let last_order = LastOrder { at: last_order_at, lapsed_at };
            self.last_orders.insert(target.clone(), last_order);
            if let Some(runs) = runs {
                self.inherited_runs.insert(target.clone(), runs);
            } else if let Some(runs) = known_runs {
                self.inherited_known_runs.insert(target.clone(), runs);
            }
            if !ended_jobs.is_empty() {
                self.inherited_ends.insert(target.clone(), ended_jobs);
            }
            self.unverified_targets.insert(target, expired_at);
        }
        self.refresh_unknown_runs();
    }

    /// Takes over which jobs have no other runs than the handed-over ones. To be called
    /// with the holdings of the same placer.
    pub fn inherit_known_jobs(&mut self, jobs: impl IntoIterator<Item = Name>) {
        self.known_jobs.extend(jobs);
    }

    /// Returns the jobs of which all runs are named in these holdings, for the next
    /// placer. Empty if the holdings name all runs, of whatever job.
    pub fn known_jobs(&self, holdings: &[Holding]) -> Vec<Name> {
        let is_told = |holding: &Holding| holding.runs.is_some() || holding.known_runs.is_some();
        if holdings.iter().all(|holding| holding.runs.is_some()) || !holdings.iter().all(is_told) {
            return Vec::new();
        }
        let open = self.jobs.iter().filter(|(_, job)| !job.state.is_final());
        let known = open.map(|(id, _)| id).filter(|id| self.is_known_job(id));
        known.take(MAX_KNOWN_JOBS).cloned().collect()
    }

    /// Returns whether all runs of a job that may exist are known: it was accepted in
    /// this term, or in that of a placer which has told all of them.
    pub(crate) fn is_known_job(&self, id: &Name) -> bool {
        self.known_jobs.contains(id)
            || self.jobs.get(id).is_some_and(|job| job.origin == Origin::Own)
    }

    /// Returns what is known of the held targets, for the next placer. To be called
    /// when no further order can be sent. Targets without contact come first in the
    /// limit for the runs in it.
    pub fn holdings(&self, now: Duration) -> Vec<Holding> {
        let mut held: Vec<Name> = self.held_targets(now).into_iter().collect();
        held.retain(|name| &**name != UNKNOWN_TARGETS);
        let id_of = |name: &Name| self.target_ids.get(name).copied();
        let has_contact = |name: &Name| {
            id_of(name).is_some_and(|id| self.targets[id.0 as usize].last_contact_at.is_some())
        };
        held.sort_by_cached_key(|name| (has_contact(name), name.clone()));
        let mut left = self.settings.max_closed_runs;
        let mut holdings = Vec::new();
        for name in held {
            let target = id_of(&name).map(|id| &self.targets[id.0 as usize]);
            let runs = match target {
                Some(target) if self.has_listed_runs(target, now) => {
                    Some(self.possible_runs(target))
                }
                Some(_) => None,
                None => self.inherited_runs.get(&name).cloned(),
            };
            let runs = runs.filter(|runs| runs.len() <= left);
            left -= runs.as_ref().map_or(0, Vec::len);
            let known_runs = match (&runs, target) {
                (Some(_), _) => None,
                (None, Some(target)) => Some(self.possible_known_runs(target)),
                (None, None) => self.inherited_known_runs.get(&name).cloned(),
            };
            let known_runs = known_runs.filter(|runs| runs.len() <= left);
            left -= known_runs.as_ref().map_or(0, Vec::len);
            let unrecorded = target.into_iter().flat_map(|target| &target.unrecorded_ends);
            let inherited = self.inherited_ends.get(&name).into_iter().flatten();
            let inherited = inherited.filter(|_| self.unverified_targets.contains_key(&name));
            let ended_jobs: BTreeSet<Name> =
                unrecorded.map(|(_, job)| job).chain(inherited).cloned().collect();
            // A target that has listed nothing to this placer got no order that
            // starts a run or grants a lease.
            let has_orders = target.is_some_and(|target| target.born_unix_ms != 0);
            let unverified_until = self.unverified_targets.get(&name).copied();
            let leased_until = target.and_then(|target| target.lease_expires_at);
            let granted_until = has_orders.then(|| now + self.settings.lapse_timeout());
            let until = [unverified_until, leased_until, granted_until];
            let until = until.into_iter().flatten().max().unwrap_or(now);
            let last_order_at = if has_orders { now } else { self.last_order_at(&name) };
            holdings.push(Holding {
                target: name,
                runs,
                known_runs,
                ended_jobs: ended_jobs.into_iter().collect(),
                lapse_left: until.saturating_sub(now),
                order_age: now.saturating_sub(last_order_at),
            });
        }
        holdings
    }

    /// Returns the time of the last order that earlier placers may have sent to a
    /// target.
    pub(crate) fn last_order_at(&self, target: &Name) -> Duration {
        self.last_orders.get(target).map_or(self.began_at, |order| order.at)
    }

    /// Determines again which tasks may have runs that are not known. To be called
    /// when the targets that have not listed their runs have changed.
    pub(crate) fn refresh_unknown_runs(&mut self) {
        let mut unknown = UnknownRuns::default();
        for (target, until) in &self.unverified_targets {
            for job in self.inherited_ends.get(target).into_iter().flatten() {
                let known = unknown.jobs.entry(job.clone()).or_insert(*until);
                *known = (*known).max(*until);
            }
            match self.inherited_runs.get(target) {
                None => {
                    unknown.any_until = unknown.any_until.max(Some(*until));
                    let known = self.inherited_known_runs.get(target);
                    unknown.add_runs(known.into_iter().flatten(), *until);
                }
                Some(runs) => unknown.add_runs(runs, *until),
            }
        }
        self.unknown_runs = unknown;
    }

    /// Returns until when a task may have a run of an earlier term that is not known;
    /// `None` if it can't have one.
    pub(crate) fn may_have_unknown_run(&self, task: &TaskKey) -> Option<Duration> {
        let job = self.jobs.get(&task.step.job)?;
        if job.origin == Origin::Own || self.is_recovered() {
            return None;
        }
        let is_unbegun = self.step_state(&task.step).is_some_and(|state| state.is_unbegun);
        let tasks = self.unknown_runs.tasks.get(&task.step);
        let known = tasks.and_then(|tasks| tasks.get(&task.index)).copied();
        self.any_unknown_until(&task.step.job).filter(|_| !is_unbegun).max(known)
    }

    /// Returns until when any task of a job may have a run that is not known; `None` if
    /// only certain tasks may have one.
    fn any_unknown_until(&self, job: &Name) -> Option<Duration> {
        let UnknownRuns { any_until, jobs, .. } = &self.unknown_runs;
        any_until.filter(|_| !self.known_jobs.contains(job)).max(jobs.get(job).copied())
    }

    /// Returns whether the tasks of a step need to be looked at one by one.
    fn has_unknown_runs(&self, key: &StepKey) -> bool {
        let is_inherited =
            self.jobs.get(&key.job).is_some_and(|job| job.origin == Origin::Inherited);
        let is_any = || self.any_unknown_until(&key.job).is_some();
        is_inherited
            && !self.is_recovered()
            && (self.unknown_runs.tasks.contains_key(key) || is_any())
    }

    /// Returns the number of waiting tasks of a step that may have a run that is not
    /// known.
    pub(crate) fn held_back_tasks(&self, key: &StepKey) -> u32 {
        let Some(state) = self.step_state(key).filter(|_| self.has_unknown_runs(key)) else {
            return 0;
        };
        if self.any_unknown_until(&key.job).is_some() && !state.is_unbegun {
            return state.waiting.len() as u32;
        }
        let tasks = self.unknown_runs.tasks.get(key);
        let held_back =
            tasks.into_iter().flatten().filter(|(index, _)| state.waiting.contains(index));
        held_back.count() as u32
    }

    /// Returns the first waiting task of a step that can't have a run that is not
    /// known.
    pub(crate) fn first_startable(&self, key: &StepKey) -> Option<u32> {
        let mut waiting = self.step_state(key)?.waiting.iter().copied();
        if !self.has_unknown_runs(key) {
            return waiting.next();
        }
        waiting.find(|index| {
            let task = TaskKey { step: key.clone(), index: *index };
            self.may_have_unknown_run(&task).is_none()
        })
    }

    /// Notes that the steps which depend on the step of a listed run have not begun
    /// in earlier terms.
    pub(crate) fn note_unbegun_steps(&mut self, id: TargetId, listed: &ListedRun) {
        let ListedRun { task, run, .. } = listed;
        if self.is_recovered() || *run > self.run_number_base {
            return;
        }
        let target = &self.targets[id.0 as usize];
        // A process that has just started may carry out an order again.
        let known = self.inherited_processes.born_unix_ms.get(&target.info.id);
        if known != Some(&target.born_unix_ms) || target.suspicion.is_some() {
            return;
        }
        let is_open_task = |state: &crate::step::StepState| {
            let task = state.tasks.get(task.index as usize);
            task.is_some_and(|task| task.state != TaskState::Done)
        };
        let Some(job) = self.jobs.get_mut(&task.step.job) else {
            return;
        };
        let Some(states) = job.occurrences.get_mut(&task.step.occurrence) else {
            return;
        };
        let number = usize::from(task.step.step);
        // Members of a gang run on for a moment after the end of one has done all.
        let is_gang = job.spec.steps.get(number).is_none_or(|step| step.gang);
        if is_gang || job.origin == Origin::Own || !states.get(number).is_some_and(is_open_task) {
            return;
        }
        let mut following = HashSet::from([number]);
        for (later, step) in job.spec.steps.iter().enumerate().skip(number + 1) {
            if step.after.iter().any(|before| following.contains(&usize::from(*before))) {
                following.insert(later);
                states[later].is_unbegun = true;
            }
        }
    }

    /// Returns which tasks wait for which targets, and which teams have less room
    /// because of them; `None` if there are none.
    pub fn recovery(&self) -> Option<Recovery> {
        if self.is_recovered() {
            return None;
        }
        let mut recovery = Recovery::default();
        for key in &self.waiting_steps {
            recovery.tasks = recovery.tasks.saturating_add(self.held_back_tasks(key));
        }
        for (target, until) in &self.unverified_targets {
            recovery.targets.push(target.clone());
            recovery.unknown_targets += u32::from(!self.inherited_runs.contains_key(target));
            recovery.until = recovery.until.max(*until);
        }
        recovery.targets.sort();
        for (team, size) in self.unverified_usage() {
            if self.team_headroom(&team).is_some() && size != Resources::ZERO {
                recovery.teams.push(team);
                recovery.held_cpu_milli += u64::from(size.cpu_milli);
            }
        }
        recovery.teams.sort();
        (recovery.tasks > 0 || !recovery.teams.is_empty()).then_some(recovery)
    }
}
