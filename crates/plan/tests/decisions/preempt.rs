//! Preemption and reservations for gangs.

use std::time::Duration;

use base::Name;
use googletest::prelude::*;
use plan::{AdviceRequest, Start, StartAnswer, Stop, StopCause};
use work::{Advice, Step};

use crate::cell::{Cell, OTHER_QUEUE, QUEUE, small_step, step};

/// Objective of the low-priority jobs beyond twice their estimate.
const SLACK: Duration = Duration::from_secs(30);

const ADVICE: Advice = Advice { request_us: 20_000, target_us: 100, valid_ms: 1500 };

fn gang(count: u32) -> Step {
    Step { gang: true, ..step(count) }
}

fn with_checkpoints(count: u32) -> Step {
    Step { checkpoints: true, ..step(count) }
}

/// Returns a cell and the runs of a low-priority job that fill it.
fn full_cell(targets: u32, slack: Duration, step: Step) -> (Cell, Vec<Start>) {
    let mut cell = Cell::new(targets);
    cell.add_low_priority_queue(OTHER_QUEUE, slack);
    cell.accept_in(OTHER_QUEUE, "patient", vec![step]);
    let running = cell.decide_starts();
    cell.answer_starts(&running, &StartAnswer::Started);
    (cell, running)
}

/// Accepts a gang and returns the runs that are preempted for it.
fn runs_preempted_for(cell: &mut Cell, id: &str, step: Step) -> Vec<Stop> {
    cell.accept(id, vec![step]);
    expect_that!(cell.decide_starts(), is_empty());
    let cause = StopCause::Moved(Name::from(id));
    cell.take_stops().into_iter().filter(|stop| stop.cause == cause).collect()
}

/// Returns the start order of a run that is ordered to stop.
fn start_of<'a>(running: &'a [Start], stop: &Stop) -> &'a Start {
    running.iter().find(|start| start.task == stop.task).expect("only started runs are stopped")
}

fn answer(cell: &mut Cell, request: &AdviceRequest, time: Duration) {
    let tickets = request.targets.iter().map(|target| (target.clone(), Name::from("ticket")));
    cell.planner.advice_answered(
        &request.step,
        &request.targets,
        Some(tickets.collect()),
        cell.now + time,
    );
}

#[gtest]
fn runs_with_checkpoints_are_preempted_for_a_gang_and_resume() {
    let (mut cell, running) = full_cell(1, SLACK, with_checkpoints(8));
    expect_that!(running.len(), eq(8));
    let preempted = runs_preempted_for(&mut cell, "gang", gang(4));
    expect_that!(preempted.len(), eq(4));
    // The gang starts as a whole once all of the runs have ended.
    for stop in &preempted[..3] {
        cell.stop_with_checkpoint(start_of(&running, stop), "half");
    }
    expect_that!(cell.decide_starts(), is_empty());
    cell.stop_with_checkpoint(start_of(&running, &preempted[3]), "half");
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(4));
    expect_that!(starts.iter().all(|start| &*start.task.step.job == "gang"), eq(true));
    cell.answer_starts(&starts, &StartAnswer::Started);
    for start in &starts {
        cell.end_run(start, work::End::Done);
    }
    let resumed = cell.decide_starts();
    expect_that!(resumed.len(), eq(4));
    let half = Some(Name::from("half"));
    expect_that!(resumed.iter().all(|start| start.checkpoint == half), eq(true));
}

#[gtest]
fn gang_preempts_runs_although_a_smaller_step_found_no_room() {
    // That no target has room says nothing about room that can be made.
    let (mut cell, running) = full_cell(1, SLACK, with_checkpoints(8));
    cell.accept("small", vec![step(1)]);
    cell.advance(Duration::from_millis(10));
    cell.list_progress(&running, |_| 10);
    expect_that!(runs_preempted_for(&mut cell, "gang", gang(4)).len(), eq(4));
}

#[gtest]
fn advice_on_full_targets_is_requested_although_a_smaller_step_found_no_room() {
    let (mut cell, running) = full_cell(1, SLACK, step(8));
    cell.planner.set_instances(4, cell.now);
    cell.add_queue("advised", ADVICE);
    cell.accept("small", vec![step(1)]);
    cell.advance(Duration::from_millis(10));
    cell.list_progress(&running, |_| 10);
    cell.accept_in("advised", "waiting", vec![step(1)]);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.take_advice_requests().len(), eq(1));
}

#[gtest]
fn runs_that_would_lose_work_or_be_late_are_not_preempted() {
    let cases = [
        ("without checkpoints", SLACK, step(8)),
        ("without time left", Duration::from_secs(1), with_checkpoints(8)),
        ("a gang", SLACK, Step { checkpoints: true, ..gang(8) }),
        ("lasting", SLACK, Step { long_running: true, ..with_checkpoints(8) }),
    ];
    for (case, slack, step) in cases {
        let (mut cell, running) = full_cell(1, slack, step);
        expect_that!(running.len(), eq(8), "{case}");
        expect_that!(runs_preempted_for(&mut cell, "gang", gang(4)), is_empty(), "{case}");
    }
}

#[gtest]
fn equally_urgent_gang_preempts_nothing() {
    let (mut cell, running) = full_cell(1, SLACK, with_checkpoints(8));
    expect_that!(running.len(), eq(8));
    cell.accept_in(OTHER_QUEUE, "gang", vec![gang(4)]);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.take_stops(), is_empty());
}

#[gtest]
fn late_gang_preempts_nothing() {
    let (mut cell, running) = full_cell(2, SLACK, with_checkpoints(16));
    expect_that!(running.len(), eq(16));
    cell.accept("gang", vec![gang(4)]);
    cell.advance(Duration::from_secs(3));
    cell.list_progress(&running, |_| 10);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.take_stops(), is_empty());
}

#[gtest]
fn room_is_made_for_a_whole_gang_or_not_at_all() {
    let (mut cell, _) = full_cell(1, SLACK, with_checkpoints(5));
    // Three more tasks that cannot be preempted.
    cell.accept("other", vec![step(3)]);
    let others = cell.decide_starts();
    cell.answer_starts(&others, &StartAnswer::Started);
    expect_that!(runs_preempted_for(&mut cell, "large", gang(6)), is_empty());
    expect_that!(runs_preempted_for(&mut cell, "small", gang(5)).len(), eq(5));
}

#[gtest]
fn room_is_made_with_the_fewest_preemptions() {
    let (mut cell, running) = full_cell(2, SLACK, with_checkpoints(12));
    let busy = running[0].target.clone();
    let elsewhere = running.iter().filter(|start| start.target != busy).count();
    expect_that!(elsewhere, eq(4));
    // Four members find room without preemption.
    let preempted = runs_preempted_for(&mut cell, "gang", gang(6));
    expect_that!(preempted.len(), eq(2));
}

#[gtest]
fn room_is_made_near_the_data() {
    let (mut cell, _) = full_cell(4, SLACK, with_checkpoints(32));
    let rack = |id: &str| Name::from(if id < "target-2" { "near" } else { "far" });
    cell.update_targets(|info| info.rack = rack(&info.id));
    let near = Step { data_rack: Some(Name::from("near")), ..gang(12) };
    let preempted = runs_preempted_for(&mut cell, "gang", near);
    expect_that!(preempted.len(), eq(12));
    expect_that!(preempted.iter().all(|stop| &*rack(&stop.target) == "near"), eq(true));
}

#[gtest]
fn reserved_room_is_not_given_to_other_jobs() {
    let (mut cell, running) = full_cell(1, SLACK, with_checkpoints(8));
    let preempted = runs_preempted_for(&mut cell, "gang", gang(4));
    cell.accept("small", vec![step(1)]);
    for stop in &preempted[..3] {
        cell.stop_with_checkpoint(start_of(&running, stop), "half");
        expect_that!(cell.decide_starts(), is_empty());
    }
}

#[gtest]
fn preemptions_per_task_are_limited() {
    let (mut cell, mut running) = full_cell(1, SLACK, with_checkpoints(8));
    let max_preemptions = plan::Settings::default().preemption.max_per_task;
    for round in 0..max_preemptions {
        // The cache of preemptible runs is refreshed ten times per second.
        cell.advance(Duration::from_millis(150));
        let preempted = runs_preempted_for(&mut cell, &format!("gang-{round}"), gang(8));
        expect_that!(preempted.len(), eq(8));
        for stop in &preempted {
            cell.stop_with_checkpoint(start_of(&running, stop), "half");
        }
        let starts = cell.decide_starts();
        cell.answer_starts(&starts, &StartAnswer::Started);
        for start in &starts {
            cell.end_run(start, work::End::Done);
        }
        running = cell.decide_starts();
        cell.answer_starts(&running, &StartAnswer::Started);
        expect_that!(running.len(), eq(8));
    }
    cell.advance(Duration::from_millis(150));
    expect_that!(runs_preempted_for(&mut cell, "last", gang(8)), is_empty());
}

#[gtest]
fn reservation_ends_when_a_target_becomes_unreachable() {
    let (mut cell, running) = full_cell(2, SLACK, with_checkpoints(16));
    let preempted = runs_preempted_for(&mut cell, "gang", gang(4));
    let target = preempted[0].target.clone();
    cell.make_unreachable(&target);
    expect_that!(cell.decide_starts(), is_empty());
    // Room is made on the other target instead.
    let again = cell.take_stops();
    expect_that!(again.len(), eq(4));
    expect_that!(again.iter().all(|stop| stop.target != target), eq(true));
    for stop in &again {
        cell.stop_with_checkpoint(start_of(&running, stop), "half");
    }
    expect_that!(cell.decide_starts().len(), eq(4));
}

#[gtest]
fn reservation_ends_when_a_target_leaves_the_pool() {
    let (mut cell, running) = full_cell(1, SLACK, with_checkpoints(8));
    let preempted = runs_preempted_for(&mut cell, "gang", gang(4));
    cell.update_targets(|info| info.service = Name::from("another pool"));
    for stop in &preempted {
        cell.stop_with_checkpoint(start_of(&running, stop), "half");
    }
    expect_that!(cell.decide_starts(), is_empty());
}

#[gtest]
fn checkpoint_of_a_preempted_run_survives_a_takeover() {
    let (mut cell, running) = full_cell(1, SLACK, with_checkpoints(8));
    let preempted = runs_preempted_for(&mut cell, "gang", gang(8));
    for stop in &preempted {
        cell.stop_with_checkpoint(start_of(&running, stop), "half");
    }
    cell.cancel("gang");
    let mut next = cell.take_over();
    let resumed = next.decide_starts();
    let half = Some(Name::from("half"));
    expect_that!(resumed.iter().all(|start| start.checkpoint == half), eq(true));
    expect_that!(resumed.len(), eq(8));
}

#[gtest]
fn gang_holds_its_room_until_its_tickets_arrive() {
    // Gangs requested advice up to nine times, for one second each, because
    // other jobs took their room before the tickets arrived
    // (pilares-sched-large).
    let mut cell = Cell::new(1);
    cell.set_advice(QUEUE, ADVICE);
    cell.planner.set_instances(4, cell.now);
    cell.accept("gang", vec![gang(6)]);
    cell.decide_starts();
    let first = cell.take_advice_requests();
    // The tickets have expired by the time of the answer.
    answer(&mut cell, &first[0], Duration::ZERO);
    cell.accept("small", vec![step(4)]);
    cell.decide_starts();
    let second = cell.take_advice_requests();
    let of_job = |id: &str| second.iter().find(|request| &*request.step.job == id);
    let (for_gang, for_small) = (of_job("gang"), of_job("small"));
    answer(&mut cell, for_small.expect("the small job requests advice"), Duration::from_secs(1));
    // Two of the four small tasks fit beside the gang.
    expect_that!(cell.decide_starts().len(), eq(2));
    answer(&mut cell, for_gang.expect("the gang requests advice again"), Duration::from_secs(1));
    let starts = cell.decide_starts();
    expect_that!(starts.iter().filter(|start| &*start.task.step.job == "gang").count(), eq(6));
}

#[gtest]
fn waiting_task_has_its_ticket_when_room_becomes_free() {
    // One sixth of the cell stayed empty, held for small tasks that waited for
    // their tickets (simulated association-heavy).
    let mut cell = Cell::new(2);
    cell.accept("running", vec![step(16)]);
    let running = cell.decide_starts();
    cell.answer_starts(&running, &StartAnswer::Started);
    cell.set_advice(QUEUE, ADVICE);
    cell.planner.set_instances(4, cell.now);
    cell.accept("small", vec![step(1)]);
    expect_that!(cell.decide_starts(), is_empty());
    let requests = cell.take_advice_requests();
    expect_that!(requests.len(), eq(1));
    answer(&mut cell, &requests[0], Duration::from_secs(1));
    cell.end_run(&running[0], work::End::Done);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn large_gang_requests_advice_on_many_targets_in_parallel() {
    // A gang sent six requests of 100 targets one after another, 1.5 s each, so
    // that the tickets of the first had expired at the end (simulated
    // firm-large).
    let advice = Advice { request_us: 600_000, target_us: 8_600, valid_ms: 1500 };
    let mut cell = Cell::new(300);
    cell.set_advice(QUEUE, advice);
    cell.planner.set_instances(97, cell.now);
    cell.accept("gang", vec![Step { size: small_step().size * 4, ..gang(80) }]);
    cell.decide_starts();
    let requests = cell.take_advice_requests();
    expect_that!(requests.len(), ge(2));
    for request in &requests {
        // The time for the targets does not exceed the fixed time of the
        // request.
        expect_that!(request.cost_us, le(2 * u64::from(advice.request_us)));
    }
}
