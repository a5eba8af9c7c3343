//! Recovery after a takeover: which tasks wait for targets that do not answer.

use std::{collections::HashSet, time::Duration};

use base::Name;
use googletest::prelude::*;
use plan::{Recovery, Start, StartAnswer};
use work::{End, Step};

use crate::cell::{Cell, MAX_LEASE, step};

/// Longest lease of a target that has not restarted, with its margin.
const LEASE: Duration = Duration::from_millis(6120);

/// Time after a takeover within which tasks start that can't have a run elsewhere.
const SOON: Duration = Duration::from_millis(900);

/// Returns two steps of one task each, the second of which depends on the first.
fn two_steps() -> Vec<Step> {
    vec![step(1), Step { after: [0].into_iter().collect(), ..step(1) }]
}

/// Starts the only waiting task.
fn start_one(cell: &mut Cell) -> Start {
    let starts = cell.decide_starts();
    assert_that!(starts.len(), eq(1));
    cell.answer_starts(&starts, &StartAnswer::Started);
    starts[0].clone()
}

/// Cell of three targets after a takeover without a handover: the last target is
/// silent, and the first step of a job runs on the second one.
fn killed_leader_with_a_running_first_step() -> (Cell, Start) {
    let mut cell = Cell::new(3);
    cell.make_unreachable("target-0");
    cell.make_unreachable("target-2");
    cell.accept("job", two_steps());
    let start = start_one(&mut cell);
    assert_that!(&*start.target, eq("target-1"));
    let next = cell.take_over_without_listings();
    (next, start)
}

#[gtest]
fn step_that_had_not_begun_does_not_wait_for_a_silent_target() {
    // One lost target held up all jobs of the cell for 22.5 s (review/9).
    let (mut next, start) = killed_leader_with_a_running_first_step();
    next.advance(SOON);
    next.list_running(std::slice::from_ref(&start));
    next.end_run(&start, End::Done);
    let starts = next.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(starts[0].task.step.step, eq(1));
}

#[gtest]
fn step_that_may_have_begun_waits_for_a_silent_target() {
    let (mut next, start) = killed_leader_with_a_running_first_step();
    next.advance(SOON);
    // The earlier placer may have seen this end, and have begun the second step.
    next.end_run(&start, End::Done);
    next.record();
    expect_that!(next.decide_starts(), is_empty());
    next.advance(LEASE + Duration::from_millis(500));
    next.list_nothing_on_others("target-2");
    expect_that!(next.decide_starts().len(), eq(1));
}

#[gtest]
fn run_that_is_listed_by_a_later_process_does_not_show_which_steps_have_begun() {
    // A process that has just started may carry out a start again.
    let (mut next, start) = killed_leader_with_a_running_first_step();
    next.restart_target("target-1");
    next.list_running(std::slice::from_ref(&start));
    next.record_restarts();
    next.end_run(&start, End::Done);
    next.record();
    expect_that!(next.decide_starts(), is_empty());
}

#[gtest]
fn gang_member_that_is_still_listed_does_not_show_that_the_next_step_has_not_begun() {
    // The end of one member does the whole gang; the others run on for a moment.
    let mut cell = Cell::new(3);
    cell.make_unreachable("target-0");
    cell.make_unreachable("target-2");
    let gang = Step { gang: true, ..step(2) };
    let after = Step { after: [0].into_iter().collect(), ..step(1) };
    cell.accept("job", vec![gang, after]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_without_listings();
    next.list_running(&starts);
    next.end_run(&starts[0], End::Done);
    next.record();
    let begun = next.decide_starts();
    expect_that!(begun, is_empty());
}

#[gtest]
fn step_after_an_end_of_an_unknown_run_begins_once_the_end_is_recorded() {
    // The next placer would find the other run of the task, and take the second
    // step for not begun.
    let mut cell = Cell::new(3);
    cell.accept("job", two_steps());
    let first = start_one(&mut cell);
    cell.make_unreachable(&first.target);
    cell.advance(LEASE + Duration::from_millis(500));
    cell.list_nothing_on_others(&first.target);
    let second = start_one(&mut cell);
    expect_that!(second.target, not(eq(&first.target)));
    // The first run had ended before its lease expired.
    cell.end_run(&first, End::Done);
    expect_that!(cell.decide_starts(), is_empty());
    cell.record();
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(starts[0].task.step.step, eq(1));
}

#[gtest]
fn step_after_a_run_of_this_term_does_not_wait_for_a_record() {
    // Short runs end before they are listed; each step would wait for the store.
    let mut cell = Cell::new(2).take_over();
    cell.accept("job", two_steps());
    let start = start_one(&mut cell);
    cell.end_run(&start, End::Done);
    expect_that!(cell.decide_starts().len(), eq(1));
}

/// Lets a new placer take over with what the earlier one hands over.
fn hand_over(mut cell: Cell) -> Cell {
    cell.record();
    let unreachable = cell.planner.unreachable_targets(cell.now);
    let holdings = cell.planner.holdings(cell.now);
    cell.take_over_with_holdings(&unreachable, holdings)
}

#[gtest]
fn only_tasks_on_a_target_that_falls_silent_wait_after_a_handover() {
    let mut cell = Cell::new(3);
    cell.accept("running", vec![step(2)]);
    let running = cell.decide_starts();
    cell.answer_starts(&running, &StartAnswer::Started);
    let lost = running[0].target.clone();
    cell.accept("waiting", vec![step(1)]);
    // The earlier placer has not noticed that the target is lost.
    let mut next = hand_over(cell);
    next.advance(SOON);
    next.list_nothing_on_others(&lost);
    let starts = next.decide_starts();
    expect_that!(starts, each(predicate(|start: &Start| &*start.task.step.job == "waiting")));
    expect_that!(starts.len(), eq(1));
    next.advance(LEASE - SOON);
    next.list_nothing_on_others(&lost);
    expect_that!(next.decide_starts(), is_empty());
    next.advance(Duration::from_millis(500));
    next.list_nothing_on_others(&lost);
    expect_that!(next.decide_starts().len(), eq(2));
}

#[gtest]
fn only_jobs_with_unrecorded_ends_on_a_silent_target_wait_after_a_handover() {
    // The store fails, and so does the target; all jobs waited for it (random day 494).
    let mut cell = Cell::new(3);
    cell.accept("done", vec![step(1)]);
    let done = start_one(&mut cell);
    cell.end_run(&done, End::Done);
    cell.accept("waiting", vec![step(1)]);
    for _ in 0..2 {
        let unreachable = cell.planner.unreachable_targets(cell.now);
        expect_that!(unreachable.iter().all(|(target, _)| *target != done.target), eq(true));
        let holdings = cell.planner.holdings(cell.now);
        cell = cell.take_over_with_holdings(&unreachable, holdings);
    }
    cell.list_nothing_on_others(&done.target);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("waiting"));
    cell.planner.count_unreachable();
    cell.planner.count_unreachable();
    expect_that!(cell.close_targets(), is_empty());
    // Its lease has expired, so that the unrecorded end no longer counts.
    cell.advance(LEASE + Duration::from_millis(500));
    cell.list_nothing_on_others(&done.target);
    let starts = cell.decide_starts();
    expect_that!(starts.iter().any(|start| &*start.task.step.job == "done"), eq(true));
}

/// Names of the jobs of these starts, in order.
fn jobs_of(starts: &[Start]) -> Vec<String> {
    let mut jobs: Vec<String> =
        starts.iter().map(|start| start.task.step.job.to_string()).collect();
    jobs.sort();
    jobs
}

#[gtest]
fn job_accepted_after_a_kill_does_not_wait_after_a_handover_for_an_earlier_silent_target() {
    // The leader after the kill hands over before the last target has listed anything;
    // its successor held up all jobs for that target (random day 494).
    let mut cell = Cell::new(3);
    cell.accept("earlier", vec![step(1)]);
    let mut next = cell.take_over_without_listings();
    next.list_nothing("target-1");
    next.accept("later", vec![step(1)]);
    for _ in 0..2 {
        next = hand_over(next);
        next.advance(SOON);
    }
    next.list_nothing_on_others("target-2");
    expect_that!(jobs_of(&next.decide_starts()), eq(&["later"]));
    next.advance(LEASE);
    next.list_nothing_on_others("target-2");
    expect_that!(jobs_of(&next.decide_starts()), eq(&["earlier"]));
}

#[gtest]
fn tasks_of_known_jobs_wait_for_a_silent_target_that_may_have_their_runs() {
    // The target has further ends, so that not all of its runs are known.
    let mut cell = Cell::new(3);
    cell.make_unreachable("target-2");
    cell.accept("earlier", vec![step(1)]);
    let mut next = cell.take_over_without_listings();
    next.accept("running", vec![step(1)]);
    let running = start_one(&mut next);
    next.accept("done", vec![step(1)]);
    let done = start_one(&mut next);
    let silent = running.target.clone();
    assert_that!(done.target, eq(&silent));
    next.end_runs_of_many(std::slice::from_ref(&done));
    next.accept("waiting", vec![step(1)]);
    for _ in 0..2 {
        let unreachable = next.planner.unreachable_targets(next.now);
        let holdings = next.planner.holdings(next.now);
        next = next.take_over_with_holdings(&unreachable, holdings);
        next.advance(SOON);
    }
    next.list_nothing_on_others(&silent);
    expect_that!(jobs_of(&next.decide_starts()), eq(&["waiting"]));
    next.advance(LEASE);
    next.list_nothing_on_others(&silent);
    expect_that!(jobs_of(&next.decide_starts()), eq(&["done", "earlier", "running"]));
}

#[gtest]
fn second_handover_within_a_second_delays_no_task_that_has_no_run_on_a_silent_target() {
    let mut cell = Cell::new(3);
    cell.accept("running", vec![step(1)]);
    let running = start_one(&mut cell);
    let lost = running.target.clone();
    cell.accept("waiting", vec![step(1)]);
    let mut next = hand_over(cell);
    next.advance(SOON);
    let mut last = hand_over(next);
    last.advance(SOON);
    last.list_nothing_on_others(&lost);
    let starts = last.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("waiting"));
    // The wait counts from the end of the first term, when the last order may have
    // been sent.
    last.advance(LEASE + Duration::from_millis(500) - SOON - SOON);
    last.list_nothing_on_others(&lost);
    let starts = last.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("running"));
}

#[gtest]
fn second_handover_does_not_restart_the_wait_for_an_unconfirmed_process() {
    let mut cell = Cell::new(2);
    cell.make_unreachable("target-0");
    cell.accept("job", vec![step(1)]);
    let start = start_one(&mut cell);
    cell.list_nothing("target-0");
    cell.planner.restart_suspected(&start.target, cell.now);
    let mut next = hand_over(cell);
    next.list_nothing("target-0");
    next.advance(MAX_LEASE);
    let mut last = hand_over(next);
    last.advance(Duration::from_millis(22_000) - MAX_LEASE);
    last.list_nothing("target-0");
    expect_that!(last.decide_starts(), is_empty());
    last.advance(Duration::from_secs(1));
    last.list_nothing("target-0");
    expect_that!(last.decide_starts().len(), eq(1));
}

#[gtest]
fn wait_counts_anew_if_the_target_had_answered_before_the_second_handover() {
    let mut cell = Cell::new(2);
    cell.make_unreachable("target-0");
    cell.accept("job", vec![step(1)]);
    let start = start_one(&mut cell);
    let mut next = hand_over(cell);
    next.advance(Duration::from_secs(5));
    next.list_running(std::slice::from_ref(&start));
    next.planner.lease_granted(&start.target, next.now);
    let mut last = hand_over(next);
    last.advance(LEASE);
    last.list_nothing("target-0");
    expect_that!(last.decide_starts(), is_empty());
    last.advance(Duration::from_millis(500));
    last.list_nothing("target-0");
    expect_that!(last.decide_starts().len(), eq(1));
}

#[gtest]
fn closed_target_stays_closed_in_a_later_term_until_it_is_recorded_as_open() {
    // The next placer but one may have only this record.
    let mut cell = Cell::new(2);
    cell.make_unreachable("target-0");
    cell.accept("job", vec![step(1)]);
    let start = start_one(&mut cell);
    cell.list_nothing("target-0");
    cell.make_unreachable("target-1");
    cell.planner.count_unreachable();
    cell.planner.count_unreachable();
    let closed = cell.close_targets();
    let mut next = cell.take_over_with_closed(&closed);
    let names: HashSet<Name> = closed.iter().map(|(name, _)| name.clone()).collect();
    next.planner.set_closed_targets(&names);
    next.list_targets();
    // A record of this term repeats what is known of it.
    expect_that!(next.close_targets(), eq(&closed));
    next.make_unreachable("target-0");
    next.list_running(std::slice::from_ref(&start));
    next.accept("other", vec![step(1)]);
    expect_that!(next.decide_starts(), is_empty());
    expect_that!(next.close_targets(), is_empty());
    next.planner.set_closed_targets(&HashSet::new());
    expect_that!(next.decide_starts().len(), eq(1));
}

#[gtest]
fn target_with_an_unconfirmed_process_is_recorded_with_its_runs() {
    // A successor that has no handover would let all tasks wait for the target.
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let start = start_one(&mut cell);
    cell.planner.restart_suspected(&start.target, cell.now);
    let closed = cell.close_targets();
    expect_that!(closed.len(), eq(1));
    expect_that!(closed[0].0, eq(&start.target));
    expect_that!(closed[0].1, elements_are![eq(&(start.task.clone(), start.run))]);
}

#[gtest]
fn wait_is_reported_with_the_number_of_tasks_and_the_targets() {
    let mut cell = Cell::new(2);
    cell.make_unreachable("target-0");
    cell.accept("job", vec![step(3)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_without_listings();
    next.decide_starts();
    let expected = Recovery {
        tasks: 3,
        targets: vec![Name::from("target-1")],
        unknown_targets: 1,
        until: next.now + LEASE + Duration::from_millis(300),
        ..Recovery::default()
    };
    expect_that!(next.planner.recovery(), some(eq(&expected)));
    next.list_running(&starts);
    expect_that!(next.planner.recovery(), none());
}
