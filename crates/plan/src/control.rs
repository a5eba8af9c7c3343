//! Control of backfill beside tasks with a latency goal.
//!
//! Targets on which both run are listed twice a second. By the listed response
//! times, backfill there is paced; what was not paced down in time is stopped
//! well within the time for which a task may be over its goal, and starts
//! elsewhere if there is room. Kinds that are known to be harmless work on at
//! full pace. Backfill beside a task that was over its goal moves to a target
//! without such tasks as soon as there is room. All orders share one budget, of
//! which raises of the pace get a half.

use std::{collections::HashMap, time::Duration};

use work::{Step, TaskKey};

use crate::{
    action::{self, Action, StopCause},
    interference::{Interference, Kind},
    pace::{PaceAnswer, Throttle},
    planner::Planner,
    target::{Phase, Run, Sharing, Target, TargetId},
};

/// Time between listings of a target on which backfill works beside a task with
/// a goal. A figure covers half a second, so more frequent ones overlap.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Time between checks of all targets.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of listings requested in one check; further ones follow in
/// the next checks.
const MAX_WATCHED_PER_CHECK: usize = 20;

/// Maximum number of pace orders in one check. 200 a second are a third of the
/// starts that a leader sends in a burst.
const MAX_ORDERS_PER_CHECK: usize = 20;

/// Share of backfill that an earlier placer may have paced, in percent, until
/// the first response times are listed.
const TAKEOVER_PERCENT: u8 = 50;

/// Part of the bound on harm after which backfill that is not known to be paced
/// down is stopped. Two cuts take up to half of the bound; a stop and its effect
/// take up to 1.5 s, the rest.
const STOP_NUMERATOR: u32 = 5;
const STOP_DENOMINATOR: u32 = 8;

/// Time between two moves of backfill to other targets.
const MOVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of runs in one check for which room elsewhere is sought.
const MAX_SEARCHES_PER_CHECK: usize = 20;

/// Search for room on targets without tasks with a goal, in one check.
#[derive(Debug, Default)]
struct Moves {
    /// Targets that may have room; `None` before the first search.
    clean: Option<Vec<TargetId>>,
    searches: usize,
}

/// State of the control.
#[derive(Debug, Default)]
pub(crate) struct Control {
    /// What is known of the kinds of tasks.
    pub(crate) interference: Interference,
    pub(crate) has_goals: bool,
    pub(crate) has_backfill: bool,
    next_check_at: Duration,
    next_move_at: Duration,
    /// Number of the target with which the next check begins, so that no target is
    /// always last when a budget is spent.
    first_target: u32,
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

/// Number of runs and kinds under control.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlStatus {
    /// Runs with a latency goal.
    pub with_goal: usize,
    /// Runs that were over their latency goal in the last listing.
    pub over_goal: usize,
    /// Runs of backfill.
    pub backfill: usize,
    /// Runs of backfill that are paced down.
    pub paced: usize,
    /// Kinds of tasks that are kept.
    pub kinds: usize,
    /// Claims about kinds of tasks.
    pub claims: usize,
}

impl Target {
    fn backfill(&self) -> impl Iterator<Item = (&TaskKey, &Run)> {
        self.runs.iter().filter(|(_, run)| run.sharing == Sharing::Backfill)
    }

    fn kinds_with_goal(&self) -> Vec<Kind> {
        let with_goal = self.runs.values().filter(|run| run.latency.is_some());
        with_goal.filter_map(|run| run.kind).collect()
    }
}

impl Planner {
    /// Returns the number of runs and kinds under control.
    pub fn control_status(&self, now: Duration) -> ControlStatus {
        let (kinds, claims) = self.interference_size(now);
        let mut status = ControlStatus { kinds, claims, ..ControlStatus::default() };
        for run in self.targets.iter().flat_map(|target| target.runs.values()) {
            let is_backfill = run.sharing == Sharing::Backfill;
            status.with_goal += usize::from(run.latency.is_some());
            let is_over = run.latency.is_some_and(|latency| latency.over_since.is_some());
            status.over_goal += usize::from(is_over);
            status.backfill += usize::from(is_backfill);
            status.paced += usize::from(is_backfill && run.pace.percent() < 100);
        }
        status
    }

    /// Applies the answer to a pace order.
    pub fn pace_answered(
        &mut self,
        target: &str,
        task: &TaskKey,
        run: u32,
        percent: u8,
        answer: PaceAnswer,
        now: Duration,
    ) {
        let max_delay = self.settings.max_order_delay;
        if let Some(id) = self.target_ids.get(target)
            && let Some(known) = self.targets[id.0 as usize].runs.get_mut(task)
            && known.number == run
        {
            known.pace.answered(percent, answer, max_delay, now);
        }
    }

    /// Paces backfill beside tasks with a goal by the listed response times, and
    /// stops it beside a task that has been over its goal for too long.
    pub(crate) fn protect_goals(&mut self, now: Duration) {
        if !self.control.has_backfill || now < self.control.next_check_at {
            return;
        }
        let is_enabled = self.settings.interference.is_enabled;
        self.control.next_check_at = now + CHECK_INTERVAL;
        let (mut watched, mut orders) = (0, 0);
        let mut moves = Moves::default();
        let count = self.targets.len() as u32;
        self.control.first_target = (self.control.first_target + 1) % count.max(1);
        let first = self.control.first_target;
        for id in (0..count).map(|number| TargetId((first + number) % count)) {
            let target = &self.targets[id.0 as usize];
            if target.last_contact_at.is_none() {
                continue;
            }
            if is_enabled && target.is_mixed() {
                self.throttle_backfill(id, now);
                self.stop_harmful(id, now);
                self.move_backfill(id, &mut moves, now);
                let last = self.control.watched.entry(id).or_default();
                if now.saturating_sub(*last) >= WATCH_INTERVAL && watched < MAX_WATCHED_PER_CHECK {
                    *last = now;
                    watched += 1;
                    let target = self.targets[id.0 as usize].info.id.clone();
                    self.actions.push(Action::Poll(target));
                }
            } else if target.throttle.is_engaged() {
                self.targets[id.0 as usize].throttle = Throttle::default();
                self.control.watched.remove(&id);
            }
            self.send_paces(id, &mut orders, now);
        }
    }

    /// Adjusts the share of backfill on a target to the listed response times.
    fn throttle_backfill(&mut self, id: TargetId, now: Duration) {
        if !self.targets[id.0 as usize].throttle.is_engaged() {
            self.identify_runs(id, now);
            let percent = self.initial_percent(id, now);
            self.targets[id.0 as usize].throttle.engage(percent, now);
        }
        let pace_delay = self.settings.interference.pace_delay;
        let target = &mut self.targets[id.0 as usize];
        if let Some((_, reading)) = target.reading() {
            target.throttle.update(reading, pace_delay, now);
        }
    }

    /// Returns the share with which backfill begins beside tasks with a goal.
    fn initial_percent(&self, id: TargetId, now: Duration) -> u8 {
        let target = &self.targets[id.0 as usize];
        let is_inherited = target.backfill().any(|(_, run)| run.pace.confirmed().is_none());
        let initial = if is_inherited { TAKEOVER_PERCENT } else { 100 };
        let with_goal = target.runs.iter().filter(|(_, run)| run.latency.is_some());
        let safe = with_goal.filter_map(|(task, run)| {
            let neighbours = target.neighbours(Some(task), |_| 1.0);
            Some(self.control.interference.safe_percent(run.kind?, &neighbours, now))
        });
        safe.min().map_or(initial, |safe| safe.min(initial))
    }

    /// Stops backfill that may still work beside a task that has been over its
    /// goal for too long. The stop and its effect take the rest of the time.
    fn stop_harmful(&mut self, id: TargetId, now: Duration) {
        let max_time = self.settings.interference.max_harm * STOP_NUMERATOR / STOP_DENOMINATOR;
        let target = &self.targets[id.0 as usize];
        let Some((harmed, since)) = target.harmed_task() else {
            return;
        };
        if now.saturating_sub(since) < max_time {
            return;
        }
        let harmed = harmed.clone();
        let is_working = |(_, run): &(&TaskKey, &Run)| {
            !run.pace.is_idle(now) && !matches!(run.phase, Phase::Stopping(_))
        };
        let working: Vec<(TaskKey, u32)> = target
            .backfill()
            .filter(is_working)
            .map(|(task, run)| (task.clone(), run.number))
            .collect();
        for (task, run) in working {
            self.targets[id.0 as usize].harmed_at = Some(now);
            self.stop_run(id, &task, run, StopCause::Harmful(harmed.clone()), now);
        }
    }

    /// Stops a run of backfill beside a task that was over its goal, if there is
    /// room for it on a target without such tasks.
    fn move_backfill(&mut self, id: TargetId, moves: &mut Moves, now: Duration) {
        let target = &self.targets[id.0 as usize];
        if now < self.control.next_move_at
            || !target.throttle.is_strained(now)
            || moves.searches >= MAX_SEARCHES_PER_CHECK
        {
            return;
        }
        let clean = moves.clean.get_or_insert_with(|| self.clean_targets(now));
        if clean.is_empty() {
            return;
        }
        // Backfill at full pace is either harmless or about to be paced.
        let mut running = target
            .backfill()
            .filter(|(_, run)| run.phase == Phase::Running && run.pace.percent() < 100);
        let movable = running.find(|(task, _)| {
            moves.searches += 1;
            self.may_interrupt(task) && self.has_room_on(task, clean)
        });
        let movable = movable.map(|(task, run)| (task.clone(), run.number));
        drop(running);
        if let Some((task, run)) = movable {
            self.control.next_move_at = now + MOVE_INTERVAL;
            self.stop_run(id, &task, run, StopCause::Paced, now);
        }
    }

    /// Returns the targets without tasks with a goal that take new work and are not
    /// full.
    fn clean_targets(&self, now: Duration) -> Vec<TargetId> {
        let (contact_timeout, idle_timeout) =
            (self.settings.contact_timeout, self.idle_contact_timeout);
        let targets = (0..).map(TargetId).zip(&self.targets);
        let is_clean = |target: &Target| {
            target.free().cpu_milli > 0
                && target.runs.values().all(|run| run.latency.is_none())
                && target.is_open(now, contact_timeout, idle_timeout)
                && !target.is_closed
                && !target.health.is_suspected()
        };
        targets.filter(|(_, target)| is_clean(target)).map(|(id, _)| id).collect()
    }

    /// Returns whether a task that loses no work by a move has room on any of these
    /// targets.
    fn has_room_on(&self, task: &TaskKey, targets: &[TargetId]) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else {
            return false;
        };
        let spec = &job.spec;
        let step = &spec.steps[usize::from(task.step.step)];
        let policy = self.config.policy(&spec.queue, &spec.policy);
        let is_movable = (step.long_running || step.checkpoints) && !step.gang;
        let Some(state) = self.step_state(&task.step).filter(|_| is_movable) else {
            return false;
        };
        // Which targets are allowed is not known without advice.
        policy.advice.is_none()
            && targets.iter().any(|id| {
                let target = &self.targets[id.0 as usize];
                target.info.service == policy.service
                    && step.size.fits(&target.free())
                    && step.label.as_ref().is_none_or(|label| target.info.labels.contains(label))
                    && step.max_per_target.is_none_or(|max| state.count_on(*id) < max)
            })
    }

    /// Sends the pace orders that are due on a target.
    fn send_paces(&mut self, id: TargetId, orders: &mut usize, now: Duration) {
        let (interference, target) = (&self.control.interference, &mut self.targets[id.0 as usize]);
        let slowed = target.kinds_with_goal();
        let is_running =
            |run: &Run| run.sharing == Sharing::Backfill && run.phase == Phase::Running;
        let effects: Vec<f64> = target
            .runs
            .values()
            .filter(|run| is_running(run))
            .map(|run| interference.backfill_effect(&slowed, run.kind, now))
            .collect();
        let shares = target.throttle.shares(&effects, now);
        let beside = target.reading().map(|(task, _)| task.clone());
        let beside = beside.filter(|_| target.throttle.is_engaged());
        let running = target.runs.iter_mut().filter(|(_, run)| is_running(run));
        for ((task, run), percent) in running.zip(shares) {
            let is_raise = percent > run.pace.percent();
            let limit = if is_raise { MAX_ORDERS_PER_CHECK / 2 } else { MAX_ORDERS_PER_CHECK };
            if *orders < limit && run.pace.take_order(percent, now) {
                *orders += 1;
                self.actions.push(Action::Pace(action::Pace {
                    target: target.info.id.clone(),
                    task: task.clone(),
                    run: run.number,
                    percent,
                    beside: beside.clone(),
                }));
            }
        }
    }
}
