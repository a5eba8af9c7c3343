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

/// Returns a cell of two targets, each with a service and backfill of another
/// image, and their runs. Backfill of the image `stress` triples the response
/// times of the service beside it, that of `idle` leaves them as they are.
fn two_images() -> (Cell, Vec<Start>) {
    let mut cell = Cell::new(2);
    let image = |name: &str, step: Step| Step { image: Some(base::Name::from(name)), ..step };
    cell.accept("web", vec![image("web", service(2))]);
    let mut runs = start(&mut cell);
    // Two such tasks don't fit on one target.
    let size = base::Resources { cpu_milli: 4000, ..small_step().size };
    let large = || Step { size, ..backfill(1) };
    cell.accept("stress", vec![image("stress", large())]);
    runs.extend(start(&mut cell));
    cell.accept("idle", vec![image("idle", large())]);
    runs.extend(start(&mut cell));
    (cell, runs)
}

/// Lists these runs a number of times.
fn list_images(cell: &mut Cell, runs: &[Start], times: u32) {
    let stressed = runs.iter().find(|run| &*run.task.step.job == "stress");
    let stressed = stressed.map(|run| run.target.clone());
    for _ in 0..times {
        cell.advance(INTERVAL);
        let is_stressed = |run: &Start| Some(&run.target) == stressed.as_ref();
        let figure =
            |run: &Start| Some(if is_stressed(run) { GOAL_MS * 9 / 10 } else { GOAL_MS * 3 / 10 });
        for run in runs {
            cell.planner.lease_granted(&run.target, cell.now);
        }
        cell.list_figures(runs, figure);
        cell.decide_starts();
    }
}

#[gtest]
fn harmful_backfill_is_told_from_harmless_and_kept_apart_from_goals() {
    let (mut cell, runs) = two_images();
    list_images(&mut cell, &runs, 40);
    let claims = cell.planner.take_claims();
    let effect = |by: &str| claims.iter().find(|claim| claim.by == format!("image {by}"));
    expect_that!(
        effect("stress").expect("a claim").effect_milli,
        gt(effect("idle").expect("a claim").effect_milli)
    );
    // Both targets have a service and backfill; the harmless one is the better
    // place for another service.
    let idle = runs.iter().find(|run| &*run.task.step.job == "idle").expect("it runs");
    let web = Step { image: Some(base::Name::from("web")), ..service(1) };
    cell.accept("more web", vec![web]);
    expect_that!(start(&mut cell)[0].target, eq(&idle.target));
}

#[gtest]
fn nothing_is_claimed_before_enough_observations() {
    let (mut cell, runs) = two_images();
    list_images(&mut cell, &runs, 7);
    expect_that!(cell.planner.take_claims(), is_empty());
    expect_that!(cell.planner.interference_size(cell.now).1, eq(0));
    list_images(&mut cell, &runs, 1);
    expect_that!(cell.planner.interference_size(cell.now).1, eq(2));
    // Claims grow old.
    cell.advance(Duration::from_secs(61));
    expect_that!(cell.planner.interference_size(cell.now).1, eq(0));
}

#[gtest]
fn state_kept_on_kinds_is_bounded() {
    let mut cell = Cell::new(1);
    cell.accept("web", vec![service(1)]);
    let web = start(&mut cell);
    for number in 0..200 {
        let job = format!("fold-{number}");
        let image = Some(base::Name::from(job.as_str()));
        cell.accept(&job, vec![Step { image, ..backfill(1) }]);
        let fold = start(&mut cell);
        let runs = [web.clone(), fold.clone()].concat();
        play(&mut cell, &runs, GOAL_MS / 2, INTERVAL);
        cell.cancel(&job);
        cell.end_run(&fold[0], End::Stopped);
    }
    expect_that!(cell.planner.interference_size(cell.now).0, le(64));
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
