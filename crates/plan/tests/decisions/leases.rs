//! Leases that are longer than the placer has granted.

use std::time::Duration;

use googletest::prelude::*;
use plan::{Evidence, Refusal, Start, StartAnswer};

use crate::cell::{Cell, MAX_LEASE, step};

/// Starts the only waiting task.
fn start_one(cell: &mut Cell) -> Start {
    let starts = cell.decide_starts();
    assert_that!(starts.len(), eq(1));
    cell.answer_starts(&starts, &StartAnswer::Started);
    starts[0].clone()
}

/// Cell with two targets and a run on the second one, which has restarted.
fn cell_with_restarted_target() -> (Cell, Start) {
    let mut cell = Cell::new(2);
    cell.restart_target("target-1");
    cell.list_nothing("target-1");
    cell.record_restarts();
    cell.make_unreachable("target-0");
    cell.accept("job", vec![step(1)]);
    let start = start_one(&mut cell);
    assert_that!(&*start.target, eq("target-1"));
    cell.list_nothing("target-0");
    (cell, start)
}

/// Expects that a run on a silent target is started elsewhere only after
/// `lease`, and soon after it.
fn expect_restart_after(cell: &mut Cell, silent: &str, lease: Duration) {
    cell.make_unreachable(silent);
    cell.advance(lease);
    cell.list_nothing_on_others(silent);
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_millis(500));
    cell.list_nothing_on_others(silent);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn run_on_a_restarted_target_counts_until_the_longest_lease_has_expired() {
    let (mut cell, start) = cell_with_restarted_target();
    expect_restart_after(&mut cell, &start.target, MAX_LEASE);
}

#[gtest]
fn run_counts_until_the_lease_that_its_target_has_taken_has_expired() {
    for (taken, limit) in [(9, Duration::from_millis(9180)), (7000, MAX_LEASE)] {
        let mut cell = Cell::new(2);
        cell.accept("job", vec![step(1)]);
        let start = start_one(&mut cell);
        cell.planner.lease_taken(&start.target, Duration::from_secs(taken), cell.now);
        expect_restart_after(&mut cell, &start.target, limit);
    }
}

#[gtest]
fn restarted_target_gets_no_work_until_the_restart_is_recorded() {
    let mut cell = Cell::new(1);
    cell.restart_target("target-0");
    cell.list_nothing("target-0");
    cell.accept("job", vec![step(1)]);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.planner.has_unrecorded_restarts(cell.now), eq(true));
    cell.record_restarts();
    expect_that!(cell.decide_starts().len(), eq(1));
    cell.advance(MAX_LEASE + Duration::from_millis(500));
    expect_that!(cell.planner.has_restarts(cell.now), eq(false));
}

#[gtest]
fn task_of_an_earlier_term_waits_for_the_longest_lease_of_a_restarted_target() {
    let (cell, start) = cell_with_restarted_target();
    let mut next = cell.take_over_without_listings();
    expect_restart_after(&mut next, &start.target, MAX_LEASE);
}

#[gtest]
fn run_recorded_by_an_earlier_placer_counts_until_the_longest_lease_of_a_restarted_target() {
    let (mut cell, start) = cell_with_restarted_target();
    cell.make_unreachable(&start.target);
    let unreachable = cell.planner.unreachable_targets(cell.now);
    let mut next = cell.take_over_with_closed(&unreachable);
    next.list_targets();
    expect_restart_after(&mut next, &start.target, MAX_LEASE);
}

#[gtest]
fn adopted_run_counts_until_the_longest_lease_of_a_restarted_target_has_expired() {
    let (cell, start) = cell_with_restarted_target();
    let mut next = cell.take_over_without_listings();
    next.list_running(std::slice::from_ref(&start));
    expect_restart_after(&mut next, &start.target, MAX_LEASE);
}

#[gtest]
fn restart_that_the_earlier_placer_has_not_seen_makes_its_target_count_for_the_longest_lease() {
    let mut cell = Cell::new(2);
    cell.make_unreachable("target-0");
    cell.accept("job", vec![step(1)]);
    let start = start_one(&mut cell);
    cell.restart_target(&start.target);
    let mut next = cell.take_over_without_listings();
    next.list_running(std::slice::from_ref(&start));
    expect_that!(next.planner.has_unrecorded_restarts(next.now), eq(true));
    expect_restart_after(&mut next, &start.target, MAX_LEASE);
}

#[gtest]
fn restart_is_passed_on_by_a_placer_that_the_target_never_answers() {
    let (cell, start) = cell_with_restarted_target();
    let next = cell.take_over_without_listings();
    let mut last = next.take_over_without_listings();
    expect_restart_after(&mut last, &start.target, MAX_LEASE);
}

#[gtest]
fn run_that_is_listed_after_it_was_given_up_is_reported_with_the_evidence() {
    let cases = [
        (StartAnswer::Started, Evidence::LeaseExpired),
        (StartAnswer::Refused(Refusal::Ticket), Evidence::Refused),
    ];
    for (answer, evidence) in cases {
        let mut cell = Cell::new(2);
        cell.accept("job", vec![step(1)]);
        let starts = cell.decide_starts();
        cell.answer_starts(&starts, &answer);
        cell.advance(MAX_LEASE);
        cell.decide_starts();
        expect_that!(cell.planner.take_reappeared_runs(), is_empty());
        cell.advance(Duration::from_millis(100));
        cell.list_running(&starts);
        let reappeared = cell.planner.take_reappeared_runs();
        expect_that!(reappeared.len(), eq(1));
        expect_that!(reappeared[0].run, eq(starts[0].run));
        expect_that!(reappeared[0].evidence, eq(evidence));
    }
}

/// Longest time for which a run may exist on a process that has not seen a token
/// of its own: the longest delay of an order, then the longest lease.
const UNCONFIRMED: Duration = Duration::from_millis(22_200);

/// Cell with two targets and a run on the second one, which has not listed it.
fn cell_with_unlisted_run() -> (Cell, Start) {
    let mut cell = Cell::new(2);
    cell.make_unreachable("target-0");
    cell.accept("job", vec![step(1)]);
    let start = start_one(&mut cell);
    cell.list_nothing("target-0");
    (cell, start)
}

#[gtest]
fn unlisted_run_counts_until_no_late_order_can_prolong_the_lease_of_an_unconfirmed_process() {
    let (mut cell, start) = cell_with_unlisted_run();
    cell.planner.restart_suspected(&start.target, cell.now);
    expect_restart_after(&mut cell, &start.target, UNCONFIRMED);
}

#[gtest]
fn listed_run_of_an_earlier_process_counts_for_its_own_lease_only() {
    let (mut cell, start) = cell_with_unlisted_run();
    cell.list_running(std::slice::from_ref(&start));
    cell.planner.restart_suspected(&start.target, cell.now);
    expect_restart_after(&mut cell, &start.target, Duration::from_millis(6120));
}

#[gtest]
fn entry_of_a_later_process_in_the_list_makes_unlisted_runs_count_for_longer() {
    let (mut cell, start) = cell_with_unlisted_run();
    cell.restart_target(&start.target);
    cell.list_processes();
    expect_that!(cell.planner.take_suspected_restarts(), elements_are![eq(&start.target)]);
    expect_restart_after(&mut cell, &start.target, UNCONFIRMED);
}

#[gtest]
fn entry_of_an_earlier_process_in_the_list_suspects_nothing() {
    let mut cell = Cell::new(1);
    cell.list_processes();
    cell.restart_target("target-0");
    cell.list_nothing("target-0");
    cell.record_restarts();
    cell.list_earlier_processes();
    expect_that!(cell.planner.take_suspected_restarts(), is_empty());
}

#[gtest]
fn unconfirmed_process_gets_no_work_until_it_has_listed_its_runs() {
    let mut cell = Cell::new(1);
    cell.planner.restart_suspected("target-0", cell.now);
    // Requested before the restart was suspected.
    cell.list_nothing_as_of("target-0", cell.now - Duration::from_millis(1));
    cell.accept("job", vec![step(1)]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.restart_target("target-0");
    cell.list_nothing("target-0");
    cell.record_restarts();
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn task_of_an_earlier_term_waits_for_a_target_whose_entry_is_by_a_later_process() {
    let (mut cell, start) = cell_with_unlisted_run();
    cell.list_processes();
    cell.restart_target(&start.target);
    let mut next = cell.take_over_without_listings();
    next.list_processes();
    expect_restart_after(&mut next, &start.target, UNCONFIRMED);
}

#[gtest]
fn run_handed_over_counts_for_longer_if_the_entry_of_its_target_is_by_a_later_process() {
    let (mut cell, start) = cell_with_unlisted_run();
    cell.make_unreachable(&start.target);
    let unreachable = cell.planner.unreachable_targets(cell.now);
    cell.restart_target(&start.target);
    let mut next = cell.take_over_with_closed(&unreachable);
    next.list_processes();
    expect_restart_after(&mut next, &start.target, UNCONFIRMED);
}

#[gtest]
fn unconfirmed_process_is_passed_on_to_the_next_placer() {
    let (mut cell, start) = cell_with_unlisted_run();
    cell.planner.restart_suspected(&start.target, cell.now);
    let next = cell.take_over_without_listings();
    let mut last = next.take_over_without_listings();
    expect_restart_after(&mut last, &start.target, UNCONFIRMED);
}

#[gtest]
fn unconfirmed_process_is_passed_on_with_the_runs_that_are_handed_over() {
    let (mut cell, start) = cell_with_unlisted_run();
    cell.planner.restart_suspected(&start.target, cell.now);
    let unreachable = cell.planner.unreachable_targets(cell.now);
    let mut next = cell.take_over_with_closed(&unreachable);
    next.list_targets();
    expect_restart_after(&mut next, &start.target, UNCONFIRMED);
}

#[gtest]
fn unconfirmed_process_is_passed_on_after_its_entry_has_left_the_list() {
    let (mut cell, start) = cell_with_unlisted_run();
    cell.restart_target(&start.target);
    cell.list_processes();
    cell.unlist_target(&start.target);
    let mut next = cell.take_over_without_listings();
    next.unlist_target(&start.target);
    expect_restart_after(&mut next, &start.target, UNCONFIRMED);
}

#[gtest]
fn suspicion_that_a_listing_of_the_known_process_refutes_leaves_nothing_behind() {
    let mut cell = Cell::new(1);
    cell.planner.restart_suspected("target-0", cell.now);
    cell.advance(Duration::from_millis(10));
    cell.list_nothing("target-0");
    expect_that!(cell.planner.has_restarts(cell.now), eq(false));
    cell.accept("job", vec![step(1)]);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn entry_that_stays_ahead_of_the_listed_process_is_suspected_once() {
    let mut cell = Cell::new(1);
    let mut suspicions = 0;
    for _ in 0..20 {
        cell.update_targets(|info| info.born_unix_ms = 9);
        suspicions += cell.planner.take_suspected_restarts().len();
        cell.advance(Duration::from_millis(250));
        cell.list_nothing("target-0");
    }
    expect_that!(suspicions, eq(1));
}

#[gtest]
fn entry_of_a_process_with_an_earlier_wall_clock_is_suspected() {
    let mut cell = Cell::new(1);
    for _ in 0..9 {
        cell.restart_target("target-0");
    }
    cell.list_nothing("target-0");
    cell.update_targets(|info| info.born_unix_ms = 5);
    expect_that!(
        cell.planner.take_suspected_restarts(),
        elements_are![displays_as(eq("target-0"))]
    );
}
