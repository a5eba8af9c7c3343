//! Tasks with a latency goal and backfill on the same targets.

use std::time::Duration;

use googletest::prelude::*;
use plan::{Interference, Settings, Start, StartAnswer, StopCause};
use work::{End, Step};

use crate::cell::{Cell, small_step, step};

const GOAL_MS: u32 = 200;

/// Interval between listings.
const INTERVAL: Duration = Duration::from_millis(500);

/// Returns a step of tasks that serve with a latency goal, one on a target.
fn service(count: u32) -> Step {
    let latency_goal_ms = Some(GOAL_MS);
    Step { count, long_running: true, latency_goal_ms, max_per_target: Some(1), ..small_step() }
}

/// Returns a step of backfill, one task on a target.
fn backfill(count: u32) -> Step {
    let max_per_target = Some(1);
    Step { count, long_running: true, is_backfill: true, max_per_target, ..small_step() }
}

fn start(cell: &mut Cell) -> Vec<Start> {
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    starts
}

/// Lists these runs twice a second for a time, the one of the service with
/// these response times.
fn play(cell: &mut Cell, runs: &[Start], figure_ms: u32, time: Duration) {
    let end = cell.now + time;
    while cell.now < end {
        cell.advance(INTERVAL);
        let figure = |run: &Start| Some(if &*run.task.step.job == "web" { figure_ms } else { 900 });
        for run in runs {
            cell.planner.lease_granted(&run.target, cell.now);
        }
        cell.list_figures(runs, figure);
        expect_that!(cell.decide_starts(), is_empty());
    }
}

/// Returns a cell of one target with a service and backfill, and their runs.
fn shared_target() -> (Cell, Vec<Start>) {
    let mut cell = Cell::new(1);
    cell.accept("web", vec![service(1)]);
    cell.accept("fold", vec![backfill(1)]);
    let runs = start(&mut cell);
    assert_that!(runs.len(), eq(2));
    (cell, runs)
}

#[gtest]
fn task_with_a_goal_starts_beside_backfill_if_no_other_target_has_room() {
    // It was never started again once its target was lost (review/8).
    let mut cell = Cell::new(2);
    cell.accept("web", vec![service(1)]);
    let web = start(&mut cell);
    cell.accept("fold", vec![backfill(1)]);
    let fold = start(&mut cell);
    expect_that!(fold[0].target, not(eq(&web[0].target)));
    let lost = web[0].target.clone();
    cell.make_unreachable(&lost);
    cell.end_run(&web[0], End::Lapsed);
    cell.make_unreachable(&lost);
    let again = start(&mut cell);
    assert_that!(again.len(), eq(1));
    expect_that!(again[0].target, eq(&fold[0].target));
}

#[gtest]
fn backfill_and_tasks_with_a_goal_go_to_separate_targets_where_there_is_room() {
    // Fuller targets come first otherwise.
    let mut cell = Cell::new(4);
    cell.accept("web", vec![service(2)]);
    let web = start(&mut cell);
    cell.accept("fold", vec![backfill(2)]);
    let fold = start(&mut cell);
    cell.accept("more web", vec![service(2)]);
    let more_web = start(&mut cell);
    let targets = |runs: &[Start]| {
        let mut targets: Vec<String> = runs.iter().map(|run| run.target.to_string()).collect();
        targets.sort();
        targets
    };
    expect_that!(targets(&more_web), eq(&targets(&web)));
    expect_true!(targets(&fold).iter().all(|target| !targets(&web).contains(target)));
}

#[gtest]
fn backfill_fills_clean_targets_before_those_with_a_goal() {
    let mut cell = Cell::new(2);
    cell.accept("web", vec![Step { max_per_target: None, ..service(2) }]);
    let web = start(&mut cell);
    cell.accept("fold", vec![Step { max_per_target: None, ..backfill(10) }]);
    let fold = start(&mut cell);
    let beside = fold.iter().filter(|run| run.target == web[0].target).count();
    expect_that!((fold.len(), beside), eq((10, 2)));
}

#[gtest]
fn backfill_stays_beside_a_task_within_its_goal() {
    let (mut cell, runs) = shared_target();
    play(&mut cell, &runs, GOAL_MS, Duration::from_secs(20));
    expect_that!(cell.take_stops(), is_empty());
}

#[gtest]
fn backfill_beside_a_task_over_its_goal_is_stopped_well_within_the_bound() {
    let (mut cell, runs) = shared_target();
    play(&mut cell, &runs, GOAL_MS, Duration::from_secs(2));
    play(&mut cell, &runs, GOAL_MS * 3, Duration::from_millis(2500));
    let stops = cell.take_stops();
    assert_that!(stops.len(), eq(1));
    expect_that!(&*stops[0].task.step.job, eq("fold"));
    expect_that!(&stops[0].cause, matches_pattern!(StopCause::Harmful(_)));
}

#[gtest]
fn backfill_does_not_keep_other_tasks_waiting() {
    // The processor time of backfill doesn't count against a target's capacity.
    let mut cell = Cell::new(1);
    let size = |cpu_milli| base::Resources { cpu_milli, ..small_step().size };
    let fill = Step { size: size(6000), max_per_target: None, ..backfill(1) };
    cell.accept("fold", vec![fill.clone()]);
    expect_that!(start(&mut cell).len(), eq(1));
    cell.accept("job", vec![Step { size: size(8000), ..step(2) }]);
    // Two tasks of the job would overcommit the target.
    expect_that!(start(&mut cell).len(), eq(1));
    cell.accept("more", vec![fill]);
    expect_that!(start(&mut cell), is_empty());
}

#[gtest]
fn nothing_shares_a_target_with_the_setting_off() {
    let interference = Interference { is_enabled: false, ..Interference::default() };
    let settings = Settings { interference, ..Settings::default() };
    let mut cell = Cell::with_settings(1, settings);
    cell.accept("web", vec![service(1)]);
    cell.accept("fold", vec![backfill(1)]);
    expect_that!(start(&mut cell).len(), eq(1));
}
