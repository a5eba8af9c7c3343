//! Targets that do not do as they are told.

use std::time::Duration;

use googletest::prelude::*;
use plan::{Refusal, StartAnswer};
use work::{End, JobState, Step};

use crate::cell::{Cell, step};

#[gtest]
fn an_unanswered_start_is_stopped_and_repeated_only_when_it_is_surely_gone() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Unknown);
    // It may be there: a listing that lacks it makes the difference.
    expect_that!(cell.stops(), is_empty());
    cell.list_nothing(&starts[0].target);
    expect_that!(cell.stops().len(), eq(1));
    cell.advance(Duration::from_millis(50));
    // Listings without it prove nothing while the stop isn't answered.
    cell.list_nothing(&starts[0].target);
    expect_that!(cell.decide_starts(), is_empty());
    cell.stop_answered(&starts[0]);
    cell.advance(Duration::from_millis(50));
    cell.list_nothing(&starts[0].target);
    let again = cell.decide_starts();
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].run, gt(starts[0].run));
}

#[gtest]
fn a_run_on_a_silent_target_counts_until_its_lease_has_lapsed() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.fall_silent(&starts[0].target);
    cell.advance(Duration::from_secs(6));
    cell.hear_others(&starts[0].target);
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_millis(500));
    cell.hear_others(&starts[0].target);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn a_refused_start_waits_for_a_listing_of_its_target() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Refused(Refusal::Unable));
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_millis(50));
    cell.list_nothing(&starts[0].target);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn an_unanswered_start_that_is_listed_goes_on() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Unknown);
    cell.list_running(&starts);
    expect_that!(cell.stops(), is_empty());
    cell.end(&starts[0], End::Done);
    cell.record();
    expect_that!(cell.state("job"), eq(JobState::Complete));
}

#[gtest]
fn what_is_recorded_of_one_life_of_a_target_says_nothing_of_the_next() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(3)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.end(&starts[0], End::Done);
    cell.end(&starts[1], End::Done);
    let batch = cell.board.take_batch(cell.now).expect("there are ends to record");
    cell.be_born_again(&starts[0].target);
    cell.end(&starts[2], End::Done);
    cell.board.batch_recorded(batch);
    expect_that!(cell.board.recorded_end(&starts[0].target), eq(0));
}

#[gtest]
fn a_stop_that_is_answered_again_settles_a_run_all_the_same() {
    // Seen as LOST on mix days of both sites with late orders: each further
    // answer put off the listing that would have shown that the run is gone.
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Unknown);
    cell.list_nothing(&starts[0].target);
    cell.stop_answered(&starts[0]);
    let asked = cell.now + Duration::from_millis(100);
    cell.advance(Duration::from_millis(600));
    cell.stop_answered(&starts[0]);
    cell.list_nothing_as_of(&starts[0].target, asked);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn a_target_whose_tasks_advance_slowly_gets_no_more_of_them() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(12)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    let slow = starts[0].target.clone();
    for tenth in 1..8 {
        cell.advance(Duration::from_millis(750));
        // Estimated at one second: the others take that, these eight times it.
        cell.list_progress(
            &starts,
            |target| if *target == slow { tenth * 9 } else { (tenth * 75).min(99) },
        );
    }
    cell.accept("next", vec![step(4)]);
    let next = cell.decide_starts();
    expect_that!(next.iter().filter(|start| start.target == slow).count(), eq(0));
}

#[gtest]
fn a_run_that_stands_still_is_moved_elsewhere() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(2)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    for _ in 0..6 {
        cell.advance(Duration::from_millis(750));
        cell.list_progress(&starts, |_| 40);
    }
    expect_that!(cell.stops().len(), ge(2));
}

#[gtest]
fn a_target_that_fails_what_it_starts_gets_little_more() {
    let mut cell = Cell::new(2);
    for number in 0..3 {
        cell.accept(&format!("job-{number}"), vec![step(1)]);
    }
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    let failing = starts[0].target.clone();
    for start in starts.iter().filter(|start| start.target == failing) {
        cell.end(start, End::Failed);
    }
    cell.accept("next", vec![step(3)]);
    let next = cell.decide_starts();
    expect_that!(next.iter().filter(|start| start.target == failing).count(), eq(0));
    cell.advance(Duration::from_secs(4));
    cell.list_nothing(&failing);
    cell.accept("probe", vec![step(8)]);
    let next = cell.decide_starts();
    expect_that!(next.iter().filter(|start| start.target == failing).count(), le(1));
}

#[gtest]
fn what_fills_is_never_beside_what_it_would_harm() {
    let mut cell = Cell::new(2);
    cell.accept("serving", vec![Step { latency_goal_ms: Some(50), long_running: true, ..step(2) }]);
    let serving = cell.decide_starts();
    cell.answer_all(&serving, &StartAnswer::Started);
    cell.accept("filling", vec![Step { is_backfill: true, ..step(16) }]);
    let filling = cell.decide_starts();
    expect_that!(filling.len(), eq(8));
    for start in &filling {
        expect_that!(start.target, not(eq(&serving[0].target)));
    }
}

#[gtest]
fn a_target_with_runs_of_unknown_jobs_gets_nothing_until_they_are_gone() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(8)]);
    let starts = cell.decide_starts();
    let mut other = Cell::new(1);
    other.list_running(&starts);
    other.accept("other", vec![step(1)]);
    expect_that!(other.decide_starts(), is_empty());
    other.list_nothing(&starts[0].target);
    expect_that!(other.decide_starts().len(), eq(1));
}
