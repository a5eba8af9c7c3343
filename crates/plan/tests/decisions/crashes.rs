//! Tasks under which targets crash.

use std::time::Duration;

use googletest::prelude::*;
use plan::{Availability, Start, StartAnswer};
use work::{End, JobState, Step};

use crate::cell::{Cell, step};

/// Number of crashed targets after which a task is given up.
const MAX_CRASHES: usize = 3;

/// Starts the only waiting task and returns the start.
fn start_one(cell: &mut Cell) -> Start {
    let starts = cell.decide_starts();
    assert_that!(starts.len(), eq(1));
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.advance(Duration::from_millis(300));
    starts[0].clone()
}

/// Starts the only waiting task, lets its target crash and answer again.
fn start_and_crash(cell: &mut Cell) {
    let start = start_one(cell);
    cell.restart_target(&start.target);
    cell.list_nothing(&start.target);
}

#[gtest]
fn task_is_given_up_after_three_targets_have_crashed_under_it() {
    for step in [step(1), Step { long_running: true, ..step(1) }, Step { gang: true, ..step(1) }] {
        let mut cell = Cell::new(6);
        cell.accept("job", vec![step]);
        for _ in 0..MAX_CRASHES {
            start_and_crash(&mut cell);
        }
        expect_that!(cell.decide_starts(), is_empty());
        cell.record();
        expect_that!(cell.state("job"), eq(JobState::Failed));
    }
}

#[gtest]
fn crashes_of_targets_are_remembered_by_the_next_placer() {
    let mut cell = Cell::new(6);
    cell.accept("job", vec![step(1)]);
    for _ in 1..MAX_CRASHES {
        start_and_crash(&mut cell);
    }
    let mut cell = cell.take_over();
    start_and_crash(&mut cell);
    expect_that!(cell.decide_starts(), is_empty());
    cell.record();
    expect_that!(cell.state("job"), eq(JobState::Failed));
}

#[gtest]
fn crash_during_an_unanswered_start_counts() {
    let mut cell = Cell::new(6);
    cell.accept("job", vec![step(1)]);
    for _ in 0..MAX_CRASHES {
        let starts = cell.decide_starts();
        expect_that!(starts.len(), eq(1));
        cell.answer_starts(&starts, &StartAnswer::Unknown);
        cell.advance(Duration::from_millis(300));
        cell.restart_target(&starts[0].target);
        cell.list_nothing(&starts[0].target);
        cell.answer_stop(&starts[0]);
        cell.advance(Duration::from_millis(300));
        cell.list_nothing(&starts[0].target);
    }
    expect_that!(cell.decide_starts(), is_empty());
    cell.record();
    expect_that!(cell.state("job"), eq(JobState::Failed));
}

/// Lets the lease of a run's target expire without an answer, and returns the
/// next start of the task.
fn lapse_and_start_again(cell: &mut Cell, start: &Start) -> Start {
    cell.make_unreachable(&start.target);
    cell.advance(Duration::from_secs(7));
    cell.list_nothing_on_others(&start.target);
    start_one(cell)
}

#[gtest]
fn crash_counts_if_the_target_is_back_after_its_lease_or_under_another_id() {
    let mut cell = Cell::new(6);
    cell.accept("job", vec![step(1)]);
    let first = start_one(&mut cell);
    cell.planner.target_replaced(&first.target, cell.now);
    let second = lapse_and_start_again(&mut cell, &first);
    let third = lapse_and_start_again(&mut cell, &second);
    cell.planner.target_replaced(&second.target, cell.now);
    let fourth = lapse_and_start_again(&mut cell, &third);
    expect_that!(cell.state("job"), eq(JobState::Active));
    cell.restart_target(&third.target);
    cell.list_nothing(&third.target);
    expect_that!(cell.take_stops().len(), eq(1));
    cell.end_run(&fourth, End::Stopped);
    expect_that!(cell.decide_starts(), is_empty());
    cell.record();
    expect_that!(cell.state("job"), eq(JobState::Failed));
}

#[gtest]
fn cuts_and_departures_of_targets_are_no_crashes() {
    let mut cell = Cell::new(6);
    cell.accept("job", vec![step(1)]);
    let mut start = start_one(&mut cell);
    for _ in 0..MAX_CRASHES {
        let next = lapse_and_start_again(&mut cell, &start);
        cell.list_nothing(&start.target);
        // The next target drains and is replaced at its address.
        cell.update_targets(|info| {
            if info.id == next.target {
                info.availability = Availability::Draining;
            }
        });
        cell.unlist_target(&next.target);
        cell.planner.target_replaced(&next.target, cell.now);
        start = lapse_and_start_again(&mut cell, &next);
        cell.list_targets();
    }
    expect_that!(cell.state("job"), eq(JobState::Active));
}

#[gtest]
fn run_that_lasts_clears_the_crashes_of_its_task() {
    let mut cell = Cell::new(6);
    cell.accept("job", vec![Step { long_running: true, ..step(1) }]);
    for _ in 0..2 * MAX_CRASHES {
        let start = start_one(&mut cell);
        for _ in 0..30 {
            cell.advance(Duration::from_secs(2));
            cell.list_running(std::slice::from_ref(&start));
        }
        cell.restart_target(&start.target);
        cell.list_nothing(&start.target);
        cell.list_nothing_on_others(&start.target);
    }
    expect_that!(cell.state("job"), eq(JobState::Active));
}

#[gtest]
fn tasks_that_were_on_a_crashed_target_are_kept_apart() {
    let mut cell = Cell::new(6);
    cell.accept("first", vec![step(1)]);
    cell.accept("second", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    expect_that!(starts[0].target, eq(&starts[1].target));
    cell.advance(Duration::from_millis(300));
    cell.restart_target(&starts[0].target);
    cell.list_nothing(&starts[0].target);
    let again = cell.decide_starts();
    expect_that!(again.len(), eq(2));
    expect_that!(again[0].target, not(eq(&again[1].target)));
}
