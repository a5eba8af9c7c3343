//! Extreme numbers in jobs.

use std::time::Duration;

use base::Resources;
use googletest::prelude::*;
use plan::{Interference, Settings, StartAnswer, job_objective_ms};
use work::{Advice, End, JobState, Policy, Step};

use crate::cell::{Cell, QUEUE, step};

#[gtest]
fn stored_job_with_too_many_tasks_fails_and_others_run_after_a_takeover() {
    // Each leader aborted on the memory for the tasks of such a job.
    let mut cell = Cell::new(2);
    cell.accept("oversized", vec![step(60_000), step(60_000)]);
    cell.accept_scheduled("later", vec![step(60_000)], Duration::from_secs(1), 2);
    cell.accept("small", vec![step(1)]);
    for _ in 0..2 {
        cell = cell.take_over();
        cell.advance(Duration::from_secs(2));
        cell.list_nothing_on_others("");
        let starts = cell.decide_starts();
        expect_that!(starts.len(), eq(1));
        expect_that!(&*starts[0].task.step.job, eq("small"));
        cell.record();
        expect_that!(cell.state("oversized"), eq(JobState::Failed));
        expect_that!(cell.state("later"), eq(JobState::Failed));
    }
}

#[gtest]
fn objective_of_a_job_with_extreme_estimates_saturates() {
    let steps: Vec<Step> = (0..20_000)
        .map(|number: u16| Step {
            estimate_ms: u32::MAX,
            after: number.checked_sub(1).into_iter().collect(),
            ..step(1)
        })
        .collect();
    let policy =
        Policy { objective_factor_milli: u32::MAX, objective_ms: u32::MAX, ..Policy::default() };
    expect_that!(job_objective_ms(&steps, &policy), ge(u64::MAX / 1000));
}

#[gtest]
fn room_for_tasks_without_size_saturates() {
    // An empty target has room for 2^32 - 1 such tasks, which was multiplied by
    // 1,000 in the choice of targets to request advice on. A task with a latency goal
    // has room only on a target without backfill if interference is off.
    let interference = Interference { is_enabled: false, ..Interference::default() };
    let mut cell = Cell::with_settings(8, Settings { interference, ..Settings::default() });
    cell.accept("backfill", vec![Step { is_backfill: true, ..step(64) }]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.set_advice(QUEUE, Advice { request_us: 1000, target_us: 10, valid_ms: 60_000 });
    cell.planner.set_instances(4, cell.now);
    let size = Resources::ZERO;
    let gang = Step { gang: true, latency_goal_ms: Some(100), size, ..step(3) };
    cell.accept("gang", vec![gang]);
    cell.advance(Duration::from_millis(300));
    cell.list_running(&starts);
    expect_that!(cell.decide_starts(), is_empty());
    // One target answers that the gang may run there, but has room for it only
    // when empty; nothing is known about the others, which have room now.
    let request = cell.take_advice_requests().remove(0);
    let expires_at = cell.now + Duration::from_secs(60);
    let (known, others) = request.targets.split_at(1);
    let allowed = Some(vec![(known[0].clone(), "ticket".into())]);
    cell.planner.advice_answered(&request.step, known, allowed, expires_at);
    cell.planner.advice_answered(&request.step, others, None, expires_at);
    cell.advance(Duration::from_millis(300));
    for start in starts.iter().filter(|start| start.target != known[0]) {
        cell.end_run(start, End::Stopped);
        cell.list_nothing(&start.target);
    }
    cell.planner.cancel(&"backfill".into(), cell.now);
    cell.decide_starts();
    let further = cell.take_advice_requests().into_iter().flat_map(|request| request.targets);
    expect_that!(further.filter(|target| others.contains(target)).count(), ge(1));
}
