//! Admission control.

use std::time::Duration;

use googletest::prelude::*;
use work::{Advice, Step};

use crate::cell::{Cell, OTHER_QUEUE, QUEUE, step};

/// Step that takes a target with room for eight tasks half a minute.
fn long_step() -> Step {
    Step { estimate_ms: 2000, ..step(120) }
}

/// Advances time past the admission grace period.
fn pass_admission_grace(cell: &mut Cell) {
    cell.advance(Duration::from_secs(4));
    cell.list_nothing_on_others("");
}

#[gtest]
fn queue_refuses_jobs_while_the_wait_exceeds_the_limit() {
    let mut cell = Cell::new(1);
    pass_admission_grace(&mut cell);
    expect_that!(cell.refusing_queues(), is_empty());
    cell.accept("job", vec![long_step()]);
    expect_that!(cell.refusing_queues(), contains(eq(QUEUE)));
    cell.cancel("job");
    expect_that!(cell.refusing_queues(), is_empty());
}

#[gtest]
fn late_work_causes_no_refusals_up_to_the_backlog_limit() {
    // Work left over from an outage must not cause refusals in a cell that can
    // do new work in time. In one trial it did for 26 s (trouble-3 of the grown
    // sites).
    for (tasks, refuses_after) in [(52, false), (120, true)] {
        let mut cell = Cell::new(1);
        pass_admission_grace(&mut cell);
        cell.accept("job", vec![Step { count: tasks, ..long_step() }]);
        expect_that!(cell.refusing_queues(), elements_are![eq(QUEUE)]);
        // The objective of the job is 5 s.
        cell.advance(Duration::from_secs(6));
        cell.list_nothing_on_others("");
        // New jobs go before late work, but late work must still be done at
        // some time.
        expect_that!(
            cell.refusing_queues().contains(&QUEUE.to_owned()),
            eq(refuses_after),
            "{tasks}"
        );
    }
}

#[gtest]
fn jobs_are_accepted_while_the_wait_for_room_leaves_them_of_use() {
    const OBJECTIVE: Duration = Duration::from_secs(20);
    const LESS_URGENT: &str = "less urgent queue";
    for (tasks, refuses) in [(40, false), (72, true)] {
        let mut cell = Cell::new(1);
        pass_admission_grace(&mut cell);
        cell.add_low_priority_queue(LESS_URGENT, OBJECTIVE);
        // Eight tasks at a time take 2 s.
        let step = Step { estimate_ms: 2000, ..step(tasks) };
        cell.accept_in(LESS_URGENT, "job", vec![step]);
        let is_refusing = cell.refusing_queues().contains(&LESS_URGENT.to_owned());
        expect_that!(is_refusing, eq(refuses), "{tasks}");
    }
}

#[gtest]
fn new_leader_refuses_jobs_once_no_more_instances_join() {
    const ADMISSION_GRACE: Duration = Duration::from_secs(1);
    const JOIN_INTERVAL: Duration = Duration::from_millis(600);
    let mut cell = Cell::new(1);
    cell.accept("job", vec![long_step()]);
    for instances in 1..=3 {
        cell.planner.set_instances(instances, cell.now);
        cell.advance(JOIN_INTERVAL);
        expect_that!(cell.refusing_queues(), is_empty());
    }
    cell.advance(ADMISSION_GRACE - JOIN_INTERVAL);
    cell.list_nothing_on_others("");
    expect_that!(cell.refusing_queues(), elements_are![eq(QUEUE)]);
    // An instance that leaves does not restart the grace period.
    cell.planner.set_instances(2, cell.now);
    expect_that!(cell.refusing_queues(), elements_are![eq(QUEUE)]);
}

#[gtest]
fn new_leader_that_knows_the_number_of_instances_refuses_jobs_at_once() {
    // Jobs accepted in the first second after each restart of a single instance
    // were never done (trouble-3 at a single machine).
    for (expected, refused) in [(1, vec![QUEUE]), (0, vec![])] {
        let mut cell = Cell::new(1);
        cell.planner.expect_instances(expected);
        cell.planner.set_instances(1, cell.now);
        cell.accept("job", vec![long_step()]);
        cell.list_nothing_on_others("");
        expect_that!(cell.refusing_queues(), eq(&refused), "{expected} expected");
    }
}

#[gtest]
fn expected_instances_count_towards_advice_capacity() {
    /// Advice for 20 targets takes 200 ms.
    const LONG: Advice = Advice { request_us: 100_000, target_us: 5000, valid_ms: 2000 };
    for (expected, refuses) in [(1, true), (20, false)] {
        let mut cell = Cell::new(4);
        cell.add_queue(OTHER_QUEUE, LONG);
        cell.planner.expect_instances(expected);
        cell.planner.set_instances(1, cell.now);
        // Needs 12 s of advice and almost no room.
        for number in 0..60 {
            cell.accept_in(OTHER_QUEUE, &format!("job-{number}"), vec![step(1)]);
        }
        cell.list_nothing_on_others("");
        let is_refusing = cell.refusing_queues().contains(&OTHER_QUEUE.to_owned());
        expect_that!(is_refusing, eq(refuses), "{expected} expected");
    }
}

#[gtest]
fn every_refusal_has_a_retry_time() {
    // Eight tasks start, and the waiting ones take exactly as long as jobs may
    // wait.
    let mut cell = Cell::new(1);
    pass_admission_grace(&mut cell);
    cell.accept("job", vec![Step { count: 36, ..long_step() }]);
    cell.decide_starts();
    let overloads = cell.planner.overloads(cell.now);
    expect_true!(overloads.iter().all(|overload| !overload.retry_after.is_zero()));
    expect_that!(cell.refusing_queues(), is_empty());
}

#[gtest]
fn work_of_one_pool_causes_no_refusals_in_another() {
    let mut cell = Cell::new(2);
    pass_admission_grace(&mut cell);
    cell.split_pools();
    cell.accept("job", vec![long_step()]);
    cell.accept_in(OTHER_QUEUE, "small", vec![step(1)]);
    expect_that!(cell.refusing_queues(), elements_are![eq(QUEUE)]);
}

#[gtest]
fn team_at_its_limit_causes_no_refusals() {
    let mut cell = Cell::new(1);
    pass_admission_grace(&mut cell);
    cell.limit_team(1);
    cell.accept("job", vec![long_step()]);
    expect_that!(cell.decide_starts().len(), eq(1));
    expect_that!(cell.refusing_queues(), is_empty());
}

#[gtest]
fn tasks_too_large_for_any_target_cause_no_refusals() {
    let mut cell = Cell::new(1);
    pass_admission_grace(&mut cell);
    let too_large = Step { size: step(1).size * 9, ..long_step() };
    cell.accept("job", vec![too_large]);
    expect_that!(cell.refusing_queues(), is_empty());
}
