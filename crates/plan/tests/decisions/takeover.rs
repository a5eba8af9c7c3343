//! Takeover of jobs and targets by a new placer.

use std::{collections::HashSet, time::Duration};

use base::Name;
use googletest::prelude::*;
use plan::{Availability, ClosedTarget, Start, StartAnswer, Stop};
use work::{End, JobState, Step};

use crate::cell::{ATTEMPTS, Cell, step};

#[gtest]
fn failure_listed_again_after_a_takeover_counts_once() {
    // A failure was recorded, the placer ended before the target was told to
    // forget it, and the next placer counted it again. The job was then lost
    // (trouble-2 of pilares-sched).
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.end_run(&starts[0], End::Failed);
    let mut next = cell.take_over();
    next.list_end_again(&starts[0], End::Failed);
    for _ in 1..ATTEMPTS {
        expect_that!(next.state("job"), not(eq(JobState::Failed)));
        let starts = next.decide_starts();
        expect_that!(starts.len(), eq(1));
        next.answer_starts(&starts, &StartAnswer::Started);
        next.end_run(&starts[0], End::Failed);
    }
    next.record();
    expect_that!(next.state("job"), eq(JobState::Failed));
}

#[gtest]
fn team_stays_within_its_limit_while_runs_are_unknown_after_a_takeover() {
    let mut cell = Cell::new(4);
    cell.limit_team(5);
    cell.accept("job", vec![step(5)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_without_listings();
    next.accept("other", vec![step(5)]);
    // All five tasks may still run on a target that has not answered.
    expect_that!(next.decide_starts(), is_empty());
}

#[gtest]
fn new_placer_continues_at_once_with_jobs_not_on_unreachable_targets() {
    let mut cell = Cell::new(2);
    cell.accept("running", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.make_unreachable(&starts[0].target);
    cell.accept("waiting", vec![step(1)]);
    let lost = starts[0].target.clone();
    let unreachable = cell.planner.unreachable_targets(cell.now);
    let mut next = cell.take_over_without_listings();
    for (target, runs) in &unreachable {
        next.planner.adopt_unreachable(target, runs, next.now);
    }
    next.list_targets();
    next.list_nothing_on_others(&lost);
    let starts = next.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("waiting"));
    next.answer_starts(&starts, &StartAnswer::Started);
    next.end_run(&starts[0], End::Done);
    // The other run counts until its lease has expired.
    next.advance(Duration::from_secs(6));
    next.list_nothing_on_others(&lost);
    expect_that!(next.decide_starts(), is_empty());
    next.advance(Duration::from_secs(1));
    next.list_nothing_on_others(&lost);
    let starts = next.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("running"));
}

#[gtest]
fn closed_target_gets_no_work_until_it_is_recorded_as_open() {
    let mut cell = Cell::new(1);
    let closed = cell.make_unreachable_and_close("target-0");
    expect_that!(closed, elements_are![eq("target-0")]);
    cell.list_nothing_on_others("");
    cell.accept("job", vec![step(1)]);
    // The next placer would assume that the target has no runs.
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.is_closed_record_outdated(&closed), eq(true));
    expect_that!(cell.close_targets(), is_empty());
    cell.planner.set_closed_targets(&HashSet::new());
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn briefly_unreachable_target_is_not_closed() {
    let mut cell = Cell::new(1);
    cell.planner.mark_unreachable("target-0");
    cell.planner.count_unreachable();
    expect_that!(cell.close_targets(), is_empty());
    cell.list_nothing_on_others("");
    cell.planner.count_unreachable();
    cell.planner.mark_unreachable("target-0");
    cell.planner.count_unreachable();
    expect_that!(cell.close_targets(), is_empty());
}

#[gtest]
fn draining_target_is_closed_with_its_runs() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(2)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.update_targets(|info| info.availability = Availability::Draining);
    let closed = cell.close_targets();
    expect_that!(closed.len(), eq(1));
    expect_that!(closed[0].1.len(), eq(2));
    // An unrecorded end would be lost when the target is closed.
    cell.planner.set_closed_targets(&HashSet::new());
    cell.end_run(&starts[0], End::Done);
    expect_that!(cell.close_targets(), is_empty());
    cell.record();
    expect_that!(cell.close_targets()[0].1.len(), eq(1));
}

#[gtest]
fn unlisted_target_is_not_recorded_as_closed() {
    let mut cell = Cell::new(2);
    let gone = "target-1";
    expect_that!(cell.make_unreachable_and_close(gone), elements_are![eq(gone)]);
    cell.unlist_target(gone);
    expect_that!(cell.is_closed_record_outdated(&[]), eq(false));
    expect_that!(cell.close_targets(), is_empty());
}

#[gtest]
fn adopted_run_expires_without_a_lease_from_the_new_placer() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_without_listings();
    next.list_running(&starts);
    next.make_unreachable(&starts[0].target);
    next.advance(Duration::from_secs(7));
    next.list_nothing_on_others(&starts[0].target);
    expect_that!(next.decide_starts().len(), eq(1));
}

#[gtest]
fn running_gang_survives_a_takeover() {
    // Each takeover stopped all gangs (trouble-1 of anpgc-sched).
    let mut cell = Cell::new(2);
    cell.accept("gang", vec![Step { gang: true, ..step(3) }]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_without_listings();
    next.list_running(&starts);
    next.list_nothing_on_others(&starts[0].target);
    expect_that!(next.decide_starts(), is_empty());
    expect_that!(next.take_stops(), is_empty());
    next.end_run(&starts[1], End::Done);
    next.record();
    expect_that!(next.state("gang"), eq(JobState::Complete));
}

#[gtest]
fn stopping_runs_take_room_after_a_takeover() {
    // A cancelled job was removed from the store while its runs were still
    // stopping, so the next placer did not know their resources and exceeded a
    // limit (trouble-2 of pilares-sched).
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(8)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.cancel("job");
    cell.record();
    let mut next = cell.take_over_without_listings();
    next.list_running(&starts);
    next.accept("other", vec![step(1)]);
    expect_that!(next.decide_starts(), is_empty());
    next.end_run(&starts[0], End::Stopped);
    expect_that!(next.decide_starts().len(), eq(1));
}

/// Starts one job with this step, lets the first runs of it fail on a target
/// that drains, and starts them again elsewhere. Returns the new runs, the
/// draining target, and the record of closed targets that was written before
/// the runs failed.
fn restart_off_a_draining_target(
    cell: &mut Cell,
    step: Step,
) -> (Vec<Start>, Name, Vec<ClosedTarget>) {
    cell.accept("job", vec![step]);
    let first = cell.decide_starts();
    cell.answer_starts(&first, &StartAnswer::Started);
    let draining = first[0].target.clone();
    expect_that!(first, each(field!(Start.target, eq(&draining))));
    cell.update_targets(|info| {
        if info.id == draining {
            info.availability = Availability::Draining;
        }
    });
    let recorded = cell.close_targets();
    for start in &first {
        cell.end_run(start, End::Failed);
    }
    cell.record();
    let second = cell.decide_starts();
    expect_that!(second.len(), eq(first.len()));
    cell.answer_starts(&second, &StartAnswer::Started);
    (second, draining, recorded)
}

#[gtest]
fn run_started_after_the_record_of_closed_targets_survives_a_takeover() {
    // The new placer believed the older record, stopped the sound run and started
    // its task beside it (review/1).
    let mut cell = Cell::new(3);
    let (second, draining, recorded) = restart_off_a_draining_target(&mut cell, step(1));
    let mut next = cell.take_over_with_closed(&recorded);
    next.advance(Duration::from_millis(20));
    next.list_running(&second);
    next.advance(Duration::from_millis(20));
    next.list_nothing_on_others(&second[0].target);
    let stopped = next.take_stops();
    expect_that!(stopped, each(field!(Stop.target, eq(&draining))));
    expect_that!(next.decide_starts(), is_empty());
    next.end_run(&second[0], End::Done);
    next.record();
    expect_that!(next.state("job"), eq(JobState::Complete));
}

#[gtest]
fn gang_started_after_the_record_of_closed_targets_survives_a_takeover() {
    // A gang has one run number, so one listed member outdates the record of all.
    let mut cell = Cell::new(3);
    let gang = Step { gang: true, ..step(3) };
    let (second, draining, recorded) = restart_off_a_draining_target(&mut cell, gang);
    let mut next = cell.take_over_with_closed(&recorded);
    next.advance(Duration::from_millis(20));
    // The other members are listed only after the closed target has answered.
    next.list_running(&second[..1]);
    next.advance(Duration::from_millis(20));
    next.list_nothing(&draining);
    next.list_running(&second);
    next.list_nothing_on_others(&second[0].target);
    let stopped = next.take_stops();
    expect_that!(stopped, each(field!(Stop.target, eq(&draining))));
    expect_that!(next.decide_starts(), is_empty());
}

#[gtest]
fn task_starts_only_after_all_its_runs_have_ended() {
    // The run by the record counts until its target has answered.
    let mut cell = Cell::new(3);
    let (second, draining, recorded) = restart_off_a_draining_target(&mut cell, step(1));
    let mut next = cell.take_over_with_closed(&recorded);
    next.advance(Duration::from_millis(20));
    next.list_running(&second);
    next.list_nothing_on_others(&draining);
    next.end_run(&second[0], End::Failed);
    // The closed target has not answered, so its run may still exist.
    expect_that!(next.decide_starts(), is_empty());
    next.advance(Duration::from_millis(20));
    next.list_nothing_on_others("");
    expect_that!(next.decide_starts().len(), eq(1));
}

#[gtest]
fn outdated_run_listed_beside_a_later_one_is_stopped_before_the_task_starts_again() {
    // Only the last run of a task was tracked, so its end started the task beside
    // the other run, which was still being stopped (review/1).
    let mut cell = Cell::new(3);
    cell.accept("job", vec![step(1)]);
    let first = cell.decide_starts();
    cell.answer_starts(&first, &StartAnswer::Started);
    // An order that was carried out late, with a number below the current one.
    let other = if *first[0].target == *"target-1" { "target-2" } else { "target-1" };
    let late = vec![Start { target: Name::from(other), run: 0, ..first[0].clone() }];
    cell.list_running(&late);
    expect_that!(cell.take_stops(), elements_are![field!(Stop.target, eq(&late[0].target))]);
    cell.end_run(&first[0], End::Failed);
    expect_that!(cell.decide_starts(), is_empty());
    cell.end_run(&late[0], End::Stopped);
    expect_that!(cell.decide_starts().len(), eq(1));
}

/// Returns a new placer that took over while eight runs of one job were on the
/// second of two targets, and these runs.
fn take_over_with_runs_on_the_second_target() -> (Cell, Vec<Start>) {
    let mut cell = Cell::new(2);
    cell.make_unreachable("target-0");
    cell.accept("job", vec![step(8)]);
    let starts = cell.decide_starts();
    expect_that!(starts, each(field!(Start.target, displays_as(eq("target-1")))));
    cell.answer_starts(&starts, &StartAnswer::Started);
    (cell.take_over_without_listings(), starts)
}

#[gtest]
fn inherited_task_waits_until_its_target_has_listed_all_ends() {
    // A listing holds a limited number of ends. Tasks whose ends were to follow
    // were started again although they were done (review/2).
    let (mut next, starts) = take_over_with_runs_on_the_second_target();
    next.end_runs_of_many(&starts[..5]);
    expect_that!(next.decide_starts(), is_empty());
    next.record();
    expect_that!(next.decide_starts(), is_empty());
    for start in &starts[5..] {
        next.end_run(start, End::Done);
    }
    expect_that!(next.decide_starts(), is_empty());
    next.record();
    expect_that!(next.state("job"), eq(JobState::Complete));
}

#[gtest]
fn inherited_task_waits_for_ends_that_are_listed_late() {
    // Recording may be slow, and an end counts unless the target's lease expires.
    let (mut next, starts) = take_over_with_runs_on_the_second_target();
    for _ in 0..5 {
        next.planner.lease_granted("target-1", next.now);
        next.end_runs_of_many(&starts[..5]);
        next.list_nothing("target-0");
        expect_that!(next.decide_starts(), is_empty());
        next.advance(Duration::from_secs(3));
    }
    next.advance(Duration::from_secs(7));
    next.list_nothing("target-0");
    expect_that!(next.decide_starts().len(), eq(3));
}

#[gtest]
fn target_is_not_closed_while_ends_are_to_follow() {
    // The record would name no run of a task whose end is not listed yet.
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(8)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.update_targets(|info| info.availability = Availability::Draining);
    cell.end_runs_of_many(&starts[..5]);
    cell.record();
    expect_that!(cell.close_targets(), is_empty());
    cell.list_nothing("target-0");
    expect_that!(cell.close_targets().len(), eq(1));
}

#[gtest]
fn done_task_does_not_start_again_when_its_target_leaves_the_list_before_the_record() {
    let mut cell = Cell::new(2);
    cell.make_unreachable("target-0");
    cell.accept("job", vec![step(2)]);
    let starts = cell.decide_starts();
    expect_that!(starts, each(field!(Start.target, displays_as(eq("target-1")))));
    cell.answer_starts(&starts, &StartAnswer::Started);
    for start in &starts {
        cell.end_run(start, End::Done);
    }
    cell.unlist_target("target-1");
    let mut next = cell.take_over_without_listings();
    expect_that!(next.decide_starts(), is_empty());
}

#[gtest]
fn run_on_a_target_that_is_both_closed_and_handed_over_is_not_stopped() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.make_unreachable(&starts[0].target);
    cell.planner.count_unreachable();
    cell.planner.count_unreachable();
    let closed = cell.close_targets();
    let mut handed_over = cell.planner.unreachable_targets(cell.now);
    expect_that!(handed_over, eq(&closed));
    handed_over.extend(closed);
    let mut next = cell.take_over_with_closed(&handed_over);
    expect_that!(next.take_stops(), is_empty());
}
