//! Which queues refuse.

use std::time::Duration;

use googletest::prelude::*;
use work::{Advice, Step};

use crate::cell::{Cell, OTHER_QUEUE, QUEUE, step};

/// Work that takes a target of eight tasks half a minute.
fn long() -> Step {
    Step { estimate_ms: 2000, ..step(120) }
}

/// Has the term be old enough for refusals.
fn settle(cell: &mut Cell) {
    cell.advance(Duration::from_secs(4));
    cell.hear_others("");
}

#[gtest]
fn a_queue_refuses_while_what_waits_takes_longer_than_its_jobs_may() {
    let mut cell = Cell::new(1);
    settle(&mut cell);
    expect_that!(cell.refusals(), is_empty());
    cell.accept("job", vec![long()]);
    expect_that!(cell.refusals(), contains(eq(QUEUE)));
    cell.cancel("job");
    expect_that!(cell.refusals(), is_empty());
}

#[gtest]
fn what_can_only_be_late_has_no_new_job_refused() {
    // Seen on trouble-3 of the grown sites: what was left of an outage had jobs
    // refused for 26 s, in a cell that could have done them.
    for (tasks, refuses_after) in [(48, false), (120, true)] {
        let mut cell = Cell::new(1);
        settle(&mut cell);
        cell.accept("job", vec![Step { count: tasks, ..long() }]);
        expect_that!(cell.refusals(), elements_are![eq(QUEUE)]);
        // Its objective is 5 s.
        cell.advance(Duration::from_secs(6));
        cell.hear_others("");
        // New work goes before it; but it is to be done some time.
        expect_that!(cell.refusals().contains(&QUEUE.to_owned()), eq(refuses_after), "{tasks}");
    }
}

#[gtest]
fn a_new_leader_refuses_once_no_further_instance_joins() {
    const QUIET: Duration = Duration::from_secs(1);
    const PAUSE: Duration = Duration::from_millis(600);
    let mut cell = Cell::new(1);
    cell.accept("job", vec![long()]);
    for instances in 1..=3 {
        cell.board.set_instances(instances, cell.now);
        cell.advance(PAUSE);
        expect_that!(cell.refusals(), is_empty());
    }
    cell.advance(QUIET - PAUSE);
    cell.hear_others("");
    expect_that!(cell.refusals(), elements_are![eq(QUEUE)]);
    // One that leaves starts no new wait.
    cell.board.set_instances(2, cell.now);
    expect_that!(cell.refusals(), elements_are![eq(QUEUE)]);
}

#[gtest]
fn a_new_leader_that_knows_how_many_instances_there_were_refuses_at_once() {
    // Seen at a single machine, trouble-3: what was accepted in the first second
    // after each start of its process was never done.
    for (expected, refused) in [(1, vec![QUEUE]), (0, vec![])] {
        let mut cell = Cell::new(1);
        cell.board.expect_instances(expected);
        cell.board.set_instances(1, cell.now);
        cell.accept("job", vec![long()]);
        cell.hear_others("");
        expect_that!(cell.refusals(), eq(&refused), "{expected} expected");
    }
}

#[gtest]
fn advice_counts_for_the_instances_that_a_new_leader_expects() {
    /// Time of a request for advice of 200 ms and 20 targets.
    const LONG: Advice = Advice { request_us: 100_000, target_us: 5000, valid_ms: 2000 };
    for (expected, refuses) in [(1, true), (20, false)] {
        let mut cell = Cell::new(4);
        cell.add_queue(OTHER_QUEUE, LONG);
        cell.board.expect_instances(expected);
        cell.board.set_instances(1, cell.now);
        // 12 s of advice, and next to no room.
        for number in 0..60 {
            cell.accept_in(OTHER_QUEUE, &format!("job-{number}"), vec![step(1)]);
        }
        cell.hear_others("");
        let is_refusing = cell.refusals().contains(&OTHER_QUEUE.to_owned());
        expect_that!(is_refusing, eq(refuses), "{expected} expected");
    }
}

#[gtest]
fn a_refusal_always_says_when_to_come_back() {
    // Eight of them start, and what waits takes as long as it may.
    let mut cell = Cell::new(1);
    settle(&mut cell);
    cell.accept("job", vec![Step { count: 36, ..long() }]);
    cell.decide_starts();
    let refusals = cell.board.overloads(cell.now);
    expect_true!(refusals.iter().all(|overload| !overload.retry_after.is_zero()));
    expect_that!(cell.refusals(), is_empty());
}

#[gtest]
fn the_work_of_one_pool_refuses_nothing_of_another() {
    let mut cell = Cell::new(2);
    settle(&mut cell);
    cell.split_pools();
    cell.accept("job", vec![long()]);
    cell.accept_in(OTHER_QUEUE, "small", vec![step(1)]);
    expect_that!(cell.refusals(), elements_are![eq(QUEUE)]);
}

#[gtest]
fn a_team_at_its_limit_has_nothing_of_others_refused() {
    let mut cell = Cell::new(1);
    settle(&mut cell);
    cell.limit_team(1);
    cell.accept("job", vec![long()]);
    expect_that!(cell.decide_starts().len(), eq(1));
    expect_that!(cell.refusals(), is_empty());
}

#[gtest]
fn tasks_that_no_target_can_hold_have_nothing_refused() {
    let mut cell = Cell::new(1);
    settle(&mut cell);
    let too_large = Step { size: step(1).size * 9, ..long() };
    cell.accept("job", vec![too_large]);
    expect_that!(cell.refusals(), is_empty());
}
