//! What a placer takes over from the one before.

use std::{collections::HashSet, time::Duration};

use googletest::prelude::*;
use plan::{Availability, StartAnswer};
use work::{End, JobState, Step};

use crate::cell::{ATTEMPTS, Cell, step};

#[gtest]
fn an_end_that_a_target_lists_again_after_a_takeover_counts_once() {
    // Seen as LOST on trouble-2 of pilares-sched: the failure was recorded, the
    // placer ended before the target was told to forget it, and the next placer
    // counted it again.
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.end(&starts[0], End::Failed);
    let mut next = cell.take_over();
    next.list_end_again(&starts[0], End::Failed);
    for _ in 1..ATTEMPTS {
        expect_that!(next.state("job"), not(eq(JobState::Failed)));
        let starts = next.decide_starts();
        expect_that!(starts.len(), eq(1));
        next.answer_all(&starts, &StartAnswer::Started);
        next.end(&starts[0], End::Failed);
    }
    next.record();
    expect_that!(next.state("job"), eq(JobState::Failed));
}

#[gtest]
fn a_team_stays_in_its_limit_while_a_takeover_does_not_know_all_runs() {
    let mut cell = Cell::new(4);
    cell.limit_team(5);
    cell.accept("job", vec![step(5)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_unheard();
    next.accept("other", vec![step(5)]);
    // The five may all run on a target that hasn't answered.
    expect_that!(next.decide_starts(), is_empty());
}

#[gtest]
fn a_successor_goes_on_at_once_with_what_does_not_run_on_silent_targets() {
    let mut cell = Cell::new(2);
    cell.accept("running", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.fall_silent(&starts[0].target);
    cell.accept("waiting", vec![step(1)]);
    let lost = starts[0].target.clone();
    let silent = cell.board.unreachable_targets(cell.now);
    let mut next = cell.take_over_unheard();
    for (target, runs) in &silent {
        next.board.adopt_unreachable(target, runs, next.now);
    }
    next.list_targets();
    next.hear_others(&lost);
    let starts = next.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("waiting"));
    next.answer_all(&starts, &StartAnswer::Started);
    next.end(&starts[0], End::Done);
    // The other one counts until its lease has surely lapsed.
    next.advance(Duration::from_secs(6));
    next.hear_others(&lost);
    expect_that!(next.decide_starts(), is_empty());
    next.advance(Duration::from_secs(1));
    next.hear_others(&lost);
    let starts = next.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("running"));
}

#[gtest]
fn a_closed_target_gets_nothing_until_it_is_recorded_as_open() {
    let mut cell = Cell::new(1);
    let silent = cell.fall_silent_and_close("target-0");
    expect_that!(silent, elements_are![eq("target-0")]);
    cell.hear_others("");
    cell.accept("job", vec![step(1)]);
    // The next placer would take it to have nothing.
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.is_closed_record_outdated(&silent), eq(true));
    expect_that!(cell.close_targets(), is_empty());
    cell.board.set_closed_targets(&HashSet::new());
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn a_target_that_is_silent_for_a_moment_is_not_closed() {
    let mut cell = Cell::new(1);
    cell.board.mark_unreachable("target-0");
    cell.board.count_unreachable();
    expect_that!(cell.close_targets(), is_empty());
    cell.hear_others("");
    cell.board.count_unreachable();
    cell.board.mark_unreachable("target-0");
    cell.board.count_unreachable();
    expect_that!(cell.close_targets(), is_empty());
}

#[gtest]
fn a_draining_target_is_closed_with_what_runs_there() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(2)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.list_targets_with(|facts| facts.availability = Availability::Draining);
    let closed = cell.close_targets();
    expect_that!(closed.len(), eq(1));
    expect_that!(closed[0].1.len(), eq(2));
    // An end that isn't recorded would be forgotten with it.
    cell.board.set_closed_targets(&HashSet::new());
    cell.end(&starts[0], End::Done);
    expect_that!(cell.close_targets(), is_empty());
    cell.record();
    expect_that!(cell.close_targets()[0].1.len(), eq(1));
}

#[gtest]
fn a_target_that_is_gone_for_good_is_not_recorded_as_closed() {
    let mut cell = Cell::new(2);
    let gone = "target-1";
    expect_that!(cell.fall_silent_and_close(gone), elements_are![eq(gone)]);
    cell.list_targets_without(gone);
    expect_that!(cell.is_closed_record_outdated(&[]), eq(false));
    expect_that!(cell.close_targets(), is_empty());
}

#[gtest]
fn an_adopted_run_lapses_though_its_placer_never_granted_a_lease() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_unheard();
    next.list_running(&starts);
    next.fall_silent(&starts[0].target);
    next.advance(Duration::from_secs(7));
    next.hear_others(&starts[0].target);
    expect_that!(next.decide_starts().len(), eq(1));
}

#[gtest]
fn a_gang_that_runs_goes_on_through_a_takeover() {
    // Seen on trouble-1 of anpgc-sched: each takeover stopped all gangs.
    let mut cell = Cell::new(2);
    cell.accept("gang", vec![Step { gang: true, ..step(3) }]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_unheard();
    next.list_running(&starts);
    next.hear_others(&starts[0].target);
    expect_that!(next.decide_starts(), is_empty());
    expect_that!(next.stops(), is_empty());
    next.end(&starts[1], End::Done);
    next.record();
    expect_that!(next.state("gang"), eq(JobState::Complete));
}

#[gtest]
fn what_is_being_stopped_takes_room_through_a_takeover() {
    // Seen as LIMIT on trouble-2 of pilares-sched: a cancelled job was removed
    // from the record while its runs were being stopped, so that the next placer
    // didn't know how much room they take.
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(8)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.cancel("job");
    cell.record();
    let mut next = cell.take_over_unheard();
    next.list_running(&starts);
    next.accept("other", vec![step(1)]);
    expect_that!(next.decide_starts(), is_empty());
    next.end(&starts[0], End::Stopped);
    expect_that!(next.decide_starts().len(), eq(1));
}
