//! Targets that fail or do not answer.

use std::time::Duration;

use base::{Name, Resources};
use googletest::prelude::*;
use plan::{Interference, Refusal, Settings, Start, StartAnswer};
use work::{Advice, End, JobState, Step};

use crate::cell::{Cell, QUEUE, step};

#[gtest]
fn unanswered_start_is_repeated_only_after_the_run_is_ruled_out() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Unknown);
    // The run may exist; a listing without it leads to a stop order.
    expect_that!(cell.take_stops(), is_empty());
    cell.list_nothing(&starts[0].target);
    expect_that!(cell.take_stops().len(), eq(1));
    cell.advance(Duration::from_millis(50));
    // Listings without the run prove nothing until the stop is acknowledged.
    cell.list_nothing(&starts[0].target);
    expect_that!(cell.decide_starts(), is_empty());
    cell.answer_stop(&starts[0]);
    cell.advance(Duration::from_millis(50));
    cell.list_nothing(&starts[0].target);
    let again = cell.decide_starts();
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].run, gt(starts[0].run));
}

#[gtest]
fn run_on_an_unreachable_target_counts_until_its_lease_expires() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.make_unreachable(&starts[0].target);
    cell.advance(Duration::from_secs(6));
    cell.list_nothing_on_others(&starts[0].target);
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_millis(500));
    cell.list_nothing_on_others(&starts[0].target);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn target_gets_no_work_after_a_refusal_until_it_lists_its_runs() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Refused(Refusal::Unable));
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_millis(50));
    cell.list_nothing(&starts[0].target);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn unanswered_start_that_is_listed_continues() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Unknown);
    cell.list_running(&starts);
    expect_that!(cell.take_stops(), is_empty());
    cell.end_run(&starts[0], End::Done);
    cell.record();
    expect_that!(cell.state("job"), eq(JobState::Complete));
}

#[gtest]
fn recorded_ends_do_not_apply_to_a_restarted_target() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(3)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.end_run(&starts[0], End::Done);
    cell.end_run(&starts[1], End::Done);
    let batch = cell.planner.take_batch(cell.now).expect("there are ends to record");
    cell.restart_target(&starts[0].target);
    cell.end_run(&starts[2], End::Done);
    cell.planner.batch_recorded(batch);
    expect_that!(cell.planner.recorded_end(&starts[0].target).number, eq(0));
}

#[gtest]
fn repeated_stop_acknowledgement_does_not_delay_the_end_of_a_run() {
    // If each further acknowledgement delayed the listing that shows the end of
    // the run, jobs would be lost (as on mix days of both sites with late
    // orders).
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Unknown);
    cell.list_nothing(&starts[0].target);
    cell.answer_stop(&starts[0]);
    let requested_at = cell.now + Duration::from_millis(100);
    cell.advance(Duration::from_millis(600));
    cell.answer_stop(&starts[0]);
    cell.list_nothing_as_of(&starts[0].target, requested_at);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn slow_target_gets_no_work() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(12)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    let slow = starts[0].target.clone();
    for tenth in 1..8 {
        cell.advance(Duration::from_millis(750));
        // The estimate is 1 s. The other tasks take that long, the tasks on the
        // slow target eight times as long.
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
fn stalled_run_is_stopped() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(2)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    for _ in 0..6 {
        cell.advance(Duration::from_millis(750));
        cell.list_progress(&starts, |_| 40);
    }
    expect_that!(cell.take_stops().len(), ge(2));
}

#[gtest]
fn failing_target_gets_only_probes() {
    let mut cell = Cell::new(2);
    for number in 0..3 {
        cell.accept(&format!("job-{number}"), vec![step(1)]);
    }
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    let failing = starts[0].target.clone();
    for start in starts.iter().filter(|start| start.target == failing) {
        cell.end_run(start, End::Failed);
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
fn backfill_does_not_share_targets_with_latency_goals_if_interference_is_off() {
    let interference = Interference { is_enabled: false, ..Interference::default() };
    let mut cell = Cell::with_settings(2, Settings { interference, ..Settings::default() });
    cell.accept("serving", vec![Step { latency_goal_ms: Some(50), long_running: true, ..step(2) }]);
    let serving = cell.decide_starts();
    cell.answer_starts(&serving, &StartAnswer::Started);
    cell.accept("filling", vec![Step { is_backfill: true, ..step(16) }]);
    let filling = cell.decide_starts();
    expect_that!(filling.len(), eq(8));
    for start in &filling {
        expect_that!(start.target, not(eq(&serving[0].target)));
    }
}

#[gtest]
fn target_with_runs_of_unknown_jobs_gets_no_work() {
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

#[gtest]
fn restarted_target_gets_no_work_until_its_capacity_is_listed() {
    let mut cell = Cell::new(1);
    let target = Name::from("target-0");
    cell.update_targets(|info| info.born_unix_ms = 1);
    cell.list_nothing(&target);
    cell.restart_target(&target);
    cell.list_nothing(&target);
    cell.record_restarts();
    cell.accept("job", vec![step(8)]);
    expect_that!(cell.decide_starts(), is_empty());
    // The target has started again on half of the capacity.
    cell.update_targets(|info| {
        info.born_unix_ms = 2;
        info.capacity = step(1).size * 4;
    });
    expect_that!(cell.decide_starts().len(), eq(4));
}

#[gtest]
fn target_listed_as_restarted_gets_no_work_until_it_answers() {
    let mut cell = Cell::new(1);
    let target = Name::from("target-0");
    cell.update_targets(|info| info.born_unix_ms = 1);
    cell.list_nothing(&target);
    cell.update_targets(|info| info.born_unix_ms = 2);
    cell.accept("job", vec![step(8)]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.restart_target(&target);
    cell.list_nothing(&target);
    cell.record_restarts();
    expect_that!(cell.decide_starts().len(), eq(8));
}

#[gtest]
fn no_work_starts_by_a_list_of_targets_that_may_be_old() {
    /// Time after which a smaller capacity of a target counts: 4 s of contact and
    /// a heartbeat of 1.5 s.
    const CAPACITY_BOUND: Duration = Duration::from_millis(5500);
    let mut cell = Cell::new(1);
    cell.planner.targets_confirmed(cell.now);
    cell.advance(CAPACITY_BOUND);
    cell.list_nothing("target-0");
    cell.accept("job", vec![step(8)]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.planner.targets_confirmed(cell.now);
    expect_that!(cell.decide_starts().len(), eq(8));
}

#[gtest]
fn target_that_has_shrunk_gets_work_only_for_its_room() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(6)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.update_targets(|info| info.capacity = step(1).size * 4);
    cell.accept("next", vec![step(2)]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.end_run(&starts[0], End::Done);
    cell.end_run(&starts[1], End::Done);
    expect_that!(cell.decide_starts(), is_empty());
    cell.end_run(&starts[2], End::Done);
    expect_that!(cell.decide_starts().len(), eq(1));
    cell.update_targets(|info| info.capacity = step(1).size * 8);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn capacity_of_any_size_breaks_no_round() {
    let advice = Advice { request_us: 1000, target_us: 10, valid_ms: 1500 };
    let tiny = Resources { cpu_milli: 1, ..Resources::ZERO };
    for size in [step(1).size, tiny, Resources::ZERO] {
        let mut cell = Cell::new(3);
        cell.planner.set_instances(4, cell.now);
        cell.set_advice(QUEUE, advice);
        cell.update_targets(|info| info.capacity = Resources::MAX);
        cell.accept("tasks", vec![Step { size, ..step(40) }]);
        cell.accept("gang", vec![Step { size, gang: true, ..step(40) }]);
        cell.accept("apart", vec![Step { size, max_per_target: Some(1), ..step(3) }]);
        for _ in 0..4 {
            cell.advance(Duration::from_millis(100));
            cell.decide_starts();
            for request in cell.take_advice_requests() {
                let tickets = request.targets.iter().map(|id| (id.clone(), Name::from("ticket")));
                let (allowed, until) = (tickets.collect(), cell.now + Duration::from_secs(1));
                cell.planner.advice_answered(&request.step, &request.targets, Some(allowed), until);
            }
            cell.list_nothing_on_others("");
            cell.planner.overloads(cell.now);
        }
    }
}

/// Lets tasks run as estimated for ten seconds, and returns the starts of a job with
/// these steps, of which all runs take 20 times their estimates for 3 s.
fn run_long_tasks(cell: &mut Cell, steps: Vec<Step>) -> Vec<Start> {
    for round in 0..40 {
        cell.accept(&format!("usual-{round}"), vec![step(4)]);
        let starts = cell.decide_starts();
        cell.answer_starts(&starts, &StartAnswer::Started);
        for tenth in 1..10 {
            cell.advance(Duration::from_millis(100));
            cell.list_progress(&starts, |_| tenth * 10);
        }
        cell.advance(Duration::from_millis(100));
        for start in &starts {
            cell.end_run(start, End::Done);
        }
    }
    cell.accept("long", steps);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    for tenth in 1..30 {
        cell.advance(Duration::from_millis(100));
        cell.list_progress(&starts, |_| tenth / 2);
    }
    starts
}

#[gtest]
fn job_that_takes_longer_than_estimated_closes_no_pool() {
    // No target got work for 13 s, as all counted as slow (review-cell estimates).
    let mut cell = Cell::new(4);
    let long = Step { max_per_target: Some(1), ..step(4) };
    let starts = run_long_tasks(&mut cell, vec![long]);
    expect_that!(starts.len(), eq(4));
    cell.accept("next", vec![Step { max_per_target: Some(1), ..step(4) }]);
    expect_that!(cell.decide_starts().len(), eq(4));
}

#[gtest]
fn single_long_task_does_not_make_its_target_slow() {
    let mut cell = Cell::new(4);
    let starts = run_long_tasks(&mut cell, vec![step(1)]);
    expect_that!(starts.len(), eq(1));
    cell.accept("next", vec![Step { max_per_target: Some(1), ..step(4) }]);
    expect_that!(cell.decide_starts().len(), eq(4));
}
