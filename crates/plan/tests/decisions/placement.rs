//! Choice of targets for tasks.

use std::time::Duration;

use base::Name;
use googletest::prelude::*;
use plan::{Availability, Start, StartAnswer, TargetInfo};
use work::{End, Step};

use crate::cell::{Cell, step};

/// Returns a cell with three targets; `change` alters the description of the
/// second one.
fn cell_with(change: impl Fn(&mut TargetInfo)) -> Cell {
    let mut cell = Cell::new(3);
    cell.update_targets(|info| {
        if &*info.id == "target-1" {
            change(info);
        }
    });
    cell
}

#[gtest]
fn draining_target_gets_no_work_and_keeps_its_runs() {
    let mut cell = Cell::new(1);
    cell.accept("before", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.update_targets(|info| info.availability = Availability::Draining);
    cell.accept("after", vec![step(1)]);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.take_stops(), is_empty());
    // The target no longer drains.
    cell.update_targets(|_| {});
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn unlisted_target_gets_no_work() {
    let mut cell = cell_with(|_| {});
    cell.unlist_target("target-1");
    cell.accept("job", vec![step(24)]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(16));
    expect_true!(starts.iter().all(|start| &*start.target != "target-1"));
}

#[gtest]
fn tasks_run_in_the_pool_of_their_queue() {
    let mut cell = cell_with(|info| info.service = Name::from("another pool"));
    cell.accept("job", vec![step(24)]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(16));
    expect_true!(starts.iter().all(|start| &*start.target != "target-1"));
}

#[gtest]
fn tasks_run_only_on_targets_with_their_label() {
    let mut cell = cell_with(|info| info.labels.push(Name::from("fast")));
    let needs_label = Step { label: Some(Name::from("fast")), ..step(10) };
    cell.accept("job", vec![needs_label]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(8));
    expect_true!(starts.iter().all(|start| &*start.target == "target-1"));
}

#[gtest]
fn tasks_of_a_step_per_target_stay_within_the_limit() {
    let mut cell = cell_with(|_| {});
    let spread = Step { max_per_target: Some(2), ..step(10) };
    cell.accept("job", vec![spread]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(6));
    cell.answer_starts(&starts, &StartAnswer::Started);
    // The end of a run makes room for one more task there.
    cell.end_run(&starts[0], End::Done);
    let next = cell.decide_starts();
    expect_that!(next.len(), eq(1));
    expect_that!(next[0].target, eq(&starts[0].target));
}

#[gtest]
fn occurrences_start_when_they_are_due_and_may_overlap() {
    // Shorter than the lease of the previous run.
    const INTERVAL: Duration = Duration::from_secs(4);
    let mut cell = Cell::new(3);
    cell.accept_scheduled("job", vec![step(1)], INTERVAL, 2);
    // The first occurrence is due one interval after the job was accepted.
    cell.advance(INTERVAL - Duration::from_millis(1));
    cell.list_nothing_on_others("");
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_millis(1));
    let first = cell.decide_starts();
    expect_that!(first.len(), eq(1));
    cell.answer_starts(&first, &StartAnswer::Started);
    cell.advance(INTERVAL);
    cell.list_as_complete(&first);
    let second = cell.decide_starts();
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].task.step.occurrence, eq(1));
}

#[gtest]
fn stopped_run_of_a_task_that_is_done_counts_towards_the_limit_per_target() {
    // A third task was placed beside it (review/seen-2/route-day.toml).
    let mut cell = Cell::new(2);
    cell.accept("job", vec![Step { max_per_target: Some(1), ..step(3) }]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(2));
    cell.answer_starts(&starts, &StartAnswer::Started);
    let (lost, other) = (&starts[0], &starts[1]);
    cell.make_unreachable(&lost.target);
    cell.advance(Duration::from_secs(7));
    cell.end_run(other, End::Done);
    cell.list_nothing(&other.target);
    let again = cell.decide_starts();
    cell.answer_starts(&again, &StartAnswer::Started);
    assert_that!(again.len(), eq(1));
    expect_that!((&again[0].task, &again[0].target), eq((&lost.task, &other.target)));
    // The first run was done after all, so the second one is stopped.
    cell.end_run(lost, End::Done);
    cell.make_unreachable(&lost.target);
    expect_that!(cell.decide_starts(), is_empty());
    cell.end_run(&again[0], End::Stopped);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn listed_run_of_a_task_that_is_done_counts_after_a_takeover() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![Step { max_per_target: Some(1), ..step(2) }]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.end_run(&starts[0], End::Done);
    let mut next = cell.take_over();
    let later = Start { run: starts[0].run + 1, ..starts[0].clone() };
    next.list_running(std::slice::from_ref(&later));
    expect_that!(next.decide_starts(), is_empty());
    expect_that!(next.take_stops().len(), eq(1));
    next.end_run(&later, End::Stopped);
    expect_that!(next.decide_starts().len(), eq(1));
}
