//! Failing runs: whether the target or the task is to blame.

use std::time::Duration;

use googletest::prelude::*;
use plan::{Start, StartAnswer};
use work::{End, Step};

use crate::cell::{Cell, step};

const TARGETS: u32 = 8;

/// Time between two looks at the cell.
const INTERVAL: Duration = Duration::from_millis(300);

/// Cell whose runs fail or end as a test says.
struct Trial {
    cell: Cell,
    running: Vec<Start>,
}

impl Trial {
    fn new() -> Self {
        Self { cell: Cell::new(TARGETS), running: Vec::new() }
    }

    /// Accepts a job of four lasting tasks; two such jobs share a target.
    fn accept_lasting(&mut self, id: &str) {
        self.cell.accept(id, vec![Step { long_running: true, estimate_ms: 0, ..step(4) }]);
    }

    /// Starts what can start, and returns the new runs.
    fn start(&mut self) -> Vec<Start> {
        let starts = self.cell.decide_starts();
        self.cell.answer_starts(&starts, &StartAnswer::Started);
        self.running.extend(starts.iter().cloned());
        starts
    }

    /// Passes some time, ends all runs by `end_of`, and lists what runs.
    fn pass(&mut self, end_of: impl Fn(&Start) -> Option<End>) {
        self.cell.advance(INTERVAL);
        for start in std::mem::take(&mut self.running) {
            match end_of(&start) {
                Some(end) => self.cell.end_run(&start, end),
                None => self.running.push(start),
            }
        }
        self.cell.list_running(&self.running);
        for target in (0..TARGETS).map(|number| format!("target-{number}")) {
            if self.running.iter().all(|start| *start.target != *target) {
                self.cell.list_nothing(&target);
            }
        }
    }
}

fn job(start: &Start) -> &str {
    &start.task.step.job
}

/// Ends runs of jobs named `faulty` as failed, and all others as done.
fn fails_if_faulty(start: &Start) -> Option<End> {
    Some(if job(start).starts_with("faulty") { End::Failed } else { End::Done })
}

#[gtest]
fn jobs_that_fail_everywhere_leave_the_targets_to_other_jobs() {
    // Two such jobs had all targets suspected, and nothing ran at all (review/4).
    let mut trial = Trial::new();
    trial.accept_lasting("faulty-a");
    trial.accept_lasting("faulty-b");
    for round in 0..120 {
        let small = format!("small-{round}");
        // Failures follow on one another without an end that clears a target.
        let is_due = round % 10 == 9;
        if is_due {
            trial.cell.accept(&small, vec![step(1)]);
        }
        let starts = trial.start();
        let started = starts.iter().filter(|start| job(start) == small).count();
        expect_that!(started, eq(usize::from(is_due)), "{small}");
        trial.pass(fails_if_faulty);
    }
    // Tasks that last are restarted however they end.
    let faulty = trial.start().iter().filter(|start| job(start).starts_with("faulty")).count();
    expect_that!(faulty, eq(8));
}

#[gtest]
fn failing_target_gets_only_probes_beside_jobs_that_fail_everywhere() {
    let bad = "target-3";
    let mut trial = Trial::new();
    trial.accept_lasting("faulty-a");
    trial.accept_lasting("faulty-b");
    let end_of = |start: &Start| {
        if *start.target == *bad { Some(End::Failed) } else { fails_if_faulty(start) }
    };
    let mut probes = Vec::new();
    for number in 0..100 {
        // All targets get work.
        trial.cell.accept(&format!("small-{number}"), vec![step(48)]);
        let starts = trial.start();
        if number >= 20 {
            probes.extend(starts.into_iter().filter(|start| *start.target == *bad));
        }
        trial.pass(end_of);
    }
    // Probes are at least 3 s apart, in 24 s.
    expect_that!(probes.len(), le(8));
    let by_faulty = probes.iter().filter(|start| job(start).starts_with("faulty"));
    expect_that!(by_faulty.count(), eq(0));
}

#[gtest]
fn sound_job_starts_at_once_although_all_targets_are_suspected() {
    // A burst of jobs that can never be done fails on all targets, each on a few.
    let mut trial = Trial::new();
    for number in 0..32 {
        trial.cell.accept(&format!("faulty-{number}"), vec![step(2)]);
    }
    for _ in 0..6 {
        trial.start();
        trial.pass(fails_if_faulty);
    }
    trial.cell.accept("sound", vec![step(1)]);
    let starts = trial.start();
    expect_that!(starts.iter().filter(|start| job(start) == "sound").count(), eq(1));
}

/// Lets jobs fail until all targets are suspected and nothing runs.
fn suspect_all(trial: &mut Trial) {
    for number in 0..32 {
        trial.cell.accept(&format!("faulty-{number}"), vec![step(2)]);
    }
    for _ in 0..6 {
        trial.start();
        trial.pass(fails_if_faulty);
    }
    for number in 0..32 {
        trial.cell.cancel(&format!("faulty-{number}"));
    }
    trial.pass(fails_if_faulty);
}

/// Passes time until `count` tasks of a job have started, up to a limit. Returns the
/// time.
fn wait_for_starts(trial: &mut Trial, id: &str, count: usize) -> Duration {
    let since = trial.cell.now;
    let mut started = 0;
    while started < count && trial.cell.now < since + Duration::from_secs(60) {
        started += trial.start().iter().filter(|start| job(start) == id).count();
        if started < count {
            trial.pass(fails_if_faulty);
        }
    }
    trial.cell.now.saturating_sub(since)
}

#[gtest]
fn gang_with_more_members_than_targets_starts_although_all_targets_are_suspected() {
    // Each suspected target took one member, and nothing else came that would have
    // cleared it (review/14).
    for long_running in [false, true] {
        let mut trial = Trial::new();
        suspect_all(&mut trial);
        let gang = Step { gang: true, long_running, ..step(2 * TARGETS) };
        trial.cell.accept("gang", vec![gang]);
        let wait = wait_for_starts(&mut trial, "gang", 2 * TARGETS as usize);
        expect_that!(wait, le(Duration::from_secs(3)), "long-running: {long_running}");
    }
}

#[gtest]
fn gang_starts_on_suspected_targets_beside_runs_that_keep_them_busy() {
    let mut trial = Trial::new();
    let lasting = Step { max_per_target: Some(1), long_running: true, ..step(TARGETS) };
    trial.cell.accept("service", vec![lasting]);
    trial.start();
    for number in 0..32 {
        trial.cell.accept(&format!("faulty-{number}"), vec![step(2)]);
    }
    let end_of = |start: &Start| fails_if_faulty(start).filter(|_| job(start) != "service");
    for _ in 0..6 {
        trial.start();
        trial.pass(end_of);
    }
    for number in 0..32 {
        trial.cell.cancel(&format!("faulty-{number}"));
    }
    trial.pass(end_of);
    trial.cell.accept("gang", vec![Step { gang: true, ..step(2 * TARGETS) }]);
    let accepted_at = trial.cell.now;
    let mut started = 0;
    while started == 0 && trial.cell.now < accepted_at + Duration::from_secs(60) {
        started += trial.start().iter().filter(|start| job(start) == "gang").count();
        trial.pass(end_of);
    }
    // A probe in 3 s that no other work has used.
    expect_that!(trial.cell.now.saturating_sub(accepted_at), le(Duration::from_secs(6)));
}

#[gtest]
fn gang_that_sound_targets_cannot_hold_uses_suspected_ones() {
    let mut trial = Trial::new();
    suspect_all(&mut trial);
    // Two targets are cleared.
    trial.cell.accept("sound", vec![step(2)]);
    trial.start();
    trial.pass(fails_if_faulty);
    trial.cell.accept("gang", vec![Step { gang: true, ..step(5 * TARGETS) }]);
    let wait = wait_for_starts(&mut trial, "gang", 5 * TARGETS as usize);
    expect_that!(wait, le(Duration::from_secs(6)));
}

#[gtest]
fn gang_leaves_a_failing_target_alone_that_others_can_do_without() {
    let bad = "target-3";
    let mut trial = Trial::new();
    let end_of = |start: &Start| Some(if *start.target == *bad { End::Failed } else { End::Done });
    let mut late = 0;
    for number in 0..100 {
        trial.cell.accept(&format!("small-{number}"), vec![step(24)]);
        let gang = Step { gang: true, ..step(3 * TARGETS) };
        trial.cell.accept(&format!("gang-{number}"), vec![gang]);
        let starts = trial.start();
        if number >= 20 {
            late += starts.iter().filter(|start| *start.target == *bad).count();
        }
        trial.pass(end_of);
    }
    // Probes are at least 3 s apart, in 24 s.
    expect_that!(late, le(8));
}

#[gtest]
fn task_at_its_last_attempt_starts_although_all_targets_are_suspected() {
    // No suspected target took it, and without other work it waited for good
    // (review/14).
    let mut trial = Trial::new();
    suspect_all(&mut trial);
    trial.cell.accept("job", vec![step(1)]);
    for _ in 1..crate::cell::ATTEMPTS {
        wait_for_starts(&mut trial, "job", 1);
        trial.pass(|_| Some(End::Failed));
    }
    let wait = wait_for_starts(&mut trial, "job", 1);
    expect_that!(wait, le(Duration::from_secs(6)));
}

#[gtest]
fn task_at_its_last_attempt_leaves_a_failing_target_to_other_work() {
    // All sound targets are busy.
    let bad = "target-0";
    let mut trial = Trial::new();
    let lasting = Step { long_running: true, estimate_ms: 0, ..step(8 * TARGETS) };
    for number in 0..4 {
        trial.cell.accept(&format!("first-{number}"), vec![step(8)]);
    }
    let end_of = |start: &Start| (*start.target == *bad).then_some(End::Failed);
    for _ in 0..4 {
        trial.start();
        trial.pass(end_of);
    }
    trial.cell.accept("service", vec![lasting]);
    let (mut lasts, mut failures) = (0, std::collections::HashMap::new());
    for round in 0..100 {
        trial.cell.accept(&format!("small-{round}"), vec![step(1)]);
        for start in trial.start() {
            let failed = failures.entry(start.task.clone()).or_insert(0);
            if *start.target == *bad && job(&start) != "service" {
                lasts += usize::from(*failed + 1 == crate::cell::ATTEMPTS);
                *failed += 1;
            }
        }
        trial.pass(end_of);
    }
    expect_that!(lasts, eq(0));
}

/// Lets all runs of lasting jobs fail once, and returns how long some task of
/// `job` waits.
fn wait_after_failures(trial: &mut Trial, jobs: usize) -> Duration {
    for number in 0..jobs {
        let step = Step { long_running: true, estimate_ms: 0, max_per_target: Some(1), ..step(6) };
        trial.cell.accept(&format!("service-{number}"), vec![step]);
    }
    expect_that!(trial.start().len(), eq(6 * jobs));
    for _ in 0..30 {
        trial.pass(|_| None);
    }
    let failed_at = trial.cell.now;
    trial.pass(|_| Some(End::Failed));
    while trial.running.len() < 6 * jobs && trial.cell.now < failed_at + Duration::from_secs(30) {
        trial.start();
        trial.pass(|_| None);
    }
    trial.cell.now.saturating_sub(failed_at)
}

#[gtest]
fn lasting_tasks_that_all_failed_once_run_again_within_three_seconds() {
    // Two thirds of the tasks waited 24 s for probes of empty targets (review/10).
    expect_that!(wait_after_failures(&mut Trial::new(), 6), le(Duration::from_secs(3)));
}

#[gtest]
fn failures_of_long_ago_have_no_target_suspected() {
    let mut trial = Trial::new();
    for job in ["first", "second"] {
        trial.accept_lasting(job);
    }
    trial.start();
    // Each run fails in turn, two minutes apart.
    for round in 0..12 {
        let failing = trial.running[round % trial.running.len()].clone();
        trial.pass(|start| (start.task == failing.task).then_some(End::Failed));
        trial.start();
        for _ in 0..400 {
            trial.pass(|_| None);
        }
    }
    let blames = trial.cell.planner.take_blames();
    expect_that!(blames, is_empty());
}

#[gtest]
fn target_on_which_lasting_tasks_fail_late_gets_only_probes() {
    // It is cleared by a run that lasts, each time later.
    let bad = "target-2";
    let mut trial = Trial::new();
    for job in ["first", "second", "third", "fourth"] {
        trial.cell.accept(
            job,
            vec![Step { long_running: true, estimate_ms: 0, max_per_target: Some(1), ..step(8) }],
        );
    }
    let mut started = std::collections::HashMap::new();
    let mut late_starts = 0;
    for round in 0..400 {
        let now = trial.cell.now;
        for start in trial.start() {
            if *start.target == *bad && round >= 200 {
                late_starts += 1;
            }
            started.insert((start.task.clone(), start.run), now);
        }
        trial.pass(|start| {
            let age = now.saturating_sub(started[&(start.task.clone(), start.run)]);
            (*start.target == *bad && age >= Duration::from_millis(1500)).then_some(End::Failed)
        });
    }
    // 60 s; one probe in 3 s by each task that has no other room.
    expect_that!(late_starts, le(30));
}

#[gtest]
fn failing_work_of_one_team_leaves_probes_to_sound_work() {
    // Two targets fail everything at first, so all are suspected.
    let mut trial = Trial::new();
    for number in 0..8 {
        trial.cell.accept(&format!("faulty-{number}"), vec![step(8)]);
    }
    for round in 0..10 {
        // Failing work always waits.
        for number in 0..4 {
            trial.cell.accept(&format!("faulty-{round}-{number}"), vec![step(8)]);
        }
        trial.start();
        trial.pass(fails_if_faulty);
    }
    trial.cell.accept_from_other_team("sound", vec![step(4)]);
    let accepted_at = trial.cell.now;
    let mut started = 0;
    while started < 4 && trial.cell.now < accepted_at + Duration::from_secs(10) {
        for number in 0..4 {
            let id = format!("faulty-{}-{number}", trial.cell.now.as_millis());
            trial.cell.accept(&id, vec![step(8)]);
        }
        started += trial.start().iter().filter(|start| job(start) == "sound").count();
        trial.pass(fails_if_faulty);
    }
    expect_that!(trial.cell.now.saturating_sub(accepted_at), le(Duration::from_secs(3)));
}
