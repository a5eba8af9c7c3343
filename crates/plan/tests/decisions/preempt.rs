//! Room that is made and kept for gangs.

use std::time::Duration;

use base::Name;
use googletest::prelude::*;
use plan::{AdviceRequest, Start, StartAnswer, Stop, StopCause};
use work::{Advice, Step};

use crate::cell::{Cell, OTHER_QUEUE, QUEUE, small_step, step};

/// Time that the jobs of a patient queue have beyond twice their work.
const PATIENCE: Duration = Duration::from_secs(30);

const ADVICE: Advice = Advice { request_us: 20_000, target_us: 100, valid_ms: 1500 };

fn gang(count: u32) -> Step {
    Step { gang: true, ..step(count) }
}

fn saving(count: u32) -> Step {
    Step { checkpoints: true, ..step(count) }
}

/// A cell of full targets, with the runs of a patient job on them.
fn full_cell(targets: u32, patience: Duration, step: Step) -> (Cell, Vec<Start>) {
    let mut cell = Cell::new(targets);
    cell.add_patient_queue(OTHER_QUEUE, patience);
    cell.accept_in(OTHER_QUEUE, "patient", vec![step]);
    let running = cell.decide_starts();
    cell.answer_all(&running, &StartAnswer::Started);
    (cell, running)
}

/// Accepts a gang; gets the runs that are moved for it.
fn moved_for(cell: &mut Cell, id: &str, step: Step) -> Vec<Stop> {
    cell.accept(id, vec![step]);
    expect_that!(cell.decide_starts(), is_empty());
    let cause = StopCause::Moved(Name::from(id));
    cell.stops().into_iter().filter(|stop| stop.cause == cause).collect()
}

/// Gets the start of a run that is told to stop.
fn start_of<'a>(running: &'a [Start], stop: &Stop) -> &'a Start {
    running.iter().find(|start| start.task == stop.task).expect("it was started")
}

fn answer(cell: &mut Cell, ask: &AdviceRequest, time: Duration) {
    let tickets = ask.targets.iter().map(|target| (target.clone(), Name::from("ticket")));
    cell.board.advice_answered(&ask.step, &ask.targets, Some(tickets.collect()), cell.now + time);
}

#[gtest]
fn runs_that_save_their_work_make_room_for_a_gang_and_resume() {
    let (mut cell, running) = full_cell(1, PATIENCE, saving(8));
    expect_that!(running.len(), eq(8));
    let moved = moved_for(&mut cell, "gang", gang(4));
    expect_that!(moved.len(), eq(4));
    // The gang starts whole, once all of them have ended.
    for stop in &moved[..3] {
        cell.save(start_of(&running, stop), "half");
    }
    expect_that!(cell.decide_starts(), is_empty());
    cell.save(start_of(&running, &moved[3]), "half");
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(4));
    expect_that!(starts.iter().all(|start| &*start.task.step.job == "gang"), eq(true));
    cell.answer_all(&starts, &StartAnswer::Started);
    for start in &starts {
        cell.end(start, work::End::Done);
    }
    let resumed = cell.decide_starts();
    expect_that!(resumed.len(), eq(4));
    let half = Some(Name::from("half"));
    expect_that!(resumed.iter().all(|start| start.checkpoint == half), eq(true));
}

#[gtest]
fn nothing_is_moved_that_would_lose_by_it() {
    let cases = [
        ("without checkpoints", PATIENCE, step(8)),
        ("without time left", Duration::from_secs(1), saving(8)),
        ("a gang", PATIENCE, Step { checkpoints: true, ..gang(8) }),
        ("lasting", PATIENCE, Step { long_running: true, ..saving(8) }),
    ];
    for (case, patience, step) in cases {
        let (mut cell, running) = full_cell(1, patience, step);
        expect_that!(running.len(), eq(8), "{case}");
        expect_that!(moved_for(&mut cell, "gang", gang(4)), is_empty(), "{case}");
    }
}

#[gtest]
fn nothing_is_moved_for_a_gang_that_is_no_more_urgent() {
    let (mut cell, running) = full_cell(1, PATIENCE, saving(8));
    expect_that!(running.len(), eq(8));
    cell.accept_in(OTHER_QUEUE, "gang", vec![gang(4)]);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.stops(), is_empty());
}

#[gtest]
fn nothing_is_moved_for_a_gang_that_can_only_be_late() {
    let (mut cell, running) = full_cell(2, PATIENCE, saving(16));
    expect_that!(running.len(), eq(16));
    cell.accept("gang", vec![gang(4)]);
    cell.advance(Duration::from_secs(3));
    cell.list_progress(&running, |_| 10);
    expect_that!(cell.decide_starts(), is_empty());
    expect_that!(cell.stops(), is_empty());
}

#[gtest]
fn room_is_made_whole_or_not_at_all() {
    let (mut cell, _) = full_cell(1, PATIENCE, saving(5));
    // Three more run that can't be moved.
    cell.accept("other", vec![step(3)]);
    let others = cell.decide_starts();
    cell.answer_all(&others, &StartAnswer::Started);
    expect_that!(moved_for(&mut cell, "large", gang(6)), is_empty());
    expect_that!(moved_for(&mut cell, "small", gang(5)).len(), eq(5));
}

#[gtest]
fn room_is_made_where_the_least_is_moved() {
    let (mut cell, running) = full_cell(2, PATIENCE, saving(12));
    let busy = running[0].target.clone();
    let elsewhere = running.iter().filter(|start| start.target != busy).count();
    expect_that!(elsewhere, eq(4));
    // Four members find room as it is.
    let moved = moved_for(&mut cell, "gang", gang(6));
    expect_that!(moved.len(), eq(2));
}

#[gtest]
fn room_is_made_near_the_data() {
    let (mut cell, _) = full_cell(4, PATIENCE, saving(32));
    let rack = |id: &str| Name::from(if id < "target-2" { "near" } else { "far" });
    cell.list_targets_with(|facts| facts.rack = rack(&facts.id));
    let near = Step { data_rack: Some(Name::from("near")), ..gang(12) };
    let moved = moved_for(&mut cell, "gang", near);
    expect_that!(moved.len(), eq(12));
    expect_that!(moved.iter().all(|stop| &*rack(&stop.target) == "near"), eq(true));
}

#[gtest]
fn room_that_is_being_made_goes_to_nobody_else() {
    let (mut cell, running) = full_cell(1, PATIENCE, saving(8));
    let moved = moved_for(&mut cell, "gang", gang(4));
    cell.accept("small", vec![step(1)]);
    for stop in &moved[..3] {
        cell.save(start_of(&running, stop), "half");
        expect_that!(cell.decide_starts(), is_empty());
    }
}

#[gtest]
fn a_task_is_moved_a_few_times_at_most() {
    let (mut cell, mut running) = full_cell(1, PATIENCE, saving(8));
    let most = plan::Settings::default().preemption.moves_per_task;
    for round in 0..most {
        // What may be moved is looked for ten times a second.
        cell.advance(Duration::from_millis(150));
        let moved = moved_for(&mut cell, &format!("gang-{round}"), gang(8));
        expect_that!(moved.len(), eq(8));
        for stop in &moved {
            cell.save(start_of(&running, stop), "half");
        }
        let starts = cell.decide_starts();
        cell.answer_all(&starts, &StartAnswer::Started);
        for start in &starts {
            cell.end(start, work::End::Done);
        }
        running = cell.decide_starts();
        cell.answer_all(&running, &StartAnswer::Started);
        expect_that!(running.len(), eq(8));
    }
    cell.advance(Duration::from_millis(150));
    expect_that!(moved_for(&mut cell, "last", gang(8)), is_empty());
}

#[gtest]
fn room_on_a_target_that_falls_silent_is_given_up() {
    let (mut cell, running) = full_cell(2, PATIENCE, saving(16));
    let moved = moved_for(&mut cell, "gang", gang(4));
    let target = moved[0].target.clone();
    cell.fall_silent(&target);
    expect_that!(cell.decide_starts(), is_empty());
    // It is made on the other one instead.
    let again = cell.stops();
    expect_that!(again.len(), eq(4));
    expect_that!(again.iter().all(|stop| stop.target != target), eq(true));
    for stop in &again {
        cell.save(start_of(&running, stop), "half");
    }
    expect_that!(cell.decide_starts().len(), eq(4));
}

#[gtest]
fn room_on_a_target_that_leaves_the_pool_is_given_up() {
    let (mut cell, running) = full_cell(1, PATIENCE, saving(8));
    let moved = moved_for(&mut cell, "gang", gang(4));
    cell.list_targets_with(|facts| facts.service = Name::from("another pool"));
    for stop in &moved {
        cell.save(start_of(&running, stop), "half");
    }
    expect_that!(cell.decide_starts(), is_empty());
}

#[gtest]
fn what_a_moved_run_has_saved_outlasts_its_placer() {
    let (mut cell, running) = full_cell(1, PATIENCE, saving(8));
    let moved = moved_for(&mut cell, "gang", gang(8));
    for stop in &moved {
        cell.save(start_of(&running, stop), "half");
    }
    cell.cancel("gang");
    let mut next = cell.take_over();
    let resumed = next.decide_starts();
    let half = Some(Name::from("half"));
    expect_that!(resumed.iter().all(|start| start.checkpoint == half), eq(true));
    expect_that!(resumed.len(), eq(8));
}

#[gtest]
fn a_gang_keeps_its_room_until_its_tickets_come() {
    // Seen on pilares-sched-large: reviews asked up to nine times, for a second
    // each, as others took their room before the tickets came.
    let mut cell = Cell::new(1);
    cell.set_advice(QUEUE, ADVICE);
    cell.board.set_instances(4, cell.now);
    cell.accept("gang", vec![gang(6)]);
    cell.decide_starts();
    let first = cell.take_asks();
    // The tickets have ended when the answer is there.
    answer(&mut cell, &first[0], Duration::ZERO);
    cell.accept("small", vec![step(4)]);
    cell.decide_starts();
    let second = cell.take_asks();
    let of_job = |id: &str| second.iter().find(|ask| &*ask.step.job == id);
    let (for_gang, for_small) = (of_job("gang"), of_job("small"));
    answer(&mut cell, for_small.expect("it asks"), Duration::from_secs(1));
    // Two of four fit beside the gang.
    expect_that!(cell.decide_starts().len(), eq(2));
    answer(&mut cell, for_gang.expect("it asks again"), Duration::from_secs(1));
    let starts = cell.decide_starts();
    expect_that!(starts.iter().filter(|start| &*start.task.step.job == "gang").count(), eq(6));
}

#[gtest]
fn a_task_in_a_full_cell_has_its_ticket_when_room_comes_free() {
    // Seen in the play of association-heavy: a sixth of the cell stood empty, kept
    // for lookups that asked for their tickets.
    let mut cell = Cell::new(2);
    cell.accept("running", vec![step(16)]);
    let running = cell.decide_starts();
    cell.answer_all(&running, &StartAnswer::Started);
    cell.set_advice(QUEUE, ADVICE);
    cell.board.set_instances(4, cell.now);
    cell.accept("small", vec![step(1)]);
    expect_that!(cell.decide_starts(), is_empty());
    let asks = cell.take_asks();
    expect_that!(asks.len(), eq(1));
    answer(&mut cell, &asks[0], Duration::from_secs(1));
    cell.end(&running[0], work::End::Done);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn a_wide_gang_asks_about_many_targets_side_by_side() {
    // Seen in the play of firm-large: six requests of a hundred targets one after
    // the other, 1.5 s each, of which the tickets of the first had ended by then.
    let advice = Advice { request_us: 600_000, target_us: 8_600, valid_ms: 1500 };
    let mut cell = Cell::new(300);
    cell.set_advice(QUEUE, advice);
    cell.board.set_instances(97, cell.now);
    cell.accept("gang", vec![Step { size: small_step().size * 4, ..gang(80) }]);
    cell.decide_starts();
    let asks = cell.take_asks();
    expect_that!(asks.len(), ge(2));
    for ask in &asks {
        // Its targets take no longer than the request itself.
        expect_that!(ask.cost_us, le(2 * u64::from(advice.request_us)));
    }
}
