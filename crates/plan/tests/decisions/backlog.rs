//! Large numbers of waiting steps that cannot start.

use std::time::{Duration, Instant};

use base::Name;
use googletest::prelude::*;
use plan::StartAnswer;
use work::{Advice, End, Step};

use crate::cell::{Cell, OTHER_QUEUE, QUEUE, step};

/// Number of waiting steps; more than are searched for in one round.
const BACKLOG: u32 = 600;

/// Number of rounds within which a step must start that has room. Rounds are
/// 25 ms apart, and urgent work has to start within seconds.
const MAX_ROUNDS: usize = 20;

fn accept_backlog(cell: &mut Cell, each: &Step) {
    for number in 0..BACKLOG {
        cell.accept(&format!("backlog-{number}"), vec![each.clone()]);
    }
}

/// Lets all waiting jobs become late, so that they rank first in an idle cell.
fn make_late(cell: &mut Cell) {
    cell.advance(Duration::from_secs(60));
    cell.list_nothing_on_others("");
}

/// Returns the number of rounds until a task of the job starts.
fn rounds_until_start(cell: &mut Cell, job: &str) -> Option<usize> {
    let mut starts = (1..=MAX_ROUNDS).map(|round| (round, cell.decide_starts()));
    let found = starts.find(|(_, starts)| starts.iter().any(|start| &*start.task.step.job == job));
    found.map(|(round, _)| round)
}

#[gtest]
fn backlog_of_a_team_at_its_limit_holds_up_no_other_team() {
    // The backlog filled each round, so idle targets got no work (review/3).
    let mut cell = Cell::new(4);
    cell.limit_team(2);
    accept_backlog(&mut cell, &step(1));
    make_late(&mut cell);
    cell.accept_from_other_team("other", vec![step(1)]);
    expect_that!(rounds_until_start(&mut cell, "other"), some(eq(1)));
}

#[gtest]
fn backlog_without_a_suitable_target_holds_up_no_other_job() {
    let mut cell = Cell::new(4);
    accept_backlog(&mut cell, &Step { label: Some(Name::from("none has it")), ..step(1) });
    for number in 0..BACKLOG {
        let size = step(1).size * 9 + step(1).size * number;
        cell.accept(&format!("large-{number}"), vec![Step { size, ..step(1) }]);
    }
    make_late(&mut cell);
    cell.accept("other", vec![step(1)]);
    expect_that!(rounds_until_start(&mut cell, "other"), some(eq(1)));
}

#[gtest]
fn backlog_of_a_full_pool_holds_up_no_other_pool() {
    let mut cell = Cell::new(2);
    cell.split_pools();
    cell.accept("full", vec![step(8)]);
    let starts = cell.decide_starts();
    cell.answer_starts(&starts, &StartAnswer::Started);
    accept_backlog(&mut cell, &step(1));
    cell.advance(Duration::from_secs(4));
    cell.list_running(&starts);
    cell.list_nothing_on_others(&starts[0].target);
    cell.accept_in(OTHER_QUEUE, "other", vec![step(1)]);
    expect_that!(rounds_until_start(&mut cell, "other"), some(eq(1)));
}

#[gtest]
fn backlog_of_inherited_jobs_holds_up_no_new_job() {
    // Jobs of earlier terms wait until all targets have answered.
    let mut cell = Cell::new(2);
    accept_backlog(&mut cell, &step(1));
    let mut next = cell.take_over_without_listings();
    next.accept("other", vec![step(1)]);
    expect_that!(rounds_until_start(&mut next, "other"), some(eq(1)));
}

#[gtest]
fn backlog_that_needs_searches_holds_up_no_other_job_for_long() {
    // Each of these steps is searched for in vain: they wait for advice, or for
    // targets without a run of the same step.
    let advice = Advice { request_us: 1000, target_us: 10, valid_ms: 1500 };
    let mut cell = Cell::new(2);
    cell.planner.set_instances(4, cell.now);
    cell.split_pools();
    cell.set_advice(QUEUE, advice);
    accept_backlog(&mut cell, &step(1));
    make_late(&mut cell);
    cell.accept_in(OTHER_QUEUE, "other", vec![step(1)]);
    expect_that!(rounds_until_start(&mut cell, "other"), some(anything()));
}

/// Number of steps that fit in the largest body of a request.
const MANY_STEPS: u32 = 6000;

/// Interval between renewals of the lead, which must not wait for a round.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(450);

#[gtest]
fn job_of_many_steps_holds_up_no_renewal_of_the_lead() {
    // The chains of such a job were computed anew for each step in each round,
    // which took each leader's processor for good (many-steps of the review).
    let last = MANY_STEPS as u16 - 1;
    let fan_in = Step { after: (0..last).collect(), ..step(1) };
    let apart = vec![step(1); MANY_STEPS as usize];
    let chained = |number| Step { after: (0..number).rev().take(1).collect(), ..step(1) };
    let chain: Vec<Step> = (0..=last).map(chained).collect();
    let mut joined = apart[1..].to_vec();
    joined.push(fan_in);
    for steps in [apart, chain, joined] {
        let mut cell = Cell::new(4);
        cell.accept("large", steps);
        for _ in 0..10 {
            let began_at = Instant::now();
            let starts = cell.decide_starts();
            cell.planner.overloads(cell.now);
            expect_that!(began_at.elapsed(), lt(RENEWAL_INTERVAL));
            cell.answer_starts(&starts, &StartAnswer::Started);
            for start in &starts {
                cell.end_run(start, End::Done);
            }
            cell.advance(Duration::from_millis(25));
            cell.list_nothing_on_others("");
        }
    }
}
