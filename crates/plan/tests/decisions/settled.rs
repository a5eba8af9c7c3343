//! Full targets that are recorded as closed with their runs.

use std::time::Duration;

use base::Name;
use googletest::prelude::*;
use plan::{ClosedTarget, Start, StartAnswer};
use work::{End, Step};

use crate::cell::{Cell, small_step, step};

/// Time after which leases of an earlier placer have expired.
const LAPSE: Duration = Duration::from_secs(7);

/// Time after which a late order for an earlier process has lapsed as well.
const LONGEST_LAPSE: Duration = Duration::from_secs(23);

/// Returns a step with `count` tasks of 6 s, each as large as a target.
fn large_step(count: u32) -> Step {
    Step { size: small_step().size * 8, estimate_ms: 6000, ..step(count) }
}

/// Returns a cell in which a job has just taken all targets.
fn full_cell(targets: u32, step: Step) -> (Cell, Vec<Start>) {
    let mut cell = Cell::new(targets);
    cell.accept("running", vec![step]);
    let starts = cell.decide_starts();
    assert_that!(starts.len(), eq(targets as usize));
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.advance(Duration::from_millis(300));
    cell.list_running(&starts);
    (cell, starts)
}

fn names(closed: &[ClosedTarget]) -> Vec<&str> {
    closed.iter().map(|(name, _)| &**name).collect()
}

/// Returns the jobs of these starts.
fn jobs(starts: &[Start]) -> Vec<&str> {
    starts.iter().map(|start| &*start.task.step.job).collect()
}

/// Lets the leader be killed and the target of the last run restart and be lost, while
/// another job waits. The other runs are done.
fn lose_a_full_target() -> (Cell, Start) {
    let (mut cell, mut starts) = full_cell(4, large_step(4));
    cell.accept("waiting", vec![step(4)]);
    expect_that!(cell.decide_starts(), is_empty());
    let closed = cell.close_targets();
    expect_that!(closed.len(), eq(4));
    let mut next = cell.take_over_with_closed(&closed);
    let lost = starts.remove(3);
    next.restart_target(&lost.target);
    next.list_processes();
    next.list_running(&starts);
    for start in &starts {
        next.end_run(start, End::Done);
    }
    (next, lost)
}

#[gtest]
fn job_that_waited_for_room_does_not_wait_for_a_full_target_that_is_lost() {
    // It waited 22.5 s for late orders that could not be of its tasks (review/15).
    let (mut cell, _) = lose_a_full_target();
    expect_that!(jobs(&cell.decide_starts()), container_eq(["waiting"; 4]));
}

#[gtest]
fn run_that_a_lost_target_had_listed_starts_again_after_the_lease() {
    let (mut cell, lost) = lose_a_full_target();
    cell.decide_starts();
    cell.advance(LAPSE);
    cell.list_nothing_on_others(&lost.target);
    let again = cell.decide_starts();
    expect_that!(again.iter().any(|start| start.task == lost.task), eq(true));
}

#[gtest]
fn run_that_a_lost_target_had_not_listed_waits_for_late_orders() {
    let (mut cell, starts) = full_cell(4, large_step(4));
    let lost = starts[3].clone();
    let mut closed: Vec<ClosedTarget> = Vec::new();
    // The target falls silent and is closed with a run that it has not listed.
    cell.planner.mark_unreachable(&lost.target);
    let all = cell.planner.unreachable_targets(cell.now);
    closed.extend(all);
    let mut next = cell.take_over_with_closed(&closed);
    next.restart_target(&lost.target);
    next.list_processes();
    next.advance(LAPSE);
    next.list_running(&starts[..3]);
    next.decide_starts();
    for start in &starts[..3] {
        next.end_run(start, End::Done);
    }
    expect_that!(next.decide_starts(), is_empty());
    next.advance(LONGEST_LAPSE);
    next.list_nothing_on_others(&lost.target);
    expect_that!(next.decide_starts().len(), eq(1));
}

#[gtest]
fn target_is_closed_only_while_it_is_full_and_its_runs_last() {
    let (mut cell, starts) = full_cell(2, large_step(2));
    cell.advance(Duration::from_secs(1));
    expect_that!(cell.is_closed_record_outdated(&[]), eq(true));
    // Two thirds are done: 2 s are left.
    cell.advance(Duration::from_secs(1));
    cell.list_progress(&starts, |_| 67);
    expect_that!(cell.is_closed_record_outdated(&[]), eq(false));
    expect_that!(cell.close_targets(), is_empty());
    // A smaller task would have room beside others.
    let (mut cell, _) = full_cell(2, Step { size: small_step().size * 7, ..large_step(2) });
    expect_that!(cell.close_targets().len(), eq(2));
    cell.accept("small", vec![step(1)]);
    expect_that!(cell.is_closed_record_outdated(&["target-0".to_owned()]), eq(true));
    expect_that!(cell.close_targets(), is_empty());
}

#[gtest]
fn target_is_opened_before_its_first_run_ends() {
    let (mut cell, starts) = full_cell(2, large_step(2));
    let closed = cell.close_targets();
    let recorded: Vec<String> = names(&closed).into_iter().map(str::to_owned).collect();
    expect_that!(recorded.len(), eq(2));
    cell.advance(Duration::from_secs(2));
    cell.list_progress(&starts, |_| 50);
    expect_that!(cell.is_closed_record_outdated(&recorded), eq(false));
    cell.advance(Duration::from_secs(2));
    cell.list_progress(&starts, |_| 80);
    expect_that!(cell.is_closed_record_outdated(&recorded), eq(true));
    expect_that!(cell.close_targets(), is_empty());
}

#[gtest]
fn room_on_a_closed_target_is_used_once_the_target_is_recorded_as_open() {
    let (mut cell, starts) = full_cell(2, large_step(2));
    cell.close_targets();
    expect_that!(cell.planner.awaits_opening(cell.now), eq(false));
    // A run ends long before its estimate.
    cell.end_run(&starts[0], End::Done);
    expect_that!(cell.planner.awaits_opening(cell.now), eq(false));
    cell.accept("next", vec![step(1)]);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.planner.awaits_opening(cell.now), eq(true));
    let closed = cell.close_targets().into_iter().map(|(name, _)| name).collect();
    cell.planner.set_closed_targets(&closed);
    let next = cell.decide_starts();
    expect_that!(jobs(&next), eq(&vec!["next"]));
    expect_that!(next[0].target, eq(&starts[0].target));
}

#[gtest]
fn gang_preempts_runs_on_closed_targets() {
    let mut cell = Cell::new(2);
    cell.add_low_priority_queue("batch", Duration::from_secs(60));
    let batch = Step { checkpoints: true, ..large_step(2) };
    cell.accept_in("batch", "batch", vec![batch]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.advance(Duration::from_millis(300));
    cell.list_running(&starts);
    expect_that!(cell.close_targets().len(), eq(2));
    cell.accept("gang", vec![Step { gang: true, ..step(8) }]);
    cell.decide_starts();
    let stops = cell.take_stops();
    expect_that!(stops.len(), ge(1));
    for start in starts.iter().filter(|start| stops.iter().any(|stop| stop.task == start.task)) {
        cell.end_run(start, End::Stopped);
    }
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.planner.awaits_opening(cell.now), eq(true));
    let closed = cell.close_targets().into_iter().map(|(name, _)| name).collect();
    cell.planner.set_closed_targets(&closed);
    expect_that!(jobs(&cell.decide_starts()), eq(&vec!["gang"; 8]));
}

#[gtest]
fn unavailable_targets_come_before_full_ones_in_the_record() {
    let settings = plan::Settings { max_closed_runs: 1, ..plan::Settings::default() };
    let mut cell = Cell::with_settings(2, settings);
    cell.accept("running", vec![large_step(2)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.advance(Duration::from_millis(300));
    cell.list_running(&starts);
    let closed = cell.make_unreachable_and_close("target-1");
    expect_that!(closed, elements_are![eq("target-1")]);
    expect_that!(cell.close_targets()[0].0, eq(&Name::from("target-1")));
}
