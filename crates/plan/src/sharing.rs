//! Backfill beside tasks with a latency goal.
//!
//! Backfill disturbs tasks with a latency goal on the same target. Both go to
//! targets without the other first, and share one where there is no other room.
//! Targets list the response times of each task with a goal. While one exceeds
//! its goal, the backfill beside it is stopped within half of the time for which
//! that may last, and starts elsewhere if there is room.

use std::{collections::HashMap, time::Duration};

use work::{Step, StepKey, TaskKey};

use crate::{
    action::{Action, StopCause},
    interference::{Claim, Cost, Interference, Kind, Neighbour},
    listing::Listing,
    planner::Planner,
    target::{Phase, Sharing, Target, TargetId},
};

/// Time between listings of a target on which backfill works beside a task with
/// a goal. A figure covers half a second, so more frequent ones overlap.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between checks of all targets.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of listings requested in one check; further ones follow in
/// the next checks.
const MAX_WATCHED_PER_CHECK: usize = 20;

/// Minimum time between observations of a run. Figures of listings in quicker
/// succession are for the same half second.
const MIN_GAP: Duration = Duration::from_millis(450);

/// Time for which a target counts as harmful after backfill was stopped there.
const HARM_MEMORY: Duration = Duration::from_secs(30);

/// Response times of a run with a latency goal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    pub(crate) goal_ms: u32,
    /// Time of the first listing since which all listings have shown response
    /// times over the goal.
    pub(crate) over_since: Option<Duration>,
    /// Time of the last observation.
    observed_at: Duration,
}

impl Latency {
    pub(crate) fn new(goal_ms: u32) -> Self {
        Self { goal_ms, over_since: None, observed_at: Duration::ZERO }
    }

    fn update(&mut self, figure_ms: u32, at: Duration) {
        let is_over = figure_ms > self.goal_ms;
        self.over_since = is_over.then(|| self.over_since.unwrap_or(at));
    }
}

/// How much a task and the runs on a target slow each other down; the least
/// comes first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Harm {
    /// Whether backfill was stopped there recently for a task over its goal.
    was_recent: bool,
    /// What the task and the runs with a goal cost each other.
    cost: Cost,
    /// Whether backfill would work beside a task with a goal.
    is_mixed: bool,
}

/// What matters of a step for whether its tasks suit a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exposure {
    kind: Option<Kind>,
    sharing: Sharing,
}

/// Control of backfill beside tasks with a latency goal.
#[derive(Debug, Default)]
pub(crate) struct Control {
    /// What is known of the kinds of tasks.
    interference: Interference,
    has_goals: bool,
    has_backfill: bool,
    next_check_at: Duration,
    /// Time of the last request for a listing of each watched target.
    watched: HashMap<TargetId, Duration>,
}

impl Control {
    /// Notes the steps of a new job.
    pub(crate) fn note_steps(&mut self, steps: &[Step]) {
        self.has_backfill |= steps.iter().any(|step| step.is_backfill);
        self.has_goals |= steps.iter().any(|step| step.latency_goal_ms.is_some());
    }
}

impl Target {
    /// Returns the kinds of the runs on the target, without the run of `except`.
    fn neighbours(&self, except: Option<&TaskKey>) -> Vec<Neighbour> {
        let mut neighbours: Vec<Neighbour> = Vec::new();
        for (_, run) in self.runs.iter().filter(|(task, _)| Some(*task) != except) {
            let is_backfill = run.sharing == Sharing::Backfill;
            let kind = run.kind.unwrap_or(Kind::UNKNOWN);
            match neighbours.iter_mut().find(|other| other.kind == kind) {
                Some(other) if other.is_backfill == is_backfill => other.share += 1.0,
                _ => neighbours.push(Neighbour { kind, share: 1.0, is_backfill }),
            }
        }
        neighbours
    }

    /// Returns whether a task with a goal and backfill may both be running.
    fn is_mixed(&self) -> bool {
        let has = |sharing| self.runs.values().any(|run| run.sharing == sharing);
        has(Sharing::Backfill) && has(Sharing::NoBackfill)
    }

    /// Returns the task that has been over its goal for the longest time, and
    /// since when.
    fn harmed_task(&self) -> Option<(&TaskKey, Duration)> {
        let over = |(task, run): (_, &crate::target::Run)| {
            let since = run.latency.and_then(|latency| latency.over_since);
            since.filter(|_| !matches!(run.phase, Phase::Stopping(_))).map(|since| (task, since))
        };
        self.runs.iter().filter_map(over).min_by_key(|(_, since)| *since)
    }
}

impl Planner {
    /// Returns what decides whether tasks of a step suit a target; `None` if they
    /// suit each target equally, as far as is known.
    pub(crate) fn exposure(&self, key: &StepKey, step: &Step) -> Option<Exposure> {
        let sharing = Sharing::of(step);
        if !self.settings.interference.is_enabled
            || !self.sharing.has_goals
            || sharing == Sharing::Any && !self.sharing.interference.has_effects()
        {
            return None;
        }
        let queue = &self.jobs.get(&key.job)?.spec.queue;
        let kind = self.sharing.interference.known_kind(queue, step);
        (sharing != Sharing::Any || kind.is_some()).then_some(Exposure { kind, sharing })
    }

    /// Returns how much a task and the runs on a target slow each other down.
    pub(crate) fn harm(&self, id: TargetId, exposure: Exposure) -> Harm {
        let (target, now) = (&self.targets[id.0 as usize], self.last_round_at);
        let interference = &self.sharing.interference;
        let own = Neighbour {
            kind: exposure.kind.unwrap_or(Kind::UNKNOWN),
            share: 1.0,
            is_backfill: exposure.sharing == Sharing::Backfill,
        };
        let mut cost = Cost::default();
        let mut is_mixed = false;
        for run in target.runs.values() {
            is_mixed |= !run.sharing.is_compatible(exposure.sharing);
            if run.latency.is_some() {
                cost = cost.plus(interference.cost(run.kind, &[own], now));
            }
        }
        if exposure.sharing == Sharing::NoBackfill {
            cost = cost.plus(interference.cost(exposure.kind, &target.neighbours(None), now));
        }
        let harmed_at = target.harmed_at.filter(|_| is_mixed);
        let was_recent = harmed_at.is_some_and(|at| now.saturating_sub(at) < HARM_MEMORY);
        Harm { was_recent, cost, is_mixed }
    }

    /// Removes and returns the claims about kinds of tasks since the last call.
    pub fn take_claims(&mut self) -> Vec<Claim> {
        self.sharing.interference.take_claims()
    }

    /// Returns the number of kinds of tasks that are kept, and of claims about
    /// them.
    pub fn interference_size(&self, now: Duration) -> (usize, usize) {
        self.sharing.interference.size(now)
    }

    /// Determines the kinds of the runs on a target.
    fn identify_runs(&mut self, id: TargetId, now: Duration) {
        let (jobs, interference) = (&self.jobs, &mut self.sharing.interference);
        for (task, run) in &mut self.targets[id.0 as usize].runs {
            if run.kind.is_none()
                && let Some(job) = jobs.get(&task.step.job)
                && let Some(step) = job.spec.steps.get(usize::from(task.step.step))
            {
                run.kind = Some(interference.kind(&job.spec.queue, step, now));
            }
        }
    }

    /// Applies the response times in a listing that was requested at
    /// `requested_at`.
    pub(crate) fn apply_figures(
        &mut self,
        id: TargetId,
        listing: &Listing,
        requested_at: Duration,
    ) {
        if !self.sharing.has_goals || !self.settings.interference.is_enabled {
            return;
        }
        let target = &mut self.targets[id.0 as usize];
        let mut observed = Vec::new();
        for listed in &listing.running {
            if let Some(run) = target.runs.get_mut(&listed.task)
                && run.number == listed.run
                && let (Some(latency), Some(figure)) = (&mut run.latency, listed.figure)
            {
                latency.update(figure, requested_at);
                // A task that has answered nothing says nothing.
                let is_new = requested_at.saturating_sub(latency.observed_at) >= MIN_GAP;
                if is_new && figure > 0 && run.phase == Phase::Running {
                    latency.observed_at = requested_at;
                    observed.push((&listed.task, f64::from(figure) / f64::from(latency.goal_ms)));
                }
            }
        }
        if observed.is_empty() {
            return;
        }
        self.identify_runs(id, requested_at);
        let target = &self.targets[id.0 as usize];
        for (task, ratio) in observed {
            if let Some(kind) = target.runs.get(task).and_then(|run| run.kind) {
                let neighbours = target.neighbours(Some(task));
                self.sharing.interference.observe(kind, ratio, &neighbours, requested_at);
            }
        }
    }

    /// Watches the targets on which backfill runs beside a task with a goal, and
    /// stops backfill beside a task that has been over its goal for too long.
    pub(crate) fn protect_goals(&mut self, now: Duration) {
        let is_needed = self.settings.interference.is_enabled
            && self.sharing.has_goals
            && self.sharing.has_backfill;
        if !is_needed || now < self.sharing.next_check_at {
            return;
        }
        self.sharing.next_check_at = now + CHECK_INTERVAL;
        // The stop and its effect take the other half.
        let max_time = self.settings.interference.max_harm / 2;
        let mut watched = 0;
        for id in (0..self.targets.len() as u32).map(TargetId) {
            let target = &self.targets[id.0 as usize];
            if !target.is_mixed() || target.last_contact_at.is_none() {
                self.sharing.watched.remove(&id);
                continue;
            }
            if let Some((task, since)) = target.harmed_task()
                && now.saturating_sub(since) >= max_time
            {
                let task = task.clone();
                self.stop_backfill(id, &task, now);
            }
            let last = self.sharing.watched.entry(id).or_default();
            if now.saturating_sub(*last) >= WATCH_INTERVAL && watched < MAX_WATCHED_PER_CHECK {
                *last = now;
                watched += 1;
                let target = self.targets[id.0 as usize].info.id.clone();
                self.actions.push(Action::Poll(target));
            }
        }
    }

    /// Stops all backfill on a target, so that it no longer harms a task.
    fn stop_backfill(&mut self, id: TargetId, harmed: &TaskKey, now: Duration) {
        let runs = self.targets[id.0 as usize].runs.iter();
        let is_working = |(_, run): &(&TaskKey, &crate::target::Run)| {
            run.sharing == Sharing::Backfill && !matches!(run.phase, Phase::Stopping(_))
        };
        let backfill: Vec<(TaskKey, u32)> =
            runs.filter(is_working).map(|(task, run)| (task.clone(), run.number)).collect();
        for (task, run) in backfill {
            self.targets[id.0 as usize].harmed_at = Some(now);
            self.stop_run(id, &task, run, StopCause::Harmful(harmed.clone()), now);
        }
    }
}
