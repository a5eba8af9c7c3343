//! Tasks with a latency goal and backfill on the same targets.

use std::time::Duration;

use googletest::prelude::*;
use plan::{Interference, PaceAnswer, Settings, Start, StartAnswer, StopCause};
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

/// Returns a cell of one target with a service and backfill, and their runs in
/// this order.
fn shared_target() -> (Cell, Vec<Start>) {
    let mut cell = Cell::new(1);
    cell.accept("web", vec![service(1)]);
    cell.accept("fold", vec![backfill(1)]);
    let mut runs = start(&mut cell);
    assert_that!(runs.len(), eq(2));
    runs.sort_by_key(|run| &*run.task.step.job != "web");
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
    play(&mut cell, &runs, GOAL_MS * 9 / 10, Duration::from_secs(20));
    expect_that!(cell.take_stops(), is_empty());
}

#[gtest]
fn backfill_beside_a_task_over_its_goal_is_stopped_well_within_the_bound() {
    let (mut cell, runs) = shared_target();
    play(&mut cell, &runs, GOAL_MS / 2, Duration::from_secs(2));
    play(&mut cell, &runs, GOAL_MS * 3, Duration::from_millis(3000));
    let stops = cell.take_stops();
    assert_that!(stops.len(), eq(1));
    expect_that!(&*stops[0].task.step.job, eq("fold"));
    expect_that!(&stops[0].cause, matches_pattern!(StopCause::Harmful(_)));
}

/// Lists both runs of a shared target half a second later, with these response
/// times and this processor time of backfill, and returns the shares of the pace
/// orders, which get this answer.
fn list_once(
    cell: &mut Cell,
    runs: &[Start],
    figure_ms: u32,
    cpu_milli: u32,
    answer: PaceAnswer,
) -> Vec<u8> {
    let mut shares = Vec::new();
    for run in runs {
        cell.planner.lease_granted(&run.target, cell.now);
    }
    let is_web = |run: &Start| &*run.task.step.job == "web";
    cell.list_figures(runs, |run| Some(if is_web(run) { figure_ms } else { cpu_milli }));
    for _ in 0..5 {
        cell.advance(INTERVAL / 5);
        expect_that!(cell.decide_starts(), is_empty());
        for pace in cell.take_paces() {
            shares.push(pace.percent);
            let (target, task) = (pace.target, pace.task);
            let (run, percent, now) = (pace.run, pace.percent, cell.now);
            cell.planner.pace_answered(&target, &task, run, percent, answer, now);
        }
    }
    shares
}

#[gtest]
fn backfill_beside_a_task_over_its_goal_is_paced_down_and_not_stopped() {
    let (mut cell, runs) = shared_target();
    let taken = PaceAnswer::Taken;
    expect_that!(list_once(&mut cell, &runs, GOAL_MS / 2, 900, taken), is_empty());
    // A little over the goal: half at first, nothing if that doesn't suffice.
    expect_that!(list_once(&mut cell, &runs, GOAL_MS * 11 / 10, 900, taken), eq(&[50]));
    let mut shares = Vec::new();
    for _ in 0..4 {
        let cpu_milli = if shares.is_empty() { 450 } else { 0 };
        shares.extend(list_once(&mut cell, &runs, GOAL_MS * 11 / 10, cpu_milli, taken));
    }
    expect_that!(shares, eq(&[0]));
    // The load of the service itself may keep it over its goal; there is nothing
    // left to order.
    for _ in 0..40 {
        expect_that!(list_once(&mut cell, &runs, GOAL_MS * 2, 0, taken), is_empty());
    }
    expect_that!(cell.take_stops(), is_empty());
    // Well within the goal, the share rises in small steps, until the backfill is
    // known to be harmless.
    let mut shares = Vec::new();
    for _ in 0..60 {
        let cpu_milli = u32::from(shares.last().copied().unwrap_or(0)) * 10;
        shares.extend(list_once(&mut cell, &runs, GOAL_MS / 4, cpu_milli, taken));
    }
    expect_that!(shares.first(), some(eq(&10)));
    expect_true!(shares.is_sorted());
    expect_that!(shares.last(), some(eq(&100)));
}

#[gtest]
fn backfill_far_over_the_goal_stops_working_at_once() {
    let (mut cell, runs) = shared_target();
    expect_that!(list_once(&mut cell, &runs, GOAL_MS * 3, 900, PaceAnswer::Taken), eq(&[0]));
}

#[gtest]
fn lost_pace_order_is_repeated_with_back_off_and_followed_by_a_stop() {
    let (mut cell, runs) = shared_target();
    let mut shares = Vec::new();
    for _ in 0..4 {
        shares.extend(list_once(&mut cell, &runs, GOAL_MS * 3, 900, PaceAnswer::Unknown));
        expect_that!(cell.take_stops(), is_empty());
    }
    // After 0.1, 0.4 and 1.0 s.
    expect_that!(shares, eq(&[0, 0, 0]));
    // The stop comes after 2.5 s at the latest; the bound is 4 s.
    list_once(&mut cell, &runs, GOAL_MS * 3, 900, PaceAnswer::Unknown);
    let stops = cell.take_stops();
    assert_that!(stops.len(), eq(1));
    expect_that!(&*stops[0].task.step.job, eq("fold"));
}

#[gtest]
fn pace_order_without_effect_in_a_listing_is_sent_again() {
    // An earlier order may be carried out after a later one.
    let (mut cell, runs) = shared_target();
    let taken = PaceAnswer::Taken;
    expect_that!(list_once(&mut cell, &runs, GOAL_MS * 3, 900, taken), eq(&[0]));
    expect_that!(list_once(&mut cell, &runs, GOAL_MS / 2, 900, taken), is_empty());
    expect_that!(list_once(&mut cell, &runs, GOAL_MS * 9 / 10, 900, taken), eq(&[0]));
}

#[gtest]
fn backfill_works_at_full_pace_again_once_no_task_beside_it_has_a_goal() {
    let (mut cell, runs) = shared_target();
    let taken = PaceAnswer::Taken;
    expect_that!(list_once(&mut cell, &runs, GOAL_MS * 3, 900, taken), eq(&[0]));
    cell.cancel("web");
    cell.end_run(&runs[0], End::Stopped);
    expect_that!(list_once(&mut cell, &runs[1..], 0, 0, taken), eq(&[100]));
}

#[gtest]
fn order_for_full_pace_is_repeated_until_it_is_taken() {
    // A lost one would leave the backfill idle for good.
    let (mut cell, runs) = shared_target();
    expect_that!(list_once(&mut cell, &runs, GOAL_MS * 3, 900, PaceAnswer::Taken), eq(&[0]));
    cell.cancel("web");
    cell.end_run(&runs[0], End::Stopped);
    let mut orders = 0;
    for _ in 0..120 {
        orders += list_once(&mut cell, &runs[1..], 0, 0, PaceAnswer::Unknown).len();
    }
    // Within a minute: five in the first 4.5 s, then one each 4.8 s.
    expect_that!(orders, all!(ge(15), le(17)));
    let shares: Vec<u8> =
        (0..10).flat_map(|_| list_once(&mut cell, &runs[1..], 0, 0, PaceAnswer::Taken)).collect();
    expect_that!(shares, eq(&[100]));
}

#[gtest]
fn new_placer_sets_the_pace_of_the_backfill_that_it_takes_over() {
    // The earlier placer may have paced it to nothing.
    let (cell, runs) = shared_target();
    let mut cell = cell.take_over();
    cell.list_running(&runs);
    let shares = list_once(&mut cell, &runs, GOAL_MS * 9 / 10, 0, PaceAnswer::Taken);
    expect_that!(shares, eq(&[50]));
}

#[gtest]
fn pace_of_an_earlier_placer_is_lifted_with_the_setting_off() {
    let (_, runs) = shared_target();
    let interference = Interference { is_enabled: false, ..Interference::default() };
    let settings = Settings { interference, ..Settings::default() };
    let mut cell = Cell::with_settings(1, settings);
    cell.accept("fold", vec![backfill(1)]);
    cell.list_running(&runs[1..]);
    let shares = list_once(&mut cell, &runs[1..], 0, 0, PaceAnswer::Taken);
    expect_that!(shares, eq(&[100]));
}

#[gtest]
fn backfill_moves_to_a_target_without_goals_once_there_is_room() {
    let mut cell = Cell::new(2);
    cell.accept("web", vec![service(1)]);
    let web = start(&mut cell);
    let other = if &*web[0].target == "target-0" { "target-1" } else { "target-0" };
    cell.make_unreachable(other);
    cell.accept("fold", vec![backfill(1)]);
    let fold = start(&mut cell);
    assert_that!(fold.len(), eq(1));
    let runs = [web, fold].concat();
    for _ in 0..8 {
        list_once(&mut cell, &runs, GOAL_MS * 11 / 10, 0, PaceAnswer::Taken);
    }
    expect_that!(cell.take_stops(), is_empty());
    cell.list_nothing(other);
    list_once(&mut cell, &runs, GOAL_MS / 2, 0, PaceAnswer::Taken);
    let stops = cell.take_stops();
    expect_true!(stops.iter().any(|stop| stop.cause == StopCause::Paced));
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
    list_images(&mut cell, &runs, 3);
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
    // A kind in use is not the one to make room: the service is still learnt from.
    cell.accept("last", vec![backfill(1)]);
    let last = start(&mut cell);
    let runs = [web, last].concat();
    play(&mut cell, &runs, GOAL_MS / 2, INTERVAL * 20);
    expect_that!(cell.planner.interference_size(cell.now).1, ge(1));
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
