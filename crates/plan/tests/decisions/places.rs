//! Where work may go.

use std::time::Duration;

use base::Name;
use googletest::prelude::*;
use plan::{Availability, StartAnswer, TargetInfo};
use work::{End, Step};

use crate::cell::{Cell, step};

/// A cell of three targets, of which this one says something else of itself.
fn cell_with(change: impl Fn(&mut TargetInfo)) -> Cell {
    let mut cell = Cell::new(3);
    cell.list_targets_with(|facts| {
        if &*facts.id == "target-1" {
            change(facts);
        }
    });
    cell
}

#[gtest]
fn a_target_that_drains_gets_nothing_more_and_its_runs_go_on() {
    let mut cell = Cell::new(1);
    cell.accept("before", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.list_targets_with(|facts| facts.availability = Availability::Draining);
    cell.accept("after", vec![step(1)]);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.stops(), is_empty());
    // Another one does not drain.
    cell.list_targets_with(|_| {});
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn a_target_that_is_no_longer_listed_gets_nothing_more() {
    let mut cell = cell_with(|_| {});
    cell.list_targets_without("target-1");
    cell.accept("job", vec![step(24)]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(16));
    expect_true!(starts.iter().all(|start| &*start.target != "target-1"));
}

#[gtest]
fn tasks_run_in_the_pool_of_their_queue() {
    let mut cell = cell_with(|facts| facts.service = Name::from("another pool"));
    cell.accept("job", vec![step(24)]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(16));
    expect_true!(starts.iter().all(|start| &*start.target != "target-1"));
}

#[gtest]
fn tasks_run_where_the_label_is_that_they_need() {
    let mut cell = cell_with(|facts| facts.labels.push(Name::from("fast")));
    let needs_label = Step { label: Some(Name::from("fast")), ..step(10) };
    cell.accept("job", vec![needs_label]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(8));
    expect_true!(starts.iter().all(|start| &*start.target == "target-1"));
}

#[gtest]
fn no_more_tasks_of_a_step_run_on_a_target_than_may() {
    let mut cell = cell_with(|_| {});
    let spread = Step { max_per_target: Some(2), ..step(10) };
    cell.accept("job", vec![spread]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(6));
    cell.answer_all(&starts, &StartAnswer::Started);
    // What has ended there makes room for one more.
    cell.end(&starts[0], End::Done);
    let next = cell.decide_starts();
    expect_that!(next.len(), eq(1));
    expect_that!(next[0].target, eq(&starts[0].target));
}

#[gtest]
fn occurrences_start_when_they_are_due_and_may_overlap() {
    // Shorter than the lease of the run before.
    const INTERVAL: Duration = Duration::from_secs(4);
    let mut cell = Cell::new(3);
    cell.accept_scheduled("job", vec![step(1)], INTERVAL, 2);
    // The first is due one interval after the job came.
    cell.advance(INTERVAL - Duration::from_millis(1));
    cell.hear_others("");
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_millis(1));
    let first = cell.decide_starts();
    expect_that!(first.len(), eq(1));
    cell.answer_all(&first, &StartAnswer::Started);
    cell.advance(INTERVAL);
    cell.hear_running(&first);
    let second = cell.decide_starts();
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].task.step.occurrence, eq(1));
}
