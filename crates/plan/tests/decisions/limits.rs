//! Limits of teams, while runs may exist that no target has listed.

use std::time::Duration;

use googletest::prelude::*;
use plan::{Start, StartAnswer};
use work::{End, Step};

use crate::cell::{Cell, step};

/// Number of small tasks that fit on a target.
const ROOM: u32 = 8;

/// Time after which leases of an earlier placer have expired.
const LAPSE: Duration = Duration::from_secs(7);

fn start_all(cell: &mut Cell) -> Vec<Start> {
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    starts
}

/// Returns a cell whose team may have a number of tasks running. Another team fills
/// the first target, which always answers.
fn limited_cell(tasks: u32) -> Cell {
    let mut cell = Cell::new(6);
    cell.limit_team(tasks);
    cell.accept_from_other_team("filler", vec![step(ROOM)]);
    start_all(&mut cell);
    cell
}

/// Returns a cell whose team has as many tasks running as it may have, all on a
/// target that falls silent.
fn full_team() -> (Cell, Vec<Start>) {
    let mut cell = limited_cell(ROOM);
    cell.accept("job", vec![step(ROOM)]);
    let starts = start_all(&mut cell);
    assert_that!(starts.len(), eq(ROOM as usize));
    (cell, starts)
}

/// Returns the number of starts of a job.
fn count(starts: &[Start], job: &str) -> usize {
    starts.iter().filter(|start| &*start.task.step.job == job).count()
}

/// Lets all targets but those of these runs list nothing.
fn list_others(cell: &mut Cell, silent: &[Start]) {
    list_all_but(cell, &silent[0].target);
}

fn list_all_but(cell: &mut Cell, silent: &str) {
    cell.list_nothing_on_others(silent);
}

/// Expects that the team may start nothing until the silent target counts no longer.
fn expect_no_room_until_lapse(cell: &mut Cell, silent: &[Start]) {
    cell.accept("later", vec![step(ROOM)]);
    list_others(cell, silent);
    expect_that!(count(&cell.decide_starts(), "later"), eq(0));
    cell.advance(LAPSE);
    list_others(cell, silent);
    expect_that!(count(&cell.decide_starts(), "later"), eq(ROOM as usize));
}

#[gtest]
fn runs_of_a_cancelled_job_on_a_silent_target_count_after_a_kill() {
    // The team had twice its limit running (review/12).
    let (mut cell, starts) = full_team();
    cell.cancel("job");
    cell.record();
    let mut next = cell.take_over_without_listings();
    expect_no_room_until_lapse(&mut next, &starts);
}

#[gtest]
fn runs_of_a_job_that_is_cancelled_after_a_kill_count() {
    let (cell, starts) = full_team();
    let mut next = cell.take_over_without_listings();
    next.cancel("job");
    expect_no_room_until_lapse(&mut next, &starts);
}

#[gtest]
fn runs_of_a_job_that_is_cancelled_after_a_kill_count_after_another() {
    // The job was removed from the store with its end, although its runs were not known.
    let (cell, starts) = full_team();
    let mut next = cell.take_over_without_listings();
    next.cancel("job");
    next.record();
    let mut last = next.take_over_without_listings();
    expect_no_room_until_lapse(&mut last, &starts);
}

#[gtest]
fn runs_of_a_failed_job_on_a_silent_target_count_after_a_kill() {
    let (mut cell, mut starts) = full_team();
    let mut failing = starts.remove(0);
    for _ in 1..crate::cell::ATTEMPTS {
        cell.end_run(&failing, End::Failed);
        failing = start_all(&mut cell).remove(0);
    }
    cell.end_run(&failing, End::Failed);
    cell.record();
    let mut next = cell.take_over_without_listings();
    next.accept("later", vec![step(ROOM)]);
    list_others(&mut next, &starts);
    // All others may still run; the failed one counts as well, as it may be on a target
    // of an earlier attempt.
    expect_that!(count(&next.decide_starts(), "later"), eq(0));
}

#[gtest]
fn runs_of_an_ended_job_that_are_handed_over_count() {
    let (mut cell, starts) = full_team();
    cell.cancel("job");
    cell.record();
    let holdings = cell.planner.holdings(cell.now);
    let mut next = cell.take_over_with_holdings(&[], holdings);
    expect_no_room_until_lapse(&mut next, &starts);
}

#[gtest]
fn runs_that_are_handed_over_of_known_jobs_only_count() {
    // The second leader knows its own jobs, and no other runs on the silent target.
    let mut cell = limited_cell(ROOM).take_over_without_listings();
    list_all_but(&mut cell, "target-5");
    cell.accept("job", vec![step(ROOM)]);
    let starts = start_all(&mut cell);
    cell.cancel("job");
    cell.record();
    let holdings = cell.planner.holdings(cell.now);
    let mut next = cell.take_over_with_holdings(&[], holdings);
    expect_no_room_until_lapse(&mut next, &starts);
}

#[gtest]
fn runs_of_a_step_that_is_not_open_by_the_record_count() {
    let mut cell = limited_cell(ROOM);
    let second = Step { after: [0].into_iter().collect(), ..step(ROOM) };
    cell.accept("job", vec![step(1), second]);
    let first = start_all(&mut cell);
    cell.end_run(&first[0], End::Done);
    let starts = start_all(&mut cell);
    assert_that!(starts.len(), eq(ROOM as usize));
    // The end is not recorded.
    let mut next = cell.take_over_without_listings();
    // The first task would start again where it is listed as ended.
    list_others(&mut next, &starts);
    next.accept("later", vec![step(ROOM)]);
    expect_that!(count(&next.decide_starts(), "later"), eq(0));
}

#[gtest]
fn silent_target_holds_no_more_of_a_limit_than_its_capacity() {
    let mut cell = limited_cell(3 * ROOM);
    cell.accept("job", vec![step(ROOM)]);
    let starts = start_all(&mut cell);
    for number in 0..4 {
        cell.accept(&format!("cancelled-{number}"), vec![step(20 * ROOM)]);
        cell.accept(&format!("waiting-{number}"), vec![step(20 * ROOM)]);
    }
    let mut next = cell.take_over_without_listings();
    for number in 0..4 {
        next.cancel(&format!("cancelled-{number}"));
    }
    list_others(&mut next, &starts);
    next.accept("later", vec![step(3 * ROOM)]);
    expect_that!(count(&next.decide_starts(), "later"), eq(2 * ROOM as usize));
}

#[gtest]
fn target_that_has_shrunk_counts_as_large_as_others_of_its_pool() {
    let (mut cell, starts) = full_team();
    cell.cancel("job");
    cell.record();
    let mut next = cell.take_over_without_listings();
    next.update_targets(|info| {
        if info.id == starts[0].target {
            info.capacity = step(1).size;
        }
    });
    next.accept("later", vec![step(ROOM)]);
    list_others(&mut next, &starts);
    expect_that!(count(&next.decide_starts(), "later"), eq(0));
}

#[gtest]
fn listed_runs_are_charged_once() {
    let (mut cell, starts) = full_team();
    cell.limit_team(2 * ROOM);
    cell.cancel("job");
    cell.record();
    let mut next = cell.take_over_without_listings();
    next.accept("later", vec![step(2 * ROOM)]);
    list_others(&mut next, &starts);
    expect_that!(count(&next.decide_starts(), "later"), eq(ROOM as usize));
    next.list_running(&starts);
    expect_that!(count(&next.decide_starts(), "later"), eq(0));
    for start in &starts {
        next.end_run(start, End::Stopped);
    }
    expect_that!(count(&next.decide_starts(), "later"), eq(ROOM as usize));
}
