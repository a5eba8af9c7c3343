//! Gangs, whose tasks start and end together.

use std::time::Duration;

use googletest::prelude::*;
use plan::StartAnswer;
use work::{End, JobState, Step};

use crate::cell::{ATTEMPTS, Cell, small_step, step};

#[gtest]
fn gang_starts_and_restarts_as_a_whole() {
    let mut cell = Cell::new(1);
    cell.accept("large", vec![Step { gang: true, ..step(9) }]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.accept("gang", vec![Step { gang: true, ..step(4) }]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(4));
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.end_run(&starts[0], End::Failed);
    expect_that!(cell.take_stops().len(), eq(3));
    expect_that!(cell.decide_starts(), is_empty());
    for start in &starts[1..] {
        cell.end_run(start, End::Broken);
    }
    let again = cell.decide_starts();
    expect_that!(again.len(), eq(4));
    expect_that!(again.iter().map(|start| start.run).collect::<Vec<_>>(), each(eq(&2)));
}

#[gtest]
fn first_member_done_completes_the_gang() {
    let mut cell = Cell::new(1);
    cell.accept("gang", vec![Step { gang: true, ..step(3) }]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    cell.end_run(&starts[1], End::Done);
    cell.record();
    expect_that!(cell.state("gang"), eq(JobState::Complete));
}

#[gtest]
fn failures_of_all_members_count_for_the_gang() {
    let mut cell = Cell::new(1);
    cell.accept("gang", vec![Step { gang: true, ..step(3) }]);
    for failing in 0..ATTEMPTS as usize {
        let starts = cell.decide_starts();
        expect_that!(starts.len(), eq(3));
        cell.answer_starts(&starts, &StartAnswer::Started);
        for (member, start) in starts.iter().enumerate() {
            cell.end_run(start, if member == failing { End::Failed } else { End::Broken });
        }
    }
    cell.record();
    expect_that!(cell.state("gang"), eq(JobState::Failed));
}

#[gtest]
fn complete_member_is_not_stopped_while_it_waits_for_its_gang() {
    // A faster member of a gang that waits at the end for the others does not
    // count as stalled. In one trial a gang was stopped 0.1 s before its end,
    // because some members had waited there for 3.5 s (quiet-1 of anpgc-sched).
    let mut cell = Cell::new(2);
    cell.accept("gang", vec![Step { gang: true, ..step(2) }]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    for _ in 0..8 {
        cell.advance(Duration::from_millis(750));
        cell.list_progress(&starts, |_| 100);
    }
    expect_that!(cell.take_stops(), is_empty());
}

#[gtest]
fn late_gang_is_not_starved_by_small_tasks() {
    // A gang waited for 55 s and its job was lost (fresh-83b2 of
    // anpgc-sched-grown).
    let mut cell = Cell::new(2);
    cell.accept("filler", vec![step(9)]);
    let mut running = cell.decide_starts();
    cell.answer_starts(&running, &StartAnswer::Started);
    let whole = Step { gang: true, size: small_step().size * 8, ..step(1) };
    cell.accept("gang", vec![whole]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_secs(30));
    cell.list_as_complete(&running);
    // The small tasks could take each gap, but the target of the gang must
    // become empty.
    for number in 0..12 {
        if let Some(start) = running.pop() {
            cell.end_run(&start, End::Done);
        }
        cell.accept(&format!("small-{number}"), vec![step(1)]);
        let starts = cell.decide_starts();
        cell.answer_starts(&starts, &StartAnswer::Started);
        if starts.iter().any(|start| &*start.task.step.job == "gang") {
            return;
        }
        running.splice(0..0, starts);
    }
    fail!("the gang did not start").expect("late gangs must not starve");
}
