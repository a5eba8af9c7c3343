//! Log lines and counters for what the planner has concluded.

use std::{collections::HashSet, time::Duration};

use base::{Name, emit};
use plan::{
    Blame, Claim, Crash, Evidence, Listing, Probe, ReappearedRun, Recovery, ReleasedRun,
    Transition, Verdict,
};

use crate::{
    metrics::{Metrics, Subject},
    placer::run::Placer,
};

/// Minimum time between log lines on tasks that wait for targets.
const RECOVERY_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of targets that such a line names.
const MAX_LOGGED_TARGETS: usize = 8;

impl Placer {
    /// Logs when the list of targets becomes too old to start work by it, and
    /// when it is current again.
    pub(super) fn log_list_age(&mut self, now: Duration) {
        let is_current = self.planner.is_list_current(now);
        match (std::mem::replace(&mut self.is_list_current, is_current), is_current) {
            (true, false) => emit!(self.ctx.log, warn, TargetsUnconfirmed; "current" => false),
            (false, true) => emit!(self.ctx.log, info, TargetsUnconfirmed; "current" => true),
            (true, true) | (false, false) => {}
        }
    }

    /// Logs which inherited tasks wait for targets that have not listed their runs,
    /// at most once in an interval.
    pub(super) fn log_recovery(&mut self, now: Duration) {
        if now.saturating_sub(self.recovery_logged_at) < RECOVERY_LOG_INTERVAL {
            return;
        }
        self.recovery_logged_at = now;
        let Some(recovery) = self.planner.recovery() else {
            return self.ctx.metrics.set_recovery(0, 0);
        };
        let Recovery { tasks, targets, unknown_targets, until, teams, held_cpu_milli } = recovery;
        self.ctx.metrics.set_recovery(tasks, targets.len());
        let names = targets.iter().take(MAX_LOGGED_TARGETS).map(|name| &**name);
        emit!(self.ctx.log, info, RecoveryPending; "tasks" => tasks, "targets" => targets.len(),
            "unknown" => unknown_targets, "first" => names.collect::<Vec<_>>().join(","),
            "left_ms" => until.saturating_sub(now).as_millis() as u64,
            "teams" => teams.len(), "held_cpu_milli" => held_cpu_milli, "term" => self.leadership.term);
    }

    /// Logs which targets are recorded as closed now.
    pub(super) fn log_closed(&self, closed: &HashSet<Name>) {
        let added: Vec<&str> = closed.difference(&self.closed).map(|name| &**name).collect();
        let opened: Vec<&str> = self.closed.difference(closed).map(|name| &**name).collect();
        if added.is_empty() && opened.is_empty() {
            return;
        }
        let first = |names: &[&str]| names[..names.len().min(MAX_LOGGED_TARGETS)].join(",");
        emit!(self.ctx.log, info, ClosedRecorded; "closed" => closed.len(),
            "added" => added.len(), "first_added" => first(&added), "opened" => opened.len(),
            "first_opened" => first(&opened), "term" => self.leadership.term);
    }

    /// Logs the ends in a listing that were not applied yet.
    pub(super) fn log_ends(&self, target: &Name, listing: &Listing) {
        let seen = self.planner.last_end(target, listing.born_unix_ms);
        for end in listing.ended.iter().filter(|end| end.number > seen) {
            let step = &end.task.step;
            emit!(self.ctx.log, info, RunEnded; "job" => %step.job,
                "occurrence" => step.occurrence, "step" => step.step, "task" => end.task.index,
                "run" => end.run, "target" => %target, "end" => ?end.end,
                "number" => end.number);
        }
    }

    /// Logs and counts a run that was taken for ended.
    pub(super) fn log_release(&self, run: &ReleasedRun) {
        let (step, evidence) = (&run.task.step, run.evidence);
        Metrics::count(&self.ctx.metrics.releases, kind_of(evidence), "released");
        emit!(self.ctx.log, info, RunReleased; "job" => %step.job,
            "occurrence" => step.occurrence, "step" => step.step, "task" => run.task.index,
            "run" => run.run, "target" => %run.target, "evidence" => ?evidence,
            "lease_age_ms" => run.lease_age.as_millis() as u64);
    }

    /// Logs the targets that were found to have an unconfirmed process, and returns
    /// them.
    pub(super) fn note_suspected_restarts(&mut self) -> Vec<Name> {
        let suspected = self.planner.take_suspected_restarts();
        for target in &suspected {
            emit!(self.ctx.log, warn, RestartSuspected; "target" => %target,
                "term" => self.leadership.term);
        }
        suspected
    }

    /// Logs and counts a run that was wrongly taken for ended.
    pub(super) fn log_reappeared(&self, run: &ReappearedRun) {
        let (step, evidence) = (&run.task.step, run.evidence);
        Metrics::count(&self.ctx.metrics.releases, kind_of(evidence), "reappeared");
        emit!(self.ctx.log, warn, RunReappeared; "job" => %step.job,
            "occurrence" => step.occurrence, "step" => step.step, "task" => run.task.index,
            "run" => run.run, "target" => %run.target, "evidence" => ?evidence,
            "age_ms" => run.age.as_millis() as u64, "term" => self.leadership.term);
    }

    /// Logs and counts a conclusion from failed runs.
    pub(super) fn log_blame(&self, blame: &Blame) {
        let suspicions = &self.ctx.metrics.suspicions;
        match blame {
            Blame::Target { target, job, transition: Transition::Suspected } => {
                Metrics::count(suspicions, "target", "suspected");
                emit!(self.ctx.log, warn, TargetSuspected; "target" => %target, "job" => %job);
            }
            Blame::Target { target, job, transition: Transition::Cleared } => {
                Metrics::count(suspicions, "target", "cleared");
                emit!(self.ctx.log, info, TargetCleared; "target" => %target, "job" => %job);
            }
            Blame::Task { task, targets } => {
                Metrics::count(suspicions, "task", "suspected");
                emit!(self.ctx.log, warn, TaskFaulty; "job" => %task.step.job,
                    "occurrence" => task.step.occurrence, "step" => task.step.step,
                    "task" => task.index, "targets" => targets.join(","));
            }
        }
    }

    /// Logs what was learnt of two kinds of tasks.
    pub(super) fn log_claim(&self, claim: &Claim) {
        emit!(self.ctx.log, info, InterferenceLearnt; "slowed" => &claim.slowed, "by" => &claim.by,
            "effect_milli" => claim.effect_milli, "observations" => claim.observations);
    }

    /// Updates the metrics of tasks with a latency goal and of backfill.
    pub(super) fn report_control(&self, now: Duration) {
        let status = self.planner.control_status(now);
        let values = [
            ("with_goal", status.with_goal),
            ("over_goal", status.over_goal),
            ("backfill", status.backfill),
            ("paced", status.paced),
            ("kinds", status.kinds),
            ("claims", status.claims),
        ];
        for (what, value) in values {
            let gauge = self.ctx.metrics.interference.get_or_create(&Subject { what });
            gauge.set(value as i64);
        }
    }

    /// Logs and counts a probe of a suspected target.
    pub(super) fn log_probe(&self, probe: &Probe) {
        Metrics::count(&self.ctx.metrics.suspicions, "target", "probed");
        emit!(self.ctx.log, info, TargetProbed; "target" => %probe.target, "job" => %probe.job,
            "soundness" => ?probe.soundness);
    }

    /// Logs and counts the crash of a target under a task.
    pub(super) fn log_crash(&self, crash: &Crash) {
        let step = &crash.task.step;
        let outcome = match (crash.is_given_up, crash.verdict) {
            (true, _) => "given_up",
            (false, Verdict::Proven) => "counted",
            (false, Verdict::Unproven) => "unproven",
            (false, Verdict::Possible) => "suspected",
        };
        Metrics::count(&self.ctx.metrics.crashes, "task", outcome);
        emit!(self.ctx.log, warn, TargetCrashed; "job" => %step.job,
            "occurrence" => step.occurrence, "step" => step.step, "task" => crash.task.index,
            "run" => crash.run, "target" => %crash.target, "crashes" => crash.crashes,
            "verdict" => ?crash.verdict, "given_up" => crash.is_given_up);
    }
}

/// Returns the label of evidence in the metrics.
fn kind_of(evidence: Evidence) -> &'static str {
    match evidence {
        Evidence::LeaseExpired => "lease_expired",
        Evidence::Unlisted => "unlisted",
        Evidence::Refused => "refused",
    }
}
