//! Backfill beside tasks with a latency goal.
//!
//! Backfill disturbs tasks with a latency goal on the same target. Both go to
//! targets without the other first, and share one where there is no other room.
//! Targets list the response times of each task with a goal. While one exceeds
//! its goal, the backfill beside it is stopped within half of the time for which
//! that may last, and starts elsewhere if there is room.

use std::{collections::HashMap, time::Duration};

use work::{Step, TaskKey};

use crate::{
    action::{Action, StopCause},
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

/// Time for which a target counts as harmful after backfill was stopped there.
const HARM_MEMORY: Duration = Duration::from_secs(30);

/// Response times of a run with a latency goal.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Latency {
    pub(crate) goal_ms: u32,
    /// Time of the first listing since which all listings have shown response
    /// times over the goal.
    pub(crate) over_since: Option<Duration>,
}

impl Latency {
    pub(crate) fn new(goal_ms: u32) -> Self {
        Self { goal_ms, over_since: None }
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
    /// Whether backfill would work beside a task with a goal.
    is_mixed: bool,
}

/// Control of backfill beside tasks with a latency goal.
#[derive(Debug, Default)]
pub(crate) struct Control {
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
    /// Returns how much a task and the runs on a target slow each other down,
    /// where `is_mixed` tells whether backfill would run beside a task with a
    /// goal.
    pub(crate) fn harm(&self, id: TargetId, is_mixed: bool) -> Harm {
        let harmed_at = self.targets[id.0 as usize].harmed_at.filter(|_| is_mixed);
        let is_recent = |at| self.last_round_at.saturating_sub(at) < HARM_MEMORY;
        Harm { was_recent: harmed_at.is_some_and(is_recent), is_mixed }
    }

    /// Applies the response times in a listing that was requested at
    /// `requested_at`.
    pub(crate) fn apply_figures(
        &mut self,
        id: TargetId,
        listing: &Listing,
        requested_at: Duration,
    ) {
        if !self.sharing.has_goals {
            return;
        }
        let target = &mut self.targets[id.0 as usize];
        for listed in &listing.running {
            if let Some(run) = target.runs.get_mut(&listed.task)
                && run.number == listed.run
                && let (Some(latency), Some(figure)) = (&mut run.latency, listed.figure)
            {
                latency.update(figure, requested_at);
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
