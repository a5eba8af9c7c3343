//! Eviction of backfill for tasks that find no room.

use std::time::Duration;

use base::{Name, Resources};
use googletest::prelude::*;
use plan::{AdviceRequest, Interference, Settings, Start, StartAnswer, Stop, StopCause};
use work::{Advice, End, Step, StepKey, TaskKey};

use crate::cell::{Cell, small_step};

/// Memory of a target of the cell, in MiB.
const TARGET_MIB: u32 = 8 * 1024;

fn with_memory(step: Step, memory_mib: u32) -> Step {
    Step { size: Resources { memory_mib, ..step.size }, ..step }
}

/// Returns a step of lasting backfill of which each task takes half of a target's
/// memory.
fn backfill(count: u32) -> Step {
    let lasting = Step { count, long_running: true, is_backfill: true, ..small_step() };
    with_memory(lasting, TARGET_MIB / 2)
}

/// Returns a step of one lasting task.
fn service() -> Step {
    Step { long_running: true, ..small_step() }
}

fn start(cell: &mut Cell) -> Vec<Start> {
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    starts
}

/// Returns a cell whose memory is taken by backfill, and its runs.
fn full_cell(targets: u32, step: Step) -> (Cell, Vec<Start>) {
    let mut cell = Cell::new(targets);
    cell.accept("fold", vec![step]);
    let runs = start(&mut cell);
    assert_that!(runs.len(), eq(2 * targets as usize));
    (cell, runs)
}

/// Lets the time pass after which backfill is evicted, and returns the stop orders.
fn evicted(cell: &mut Cell, runs: &[Start]) -> Vec<Stop> {
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Settings::default().eviction_delay);
    cell.list_progress(runs, |_| 100);
    expect_that!(cell.decide_starts(), is_empty());
    first_stops(cell)
}

/// Returns the stop orders since the last call, without repeated ones.
fn first_stops(cell: &mut Cell) -> Vec<Stop> {
    let mut stops = cell.take_stops();
    stops.retain(|stop| stop.cause != StopCause::Repeated);
    stops
}

/// Lists a run that was ordered to stop as stopped.
fn end_stopped(cell: &mut Cell, runs: &[Start], stop: &Stop) {
    let run = runs.iter().find(|run| run.task == stop.task).expect("only these runs exist");
    cell.end_run(run, End::Stopped);
}

#[gtest]
fn lasting_task_starts_though_backfill_holds_the_memory_of_all_targets() {
    // Such backfill runs until it is cancelled, so that the task never started.
    let (mut cell, runs) = full_cell(1, backfill(2));
    cell.accept("web", vec![service()]);
    let stops = evicted(&mut cell, &runs);
    assert_that!(stops.len(), eq(1));
    expect_that!(&stops[0].cause, eq(&StopCause::Moved(Name::from("web"))));
    end_stopped(&mut cell, &runs, &stops[0]);
    // The evicted task does not take its room back.
    let starts = start(&mut cell);
    assert_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("web"));
    expect_that!(cell.decide_starts(), is_empty());
}

#[gtest]
fn backfill_that_may_not_share_targets_is_not_evicted() {
    // It counts like other work then; evicting it for each job would end most of its
    // runs.
    let interference = Interference { is_enabled: false, ..Interference::default() };
    let settings = Settings { interference, ..Settings::default() };
    let mut cell = Cell::with_settings(1, settings);
    cell.accept("fold", vec![backfill(2)]);
    let runs = start(&mut cell);
    let gang = Step { gang: true, ..small_step() };
    let web = Step { latency_goal_ms: Some(200), ..service() };
    for (id, step) in [("web", web), ("job", small_step()), ("gang", gang)] {
        cell.accept(id, vec![step]);
        expect_that!(evicted(&mut cell, &runs), is_empty());
    }
}

#[gtest]
fn ordinary_tasks_and_gangs_get_the_memory_that_backfill_holds() {
    let gang = Step { gang: true, count: 2, ..small_step() };
    for step in [Step { count: 2, ..small_step() }, gang] {
        let (mut cell, runs) = full_cell(1, backfill(2));
        cell.accept("job", vec![step]);
        let stops = evicted(&mut cell, &runs);
        assert_that!(stops.len(), eq(1));
        end_stopped(&mut cell, &runs, &stops[0]);
        expect_that!(start(&mut cell).len(), eq(2));
    }
}

#[gtest]
fn late_gang_gets_the_memory_that_backfill_holds() {
    // Gangs preempt other runs only while they are in time.
    let (mut cell, runs) = full_cell(1, backfill(2));
    cell.limit_team(0);
    cell.accept("gang", vec![Step { gang: true, count: 2, ..small_step() }]);
    for _ in 0..60 {
        cell.advance(Duration::from_secs(1));
        cell.list_progress(&runs, |_| 100);
        for run in &runs {
            cell.planner.lease_granted(&run.target, cell.now);
        }
        expect_that!(cell.decide_starts(), is_empty());
    }
    cell.limit_team(100);
    expect_that!(cell.decide_starts(), is_empty());
    let stops = first_stops(&mut cell);
    assert_that!(stops.len(), eq(1));
    end_stopped(&mut cell, &runs, &stops[0]);
    expect_that!(start(&mut cell).len(), eq(2));
}

#[gtest]
fn backfill_makes_room_after_a_takeover() {
    // The new placer knows the backfill from the listings only.
    let mut cell = Cell::new(2);
    cell.make_unreachable("target-0");
    cell.accept("fold", vec![backfill(2)]);
    let runs = start(&mut cell);
    assert_that!(runs.len(), eq(2));
    cell.accept("web", vec![service()]);
    let mut next = cell.take_over_without_listings();
    next.make_unreachable("target-0");
    next.list_running(&runs);
    expect_that!(next.decide_starts(), is_empty());
    next.advance(Settings::default().eviction_delay);
    next.list_running(&runs);
    expect_that!(next.decide_starts(), is_empty());
    let stops = first_stops(&mut next);
    assert_that!(stops.len(), eq(1));
    end_stopped(&mut next, &runs, &stops[0]);
    let starts = start(&mut next);
    assert_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("web"));
}

#[gtest]
fn backfill_is_evicted_where_the_fewest_runs_are_lost() {
    let mut cell = Cell::new(2);
    cell.accept("small", vec![with_memory(backfill(8), TARGET_MIB / 8)]);
    let small = start(&mut cell);
    cell.accept("large", vec![backfill(2)]);
    let large = start(&mut cell);
    expect_that!((small.len(), large.len()), eq((8, 2)));
    let runs: Vec<Start> = small.into_iter().chain(large).collect();
    cell.accept("web", vec![with_memory(service(), TARGET_MIB / 2)]);
    let stops = evicted(&mut cell, &runs);
    assert_that!(stops.len(), eq(1));
    expect_that!(&*stops[0].task.step.job, eq("large"));
}

#[gtest]
fn no_more_tasks_of_a_step_are_evicted_than_may_be_away() {
    let limited = Step { max_unavailable: Some(1), ..backfill(4) };
    let (mut cell, runs) = full_cell(2, limited);
    cell.list_progress(&runs, |_| 100);
    // Each task needs the memory of one run of backfill.
    cell.accept("web", vec![Step { count: 3, ..with_memory(service(), TARGET_MIB / 2) }]);
    let stops = evicted(&mut cell, &runs);
    assert_that!(stops.len(), eq(1));
    end_stopped(&mut cell, &runs, &stops[0]);
    let web = start(&mut cell);
    expect_that!(web.len(), eq(1));
    let left = runs.iter().filter(|run| run.task != stops[0].task);
    let left: Vec<Start> = left.cloned().chain(web).collect();
    expect_that!(evicted(&mut cell, &left), is_empty());
}

#[gtest]
fn backfill_of_which_a_task_has_just_started_is_not_evicted_beyond_its_limit() {
    // A task is at work at a progress of 100 percent.
    let (mut cell, runs) = full_cell(1, Step { max_unavailable: Some(1), ..backfill(2) });
    cell.accept("web", vec![service()]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Settings::default().eviction_delay);
    cell.list_progress(&runs, |_| 40);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.take_stops(), is_empty());
}

#[gtest]
fn backfill_is_not_evicted_where_it_is_of_no_use() {
    let labelled = Step { label: Some(Name::from("rack-1")), ..service() };
    let oversized = with_memory(service(), TARGET_MIB + 1);
    for step in [backfill(1), labelled, oversized] {
        let (mut cell, runs) = full_cell(1, backfill(2));
        cell.accept("web", vec![step]);
        expect_that!(evicted(&mut cell, &runs), is_empty());
    }
}

#[gtest]
fn backfill_is_not_evicted_while_another_target_has_room() {
    let mut cell = Cell::new(2);
    cell.accept("fold", vec![backfill(2)]);
    let mut runs = start(&mut cell);
    cell.accept("web", vec![service()]);
    runs.extend(start(&mut cell));
    expect_that!(runs.len(), eq(3));
    cell.advance(Settings::default().eviction_delay);
    cell.list_progress(&runs, |_| 100);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.take_stops(), is_empty());
}

#[gtest]
fn lasting_backfill_starts_though_other_tasks_have_all_processor_time() {
    // Its processor time is not counted, so that it may not wait for the others to end.
    let mut cell = Cell::new(2);
    cell.accept("batch", vec![with_memory(Step { count: 16, ..small_step() }, 16)]);
    let mut runs = start(&mut cell);
    assert_that!(runs.len(), eq(16));
    cell.accept("fold", vec![with_memory(backfill(2), 16)]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Settings::default().eviction_delay);
    cell.list_progress(&runs, |_| 50);
    let fold = start(&mut cell);
    assert_that!(fold.len(), eq(2));
    // They share what is left unused.
    expect_that!(fold[0].target, not(eq(&fold[1].target)));
    runs.extend(fold);
    cell.list_progress(&runs, |_| 60);
    // It takes nothing from others.
    let ended = runs.remove(0);
    cell.end_run(&ended, End::Done);
    cell.accept("next", vec![with_memory(small_step(), 16)]);
    expect_that!(start(&mut cell).len(), eq(1));
}

#[gtest]
fn step_without_room_for_long_still_requests_advice_on_full_targets() {
    // Tickets have to be there by the time that a target has room.
    let mut cell = Cell::new(1);
    cell.planner.set_instances(4, cell.now);
    cell.add_queue("advised", Advice { request_us: 20_000, target_us: 100, valid_ms: 1500 });
    cell.accept("full", vec![Step { count: 8, ..small_step() }]);
    let running = start(&mut cell);
    cell.accept_in("advised", "waiting", vec![small_step()]);
    expect_that!(cell.decide_starts(), is_empty());
    let requests = cell.take_advice_requests();
    assert_that!(requests.len(), eq(1));
    cell.advance(Settings::default().eviction_delay);
    cell.list_progress(&running, |_| 10);
    let AdviceRequest { step, targets, .. } = &requests[0];
    cell.planner.advice_answered(step, targets, None, cell.now);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.take_advice_requests().len(), eq(1));
}

#[gtest]
fn late_start_of_the_step_keeps_other_tasks_off_the_reserved_target() {
    // It counts for the limit of tasks on one target.
    let (mut cell, runs) = full_cell(1, backfill(2));
    let max_per_target = Some(1);
    cell.accept("web", vec![Step { count: 2, max_per_target, ..service() }]);
    let stops = evicted(&mut cell, &runs);
    assert_that!(stops.len(), eq(1));
    // An order that was taken for refused is carried out after all.
    let step = StepKey { job: Name::from("web"), ..runs[0].task.step.clone() };
    let late = Start { task: TaskKey { step, index: 1 }, ..runs[0].clone() };
    let listed: Vec<Start> = runs.iter().cloned().chain([late]).collect();
    cell.list_progress(&listed, |_| 100);
    end_stopped(&mut cell, &runs, &stops[0]);
    expect_that!(cell.decide_starts(), is_empty());
}
