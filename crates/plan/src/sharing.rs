//! Which runs share a target, and what they cost each other.
//!
//! Backfill disturbs tasks with a latency goal on the same target. Both go to
//! targets without the other first, and share one where there is no other room,
//! where the cost is least. Targets list the response times of each task with a
//! goal, from which the planner learns the cost of each kind of task.

use std::time::Duration;

use work::{Step, StepKey, TaskKey};

use crate::{
    interference::{Claim, Cost, Kind, Neighbour},
    listing::Listing,
    pace::{OVER_MILLI, Reading, Throttle},
    planner::Planner,
    target::{Phase, Run, Sharing, Target, TargetId},
};

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
    /// Last ratio to the goal.
    last: Option<Reading>,
    /// Time of the last observation.
    observed_at: Duration,
}

impl Latency {
    pub(crate) fn new(goal_ms: u32) -> Self {
        Self { goal_ms, over_since: None, last: None, observed_at: Duration::ZERO }
    }

    fn update(&mut self, figure_ms: u32, at: Duration) {
        let ratio_milli = u64::from(figure_ms) * 1000 / u64::from(self.goal_ms.max(1));
        let ratio_milli = u32::try_from(ratio_milli).unwrap_or(u32::MAX);
        self.last = Some(Reading { ratio_milli, at });
        let is_over = ratio_milli >= OVER_MILLI;
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

impl Target {
    /// Returns the kinds of the runs on the target, without the run of `except`,
    /// with the share at which each run works.
    pub(crate) fn neighbours(
        &self,
        except: Option<&TaskKey>,
        share: impl Fn(&Run) -> f64,
    ) -> Vec<Neighbour> {
        let mut neighbours: Vec<Neighbour> = Vec::new();
        for (_, run) in self.runs.iter().filter(|(task, _)| Some(*task) != except) {
            let is_backfill = run.sharing == Sharing::Backfill;
            let kind = run.kind.unwrap_or(Kind::UNKNOWN);
            match neighbours.iter_mut().find(|other| other.kind == kind) {
                Some(other) if other.is_backfill == is_backfill => other.share += share(run),
                _ => neighbours.push(Neighbour { kind, share: share(run), is_backfill }),
            }
        }
        neighbours
    }

    /// Returns whether figures requested at `at` show the present paces alone.
    fn has_steady_paces(&self, pace_delay: Duration, at: Duration) -> bool {
        let settle_time = Throttle::settle_time(pace_delay);
        let is_steady = |run: &Run| match run.pace.confirmed() {
            Some((100, _)) => true,
            Some((_, confirmed_at)) => at >= confirmed_at + settle_time,
            None => false,
        };
        self.throttle.is_steady(pace_delay, at)
            && self.runs.values().filter(|run| run.sharing == Sharing::Backfill).all(is_steady)
    }

    /// Returns the task that is closest to its goal, or farthest over it.
    pub(crate) fn reading(&self) -> Option<(&TaskKey, Reading)> {
        let readings = self.runs.iter().filter_map(|(task, run)| {
            let reading = run.latency.and_then(|latency| latency.last)?;
            (run.phase == Phase::Running).then_some((task, reading))
        });
        readings.max_by_key(|(_, reading)| reading.ratio_milli)
    }

    /// Returns whether a task with a goal and backfill may both be running.
    pub(crate) fn is_mixed(&self) -> bool {
        let has = |sharing| self.runs.values().any(|run| run.sharing == sharing);
        has(Sharing::Backfill) && has(Sharing::NoBackfill)
    }

    /// Returns the task that has been over its goal for the longest time, and
    /// since when.
    pub(crate) fn harmed_task(&self) -> Option<(&TaskKey, Duration)> {
        let over = |(task, run): (_, &Run)| {
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
            || !self.control.has_goals
            || sharing == Sharing::Any && !self.control.interference.has_effects()
        {
            return None;
        }
        let queue = &self.jobs.get(&key.job)?.spec.queue;
        let kind = self.control.interference.known_kind(queue, step);
        (sharing != Sharing::Any || kind.is_some()).then_some(Exposure { kind, sharing })
    }

    /// Returns how much a task and the runs on a target slow each other down.
    pub(crate) fn harm(&self, id: TargetId, exposure: Exposure) -> Harm {
        let (target, now) = (&self.targets[id.0 as usize], self.last_round_at);
        let interference = &self.control.interference;
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
            cost =
                cost.plus(interference.cost(exposure.kind, &target.neighbours(None, |_| 1.0), now));
        }
        let harmed_at = target.harmed_at.filter(|_| is_mixed);
        let was_recent = harmed_at.is_some_and(|at| now.saturating_sub(at) < HARM_MEMORY);
        Harm { was_recent, cost, is_mixed }
    }

    /// Removes and returns the claims about kinds of tasks since the last call.
    pub fn take_claims(&mut self) -> Vec<Claim> {
        self.control.interference.take_claims()
    }

    /// Returns the number of kinds of tasks that are kept, and of claims about
    /// them.
    pub fn interference_size(&self, now: Duration) -> (usize, usize) {
        self.control.interference.size(now)
    }

    /// Determines the kinds of the runs on a target.
    pub(crate) fn identify_runs(&mut self, id: TargetId, now: Duration) {
        let (jobs, interference) = (&self.jobs, &mut self.control.interference);
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
        if !self.control.has_goals || !self.settings.interference.is_enabled {
            return;
        }
        let pace_delay = self.settings.interference.pace_delay;
        let target = &mut self.targets[id.0 as usize];
        let mut observed = Vec::new();
        for listed in &listing.running {
            let Some(run) = target.runs.get_mut(&listed.task) else {
                continue;
            };
            let Some(figure) = listed.figure.filter(|_| run.number == listed.run) else {
                continue;
            };
            if run.sharing == Sharing::Backfill {
                run.pace.listed(figure, run.size.cpu_milli, requested_at, pace_delay);
            }
            if let Some(latency) = &mut run.latency {
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
        if !target.has_steady_paces(pace_delay, requested_at) {
            return;
        }
        let share = |run: &Run| f64::from(run.pace.percent()) / 100.0;
        for (task, ratio) in observed {
            if let Some(kind) = target.runs.get(task).and_then(|run| run.kind) {
                let neighbours = target.neighbours(Some(task), share);
                self.control.interference.observe(kind, ratio, &neighbours, requested_at);
            }
        }
    }
}
