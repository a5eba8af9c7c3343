//! Tasks that start and end together.

use std::time::Duration;

use googletest::prelude::*;
use plan::StartAnswer;
use work::{End, JobState, Step};

use crate::cell::{ATTEMPTS, Cell, small_step, step};

#[gtest]
fn a_gang_starts_whole_or_not_at_all_and_again_as_a_whole() {
    let mut cell = Cell::new(1);
    cell.accept("large", vec![Step { gang: true, ..step(9) }]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.accept("gang", vec![Step { gang: true, ..step(4) }]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(4));
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.end(&starts[0], End::Failed);
    expect_that!(cell.stops().len(), eq(3));
    expect_that!(cell.decide_starts(), is_empty());
    for start in &starts[1..] {
        cell.end(start, End::Broken);
    }
    let again = cell.decide_starts();
    expect_that!(again.len(), eq(4));
    expect_that!(again.iter().map(|start| start.run).collect::<Vec<_>>(), each(eq(&2)));
}

#[gtest]
fn one_end_of_a_gang_as_done_stands_for_all() {
    let mut cell = Cell::new(1);
    cell.accept("gang", vec![Step { gang: true, ..step(3) }]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.end(&starts[1], End::Done);
    cell.record();
    expect_that!(cell.state("gang"), eq(JobState::Complete));
}

#[gtest]
fn failures_of_different_members_are_failures_of_their_gang() {
    let mut cell = Cell::new(1);
    cell.accept("gang", vec![Step { gang: true, ..step(3) }]);
    for failing in 0..ATTEMPTS as usize {
        let starts = cell.decide_starts();
        expect_that!(starts.len(), eq(3));
        cell.answer_all(&starts, &StartAnswer::Started);
        for (member, start) in starts.iter().enumerate() {
            cell.end(start, if member == failing { End::Failed } else { End::Broken });
        }
    }
    cell.record();
    expect_that!(cell.state("gang"), eq(JobState::Failed));
}

#[gtest]
fn a_member_that_has_done_its_part_waits_for_its_gang() {
    // Seen on quiet-1 of anpgc-sched, job 38f3d4cc6ade4efd: stopped 0.1 s before
    // its end, as the quicker members had stood at the end for 3.5 s.
    let mut cell = Cell::new(2);
    cell.accept("gang", vec![Step { gang: true, ..step(2) }]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    for _ in 0..8 {
        cell.advance(Duration::from_millis(750));
        cell.list_progress(&starts, |_| 100);
    }
    expect_that!(cell.stops(), is_empty());
}

#[gtest]
fn a_gang_that_is_late_finds_room_beside_a_stream_of_small_tasks() {
    // Seen as LOST on fresh-83b2 of anpgc-sched-grown: a gang waited 55 s.
    let mut cell = Cell::new(2);
    cell.accept("filler", vec![step(9)]);
    let mut running = cell.decide_starts();
    cell.answer_all(&running, &StartAnswer::Started);
    let whole = Step { gang: true, size: small_step().size * 8, ..step(1) };
    cell.accept("gang", vec![whole]);
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_secs(30));
    cell.hear_running(&running);
    // The stream takes each gap that it finds, but the gang's target empties.
    for number in 0..12 {
        if let Some(start) = running.pop() {
            cell.end(&start, End::Done);
        }
        cell.accept(&format!("small-{number}"), vec![step(1)]);
        let starts = cell.decide_starts();
        cell.answer_all(&starts, &StartAnswer::Started);
        if starts.iter().any(|start| &*start.task.step.job == "gang") {
            return;
        }
        running.splice(0..0, starts);
    }
    fail!("the gang did not start").expect("it has to");
}
