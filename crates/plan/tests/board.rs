//! What the board does with what it is told.

mod common;

use std::time::Duration;

use common::Cell;
use googletest::prelude::*;
use plan::{Refusal, StartAnswer};
use work::{End, JobState, Step};

fn step(count: u32) -> Step {
    Step { count, ..common::small_step() }
}

#[gtest]
fn tasks_start_where_there_is_room_and_end_with_their_job() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(3)]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(3));
    cell.answer_all(&starts, &StartAnswer::Started);
    expect_that!(cell.state("job"), eq(JobState::Active));
    for start in &starts {
        cell.end(start, End::Done);
    }
    // It is told once it is recorded.
    expect_that!(cell.state("job"), eq(JobState::Active));
    cell.record();
    expect_that!(cell.state("job"), eq(JobState::Complete));
}

#[gtest]
fn no_target_is_ever_overcommitted() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(20)]);
    let starts = cell.decide_starts();
    // Eight fit.
    expect_that!(starts.len(), eq(8));
    cell.answer_all(&starts, &StartAnswer::Unknown);
    cell.advance(Duration::from_millis(100));
    // What may be running takes room until its end is certain.
    expect_that!(cell.decide_starts(), is_empty());
}

#[gtest]
fn a_later_step_starts_after_all_tasks_of_the_earlier_one() {
    let mut cell = Cell::new(2);
    let second = Step { after: [0].into_iter().collect(), ..step(1) };
    cell.accept("job", vec![step(2), second]);
    let first = cell.decide_starts();
    expect_that!(first.len(), eq(2));
    cell.answer_all(&first, &StartAnswer::Started);
    cell.end(&first[0], End::Done);
    expect_that!(cell.decide_starts(), is_empty());
    cell.end(&first[1], End::Done);
    let second = cell.decide_starts();
    expect_that!(second.len(), eq(1));
    expect_that!(second[0].task.step.step, eq(1));
}

#[gtest]
fn an_unanswered_start_is_stopped_and_repeated_only_when_it_is_surely_gone() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Unknown);
    // It may be there: a listing that lacks it makes the difference.
    expect_that!(cell.stops(), is_empty());
    cell.list_nothing(&starts[0].target);
    expect_that!(cell.stops().len(), eq(1));
    cell.advance(Duration::from_millis(50));
    // Listings without it prove nothing while the stop isn't answered.
    cell.list_nothing(&starts[0].target);
    expect_that!(cell.decide_starts(), is_empty());
    cell.stop_answered(&starts[0]);
    cell.advance(Duration::from_millis(50));
    cell.list_nothing(&starts[0].target);
    let again = cell.decide_starts();
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].run, gt(starts[0].run));
}

#[gtest]
fn a_run_on_a_silent_target_counts_until_its_lease_has_lapsed() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.fall_silent(&starts[0].target);
    cell.advance(Duration::from_secs(6));
    cell.hear_others(&starts[0].target);
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_millis(500));
    cell.hear_others(&starts[0].target);
    expect_that!(cell.decide_starts().len(), eq(1));
}

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
fn a_job_fails_after_the_attempts_of_its_queue() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    for _ in 0..common::ATTEMPTS {
        let starts = cell.decide_starts();
        expect_that!(starts.len(), eq(1));
        cell.answer_all(&starts, &StartAnswer::Started);
        cell.end(&starts[0], End::Failed);
    }
    cell.record();
    expect_that!(cell.state("job"), eq(JobState::Failed));
    expect_that!(cell.decide_starts(), is_empty());
}

#[gtest]
fn an_end_that_a_target_lists_again_after_a_takeover_counts_once() {
    // Seen as LOST on trouble-2 of pilares-sched: the failure was recorded, the
    // placer ended before the target was told to forget it, and the next placer
    // counted it again.
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.end(&starts[0], End::Failed);
    let mut next = cell.take_over();
    next.list_end_again(&starts[0], End::Failed);
    for _ in 1..common::ATTEMPTS {
        expect_that!(next.state("job"), not(eq(JobState::Failed)));
        let starts = next.decide_starts();
        expect_that!(starts.len(), eq(1));
        next.answer_all(&starts, &StartAnswer::Started);
        next.end(&starts[0], End::Failed);
    }
    next.record();
    expect_that!(next.state("job"), eq(JobState::Failed));
}

#[gtest]
fn failures_of_different_members_are_failures_of_their_gang() {
    let mut cell = Cell::new(1);
    cell.accept("gang", vec![Step { gang: true, ..step(3) }]);
    for failing in 0..common::ATTEMPTS as usize {
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
fn a_cancelled_job_is_stopped_and_starts_nothing_more() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(10)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.cancel("job");
    expect_that!(cell.stops().len(), eq(starts.len()));
    cell.end(&starts[0], End::Stopped);
    expect_that!(cell.decide_starts(), is_empty());
}

#[gtest]
fn a_team_never_has_more_running_than_its_limit() {
    let mut cell = Cell::new(4);
    cell.limit_team(5);
    cell.accept("job", vec![step(20)]);
    let starts = cell.decide_starts();
    expect_that!(starts.len(), eq(5));
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.end(&starts[0], End::Done);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn a_team_stays_in_its_limit_while_a_takeover_does_not_know_all_runs() {
    let mut cell = Cell::new(4);
    cell.limit_team(5);
    cell.accept("job", vec![step(5)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_unheard();
    next.accept("other", vec![step(5)]);
    // The five may all run on a target that hasn't answered.
    expect_that!(next.decide_starts(), is_empty());
}

#[gtest]
fn a_refused_start_waits_for_a_listing_of_its_target() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Refused(Refusal::Unable));
    expect_that!(cell.decide_starts(), is_empty());
    cell.advance(Duration::from_millis(50));
    cell.list_nothing(&starts[0].target);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn a_long_running_task_starts_again_however_it_ends() {
    let mut cell = Cell::new(1);
    cell.accept("service", vec![Step { long_running: true, ..step(1) }]);
    for end in [End::Failed, End::Failed, End::Failed, End::Failed, End::Done, End::Lapsed] {
        let starts = cell.decide_starts();
        expect_that!(starts.len(), eq(1));
        cell.answer_all(&starts, &StartAnswer::Started);
        cell.end(&starts[0], end);
    }
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn an_unanswered_start_that_is_listed_goes_on() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Unknown);
    cell.list_running(&starts);
    expect_that!(cell.stops(), is_empty());
    cell.end(&starts[0], End::Done);
    cell.record();
    expect_that!(cell.state("job"), eq(JobState::Complete));
}

#[gtest]
fn an_end_is_forgotten_only_when_all_before_it_is_recorded() {
    let mut cell = Cell::new(1);
    cell.accept("one", vec![step(1)]);
    cell.accept("two", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.end(&starts[0], End::Done);
    let first = cell.board.take_batch().expect("there is an end to record");
    cell.end(&starts[1], End::Done);
    let second = cell.board.take_batch().expect("there is another one");
    cell.board.recorded(second);
    expect_that!(cell.board.recorded_end(&starts[0].target), eq(0));
    cell.board.not_recorded(first);
    expect_that!(cell.board.recorded_end(&starts[0].target), eq(0));
    let again = cell.board.take_batch().expect("the first is tried again");
    cell.board.recorded(again);
    expect_that!(cell.board.recorded_end(&starts[0].target), eq(2));
}

#[gtest]
fn what_is_recorded_of_one_life_of_a_target_says_nothing_of_the_next() {
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(3)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.end(&starts[0], End::Done);
    cell.end(&starts[1], End::Done);
    let batch = cell.board.take_batch().expect("there are ends to record");
    cell.be_born_again(&starts[0].target);
    cell.end(&starts[2], End::Done);
    cell.board.recorded(batch);
    expect_that!(cell.board.recorded_end(&starts[0].target), eq(0));
}

#[gtest]
fn a_successor_goes_on_at_once_with_what_does_not_run_on_silent_targets() {
    let mut cell = Cell::new(2);
    cell.accept("running", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.fall_silent(&starts[0].target);
    cell.accept("waiting", vec![step(1)]);
    let lost = starts[0].target.clone();
    let silent = cell.board.silent_targets();
    let mut next = cell.take_over_unheard();
    for (target, runs) in &silent {
        next.board.adopt_silent(target, runs, next.now);
    }
    next.list_targets();
    next.hear_others(&lost);
    let starts = next.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("waiting"));
    next.answer_all(&starts, &StartAnswer::Started);
    next.end(&starts[0], End::Done);
    // The other one counts until its lease has surely lapsed.
    next.advance(Duration::from_secs(6));
    next.hear_others(&lost);
    expect_that!(next.decide_starts(), is_empty());
    next.advance(Duration::from_secs(1));
    next.hear_others(&lost);
    let starts = next.decide_starts();
    expect_that!(starts.len(), eq(1));
    expect_that!(&*starts[0].task.step.job, eq("running"));
}

#[gtest]
fn a_stop_that_is_answered_again_settles_a_run_all_the_same() {
    // Seen as LOST on mix days of both sites with late orders: each further
    // answer put off the listing that would have shown that the run is gone.
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Unknown);
    cell.list_nothing(&starts[0].target);
    cell.stop_answered(&starts[0]);
    let asked = cell.now + Duration::from_millis(100);
    cell.advance(Duration::from_millis(600));
    cell.stop_answered(&starts[0]);
    cell.list_nothing_as_of(&starts[0].target, asked);
    expect_that!(cell.decide_starts().len(), eq(1));
}

#[gtest]
fn an_adopted_run_lapses_though_its_placer_never_granted_a_lease() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(1)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_unheard();
    next.list_running(&starts);
    next.fall_silent(&starts[0].target);
    next.advance(Duration::from_secs(7));
    next.hear_others(&starts[0].target);
    expect_that!(next.decide_starts().len(), eq(1));
}

#[gtest]
fn a_target_whose_tasks_advance_slowly_gets_no_more_of_them() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(12)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    let slow = starts[0].target.clone();
    for tenth in 1..8 {
        cell.advance(Duration::from_millis(750));
        // Estimated at one second: the others take that, these eight times it.
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
fn a_run_that_stands_still_is_moved_elsewhere() {
    let mut cell = Cell::new(2);
    cell.accept("job", vec![step(2)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    for _ in 0..6 {
        cell.advance(Duration::from_millis(750));
        cell.list_progress(&starts, |_| 40);
    }
    expect_that!(cell.stops().len(), ge(2));
}

#[gtest]
fn a_target_that_fails_what_it_starts_gets_little_more() {
    let mut cell = Cell::new(2);
    for number in 0..3 {
        cell.accept(&format!("job-{number}"), vec![step(1)]);
    }
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    let failing = starts[0].target.clone();
    for start in starts.iter().filter(|start| start.target == failing) {
        cell.end(start, End::Failed);
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
fn a_gang_that_runs_goes_on_through_a_takeover() {
    // Seen on trouble-1 of anpgc-sched: each takeover stopped all gangs.
    let mut cell = Cell::new(2);
    cell.accept("gang", vec![Step { gang: true, ..step(3) }]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    let mut next = cell.take_over_unheard();
    next.list_running(&starts);
    next.hear_others(&starts[0].target);
    expect_that!(next.decide_starts(), is_empty());
    expect_that!(next.stops(), is_empty());
    next.end(&starts[1], End::Done);
    next.record();
    expect_that!(next.state("gang"), eq(JobState::Complete));
}

#[gtest]
fn a_team_that_sends_more_than_it_is_owed_waits_for_the_others() {
    let mut cell = Cell::new(1);
    cell.weigh_team(1);
    // The first two are owed: two seconds of its weight.
    for number in 0..12 {
        cell.accept(&format!("flood-{number}"), vec![step(2)]);
    }
    cell.accept_of_other("other", vec![step(2)]);
    let starts = cell.decide_starts();
    let other = starts.iter().filter(|start| &*start.task.step.job == "other").count();
    expect_that!(starts.len(), eq(8));
    expect_that!(other, eq(2));
}

#[gtest]
fn what_fills_is_never_beside_what_it_would_harm() {
    let mut cell = Cell::new(2);
    cell.accept("serving", vec![Step { goal_ms: Some(50), long_running: true, ..step(2) }]);
    let serving = cell.decide_starts();
    cell.answer_all(&serving, &StartAnswer::Started);
    cell.accept("filling", vec![Step { fills: true, ..step(16) }]);
    let filling = cell.decide_starts();
    expect_that!(filling.len(), eq(8));
    for start in &filling {
        expect_that!(start.target, not(eq(&serving[0].target)));
    }
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
    let whole = Step { gang: true, size: common::small_step().size * 8, ..step(1) };
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

#[gtest]
fn what_is_being_stopped_takes_room_through_a_takeover() {
    // Seen as LIMIT on trouble-2 of pilares-sched: a cancelled job was removed
    // from the record while its runs were being stopped, so that the next placer
    // didn't know how much room they take.
    let mut cell = Cell::new(1);
    cell.accept("job", vec![step(8)]);
    let starts = cell.decide_starts();
    cell.answer_all(&starts, &StartAnswer::Started);
    cell.cancel("job");
    cell.record();
    let mut next = cell.take_over_unheard();
    next.list_running(&starts);
    next.accept("other", vec![step(1)]);
    expect_that!(next.decide_starts(), is_empty());
    next.end(&starts[0], End::Stopped);
    expect_that!(next.decide_starts().len(), eq(1));
}

#[gtest]
fn a_target_with_runs_of_unknown_jobs_gets_nothing_until_they_are_gone() {
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
